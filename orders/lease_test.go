package orders

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

func TestNextRecord(t *testing.T) {
	c := candidate{Holder: "me", Generation: 5, Quiet: 10 * time.Second}
	other := leaseRecord{Holder: "other", Fencing: 7, Generation: 5, Lease: 30 * time.Second}
	rows := []struct {
		name      string
		record    leaseRecord
		held      bool
		unchanged time.Duration
		ok        bool
		fencing   uint64
	}{
		{"no record yet", leaseRecord{}, false, 0, true, 1},
		{"another holder", other, false, 32 * time.Second, false, 0},
		{"lease of another holder expired", other, false, 33 * time.Second, true, 8},
		{"own lease", other, true, 0, true, 7},
		{"own lease, new document", leaseRecord{Holder: "me", Fencing: 7, Generation: 4, Lease: time.Minute}, true, 0, true, 8},
		{"own record, not held", other, false, time.Second, false, 0},
		{"record of a later document", leaseRecord{Generation: 6}, false, time.Hour, false, 0},
		{"held, but of a later document", leaseRecord{Generation: 6}, true, 0, false, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			next, ok := nextRecord(row.record, c, row.held, row.unchanged)
			require.Equal(t, row.ok, ok)
			if ok {
				require.Equal(t, row.fencing, next.Fencing)
				require.Equal(t, "me", next.Holder)
			}
		})
	}
}

// sendWindow is the time in which an order sent under a lease may reach an engine.
type sendWindow struct {
	holder     int
	fencing    uint64
	generation uint64
	from, to   time.Time
}

// TestOrdersOfTwoLeasesNeverOverlap runs hosts that renew, pause, lose calls and
// receive new documents. For engines that ignore fencing numbers, orders sent under
// different fencing numbers never overlap in time, and a later number never carries
// out an older document.
func TestOrdersOfTwoLeasesNeverOverlap(t *testing.T) {
	const quiet = 12 * time.Second
	sent := 0
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClockAt(start)
		store := kvtest.NewStore(clock)
		leases := make([]*lease, 3)
		generations := make([]uint64, len(leases))
		for i := range leases {
			leases[i] = &lease{store: store.Host(fmt.Sprint(i)), key: "k"}
			generations[i] = 1
		}
		var windows []sendWindow
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(leases)-1).Draw(rt, "host")
			switch rapid.IntRange(0, 11).Draw(rt, "kind") {
			case 0:
				f := rapid.SampledFrom([]kvtest.Fault{
					{LoseReply: true}, {LoseRequest: true}, {Late: true}, {Err: kv.ErrUnreachable},
				}).Draw(rt, "fault")
				f.Times, f.Skip = rapid.IntRange(1, 3).Draw(rt, "times"), rapid.IntRange(0, 2).Draw(rt, "skip")
				store.AddFault(f)
			case 1:
				generations[i]++
			case 2:
				store.ReleaseLate()
			case 3, 4:
				clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(rt, "long")) * time.Second)
			case 5, 6:
				clock.Advance(time.Duration(rapid.IntRange(0, 8).Draw(rt, "short")) * time.Second)
			case 7:
				_ = leases[i].release(context.Background())
			default:
				c := candidate{Holder: fmt.Sprint(i), Generation: generations[i], Quiet: quiet}
				_ = leases[i].acquireOrRenew(context.Background(), c, clock.Now)
			}
			now := clock.Now()
			for h, l := range leases {
				if end, ok := l.maySend(now, false, quiet); ok {
					windows = append(windows, sendWindow{h, l.record.Fencing, l.record.Generation, now, end})
				}
			}
		}
		sent += len(windows)
		for i, a := range windows {
			for _, b := range windows[i+1:] {
				if a.holder == b.holder && a.fencing == b.fencing {
					require.Equal(rt, a.generation, b.generation, "one fencing number carries out two generations")
					continue
				}
				require.False(rt, b.from.Before(a.to), "orders of two fencing numbers overlap: %+v %+v", a, b)
				require.Greater(rt, b.fencing, a.fencing)
				require.GreaterOrEqual(rt, b.generation, a.generation)
			}
		}
	})
	require.Positive(t, sent)
}

func TestMaySend(t *testing.T) {
	const quiet = 12 * time.Second
	rows := []struct {
		name   string
		held   bool
		left   time.Duration
		wait   time.Duration
		checks bool
		ok     bool
	}{
		{"lease is held", true, 30 * time.Second, 0, false, true},
		{"not held", false, 30 * time.Second, 0, false, false},
		{"an order just fits", true, quiet, 0, false, true},
		{"an order no longer fits", true, quiet - 1, 0, false, false},
		{"lease expired", true, 0, 0, false, false},
		{"in the quiet period", true, 30 * time.Second, time.Second, false, false},
		{"checked: no quiet needed", true, 30 * time.Second, time.Second, true, true},
		{"checked: until the lease expires", true, 1, 0, true, true},
		{"checked: expired", true, 0, 0, true, false},
		{"checked: not held", false, 30 * time.Second, 0, true, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l := &lease{held: row.held, expiresAt: start.Add(row.left), quietUntil: start.Add(row.wait)}
			end, ok := l.maySend(start, row.checks, quiet)
			require.Equal(t, row.ok, ok)
			require.Equal(t, start.Add(quiet-clockMargin), end)
		})
	}
}

// TestLeaseCountsFromBeforeItsWrite delays the write of a lease record. The lease
// duration has to count from before the write, or two hosts could hold the lease.
func TestLeaseCountsFromBeforeItsWrite(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	store := kvtest.NewStore(clock)
	store.AddFault(kvtest.Fault{Op: kvtest.OpPut, Delay: 20 * time.Second})
	l := &lease{store: store.Host("h"), key: "k"}
	c := candidate{Holder: "h", Quiet: 12 * time.Second}
	done := make(chan error, 1)
	go func() { done <- l.acquireOrRenew(t.Context(), c, clock.Now) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(20 * time.Second)
	require.NoError(t, <-done)
	require.Equal(t, start.Add(c.leaseDuration()), l.expiresAt)
}
