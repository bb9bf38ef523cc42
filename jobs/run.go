package jobs

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// readBufferBytes is the size of the buffer for reading events.
const readBufferBytes = 8 << 10

// Demand implements slots.BatchItems. It returns the waiting items by service, for
// other data centres only those that are due within remoteDemandWindow.
func (m *Manager) Demand(remote bool) []slots.DemandMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	byService := make(map[string]*serviceDemand)
	for it, rt := range m.waitingItems(now) {
		left := m.timeLeft(it, now)
		if remote && left > remoteDemandWindow {
			continue
		}
		service := rt.Service(it.ID)
		d, ok := byService[service]
		if !ok {
			d = newServiceDemand(service)
			byService[service] = d
		}
		d.add(left)
		if m.hasCustomers() {
			d.addShare(m.itemShare(it, rt), left)
		}
	}
	demand := make([]slots.DemandMessage, 0, len(byService))
	for _, d := range byService {
		demand = append(demand, d.message())
	}
	return demand
}

// waitingItems yields the items that wait for a slot, with their routes. m.mu must be
// held.
func (m *Manager) waitingItems(now time.Time) func(yield func(*item, *route.Route) bool) {
	return func(yield func(*item, *route.Route) bool) {
		table := m.Table()
		if m.stopping || table == nil {
			return
		}
		for _, j := range m.jobs {
			if j.disowned || j.endRequested || !j.head.open() {
				continue
			}
			for _, it := range j.items {
				if it.hasResult || it.running || now.Before(it.notBefore) {
					continue
				}
				rt := table.Match(j.head.RouteHost, it.Path)
				if rt != nil && !yield(it, rt) {
					return
				}
			}
		}
	}
}

// Granted implements slots.BatchItems. It runs the most urgent waiting item of the
// service and share, or releases the slot if there is none.
func (m *Manager) Granted(g slots.Grant) {
	m.mu.Lock()
	mostUrgent, rt := m.mostUrgentFor(&g)
	if mostUrgent == nil {
		m.mu.Unlock()
		m.Slots.Release(g, slots.Unused)
		return
	}
	mostUrgent.startOn(g.Replica)
	ctx, cancel := context.WithCancel(context.Background())
	mostUrgent.cancelRun = cancel
	m.runs[g.ID] = cancel
	m.activeRuns.Add(1)
	m.mu.Unlock()
	go func() {
		defer m.activeRuns.Done()
		m.run(ctx, g, mostUrgent, rt)
		cancel()
	}()
}

// mostUrgentFor returns the most urgent waiting item of the grant's service and share,
// or nil, and its route. Brokers of older builds grant slots without a share. Those are
// for any item if none waits that has no customer. m.mu must be held.
func (m *Manager) mostUrgentFor(g *slots.Grant) (*item, *route.Route) {
	if m.hasCustomers() {
		it, rt := m.mostUrgent(g.Replica, func(it *item, rt *route.Route) bool { return m.itemShare(it, rt) == g.Share })
		if it != nil || g.Share != (slots.Share{}) {
			return it, rt
		}
	}
	return m.mostUrgent(g.Replica, func(*item, *route.Route) bool { return true })
}

// mostUrgent returns the most urgent waiting item of the replica's service that is
// allowed, or nil, and its route. Among equals it prefers one that does not have to start
// again there. m.mu must be held.
func (m *Manager) mostUrgent(r replica.Replica, allowed func(*item, *route.Route) bool) (best *item, bestRoute *route.Route) {
	now := m.Clock.Now()
	for it, rt := range m.waitingItems(now) {
		if rt.Service(it.ID) != r.Service || !allowed(it, rt) {
			continue
		}
		if best == nil {
			best, bestRoute = it, rt
			continue
		}
		switch c := slots.CompareUrgency(m.timeLeft(it, now), m.timeLeft(best, now)); {
		case c < 0, c == 0 && it.continuesOn(r) && !best.continuesOn(r):
			best, bestRoute = it, rt
		}
	}
	return best, bestRoute
}

// continuesOn reports whether the replica can go on after the events received so
// far. Events of two services or software versions don't fit together, and replicas
// don't check this.
func (it *item) continuesOn(r replica.Replica) bool {
	sameService := it.service == r.Service || it.service == ""
	return it.lastEventID == "" || sameService && it.softwareVersion == r.SoftwareVersion
}

// startOn marks the item as running on a replica. If that can't go on after the
// events received so far, the item starts again.
func (it *item) startOn(r replica.Replica) {
	it.running = true
	if !it.continuesOn(r) {
		it.discardEvents()
	}
	it.service, it.softwareVersion = r.Service, r.SoftwareVersion
}

