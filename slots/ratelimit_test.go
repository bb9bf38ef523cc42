package slots

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// limitReplica lets a replica name a rate limit.
func limitReplica(s *Scheduler, id string, at time.Time, perSecond float64) {
	s.ObserveRateLimit(at, s.find(service, id).Replica, replica.RateLimit{Limited: true, PerSecond: perSecond, At: at})
}

// countGrants requests a slot each millisecond for a time and returns the number of
// grants. Each is released at once.
func countGrants(s *Scheduler, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		if g := acquire(s, now, 0).Grant; g != nil {
			n++
			s.Release(now, g.ID, Done)
		}
	}
	return n
}

func TestGrantsFollowTheRateLimit(t *testing.T) {
	const seconds = 10
	rows := []struct {
		name             string
		perSecond, share float64
		want             float64
	}{
		{"several a second", 2.5, 1, 2.5},
		{"one in seconds", 0.5, 1, 0.5},
		{"none", 0, 1, minRateLimit},
		{"many", 50, 1, 50},
		{"while another host is the broker", 8, standbyRateShare, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newScheduler(1, 8)
			limitReplica(s, "r0", start, row.perSecond)
			s.SetRateShare(start, row.share)
			require.Nil(t, acquire(s, start, 0).Grant, "the replica has had requests in the last second")
			require.InDelta(t, row.want*seconds, countGrants(s, start, seconds*time.Second), 1)
			idle := start.Add(2 * seconds * time.Second)
			require.InDelta(t, row.want*2, countGrants(s, idle, time.Second), 1, "what a second allows is saved up")
		})
	}
}

func TestRateLimitBeyondAllRequestsLimitsNothing(t *testing.T) {
	s := newScheduler(1, 8)
	limitReplica(s, "r0", start, 1e300)
	require.Equal(t, 1000, countGrants(s, start.Add(time.Second), time.Second))
}

func TestRateLimitOfABrokerEnds(t *testing.T) {
	s := newScheduler(1, 8)
	limitReplica(s, "r0", start, 1)
	r := s.find(service, "r0").Replica
	s.ObserveRateLimit(start, r, replica.RateLimit{At: start.Add(-time.Second)})
	require.True(t, s.hasRateLimits(), "an earlier observation")
	other := r
	other.Born = 7
	s.ObserveRateLimit(start, other, replica.RateLimit{At: start.Add(time.Second)})
	require.True(t, s.hasRateLimits(), "another incarnation")
	s.ObserveRateLimit(start, r, replica.RateLimit{At: start.Add(time.Second)})
	require.False(t, s.hasRateLimits())
	require.Equal(t, 8, countGrants(s, start, 8*time.Millisecond))
	limitReplica(s, "r0", start.Add(time.Minute), 1)
	s.SetReplicas([]replica.Replica{other})
	require.False(t, s.hasRateLimits(), "the replica started again")
}

// The only free slots are those of a replica whose limit is used up.
func TestRequestWaitsForARateLimitOrIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(1, 8)
	limitReplica(s, "r0", start, 4)
	d := acquire(s, start, 200*time.Millisecond)
	require.Nil(t, d.Waiter)
	require.Equal(t, 250*time.Millisecond, d.Wait)
	require.Equal(t, 1, d.RateLimited)
	require.Positive(t, d.RetryAfter)
	require.NotNil(t, acquire(s, start, 300*time.Millisecond).Waiter)
	require.Equal(t, 500*time.Millisecond, acquire(s, start, 300*time.Millisecond).Wait, "behind the one that waits")
	plan := s.Plan(start)
	require.Empty(t, plan.Granted)
	require.Equal(t, start.Add(250*time.Millisecond), plan.Next)
	require.Len(t, s.Plan(plan.Next).Granted, 1)
}

func TestItemIsNotStoppedForASlotThatTheRateLimitForbids(t *testing.T) {
	s := newScheduler(1, 2)
	fillBatch(s, start, "b", time.Minute)
	limitReplica(s, "r0", start, 2)
	require.NotNil(t, acquire(s, start, time.Hour).Waiter)
	require.NotNil(t, acquire(s, start, time.Hour).Waiter)
	require.Empty(t, s.Plan(start).Revoked)
	require.Len(t, s.Plan(start.Add(500*time.Millisecond)).Revoked, 1)
}

func TestItemsLeaveARequestOfTheRateLimit(t *testing.T) {
	s := newScheduler(1, 8)
	acquire(s, start, 0)
	limitReplica(s, "r0", start, 3)
	later := start.Add(time.Second)
	require.Len(t, fillBatch(s, later, "b", time.Minute), 2)
	require.NotNil(t, acquire(s, later, 0).Grant)
	s.SetDemand("b", Demand{Service: service, Items: 10, Due: later.Add(time.Minute)})
	next := s.Plan(later).Next
	require.InDelta(t, 2.0/3, next.Sub(later).Seconds(), 0.01)
	require.Len(t, s.Plan(next).Batch, 1)
}

