package slots

import (
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// contactWindow is how long a failure of a host to reach a replica counts.
	contactWindow = 10 * time.Second
	// minUnreachedReplicas is the number of replicas that a host must have failed to reach,
	// without a response of any in between, for it to be cut off. One alone may have failed.
	minUnreachedReplicas = 2
	// witnessDelay is how much later than a host's first failure a replica must have
	// responded to another host: the end of a response is reported a little late.
	witnessDelay = 100 * time.Millisecond
	// witnessWindow is how long a response to another host shows that replicas work.
	witnessWindow = 2 * time.Second
	// cutOffInterval is the least time between two searches for hosts that are cut off.
	cutOffInterval = 20 * time.Millisecond
	// statementWindow is how long the statement of a host that it is cut off counts.
	statementWindow = 1500 * time.Millisecond
)

// contacts is what a broker knows of which hosts the replicas respond to. It tells hosts that
// are cut off from the replicas from replicas that fail. It is not safe for concurrent use.
type contacts struct {
	hosts map[string]*hostContact
	// cutOff holds the hosts that were cut off when update was last called.
	cutOff map[string]bool
	// pending is set while any host has failed or stated that it is cut off. updatedAt is when
	// update last searched for hosts that are cut off.
	pending   bool
	updatedAt time.Time
}

// hostContact is what a broker knows of the exchanges of one host.
type hostContact struct {
	// respondedAt is when a replica last responded to the host, by service.
	respondedAt map[string]time.Time
	// unreached holds the replicas that the host failed to reach since any replica last
	// responded to it.
	unreached map[replica.Incarnation]unreachedReplica
	// statedAt is when the host last stated that it is cut off.
	statedAt time.Time
	// foundAt is when the host was last found to be cut off or began to state it.
	foundAt time.Time
	// grantedAt is when the host last got a slot.
	grantedAt time.Time
}

// unreachedReplica is when a host failed to reach a replica first and last, and the replica's
// service.
type unreachedReplica struct {
	service     string
	first, last time.Time
}

func newContacts() *contacts {
	return &contacts{hosts: make(map[string]*hostContact), cutOff: make(map[string]bool)}
}

func (c *contacts) host(name string) *hostContact {
	h, ok := c.hosts[name]
	if !ok {
		h = &hostContact{respondedAt: make(map[string]time.Time), unreached: make(map[replica.Incarnation]unreachedReplica)}
		c.hosts[name] = h
	}
	return h
}

// observe records the outcome of a request of a host to a replica. An exchange that broke off
// shows neither.
func (c *contacts) observe(now time.Time, host string, r replica.Replica, outcome Outcome) {
	switch {
	case outcome.isResponse():
		h := c.host(host)
		clear(h.unreached)
		h.respondedAt[r.Service] = now
	case outcome == Unreachable:
		c.host(host).recordUnreached(now, r)
		c.pending = true
	}
}

func (h *hostContact) recordUnreached(now time.Time, r replica.Replica) {
	failure, ok := h.unreached[r.Incarnation()]
	if !ok {
		failure = unreachedReplica{service: r.Service, first: now}
	}
	failure.last = now
	h.unreached[r.Incarnation()] = failure
}

// state records whether a host states that it is cut off, and reports whether it does and did
// not before.
func (c *contacts) state(now time.Time, host string, cutOff bool) (begun bool) {
	h, ok := c.hosts[host]
	if !cutOff {
		if ok {
			h.statedAt = time.Time{}
		}
		return false
	}
	begun = !ok || !h.states(now)
	h = c.host(host)
	h.statedAt, c.pending = now, true
	if begun && !c.cutOff[host] {
		h.foundAt = now
	}
	return begun
}

// update finds the hosts that are cut off now, and returns those that were not before and
// those that are no longer.
func (c *contacts) update(now time.Time) (begun, ended []string) {
	interval := cutOffInterval
	if !c.pending {
		interval = contactWindow
	}
	if now.Sub(c.updatedAt) < interval {
		return nil, nil
	}
	c.updatedAt = now
	c.prune(now)
	previous := c.cutOff
	c.cutOff = findCutOff(now, c.hosts)
	for name := range c.cutOff {
		if !previous[name] {
			begun = append(begun, name)
			c.hosts[name].recordFound(now)
		}
	}
	for name := range previous {
		if !c.cutOff[name] {
			ended = append(ended, name)
		}
	}
	return begun, ended
}

