package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// restartLimits are the quotas of a large and a small customer, with 1.6 times their mean
// rate and a burst of one second of that.
func restartLimits() map[string]customer.Quota {
	limits := testLimits()
	limits["small"] = customer.Quota{PerSecond: 0.8, Burst: 0.8}
	return limits
}

// anyNode returns a host that may be down. Requests to such a host are not sent.
func (n *network) anyNode() *node { return n.nodes[n.rng.IntN(len(n.nodes))] }

// killAll kills the hosts for which down returns a time, and starts each after it.
func (n *network) killAll(down func(h *node) (time.Duration, bool)) {
	for _, h := range n.nodes {
		if d, ok := down(h); ok {
			h.dead = true
			n.after(d, func() { n.start(h) })
		}
	}
}

// restart is a restart of the fleet or a part of it, with the most requests of the large
// customer at its mean rate that may be refused within 5 s, and in the 6 s after that.
type restart struct {
	name           string
	refused, later int
	// down returns how long a host is down, and whether it is restarted at all.
	down func(n *network, h *node) (time.Duration, bool)
}

func restarts() []restart {
	oneToTwo := func(n *network) time.Duration { return time.Second + n.jitter(time.Second) }
	return []restart{
		{"all hosts", 70, 0, func(n *network, _ *node) (time.Duration, bool) { return oneToTwo(n), true }},
		{"all hosts, the allocator last", 80, 0, func(n *network, h *node) (time.Duration, bool) {
			if h == n.nodeOf(n.nodes[0].candidates[0].Name) {
				return 2 * time.Second, true
			}
			return oneToTwo(n), true
		}},
		{"all hosts, one of them for good", 130, 5, func(n *network, h *node) (time.Duration, bool) {
			if h == n.nodes[20] {
				return time.Hour, true
			}
			return oneToTwo(n), true
		}},
		{"all hosts, the allocator for good", 140, 5, func(n *network, h *node) (time.Duration, bool) {
			if h == n.nodeOf(n.nodes[0].candidates[0].Name) {
				return time.Hour, true
			}
			return oneToTwo(n), true
		}},
		{"a data centre", 3, 0, func(n *network, h *node) (time.Duration, bool) { return oneToTwo(n), h.dataCentre == "dc1" }},
		{"a broker", 3, 0, func(n *network, h *node) (time.Duration, bool) { return oneToTwo(n), h == n.nodes[0] }},
	}
}

// A customer below its quota is refused for long after a restart of the fleet or a part of it.
func TestRestartsRefuseLittleBelowTheQuota(t *testing.T) {
	for _, r := range restarts() {
		t.Run(r.name, func(t *testing.T) {
			for seed := range uint64(5) {
				n := newNetwork(seed, 6, 10, restartLimits())
				n.run(8 * time.Second)
				n.load("c", mean, 14*time.Second, n.anyNode)
				n.load("small", 0.5, 14*time.Second, n.anyNode)
				n.run(4 * time.Second)
				n.most = n.limits
				n.check = func() { n.requireFences(t) }
				n.killAll(func(h *node) (time.Duration, bool) { return r.down(n, h) })
				var halves []int
				for range 10 {
					before := n.refused["c"]
					n.run(500 * time.Millisecond)
					halves = append(halves, n.refused["c"]-before)
				}
				atFirst := n.refused["c"]
				n.run(6 * time.Second)
				t.Logf("seed %d: refused %d (in each half second %v), later %d, of the small customer %d", seed, atFirst, halves, n.refused["c"]-atFirst, n.refused["small"])
				require.LessOrEqual(t, atFirst, r.refused)
				require.LessOrEqual(t, n.refused["c"]-atFirst, r.later)
				require.LessOrEqual(t, n.refused["small"], 8)
				n.requireBound(t, "c", n.limits["c"])
				n.requireBound(t, "small", n.limits["small"])
			}
		})
	}
}

