package quota

import (
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// request sends a request of a customer to a host, which asks the brokers of its data
// centre in turn, as slots.Client does.
func (n *network) request(h *node, name string, tries int, answered func(Decision)) {
	if h.dead || n.now < h.frozenUntil || tries == 0 {
		return
	}
	broker := n.brokerOf(h)
	n.send(h, broker, 180*time.Millisecond, func(reply func(func())) {
		n.take(broker, name, func(d Decision) { reply(func() { answered(d) }) })
	}, func() {
		h.suspects[broker.name] = n.now + time.Second
		n.request(h, name, tries-1, answered)
	})
}

func (n *network) take(broker *node, name string, decided func(Decision)) {
	service := broker.Service
	decide := func(d Decision) {
		if d.Admitted {
			n.admitted[name] = append(n.admitted[name], n.now)
		}
		decided(d)
	}
	broker.lastTake, broker.taken = n.now, true
	d := broker.account.Take(n.now, name, 0)
	if d.Waiter == nil {
		if d.Ask {
			broker.due = min(broker.due, n.now+lowCreditDelay)
		}
		decide(d)
		return
	}
	n.waited++
	n.exchangeSoon(broker)
	deadline := n.now + AnswerTimeout
	var wait func()
	wait = func() {
		n.on(broker, service, func() {
			select {
			case d := <-d.Waiter.Decided:
				decide(d)
				return
			default:
			}
			if n.now >= deadline {
				decide(service.account.GiveUp(n.now, d.Waiter))
				return
			}
			n.after(time.Millisecond, wait)
		})
	}
	n.after(time.Millisecond, wait)
}

// load sends Poisson arrivals of a customer to hosts for a time.
func (n *network) load(name string, perSecond float64, d time.Duration, to func() *node) {
	end := n.now + d
	var next func()
	next = func() {
		if n.now >= end {
			return
		}
		n.request(to(), name, 3, func(d Decision) {
			if !d.Admitted {
				n.refused[name]++
				n.retryAfter = d.Refusal.RetryAfter
			}
		})
		n.after(time.Duration(n.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	n.after(time.Duration(n.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// anyHost returns a host that accepts requests, if there is one.
func (n *network) anyHost() *node {
	if !slices.ContainsFunc(n.nodes, func(h *node) bool { return !h.dead && n.now >= h.frozenUntil }) {
		return n.nodes[0]
	}
	for {
		if h := n.nodes[n.rng.IntN(len(n.nodes))]; !h.dead && n.now >= h.frozenUntil {
			return h
		}
	}
}

// allocatorNode returns the host that ranks first as allocator among those alive.
func (n *network) allocatorNode() *node {
	var all []membership.Host
	for _, h := range n.nodes {
		if !h.dead {
			all = append(all, membership.Host{Name: h.name})
		}
	}
	if len(all) == 0 {
		return n.nodes[0]
	}
	return n.nodeOf(membership.Rendezvous(all, rendezvousKey, 1)[0].Name)
}

func (n *network) count(name string, from, to time.Duration) int {
	times := n.admitted[name]
	at := func(t time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= t }) }
	return at(to) - at(from)
}

// mostIn returns how many requests of a customer a window of the tolerance may have. Tokens
// are taken before requests run, so a part of the tolerance has to stay free.
func (n *network) mostIn(limit customer.Quota) float64 {
	return limit.PerSecond*n.tolerance.Window.Seconds() + n.tolerance.burst(limit) + creditShare*n.tolerance.of(limit) + creditInTransit
}

// creditInTransit is the tokens that brokers hold beyond their credit until the next
// exchange: those that arrive for requests that have ceased to wait.
const creditInTransit = 3

// requireBound checks each window.
func (n *network) requireBound(t require.TestingT, name string, limit customer.Quota) {
	if h, ok := t.(*testing.T); ok {
		h.Helper()
	}
	most := n.mostIn(limit)
	times := n.admitted[name]
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] > n.tolerance.Window {
			i++
		}
		if float64(j-i+1) > most {
			require.LessOrEqual(t, float64(j-i+1), most, "requests of %s from %s to %s", name, times[i]-time.Hour, times[j]-time.Hour)
		}
	}
}
