package escrow_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/escrow"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	ceiling   = 10_000
	allotment = 2_000
	period    = time.Hour
)

// testCluster is a number of hosts whose accounts share one fake store.
type testCluster struct {
	clock *clockwork.FakeClock
	store *kvtest.Store
	doc   *service.Document
	hosts int
	// spent holds the bytes spent, less refunds, by period.
	spent map[escrow.Period]int64
}

func newTestCluster() *testCluster {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC))
	return &testCluster{
		clock: clock, store: kvtest.NewStore(clock), spent: make(map[escrow.Period]int64),
		doc: &service.Document{Name: "s", Ceilings: service.Ceilings{
			Period: period, CrossRegionBytes: ceiling, Allotment: allotment,
		}},
	}
}

// host is an account with its cost counters.
type host struct {
	*escrow.Local
	name  string
	costs *accounting.Counters
}

func (r *testCluster) host(clock clockwork.Clock) *host {
	r.hosts++
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &host{name: fmt.Sprint("h", r.hosts), costs: accounting.NewCounters(prometheus.NewRegistry())}
	h.Local = escrow.New(escrow.Options{
		Store: r.store.Host(h.name), Clock: clock, Costs: h.costs, Log: logrus.NewEntry(log),
	})
	return h
}

// spend spends and waits for the request for more that it may have started.
func (r *testCluster) spend(h *host, n int64) (escrow.Period, error) {
	p, err := h.Spend(r.doc, n)
	h.Wait()
	if err == nil {
		r.spent[p] += n
	}
	return p, err
}

// spendAll spends in small steps until the account refuses three times.
func (r *testCluster) spendAll(h *host) (total int64) {
	for refused := 0; refused < 3 && total < 10*ceiling; {
		if _, err := r.spend(h, 100); err != nil {
			refused++
			r.clock.Advance(2 * time.Second)
			continue
		}
		total += 100
	}
	return total
}

func (h *host) unspent(reason string) int64 {
	for _, e := range h.costs.Entries() {
		if e.Kind == accounting.UnspentBytes && e.Reason == reason {
			return e.Count
		}
	}
	return 0
}

func TestOneHostSpendsTheWholeCeiling(t *testing.T) {
	r := newTestCluster()
	h := r.host(r.clock)
	_, err := r.spend(h, 100)
	e := verdict.As(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Positive(t, e.RetryAfter)
	require.EqualValues(t, ceiling, r.spendAll(h))
	_, err = r.spend(h, 100)
	require.Greater(t, verdict.As(err).RetryAfter, 50*time.Minute, "bytes are available again only in the next period")
	r.clock.Advance(period)
	require.EqualValues(t, ceiling, r.spendAll(h))
	require.Zero(t, h.unspent("period over"))
}

func TestHostsShareTheCeiling(t *testing.T) {
	r := newTestCluster()
	hosts := []*host{r.host(r.clock), r.host(r.clock), r.host(r.clock)}
	total := int64(0)
	for range 200 {
		for _, h := range hosts {
			if _, err := r.spend(h, 100); err == nil {
				total += 100
			}
		}
		r.clock.Advance(2 * time.Second)
	}
	require.LessOrEqual(t, total, int64(ceiling))
	require.Greater(t, total, int64(ceiling-2*allotment))
}

// TestCeilingHoldsUnderStoreFaults makes the store calls of the first allotments
// fail. Bytes that may have been taken are written off, and the total stays
// under the ceiling.
func TestCeilingHoldsUnderStoreFaults(t *testing.T) {
	rows := []struct {
		name  string
		fault kvtest.Fault
		// maxWrittenOff is the most that may be written off.
		maxWrittenOff int64
	}{
		{"read refused", kvtest.Fault{Op: kvtest.OpGet, Err: kv.ErrUnreachable, Times: 2}, 0},
		{"write refused", kvtest.Fault{Op: kvtest.OpPut, Err: kv.ErrUnreachable, Times: 2}, 0},
		{"write limited", kvtest.Fault{Op: kvtest.OpPut, Err: kv.ErrLimited, Times: 2}, 0},
		{"reply lost", kvtest.Fault{Op: kvtest.OpPut, LoseReply: true, Times: 2}, 0},
		{"request lost", kvtest.Fault{Op: kvtest.OpPut, LoseRequest: true, Times: 2}, 0},
		{"late", kvtest.Fault{Op: kvtest.OpPut, Late: true, Times: 2}, 0},
		{"replies lost, reads too", kvtest.Fault{LoseReply: true, Skip: 1, Times: 12}, allotment},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newTestCluster()
			h := r.host(r.clock)
			r.store.AddFault(row.fault)
			for range 20 {
				_, _ = r.spend(h, 1)
				r.clock.Advance(2 * time.Second)
			}
			r.store.ReleaseLate()
			r.spendAll(h)
			p := escrow.Period(r.clock.Now().Truncate(period).UnixMilli())
			require.LessOrEqual(t, r.spent[p], int64(ceiling))
			require.Greater(t, r.spent[p], ceiling-row.maxWrittenOff-100)
		})
	}
}

