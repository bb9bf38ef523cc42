package jobs

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/slots"
)

func TestUsefulTimeLeft(t *testing.T) {
	const margin = finishMargin + time.Second
	rows := []struct {
		name             string
		left, work, want time.Duration
	}{
		{"enough time", 10 * time.Second, 4 * time.Second, 10 * time.Second},
		{"just enough", 4*time.Second + margin, 4 * time.Second, 4*time.Second + margin},
		{"too late to start", 4 * time.Second, 4 * time.Second, -margin},
		{"overdue", -time.Second, 4 * time.Second, -5*time.Second - margin},
		{"unknown run time", time.Second, 0, time.Second},
	}
	for _, row := range rows {
		require.Equal(t, row.want, usefulTimeLeft(row.left, row.work), row.name)
	}
}

// simulateBacklog plays items that arrive at twice the rate that the slots can run,
// for a minute, in the order of the given time left, and returns how many of them
// finished in time.
func simulateBacklog(timeLeft func(left, work time.Duration) time.Duration) (inTime int) {
	const (
		slotCount = 20
		mean      = 4 * time.Second
		allowed   = 18 * time.Second
		step      = 100 * time.Millisecond
		perStep   = 1 // twice slotCount * step / mean
	)
	type queued struct{ due time.Duration }
	rng := rand.New(rand.NewPCG(1, 2))
	var waiting []queued
	freeAt := make([]time.Duration, slotCount)
	for now := time.Duration(0); now < time.Minute; now += step {
		for range perStep {
			waiting = append(waiting, queued{due: now + allowed})
		}
		slices.SortStableFunc(waiting, func(a, b queued) int {
			return cmp.Or(slots.CompareUrgency(timeLeft(a.due-now, mean), timeLeft(b.due-now, mean)), cmp.Compare(a.due, b.due))
		})
		for i := range freeAt {
			if freeAt[i] > now || len(waiting) == 0 {
				continue
			}
			work := time.Duration(float64(mean) * (0.75 + rng.Float64()/2))
			freeAt[i] = now + work
			if freeAt[i] <= waiting[0].due {
				inTime++
			}
			waiting = waiting[1:]
		}
	}
	return inTime
}

// Twice as many items arrive as can run. Those that can't finish in time any more
// must not take the slots of the others: most of what runs is then in time. In the
// order of due times alone nearly all items start too late.
func TestBacklogIsServedInTimeAsFarAsItGoes(t *testing.T) {
	const capacity = 20 * 60 / 4
	byDueTime := simulateBacklog(func(left, _ time.Duration) time.Duration { return left })
	useful := simulateBacklog(usefulTimeLeft)
	require.Less(t, byDueTime, capacity/2)
	require.Greater(t, useful, capacity*9/10)
}

// The mean run time counts all runs of an item, survives a take-over, and is
// recorded with the job.
func TestMeanRunTimeIsLearnt(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), submission(2)))
	a.mu.Lock()
	route := a.jobs["job"].head.route()
	first := a.jobs["job"].items[0]
	first.ran = 3 * time.Second
	a.applyRunEnd(first, nil, endDone)
	require.Equal(t, 3*time.Second, a.work(a.jobs["job"].items[1]))
	a.jobs["job"].items[1].ran = time.Second
	require.Equal(t, 2*time.Second, a.work(a.jobs["job"].items[1]))
	a.mu.Unlock()
	a.HandOver(t.Context())
	require.Equal(t, 3*time.Second, b.meanRunTime(route))
}