// discardEvents lets the next run start from the beginning.
func (it *item) discardEvents() {
	it.eventData, it.eventBytes, it.lastEventID, it.ran = nil, 0, "", 0
	it.ending = forward.Ending{}
}

// Revoked implements slots.BatchItems. It cancels the run; the item waits again.
func (m *Manager) Revoked(id slots.GrantID) {
	m.mu.Lock()
	cancel := m.runs[id]
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// runEnd is how one run of an item ended.
type runEnd uint8

const (
	// endDone: the output is complete.
	endDone runEnd = iota
	// endInvalid: the replica rejected the item as invalid for good.
	endInvalid
	// endFailed: the replica answered that the run failed.
	endFailed
	// endRejected: the replica did not run the item.
	endRejected
	// endBroken: the request failed, or the response was incomplete, not signed
	// by the replica or of an unexpected status.
	endBroken
	// endUnconfirmed: the events ended with the connection. Whether the output is complete
	// is shown by a further run, which is to go on after the last event.
	endUnconfirmed
	// endStopped: this host cancelled the run.
	endStopped
	// endCrashed: the run was broken and brought no further event, and its replica is gone.
	endCrashed
)

// String returns the name of e in logs and metrics.
func (e runEnd) String() string {
	return [...]string{"done", "invalid", "failed", "turned_away", "broken", "unconfirmed", "stopped", "crashed"}[e]
}

// run runs an item once on a granted slot and releases the slot.
func (m *Manager) run(ctx context.Context, g slots.Grant, it *item, rt *route.Route) {
	start := m.Clock.Now()
	var seen runLog
	before := m.eventsOf(it)
	end, outcome, err := m.runOnReplica(ctx, &g, it, rt, &seen)
	if ctx.Err() != nil && end != endDone {
		end, outcome = endStopped, slots.Unused
	}
	// Whether the replica is gone takes some time to find out, for which the slot isn't held.
	release := sync.OnceFunc(func() { m.Slots.Release(g, outcome) })
	if end == endBroken && m.ReplicaGone != nil && forward.FailureOutcome(err) == slots.Failed && m.eventsOf(it) <= before {
		release()
		if m.ReplicaGone(ctx, g.Replica) && ctx.Err() == nil {
			end = endCrashed
		}
	}
	m.mu.Lock()
	delete(m.runs, g.ID)
	it.running = false
	events := len(it.eventData)
	it.ran += m.Clock.Now().Sub(start)
	m.applyRunEnd(it, rt, end)
	m.mu.Unlock()
	release()
	m.Metrics.runs.WithLabelValues(end.String()).Inc()
	entry := m.Log.WithFields(logrus.Fields{
		"job": it.job.head.ID, "item": it.ID, "replica": g.Replica.ID, "broker": g.Broker, "software_version": g.Replica.SoftwareVersion, "end": end.String(),
		"events": events, "held_ms": m.Clock.Now().Sub(g.Since).Milliseconds(),
		"asked_after": seen.askedAfter, "first_event": seen.firstEvent, "last_event": seen.lastEvent,
		"status": seen.status, "framing": string(seen.framing), "connection_use": seen.connectionUse, "connection_new": seen.connection.New, "connection_via": seen.connection.Via, "skipped_answers": seen.skipped,
	})
	if err != nil && end != endStopped {
		entry = entry.WithError(err)
	}
	entry.Info("run of an item ended")
	signal(m.demandChanged)
}

// applyRunEnd updates an item after a run: it sets the result, or lets the item
// wait for another run. m.mu must be held.
func (m *Manager) applyRunEnd(it *item, rt *route.Route, end runEnd) {
	switch end {
	case endDone:
		m.recordRunTime(it.job.head.route(), it.ran)
		m.setResult(it, Result{ID: it.ID, Done: true, Output: strings.Join(it.eventData, "\n")})
		return
	case endInvalid:
		m.setResult(it, Result{ID: it.ID})
		return
	case endFailed:
		it.failures++
		it.discardEvents()
		if it.failures >= rt.MaxAttempts {
			m.setResult(it, Result{ID: it.ID})
			return
		}
	case endUnconfirmed, endStopped:
		it.consecutiveFailures = 0
		return
	case endCrashed:
		it.crashes++
		if it.crashes >= crashesToSuspect {
			m.delayRun(it, m.suspectDelay(it))
			return
		}
	case endRejected, endBroken:
	}
	delay := min(runRetryDelay<<min(it.consecutiveFailures, 6), maxRunRetryDelay)
	it.consecutiveFailures++
	m.delayRun(it, delay)
}

// delayRun lets an item wait before its next run. m.mu must be held.
func (m *Manager) delayRun(it *item, delay time.Duration) {
	it.notBefore = m.Clock.Now().Add(delay)
	m.Clock.AfterFunc(delay, func() { signal(m.demandChanged) })
}

// suspectDelay returns the delay before an item runs again that is suspected to crash
// replicas: its last runs are spread evenly over the rest of its retention, and after them it
// waits for the end of that. m.mu must be held.
func (m *Manager) suspectDelay(it *item) time.Duration {
	left := it.job.head.expiresAt().Sub(m.Clock.Now())
	runs := max(crashesToSuspect+suspectRuns-it.crashes, 0)
	return max(left/time.Duration(runs+1), maxRunRetryDelay)
}

// eventsOf returns the number of events of an item's output so far.
func (m *Manager) eventsOf(it *item) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(it.eventData)
}

