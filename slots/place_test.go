package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newUnevenScheduler returns a scheduler of replicas r0, r1 and so on that have reported
// these figures for long.
func newUnevenScheduler(slots int, slowness ...float64) *Scheduler {
	s := newScheduler(len(slowness), slots)
	for i, r := range s.pool(service).replicas {
		r.speed = speedEstimate{last: slowness[i], mean: slowness[i], at: start}
	}
	s.pool(service).speed.reportedAt = start
	return s
}

func acquireBy(s *Scheduler, wait, firstEvent time.Duration) Decision {
	return s.Acquire(start, AcquireArgs{Host: "h", Service: service, MaxWait: wait, FirstEventWithin: firstEvent})
}

func TestReplicasAreUsedInProportionToTheirSpeed(t *testing.T) {
	s := newUnevenScheduler(8, 0.6, 1, 1.6)
	used := map[string]int{}
	for range 10 {
		used[acquireBy(s, 0, 300*time.Millisecond).Grant.Replica.ID]++
	}
	require.Equal(t, map[string]int{"r0": 8, "r1": 2}, used)
	for range 14 {
		require.NotNil(t, acquireBy(s, 0, 300*time.Millisecond).Grant, "all slots are used before a request is refused")
	}
}

// A fast replica that fails each request at once must not draw the others' work.
func TestFastReplicaThatFailsIsAvoided(t *testing.T) {
	s := newUnevenScheduler(8, 0.6, 1)
	s.find(service, "r0").updateErrorRate(start, 1)
	s.find(service, "r0").updateErrorRate(start, 1)
	s.find(service, "r0").updateErrorRate(start, 1)
	for range 5 {
		require.Equal(t, "r1", acquireBy(s, 0, 300*time.Millisecond).Grant.Replica.ID)
	}
}

// Little time is left for the first event, and the only free slot is too slow for it.
func TestRequestWaitsForAReplicaThatBeginsInTime(t *testing.T) {
	s := newUnevenScheduler(1, 0.6, 4)
	fast := acquireBy(s, 0, 0).Grant
	require.Equal(t, "r0", fast.Replica.ID)
	d := acquireBy(s, 100*time.Millisecond, 300*time.Millisecond)
	require.Equal(t, "r1", d.Grant.Replica.ID, "180 ms are in time")
	s.Release(start, d.Grant.ID, Unused)

	d = s.Acquire(start, AcquireArgs{Host: "h", Service: service, MaxWait: initialServiceTime, FirstEventWithin: 150 * time.Millisecond})
	require.NotNil(t, d.Waiter, "180 ms are late")
	plan := s.Plan(start)
	require.Empty(t, plan.Granted)
	require.Equal(t, start.Add(initialServiceTime-lastResortMargin), plan.Next)
	s.Release(start, fast.ID, Done)
	granted := s.Plan(start).Granted
	require.Len(t, granted, 1)
	require.Equal(t, "r0", granted[0].Grant.Replica.ID)
}

// A late first event is worth more than a refusal, but only if no other data centre is
// asked.
func TestRequestTakesASlowReplicaAtLast(t *testing.T) {
	s := newUnevenScheduler(1, 0.6, 4)
	acquireBy(s, 0, 0)
	d := acquireBy(s, 10*time.Millisecond, 150*time.Millisecond)
	require.Nil(t, d.Grant)
	require.Nil(t, d.Waiter)
	require.Equal(t, 1, d.HeldBack)
	d = acquireBy(s, 100*time.Millisecond, 150*time.Millisecond)
	require.Equal(t, "r1", d.Grant.Replica.ID)

	s = newUnevenScheduler(1, 0.6, 4)
	acquireBy(s, 0, 0)
	require.NotNil(t, acquireBy(s, initialServiceTime, 150*time.Millisecond).Waiter)
	plan := s.Plan(start.Add(initialServiceTime - lastResortMargin))
	require.Len(t, plan.Granted, 1, "at the end of its wait")
}

func TestExpectedWaitFollowsTheSpeedOfReplicas(t *testing.T) {
	s := newUnevenScheduler(1, 0.6, 1.6)
	acquireBy(s, 0, 0)
	acquireBy(s, 0, 0)
	seconds := func(d Decision) float64 { return d.Wait.Seconds() }
	fast, slow := 0.6*initialServiceTime.Seconds(), 1.6*initialServiceTime.Seconds()
	require.InDelta(t, fast, seconds(acquireBy(s, 0, 0)), 0.001)
	require.NotNil(t, acquireBy(s, time.Hour, 0).Waiter)
	require.InDelta(t, slow, seconds(acquireBy(s, 0, 0)), 0.25, "behind one that waits")
	d := acquireBy(s, 0, 0)
	require.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
}

func TestItemsUseTheSlowestReplicasThatAreInTime(t *testing.T) {
	grantOne := func(due time.Duration) string {
		s := newUnevenScheduler(8, 0.6, 1, 1.6)
		s.SetDemand("b", Demand{Service: service, Items: 1, Due: start.Add(due)})
		return s.Plan(start).Batch[0].Replica.ID
	}
	require.Equal(t, "r2", grantOne(18*time.Second))
	require.Equal(t, "r1", grantOne(8*time.Second))
	require.Equal(t, "r0", grantOne(4*time.Second))
	require.Equal(t, "r0", grantOne(time.Second), "late wherever it goes")
	require.Equal(t, "r2", grantOne(-time.Second), "late already")
}

func TestItemsFillAllSlotsOfUnevenReplicas(t *testing.T) {
	s := newUnevenScheduler(4, 0.6, 1, 1.6)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 12)
}
