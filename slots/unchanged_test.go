package slots

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// decisionDigest plays bursts of requests beside items, with failures and, if asked
// for, rate limits, and returns a digest of all decisions.
func decisionDigest(seed uint64, onlineRate float64, limited int) string {
	s, rng, now := newScheduler(6, 8), rand.New(rand.NewPCG(seed, 9)), start
	digest := fnv.New64a()
	ends := make(map[GrantID]time.Time)
	waiting := make(map[*Waiter]time.Time)
	items := 0
	begin := func(g Grant, d time.Duration) {
		ends[g.ID] = now.Add(time.Duration(float64(d) * (0.7 + 0.6*rng.Float64())))
		_, _ = fmt.Fprintln(digest, now.UnixMilli(), g.ID, g.Class, g.Replica.ID)
	}
	for _, r := range s.pool(service).replicas[:limited] {
		s.ObserveRateLimit(start, r.Replica, replica.RateLimit{Limited: true, PerSecond: 2.4, At: start})
	}
	for ; now.Before(start.Add(12 * time.Second)); now = now.Add(tick) {
		rate := 0.383 * onlineRate
		if now.Sub(start)%(lull+peak) >= lull {
			rate = 1.87 * onlineRate
		}
		if rng.Float64() < rate*tick.Seconds() {
			d := s.Acquire(now, AcquireArgs{Host: "h", Service: service, MaxWait: objective})
			_, _ = fmt.Fprintln(digest, now.UnixMilli(), d.Wait, d.RetryAfter, d.Replicas, d.RateLimited, d.Waiter != nil)
			if d.Grant != nil {
				begin(*d.Grant, onlineServiceTime)
			}
			if d.Waiter != nil {
				waiting[d.Waiter] = now
			}
		}
		if rng.Float64() < 0.4*tick.Seconds() {
			items += 10
		}
		var ended []GrantID
		for id, at := range ends {
			if !now.Before(at) {
				ended = append(ended, id)
			}
		}
		slices.Sort(ended)
		for _, id := range ended {
			delete(ends, id)
			s.Release(now, id, []Outcome{Done, Done, Done, Done, Done, Done, Failed, Errored, Full, Ended}[rng.IntN(10)])
		}
		s.SetDemand("h", Demand{Service: service, Items: items, Due: now.Add(10 * time.Second)})
		plan := s.Plan(now)
		for _, p := range plan.Granted {
			delete(waiting, p.Waiter)
			begin(p.Grant, onlineServiceTime)
		}
		for _, g := range plan.Batch {
			items--
			begin(g, batchServiceTime)
		}
		for _, g := range plan.Revoked {
			items++
			ends[g.ID] = now.Add(revokeDelay)
		}
		_, _ = fmt.Fprintln(digest, len(plan.Revoked), plan.Next.IsZero())
		var late []*Waiter
		for w, at := range waiting {
			if now.Sub(at) > objective {
				late = append(late, w)
			}
		}
		slices.SortFunc(late, compareWaiters)
		for _, w := range late {
			delete(waiting, w)
			_, _ = fmt.Fprintln(digest, s.RemoveWaiter(now, w))
		}
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// Services whose replicas don't report their slowness are served as before reports
// existed: the digests are those of the code without them (commit 3d40b2f).
func TestDecisionsWithoutReportsAreUnchanged(t *testing.T) {
	rows := []struct {
		seed       uint64
		onlineRate float64
		limited    int
		want       string
	}{
		{1, 32.4, 0, "194a0ee4b7178ed2"},
		{2, 42, 0, "d9484117f83edfa6"},
		{3, 60, 0, "4111b33b86c30d0c"},
		{4, 42, 3, "5de0e08c384a1350"},
	}
	for _, row := range rows {
		require.Equal(t, row.want, decisionDigest(row.seed, row.onlineRate, row.limited), row)
	}
}