// TestLostReplyIsRecoveredByLaterRead loses the reply to a write and fails the
// first read after it. The host must still find its change, or the allotment
// would be lost.
func TestLostReplyIsRecoveredByLaterRead(t *testing.T) {
	r := newTestCluster()
	h := r.host(r.clock)
	r.store.AddFault(kvtest.Fault{Op: kvtest.OpPut, LoseReply: true, Times: 1})
	r.store.AddFault(kvtest.Fault{Op: kvtest.OpGet, Err: kv.ErrUnreachable, Skip: 1, Times: 1})
	require.EqualValues(t, ceiling, r.spendAll(h))
}

func TestUnusedAllotmentIsReturnedAtStop(t *testing.T) {
	rows := []struct {
		name string
		// returned means that another host gets what the first did not use.
		returned bool
		reason   string
		fault    kvtest.Fault
	}{
		{"given back", true, "", kvtest.Fault{Prefix: "none"}},
		{"reply lost", true, "", kvtest.Fault{Op: kvtest.OpPut, LoseReply: true, Times: 1}},
		{"reply lost for good", true, "reply lost", kvtest.Fault{LoseReply: true, Host: "h1"}},
		{"late", false, "reply lost", kvtest.Fault{Op: kvtest.OpPut, Late: true, Host: "h1"}},
		{"refused", false, "", kvtest.Fault{Op: kvtest.OpPut, Err: kv.ErrUnreachable, Host: "h1"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newTestCluster()
			r.doc.Ceilings.Allotment = ceiling
			h := r.host(r.clock)
			_, _ = r.spend(h, 1)
			_, err := r.spend(h, 1000)
			require.NoError(t, err)
			if row.fault.LoseReply && row.fault.Host != "" {
				// The read before the write still succeeds.
				row.fault.Skip = 1
			}
			r.store.AddFault(row.fault)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			require.Error(t, h.Serve(ctx))
			other := r.host(r.clock)
			got := r.spendAll(other)
			if row.returned {
				require.EqualValues(t, ceiling-1000, got)
				_, err := r.spend(h, 100)
				require.Error(t, err, "returned bytes were spent again")
			} else {
				require.Zero(t, got)
			}
			if row.reason != "" {
				require.EqualValues(t, ceiling-1000, h.unspent(row.reason))
			}
		})
	}
}

