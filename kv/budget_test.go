package kv_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// budgetFixture is a Budget of one write per second over an in-memory store that
// counts calls.
type budgetFixture struct {
	clock  *clockwork.FakeClock
	inner  *kvtest.Store
	budget *kv.Budget
}

func newBudgetFixture(queue int) *budgetFixture {
	clock := clockwork.NewFakeClock()
	inner := kvtest.NewStore(clock)
	return &budgetFixture{clock: clock, inner: inner, budget: kv.NewBudget(inner.Host("h"),
		kv.BudgetOptions{WritesPerSecond: 1, ReadsPerSecond: 1000, Queue: queue}, clock)}
}

// put starts a write with the given purpose; its result is sent on the channel.
func (r *budgetFixture) put(ctx context.Context, p kv.Purpose) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := r.budget.Put(kv.WithPurpose(ctx, p), kv.Put{Key: p.String()})
		done <- err
	}()
	return done
}

func (r *budgetFixture) waitQueued(t *testing.T, n int) {
	require.Eventually(t, func() bool { return r.budget.WaitingWrites() == n }, 5*time.Second, time.Millisecond)
}

func TestBudgetServesWaitingCallsByPurpose(t *testing.T) {
	r := newBudgetFixture(16)
	ctx := context.Background()
	require.NoError(t, <-r.put(ctx, kv.PurposeOther))
	purposes := []kv.Purpose{
		kv.PurposeBatch, kv.PurposeCancel, kv.PurposeQuarantine, kv.PurposeRecovery, kv.PurposeLedger,
	}
	for i, p := range purposes {
		r.put(ctx, p)
		r.waitQueued(t, i+1)
	}
	want := []string{"recovery", "cancel", "ledger", "batch", "quarantine"}
	for i, key := range want {
		require.Equal(t, i+1, r.inner.Calls("h", kvtest.OpPut), "more writes than the rate")
		r.clock.Advance(1100 * time.Millisecond)
		require.Eventually(t, func() bool {
			_, err := r.inner.Get(ctx, key)
			return err == nil
		}, 5*time.Second, time.Millisecond, "%s was not next", key)
	}
}

func TestFullQueueRefusesLeastImportantCall(t *testing.T) {
	rows := []struct {
		name     string
		waiting  kv.Purpose
		arriving kv.Purpose
		refused  kv.Purpose
	}{
		{"full queue refuses a call of equal importance", kv.PurposeBatch, kv.PurposeBatch, kv.PurposeBatch},
		{"full queue refuses a less important call", kv.PurposeLedger, kv.PurposeOther, kv.PurposeOther},
		{"full queue evicts a less important call", kv.PurposeOther, kv.PurposeRecovery, kv.PurposeOther},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newBudgetFixture(1)
			ctx := context.Background()
			require.NoError(t, <-r.put(ctx, kv.PurposeConfig))
			first := r.put(ctx, row.waiting)
			r.waitQueued(t, 1)
			second := r.put(ctx, row.arriving)
			if row.refused == row.waiting && row.waiting != row.arriving {
				first, second = second, first
			}
			errtest.Is(t, <-second, kv.ErrLimited)
			r.waitQueued(t, 1)
			r.clock.Advance(2 * time.Second)
			require.NoError(t, <-first)
			require.Equal(t, 2, r.inner.Calls("h", kvtest.OpPut), "a refused call was made")
		})
	}
}

func TestCancelledWaitingCallIsNotMade(t *testing.T) {
	r := newBudgetFixture(4)
	require.NoError(t, <-r.put(context.Background(), kv.PurposeOther))
	ctx, cancel := context.WithCancel(context.Background())
	waiting := r.put(ctx, kv.PurposeBatch)
	r.waitQueued(t, 1)
	cancel()
	errtest.Is(t, <-waiting, kv.ErrLimited)
	r.clock.Advance(time.Hour)
	require.Equal(t, 1, r.inner.Calls("h", kvtest.OpPut))
}

// TestBudgetNeverExceedsRate checks, with calls that arrive and are cancelled at
// random, that the calls made never exceed the burst plus the rate times the
// elapsed time.
func TestBudgetNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newBudgetFixture(8)
		start := r.clock.Now()
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			r.clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			done := r.put(ctx, kv.Purpose(rapid.IntRange(0, 8).Draw(rt, "purpose")))
			if rapid.Bool().Draw(rt, "leave") {
				cancel()
				if err := <-done; err != nil && !errors.Is(err, kv.ErrConflict) {
					errtest.Is(t, err, kv.ErrLimited)
				}
			}
			defer cancel()
			limit := 1 + r.clock.Since(start).Seconds() + 0.01
			if made := float64(r.inner.Calls("h", kvtest.OpPut)); made > limit {
				rt.Fatalf("%v writes in a budget of %v", made, limit)
			}
		}
	})
}