// recordFound records that the host was found to be cut off, unless it states that already.
func (h *hostContact) recordFound(now time.Time) {
	if !h.states(now) {
		h.foundAt = now
	}
}

// prune forgets failures and statements that no longer count.
func (c *contacts) prune(now time.Time) {
	c.pending = false
	for name, h := range c.hosts {
		for id, failure := range h.unreached {
			if now.Sub(failure.last) > contactWindow {
				delete(h.unreached, id)
			}
		}
		for service, at := range h.respondedAt {
			if now.Sub(at) > contactWindow {
				delete(h.respondedAt, service)
			}
		}
		c.pending = c.pending || len(h.unreached) > 0 || h.states(now)
		if len(h.unreached)+len(h.respondedAt) == 0 && !h.states(now) && now.Sub(h.grantedAt) > contactWindow {
			delete(c.hosts, name)
		}
	}
}

func (h *hostContact) states(now time.Time) bool {
	return !h.statedAt.IsZero() && now.Sub(h.statedAt) <= statementWindow
}

// findCutOff returns the hosts that reach no replica though replicas work. All that such a
// host has tried lately, at several replicas, has failed, and it states that it is cut off or
// replicas of a service that it tried have responded to another host since. If replicas have
// failed, all hosts fail alike and none is cut off.
func findCutOff(now time.Time, hosts map[string]*hostContact) map[string]bool {
	cutOff := make(map[string]bool)
	last := lastResponses(hosts)
	for name, h := range hosts {
		if len(h.unreached) >= minUnreachedReplicas && (h.states(now) || h.hasWitness(now, name, last)) {
			cutOff[name] = true
		}
	}
	return cutOff
}

// lastResponse is when replicas of a service last responded to any host, and to another one
// than that.
type lastResponse struct {
	host        string
	at, otherAt time.Time
}

func lastResponses(hosts map[string]*hostContact) map[string]lastResponse {
	last := make(map[string]lastResponse)
	for name, h := range hosts {
		for service, at := range h.respondedAt {
			switch l := last[service]; {
			case at.After(l.at):
				last[service] = lastResponse{host: name, at: at, otherAt: l.at}
			case at.After(l.otherAt):
				l.otherAt = at
				last[service] = l
			}
		}
	}
	return last
}

// hasWitness reports whether replicas of a service that the host failed to reach have
// responded to another one since.
func (h *hostContact) hasWitness(now time.Time, name string, last map[string]lastResponse) bool {
	for _, failure := range h.unreached {
		l := last[failure.service]
		at := l.at
		if l.host == name {
			at = l.otherAt
		}
		if at.Sub(failure.first) >= witnessDelay && now.Sub(at) <= witnessWindow {
			return true
		}
	}
	return false
}

// discounts reports whether failures of a host say nothing about replicas: it is cut off or
// states that.
func (c *contacts) discounts(now time.Time, host string) bool {
	h, ok := c.hosts[host]
	return ok && (c.cutOff[host] || h.states(now))
}

// lastServed returns up to n of the hosts, those to which replicas have responded last.
func (c *contacts) lastServed(hosts []membership.Host, n int) []membership.Host {
	at := func(h membership.Host) (last time.Time) {
		if contact, ok := c.hosts[h.Name]; ok {
			for _, respondedAt := range contact.respondedAt {
				if respondedAt.After(last) {
					last = respondedAt
				}
			}
		}
		return last
	}
	slices.SortStableFunc(hosts, func(a, b membership.Host) int { return at(b).Compare(at(a)) })
	return hosts[:min(len(hosts), n)]
}

// isResponse reports whether the replica responded.
func (o Outcome) isResponse() bool {
	switch o {
	case Done, Full, Replaced, Errored, Ended:
		return true
	default:
		return false
	}
}
