package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/customer"
	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
)

// spread is how long a lowered limit may take to be in force everywhere.
const spread = 2 * time.Second

// limitChange is a limit that is in force from a moment on.
type limitChange struct {
	at    time.Duration
	limit customer.Quota
}

// requireBoundOfChanges checks each window against the largest limit in it. Tokens are
// taken before requests run, so the part of the tolerance that isn't credit stays free.
func (n *network) requireBoundOfChanges(t require.TestingT, name string, changes []limitChange) {
	times := n.admitted[name]
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] > n.tolerance.Window {
			i++
		}
		most := 0.0
		for k, c := range changes {
			ended := k+1 < len(changes) && changes[k+1].at+spread < times[i]
			if c.at <= times[j] && !ended {
				most = max(most, n.mostIn(c.limit))
			}
		}
		require.LessOrEqual(t, float64(j-i+1), most, "requests of %s from %s to %s", name, times[i]-time.Hour, times[j]-time.Hour)
	}
}

// requireFences checks that the rates of all allocators add up to no more than the limit,
// their bursts to no more than the burst, and the credit to no more than its part of the
// tolerance. Hosts that are frozen go on when they wake.
func (n *network) requireFences(t require.TestingT) {
	share := 0.0
	levels, credit := make(map[string]float64), make(map[string]int)
	for _, h := range n.nodes {
		if h.dead {
			continue
		}
		h.allocator.advance(n.now)
		h.account.expire(n.now)
		share += h.allocator.share
		for name, b := range h.allocator.buckets {
			h.allocator.refillBucket(b)
			levels[name] += b.level
		}
		for name, e := range h.account.entries {
			credit[name] += e.credit
		}
	}
	require.LessOrEqual(t, share, 1.000001, "shares of all allocators at %s", n.now-time.Hour)
	for name, level := range levels {
		// A bucket with a large part of a small burst holds one token.
		require.LessOrEqual(t, level, max(n.tolerance.burst(n.most[name]), 1/n.tolerance.wholeTokenShare())+0.001, "tokens of %s at %s", name, n.now-time.Hour)
	}
	for name, c := range credit {
		most := creditShare * n.tolerance.of(n.most[name])
		require.LessOrEqual(t, float64(c), most+creditInTransit, "credit for %s at %s", name, n.now-time.Hour)
	}
}

// In some order of partitions, freezes, deaths, starts and changes of limits more
// requests run than the quota allows.
func TestBoundHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]customer.Quota{"large": {PerSecond: 60, Burst: 60}, "small": {PerSecond: 2, Burst: 2}}
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 4, 4, limits)
		changes := map[string][]limitChange{}
		for name, l := range limits {
			changes[name] = []limitChange{{limit: l}}
			n.load(name, 4*l.PerSecond, time.Minute, n.anyHost)
		}
		n.most = map[string]customer.Quota{"large": {PerSecond: 60, Burst: 120}, "small": limits["small"]}
		n.check = func() { n.requireFences(t) }
		pick := func(label string) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, label)] }
		for range rapid.IntRange(4, 16).Draw(t, "steps") {
			n.run(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0:
				sides := rapid.SliceOfN(rapid.IntRange(0, 2), len(n.nodes), len(n.nodes)).Draw(t, "sides")
				for i, h := range n.nodes {
					h.side = sides[i]
				}
			case 1:
				cut := pick("cut").dataCentre
				n.setSide(1, func(_ int, h *node) bool { return h.dataCentre == cut })
			case 2:
				n.reconnect()
			case 3:
				h := pick("frozen")
				h.frozenUntil = n.now + time.Duration(rapid.IntRange(50, 5000).Draw(t, "frozen ms"))*time.Millisecond
			case 4:
				n.allocatorNode().frozenUntil = n.now + time.Duration(rapid.IntRange(50, 5000).Draw(t, "allocator frozen ms"))*time.Millisecond
			case 5:
				if h := pick("killed"); n.now >= h.frozenUntil {
					h.dead = true
					n.after(time.Duration(rapid.IntRange(50, 3000).Draw(t, "down ms"))*time.Millisecond, func() { n.start(h) })
				}
			case 6:
				// The hosts of one side no longer see those of the others.
				for _, h := range n.nodes {
					h.view.Set(n.others(h, func(other *node) bool { return other.side == h.side }))
				}
			case 7:
				for _, h := range n.nodes {
					h.view.Set(n.others(h, func(*node) bool { return true }))
				}
			case 8:
				limit := customer.Quota{PerSecond: rapid.Float64Range(0.5, 60).Draw(t, "rate")}
				limit.Burst = limit.PerSecond * rapid.Float64Range(0.2, 2).Draw(t, "burst")
				n.configure("large", limit)
				changes["large"] = append(changes["large"], limitChange{at: n.now, limit: limit})
			case 9:
				// All hosts are killed and started again within a time, frozen ones too.
				longest := rapid.IntRange(0, 2500).Draw(t, "longest down ms")
				n.killAll(func(h *node) (time.Duration, bool) {
					h.frozenUntil = 0
					return n.jitter(time.Duration(longest+1) * time.Millisecond), !h.dead
				})
			case 10:
				// All but some of them, which may be the allocator or frozen.
				longest := rapid.IntRange(0, 2500).Draw(t, "longest down ms")
				spared := rapid.SliceOfN(rapid.IntRange(0, 3), len(n.nodes), len(n.nodes)).Draw(t, "spared")
				i := 0
				n.killAll(func(h *node) (time.Duration, bool) {
					i++
					return n.jitter(time.Duration(longest+1) * time.Millisecond), !h.dead && n.now >= h.frozenUntil && spared[i-1] > 0
				})
			}
		}
		n.run(2 * time.Second)
		for name := range limits {
			n.requireBoundOfChanges(t, name, changes[name])
		}
	})
}