// A restart grants again what the former allocators have granted, to customers that send far
// more than their quota, in windows that span one restart or several.
func TestBoundHoldsThroughRestarts(t *testing.T) {
	for _, r := range restarts() {
		t.Run(r.name, func(t *testing.T) {
			for _, interval := range []time.Duration{2500 * time.Millisecond, 5 * time.Second} {
				n := newNetwork(2, 6, 10, restartLimits())
				n.run(8 * time.Second)
				n.most = n.limits
				n.check = func() { n.requireFences(t) }
				for name, limit := range n.limits {
					n.load(name, 6*limit.PerSecond, 20*time.Second, n.anyNode)
				}
				for range 3 {
					n.run(interval)
					n.killAll(func(h *node) (time.Duration, bool) { return r.down(n, h) })
				}
				n.run(8 * time.Second)
				for name, limit := range n.limits {
					n.requireBound(t, name, limit)
				}
				t.Logf("admitted %d of %d", len(n.admitted["c"]), len(n.admitted["c"])+n.refused["c"])
			}
		})
	}
}

// An allocator counts brokers although another host relies on its promise to count none, or
// takes itself for the only one without the promises of all.
func TestPromisesOfIdleAllocators(t *testing.T) {
	a := newTestAllocator()
	a.self, a.complete = "h1", true
	stamp := a.Exchange(0, &ExchangeArgs{Broker: "b"}).Stamp
	require.True(t, a.promise(0))
	attachment := Attachment{Echo: stamp, CountedElsewhereFor: 700 * time.Millisecond}
	a.Exchange(100*time.Millisecond, &ExchangeArgs{Broker: "b", Hosts: 4, Attachment: attachment})
	require.False(t, a.promise(100*time.Millisecond), "promised with a broker attached")
	a.advance(900 * time.Millisecond)
	require.Zero(t, a.share)
	a.brokers.byName["b"] = counted{until: time.Hour, attachedHosts: attachedHosts{pending: 4}}
	rows := []struct {
		name  string
		idle  []IdleHost
		share float64
	}{
		{"no promises", nil, 0},
		{"of a host that isn't seen", []IdleHost{{"h2", second}, {"h9", second}}, 0},
		{"of two of three", []IdleHost{{"h2", second}, {"h3", second}}, 0},
		{"of all others", []IdleHost{{"h2", second}, {"h3", second / 2}, {"h4", second}}, 1},
		{"of all and the allocator itself", []IdleHost{{"h1", second}, {"h2", second}, {"h3", second}, {"h4", second}}, 1},
	}
	for i, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			now := time.Duration(2+2*i) * second
			echo := a.Exchange(now, &ExchangeArgs{Broker: "x"}).Stamp
			a.Exchange(now, &ExchangeArgs{Broker: "x", Idle: row.idle, Attachment: Attachment{Echo: echo}})
			require.InDelta(t, row.share, a.share, 0.001)
			a.advance(now + second)
			require.Zero(t, a.share, "after the promises")
		})
	}
}

// Hosts that announce their departure cost their part of each quota for minutes, or the rest of
// the fleet grants nothing any more if they are more than half; or hosts that are lost without
// an announcement are forgotten as soon.
func TestHostsThatAnnounceTheirDepartureDoNotCount(t *testing.T) {
	for _, announced := range []bool{true, false} {
		n := newNetwork(1, 3, 4, testLimits())
		// The allocator lowers the number of hosts only after departureHold.
		n.run(departureHold + 5*time.Second)
		n.most = n.limits
		n.check = func() { n.requireFences(t) }
		allocator := n.nodeOf(n.nodes[0].current.Name)
		for i, h := range n.nodes {
			if i >= 3 && h != allocator && i < 11 {
				if announced {
					h.Leave()
				}
				n.after(2*time.Second, func() { h.dead = true })
			}
		}
		n.run(2500 * time.Millisecond)
		for _, h := range n.nodes {
			h.view.Set(n.others(h, func(other *node) bool { return !other.dead }))
		}
		n.run(3 * time.Second)
		if announced {
			require.InDelta(t, 1, allocator.allocator.share, 0.001)
		} else {
			require.Less(t, allocator.allocator.share, 0.5)
		}
	}
}

// A host that is started again after its departure, and is then lost, is forgotten at once.
func TestDepartureEndsWithTheNextStart(t *testing.T) {
	for _, absent := range []bool{true, false} {
		m := &members{}
		m.update(second, []string{"h1", "h2"})
		m.depart(second, "h2")
		if absent {
			m.update(2*second, []string{"h1"})
			require.Equal(t, 2, m.count(2*second), "brokers may still count it")
			require.Equal(t, 1, m.count(4*second))
		}
		m.update(5*second, []string{"h1", "h2"})
		m.update(20*second, []string{"h1"})
		require.Equal(t, 2, m.count(30*second))
	}
}