// says lets a replica tell a host of its rate limit.
func (m *member) says(r replica.Replica, l replica.RateLimit) {
	l.At = m.Clock.Now()
	m.states.LearnRateLimit(r, l)
}

func TestBrokerIsToldOfARateLimitBeforeItsGrantIsUsed(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	rx := records(2)["rx"]
	other.says(rx, replica.RateLimit{Limited: true, PerSecond: 1})
	args := AcquireArgs{Host: other.name(), Service: service}
	g, err := other.Acquire(context.Background(), args, 0)
	require.NoError(t, err)
	require.Equal(t, "ry", g.Replica.ID, "the limit of rx counts from its first observation")
	f.clock.Advance(time.Second)
	g, err = other.Acquire(context.Background(), args, 0)
	require.NoError(t, err)
	require.Equal(t, "rx", g.Replica.ID)
	require.Equal(t, 1.0, g.RateLimit.PerSecond)
	require.Eventually(t, func() bool {
		broker.broker.mu.Lock()
		defer broker.broker.mu.Unlock()
		return broker.broker.sched.find(service, "rx").used == 1
	}, 5*time.Second, time.Millisecond, "the slot of the unused grant is free again")
}

// The broker learned of the limit long ago, and of its end only from this host.
func TestBrokerIsToldThatARateLimitHasEnded(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	rx := records(2)["rx"]
	broker.broker.release(ReleaseArgs{RateLimits: []RateLimitReport{{rx, newRateLimitMessage(f.clock.Now(), replica.RateLimit{Limited: true, PerSecond: 1, At: f.clock.Now()})}}})
	other.says(rx, replica.RateLimit{Limited: true, PerSecond: 1})
	f.clock.Advance(2 * time.Second)
	other.says(rx, replica.RateLimit{})
	_, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service}, 0)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		broker.broker.mu.Lock()
		defer broker.broker.mu.Unlock()
		return !broker.broker.sched.hasRateLimits()
	}, 5*time.Second, time.Millisecond)
}

func TestHostLearnsOfARateLimitFromAGrant(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	rx := records(2)["rx"]
	broker.ReportRateLimit(rx, replica.RateLimit{Limited: true, PerSecond: 3, At: f.clock.Now()})
	require.Eventually(t, func() bool { return broker.broker.limitsRate() }, 5*time.Second, time.Millisecond)
	f.clock.Advance(time.Second)
	g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service}, 0)
	require.NoError(t, err)
	require.Equal(t, "rx", g.Replica.ID)
	require.Equal(t, 3.0, other.states.RateLimit(rx).PerSecond)
}

func (b *Broker) limitsRate() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.hasRateLimits()
}

func TestItemIsNotStartedIfTheBrokerDoesNotKnowTheRateLimit(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	rx := records(2)["rx"]
	other.says(rx, replica.RateLimit{Limited: true, PerSecond: 1})
	granted := []Grant{{ID: 1, Class: Batch, Replica: rx}, {ID: 2, Class: Batch, Replica: records(2)["ry"]}}
	other.applyReply(broker.View.Self(), PollReply{Granted: granted, Notice: Notice{Current: true}}, false, false)
	require.Len(t, other.granted, 1)
	require.Equal(t, "ry", other.granted[0].Replica.ID)
	require.Eventually(t, broker.broker.limitsRate, 5*time.Second, time.Millisecond)
}

// A host that can't reach the broker requests slots from the next one.
func TestHostThatIsNotTheBrokerGrantsAShareOfTheRateLimit(t *testing.T) {
	f := newFleet()
	_, other := f.broker("x")
	rx := records(2)["rx"]
	other.broker.release(ReleaseArgs{RateLimits: []RateLimitReport{{rx, newRateLimitMessage(f.clock.Now(), replica.RateLimit{Limited: true, PerSecond: 8, At: f.clock.Now()})}}})
	granted := 0
	for range 80 {
		f.clock.Advance(100 * time.Millisecond)
		var reply AcquireReply
		require.NoError(t, other.broker.Acquire(AcquireArgs{Host: "z", Service: service}, &reply))
		if reply.Granted {
			granted++
			other.broker.release(ReleaseArgs{Released: []Released{{ID: reply.Grant.ID}}})
		}
	}
	require.InDelta(t, 8*8*standbyRateShare, granted, 1)
}

// A record says that a replica has more slots than any machine has memory, and the replica
// names a rate limit. The expected wait must not cost work of that size.
func TestExpectedWaitOfALimitedReplicaDoesNotGrowWithItsSlots(t *testing.T) {
	s := newScheduler(1, math.MaxInt-1)
	limitReplica(s, "r0", start, 4)
	now := start.Add(time.Minute)
	for acquire(s, now, 0).Grant != nil {
	}
	reply := acquire(s, now, time.Minute)
	require.Nil(t, reply.Grant)
	require.NotNil(t, reply.Waiter)
}