// setResult sets the result of an item and requests that it be recorded. m.mu
// must be held.
func (m *Manager) setResult(it *item, r Result) {
	if it.hasResult || it.job.disowned {
		return
	}
	it.hasResult = true
	it.eventData = nil
	if len(it.job.unrecorded) == 0 {
		it.job.unrecordedSince = m.Clock.Now()
	}
	it.job.unrecorded = append(it.job.unrecorded, r)
	signal(m.flushRequested)
}

// runLog is what the log says of one run of an item.
type runLog struct {
	// askedAfter is the id of the event after which the run was to go on; firstEvent and
	// lastEvent are the ids of the first and the last event that it brought.
	askedAfter, firstEvent, lastEvent string
	status                            int
	framing                           pool.Framing
	// connectionUse is the number of requests sent on the connection, and skipped the
	// number of responses to other requests that arrived on it before the item's.
	connectionUse, skipped int
	connection             pool.Connection
}

// runOnReplica sends an item to a replica and reads its output. The outcome is
// the one to report to the broker. It sets what was observed of the run in the grant.
func (m *Manager) runOnReplica(ctx context.Context, g *slots.Grant, it *item, rt *route.Route, seen *runLog) (runEnd, slots.Outcome, error) {
	req := &forward.Request{
		ID: it.ID, Route: rt, Service: g.Replica.Service, Method: http.MethodPost, Target: it.Path,
		Host: it.job.head.RouteHost, Header: make(http.Header), Body: it.Body,
		HasCustomers: m.hasCustomers(),
	}
	if name := it.job.head.Customer; name != "" {
		// The customer may be gone from the configuration, which ends no job.
		req.Customer, req.HasCustomers = &customer.Customer{Name: name}, true
	}
	for name, value := range it.Headers {
		req.Header.Set(name, value)
	}
	timer := &slots.RunTimer{Began: m.Clock.Now()}
	seen.askedAfter = it.lastEventID
	ans, err := m.Upstream.Send(ctx, req, forward.SendArgs{Replica: g.Replica, LastEventID: it.lastEventID, FirstByteTimeout: runFirstByteTimeout, GapTimeout: runGapTimeout, Seen: &seen.connection})
	if errors.Is(err, forward.ErrReplicaLeaving) {
		return endRejected, slots.Unused, err
	}
	if err != nil {
		return endBroken, forward.FailureOutcome(err), err
	}
	defer ans.Close()
	seen.status, seen.framing, seen.connectionUse, seen.skipped = ans.Status, ans.Framing, ans.ConnectionUse, ans.Skipped
	switch {
	case ans.Misdirected:
		return endRejected, slots.Replaced, nil
	case ans.NotRun:
		return endRejected, slots.Full, nil
	case !ans.Verified:
		return endBroken, slots.Failed, errors.New("response is not signed by the replica")
	case ans.Status == http.StatusUnprocessableEntity:
		return endInvalid, slots.Done, nil
	case ans.Status == http.StatusInternalServerError:
		// The item itself may be the reason, so this doesn't count against the
		// replica.
		return endFailed, slots.Unused, nil
	case ans.Status != http.StatusOK:
		return endBroken, slots.Done, errors.Newf("replica responded with status %d", ans.Status)
	case !pool.IsEventStream(ans.Header):
		return endBroken, slots.Failed, errors.Newf("content type is %q, not that of an event stream", ans.Header.Get("Content-Type"))
	}
	defer func() { g.Run = timer.Run() }()
	return m.readEvents(ans, it, timer, seen)
}

// hasCustomers reports whether the configuration in force has customers.
func (m *Manager) hasCustomers() bool { return m.Table().HasCustomers() }