func TestIdleAllotmentIsReturned(t *testing.T) {
	r := newTestCluster()
	r.doc.Ceilings.Allotment = ceiling
	h := r.host(r.clock)
	_, _ = r.spend(h, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(2 * time.Minute)
	other := r.host(r.clock)
	require.Eventually(t, func() bool {
		r.clock.Advance(time.Minute)
		_, err := r.spend(other, 100)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	cancel()
	errtest.Is(t, <-done, context.Canceled)
}

func TestRefundAfterItsPeriodIsWrittenOff(t *testing.T) {
	r := newTestCluster()
	h := r.host(r.clock)
	_, _ = r.spend(h, 1)
	p, err := r.spend(h, 1000)
	require.NoError(t, err)
	r.clock.Advance(period)
	h.Refund(r.doc, p, 1000)
	require.EqualValues(t, 1000, h.unspent("refunded after its period"))
	require.EqualValues(t, allotment-1000, h.unspent("period over"))
	require.EqualValues(t, ceiling, r.spendAll(h))
}

// TestCeilingHoldsWithSkewedClocks lets a host with a fast clock begin a period
// early. The other host continues in that period, and the ceiling holds in each.
func TestCeilingHoldsWithSkewedClocks(t *testing.T) {
	r := newTestCluster()
	slow := r.host(r.clock)
	_, _ = r.spend(slow, 1)
	_, err := r.spend(slow, 100)
	require.NoError(t, err)
	fast := r.host(clockwork.NewFakeClockAt(r.clock.Now().Add(period)))
	_, _ = r.spend(fast, 1)
	r.spendAll(slow)
	for range 20 {
		_, _ = r.spend(fast, 500)
	}
	require.Len(t, r.spent, 2)
	for p, n := range r.spent {
		require.LessOrEqual(t, n, int64(ceiling), "period %d", p)
	}
}

func TestChangedCeilingTakesEffectAtOnce(t *testing.T) {
	r := newTestCluster()
	h := r.host(r.clock)
	require.EqualValues(t, ceiling, r.spendAll(h))
	r.doc.Ceilings.CrossRegionBytes = 2 * ceiling
	require.EqualValues(t, ceiling, r.spendAll(h), "a raised ceiling takes effect at once")
	r.doc.Ceilings.CrossRegionBytes = ceiling
	require.Zero(t, r.spendAll(h))
	r.doc.Ceilings.CrossRegionBytes = 0
	_, err := r.spend(h, 1)
	require.Zero(t, verdict.As(err).RetryAfter)
}

// TestSpendingNeverExceedsCeiling runs hosts through network cuts, lost requests
// and replies, late writes, crashes, planned stops and changes of period.
func TestSpendingNeverExceedsCeiling(t *testing.T) {
	const ceiling = 3000
	rapid.Check(t, func(rt *rapid.T) {
		r := newTestCluster()
		r.doc.Ceilings.CrossRegionBytes = ceiling
		hosts := []*host{r.host(r.clock), r.host(r.clock), r.host(r.clock)}
		type outstanding struct {
			host   *host
			period escrow.Period
			n      int64
		}
		var open []outstanding
		draw := func() int { return rapid.IntRange(0, len(hosts)-1).Draw(rt, "host") }
		rt.Repeat(map[string]func(*rapid.T){
			"spend": func(rt *rapid.T) {
				h, n := hosts[draw()], rapid.Int64Range(1, 1500).Draw(rt, "n")
				if p, err := r.spend(h, n); err == nil {
					open = append(open, outstanding{h, p, n})
				}
			},
			"refund": func(rt *rapid.T) {
				if len(open) == 0 {
					return
				}
				s := open[len(open)-1]
				open = open[:len(open)-1]
				s.host.Refund(r.doc, s.period, s.n)
				r.spent[s.period] -= s.n
			},
			"fault": func(rt *rapid.T) {
				f := rapid.SampledFrom([]kvtest.Fault{
					{LoseReply: true}, {LoseRequest: true}, {Late: true}, {Err: kv.ErrUnreachable},
				}).Draw(rt, "fault")
				f.Skip, f.Times = rapid.IntRange(0, 3).Draw(rt, "skip"), rapid.IntRange(1, 4).Draw(rt, "times")
				f.Op = rapid.SampledFrom([]kvtest.Op{"", kvtest.OpPut}).Draw(rt, "op")
				r.store.AddFault(f)
			},
			"cut": func(rt *rapid.T) {
				c := rapid.SampledFrom([]kvtest.Cut{kvtest.CutNone, kvtest.CutRequests, kvtest.CutReplies})
				r.store.SetCut(hosts[draw()].name, c.Draw(rt, "cut"))
			},
			"late": func(*rapid.T) { r.store.ReleaseLate() },
			"time": func(rt *rapid.T) {
				r.clock.Advance(time.Duration(rapid.IntRange(1, 1200).Draw(rt, "s")) * time.Second)
			},
			"lost":    func(*rapid.T) { hosts[draw()] = r.host(r.clock) },
			"ceiling": func(rt *rapid.T) { r.doc.Ceilings.CrossRegionBytes = rapid.Int64Range(1, ceiling).Draw(rt, "ceiling") },
			"stop": func(*rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				_ = hosts[draw()].Serve(ctx)
			},
			"": func(rt *rapid.T) {
				for p, n := range r.spent {
					if n > ceiling {
						rt.Fatalf("%d bytes spent in period %d", n, p)
					}
				}
			},
		})
	})
}
