package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// mean is the usual load of the test customer, with a quota of 1.6 times that.
const mean = 40.0

func testLimits() map[string]customer.Quota {
	return map[string]customer.Quota{"c": {PerSecond: 1.6 * mean, Burst: 1.6 * mean}}
}

// A request below its customer's quota is refused although allocator and brokers are in
// place.
func TestNothingBelowTheQuotaIsRefused(t *testing.T) {
	n := newNetwork(1, 6, 10, testLimits())
	n.run(8 * time.Second)
	n.load("c", mean, 20*time.Second, n.anyHost)
	n.run(21 * time.Second)
	require.Zero(t, n.refused["c"])
	t.Logf("admitted %d, waited %d, exchanges %d", len(n.admitted["c"]), n.waited, n.exchanges)
}

// settled returns a network in which allocator and brokers are in place.
func settled(seed uint64) *network {
	n := newNetwork(seed, 6, 10, testLimits())
	n.run(8 * time.Second)
	return n
}

// fault is a fault and its end, played on a settled network.
type fault struct {
	name       string
	begin, end func(n *network)
	// refused is the most requests that a customer at its mean rate may be refused, and
	// recovered the time after the fault from which on none is refused.
	refused   int
	recovered time.Duration
	// later is the most that are refused in the two seconds after that: hosts that are cut
	// off have only their proportion of the quota, and brokers go back to an allocator
	// that wakes after 3 s with empty buckets.
	later int
}

func (n *network) setSide(side int, in func(i int, h *node) bool) {
	for i, h := range n.nodes {
		h.side = 0
		if in(i, h) {
			h.side = side
		}
	}
}

func (n *network) reconnect() { n.setSide(0, func(int, *node) bool { return false }) }

func faults() []fault {
	nothing := func(*network) {}
	return []fault{
		{"the allocator dies", func(n *network) { n.allocatorNode().dead = true }, nothing, 40, 2 * time.Second, 0},
		{"the allocator dies and is started again", func(n *network) {
			h := n.allocatorNode()
			h.dead = true
			n.after(500*time.Millisecond, func() { n.start(h) })
		}, nothing, 40, 3 * time.Second, 0},
		{"the allocator freezes and wakes", func(n *network) { n.allocatorNode().frozenUntil = n.now + 3*time.Second }, nothing, 40, 2 * time.Second, 3},
		{"a broker dies", func(n *network) { n.nodes[0].dead = true }, nothing, 20, 2 * time.Second, 0},
		{"a broker freezes and wakes", func(n *network) { n.nodes[0].frozenUntil = n.now + 3*time.Second }, nothing, 20, 2 * time.Second, 0},
		{"a broker is cut off", func(n *network) { n.setSide(1, func(i int, _ *node) bool { return i == 0 }) }, (*network).reconnect, 20, 2 * time.Second, 10},
		{"a data centre is cut off", func(n *network) { n.setSide(1, func(_ int, h *node) bool { return h.dataCentre == "dc1" }) }, (*network).reconnect, 20, 2 * time.Second, 10},
		{"two halves, each with an allocator", func(n *network) { n.setSide(1, func(i int, _ *node) bool { return i%6 < 3 }) }, (*network).reconnect, 40, 2 * time.Second, 0},
	}
}

// After a fault more requests run than the quota allows, of a customer that sends far
// more: a successor or a second allocator grants again what the first one has granted.
func TestBoundHoldsThroughFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			n := settled(2)
			n.load("c", 6*mean, 16*time.Second, n.anyHost)
			n.run(4 * time.Second)
			f.begin(n)
			n.run(5 * time.Second)
			f.end(n)
			n.run(8 * time.Second)
			n.requireBound(t, "c", n.limits["c"])
			t.Logf("admitted %d of %d, exchanges %d", len(n.admitted["c"]), len(n.admitted["c"])+n.refused["c"], n.exchanges)
		})
	}
}

// After a fault a customer at its mean rate is refused for long.
func TestFaultsRefuseLittleBelowTheQuota(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(5) {
				n := settled(seed)
				n.load("c", mean, 14*time.Second, n.anyHost)
				n.run(4 * time.Second)
				f.begin(n)
				n.run(f.recovered)
				atFirst := n.refused["c"]
				n.run(4*time.Second - f.recovered)
				later := n.refused["c"] - atFirst
				f.end(n)
				n.run(8 * time.Second)
				t.Logf("seed %d: refused %d, then %d, after the end %d", seed, atFirst, later, n.refused["c"]-atFirst-later)
				require.LessOrEqual(t, n.refused["c"], f.refused)
				require.LessOrEqual(t, later, f.later)
			}
		})
	}
}

// A limit that is lowered far below the load takes effect late, or the raised one never.
func TestChangedLimitTakesEffectWithinSeconds(t *testing.T) {
	n := settled(4)
	high, low := n.limits["c"], customer.Quota{PerSecond: 2, Burst: 2}
	n.load("c", mean, 30*time.Second, n.anyHost)
	n.run(5 * time.Second)
	n.configure("c", low)
	n.run(2 * time.Second)
	lowered := n.now
	n.run(10 * time.Second)
	require.LessOrEqual(t, n.count("c", lowered, n.now), int(n.mostIn(low)+low.PerSecond*5))
	require.LessOrEqual(t, n.retryAfter, maxRetryAfter)
	n.configure("c", high)
	n.run(2 * time.Second)
	refused := n.refused["c"]
	n.run(5 * time.Second)
	require.Equal(t, refused, n.refused["c"], "refused below the raised limit")
}

// A start of all hosts grants the burst again to a customer that sends all the time, or
// refuses for long.
func TestStartOfAllHostsGrantsNoBurst(t *testing.T) {
	n := newNetwork(5, 6, 10, testLimits())
	n.load("c", mean, 20*time.Second, n.anyHost)
	n.run(10 * time.Second)
	for _, h := range n.nodes {
		n.start(h)
	}
	n.run(3500 * time.Millisecond)
	refused := n.refused["c"]
	n.run(6 * time.Second)
	require.Equal(t, refused, n.refused["c"], "refused 3.5 s after the start")
	n.requireBound(t, "c", n.limits["c"])
}

// A customer that is refused and returns when it was told to is refused again and again,
// or all of those that were refused return at the same time.
func TestRetryAfterSpreadsTheRefused(t *testing.T) {
	limit := customer.Quota{PerSecond: 50, Burst: 50}
	a := NewAccount(testTolerance, func(string) (customer.Quota, int64, bool) { return limit, 1, true }, settled(6).rng)
	a.hosts, a.fleet.KnownHosts = 10, 10
	e := a.entryOf("c", limit, 1)
	e.emptyUntil = 200 * time.Millisecond
	perTenth := make(map[time.Duration]int)
	for range 60 {
		after := a.refuse(0, e).RetryAfter
		require.GreaterOrEqual(t, after, 200*time.Millisecond)
		require.LessOrEqual(t, after, maxRetryAfter)
		perTenth[after/(100*time.Millisecond)]++
	}
	for tenth, n := range perTenth {
		require.LessOrEqual(t, n, 6, "requests that return in tenth %d of a second, of which 5 fit", tenth)
	}
	for range 300 {
		require.LessOrEqual(t, a.refuse(0, e).RetryAfter, maxRetryAfter)
	}
}
