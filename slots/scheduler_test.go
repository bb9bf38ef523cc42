package slots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

const service = "svc"

var start = time.Unix(1000, 0)

func newScheduler(replicas, slots int) *Scheduler {
	s := NewScheduler(rand.New(rand.NewPCG(1, 2)))
	s.SetReplicas(replicasOf(replicas, slots))
	return s
}

func replicasOf(n, slots int) []replica.Replica {
	var all []replica.Replica
	for i := range n {
		all = append(all, replica.Replica{ID: fmt.Sprintf("r%d", i), Service: service, Slots: slots, Ready: true})
	}
	return all
}

func acquire(s *Scheduler, now time.Time, wait time.Duration) Decision {
	return s.Acquire(now, AcquireArgs{Host: "h", Service: service, MaxWait: wait})
}

// fillBatch grants all free slots to batch items with the given time until due.
func fillBatch(s *Scheduler, now time.Time, host string, due time.Duration) []Grant {
	s.SetDemand(host, Demand{Service: service, Items: 1000, Due: now.Add(due)})
	granted := s.Plan(now).Batch
	s.SetDemand(host, Demand{Service: service})
	return granted
}

func TestRequestsSpreadOverReplicas(t *testing.T) {
	s := newScheduler(3, 2)
	used := map[string]int{}
	for range 6 {
		used[acquire(s, start, 0).Grant.Replica.ID]++
	}
	require.Equal(t, map[string]int{"r0": 2, "r1": 2, "r2": 2}, used)
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(1, 2)
	acquire(s, start, 0)
	acquire(s, start, 0)
	d := acquire(s, start, initialServiceTime/2)
	require.Nil(t, d.Grant)
	require.Nil(t, d.Waiter)
	require.Equal(t, initialServiceTime, d.Wait)
	require.GreaterOrEqual(t, d.RetryAfter, d.Wait, "not before a slot is expected")
	d = acquire(s, start, initialServiceTime)
	require.NotNil(t, d.Waiter, "one that can be served in time waits")
}

func TestRequestWithoutReplicasIsRefused(t *testing.T) {
	s := newScheduler(0, 0)
	d := acquire(s, start, time.Hour)
	require.Nil(t, d.Waiter)
	require.Zero(t, d.Replicas)
}

func TestAvoidedReplicaIsNotChosen(t *testing.T) {
	s := newScheduler(2, 1)
	d := s.Acquire(start, AcquireArgs{Service: service, Avoid: []string{"r0"}})
	require.Equal(t, "r1", d.Grant.Replica.ID)
	d = s.Acquire(start, AcquireArgs{Service: service, Avoid: []string{"r0"}})
	require.Nil(t, d.Grant)
}

func TestQueueIsOrderedByPriorityThenLatestStart(t *testing.T) {
	s := newScheduler(1, 1)
	first := acquire(s, start, 0).Grant
	add := func(id string, priority int, wait time.Duration) {
		d := s.Acquire(start, AcquireArgs{Request: id, Service: service, Priority: priority, MaxWait: wait})
		require.NotNil(t, d.Waiter, id)
	}
	add("patient", 0, time.Hour)
	add("urgent", 0, time.Hour-time.Second)
	add("low", 1, time.Hour-time.Minute)
	add("resumed", -1, time.Hour)
	var order []string
	for id := first.ID; ; {
		s.Release(start, id, Done)
		granted := s.Plan(start).Granted
		if len(granted) == 0 {
			break
		}
		require.Len(t, granted, 1)
		order = append(order, granted[0].Waiter.args.Request)
		id = granted[0].Grant.ID
	}
	require.Equal(t, []string{"resumed", "urgent", "patient", "low"}, order)
}

// A customer's priority goes before that of the route, and neither goes before streams
// whose callers have received a part.
func TestQueueIsOrderedByCustomersPriorityFirst(t *testing.T) {
	waiters := map[string]AcquireArgs{
		"1 resumed of the lowest priority": {Pinned: true, Priority: -1, CustomerPriority: 9},
		"2 high customer, high route":      {CustomerPriority: 0, Priority: 0},
		"3 high customer, low route":       {CustomerPriority: 0, Priority: 5},
		"4 low customer, high route":       {CustomerPriority: 1, Priority: 0},
		"5 low customer, low route":        {CustomerPriority: 1, Priority: 5},
	}
	var queue []*Waiter
	for id, args := range waiters {
		args.Request = id
		queue = append(queue, &Waiter{args: args, startBy: start})
	}
	slices.SortStableFunc(queue, compareWaiters)
	var order []string
	for _, w := range queue {
		order = append(order, w.args.Request)
	}
	require.True(t, slices.IsSorted(order), "%v", order)
}

func TestBatchGrantsAreRevokedForOnlineRequests(t *testing.T) {
	s := newScheduler(1, 4)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 4, "batch items use all free slots")
	require.NotNil(t, acquire(s, start, 0).Waiter)
	require.NotNil(t, acquire(s, start, 0).Waiter)
	plan := s.Plan(start)
	require.Len(t, plan.Revoked, 2, "one for each waiting request")
	require.Empty(t, s.Plan(start).Revoked, "not revoked twice")
	s.Release(start, plan.Revoked[0].ID, Unused)
	require.Len(t, s.Plan(start).Granted, 1)
	late := s.Plan(start.Add(revokeTimeout))
	require.Len(t, late.Revoked, 1, "after revokeTimeout another grant is revoked")
}

// In a burst of requests the next one takes each released slot. A batch item
// that got it would be revoked again.
func TestNoBatchGrantsDuringCooldownAfterRevocation(t *testing.T) {
	s := newScheduler(1, 4)
	fillBatch(s, start, "b", time.Minute)
	require.NotNil(t, acquire(s, start, time.Second).Waiter)
	for _, g := range s.Plan(start).Revoked {
		s.Release(start, g.ID, Unused)
	}
	require.Len(t, s.Plan(start).Granted, 1)
	for id, g := range s.grants {
		if g.Class == Batch {
			s.Release(start, id, Done)
		}
	}
	s.SetDemand("b", Demand{Service: service, Items: 10, Due: start.Add(time.Minute)})
	plan := s.Plan(start)
	require.Empty(t, plan.Batch)
	require.Equal(t, start.Add(revokeCooldown), plan.Next)
	require.Len(t, s.Plan(plan.Next).Batch, 2, "one slot is kept for the next request")
}

// Slots are kept free only for services with recent requests.
func TestBatchUsesAllSlotsWithoutRecentRequests(t *testing.T) {
	s := newScheduler(1, 4)
	require.NotNil(t, acquire(s, start, time.Second).Grant)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 2)
	require.Len(t, fillBatch(s, start.Add(reserveWindow+1), "b", time.Minute), 1)
}

// Items that are due soon are not stopped, so requests cannot count on their
// slots.
func TestProtectedItemsDoNotShortenExpectedWait(t *testing.T) {
	s := newScheduler(1, 2)
	fillBatch(s, start, "b", dueMargin/2)
	d := acquire(s, start, time.Second)
	require.Nil(t, d.Waiter)
	require.Greater(t, d.Wait, time.Second)
}

func TestRevocationOrder(t *testing.T) {
	due := map[string]time.Duration{"late": -time.Second, "soon": dueMargin - time.Second, "later": dueMargin + time.Second, "last": time.Hour}
	s := newScheduler(1, len(due))
	for host, d := range due {
		s.SetDemand(host, Demand{Service: service, Items: 1, Due: start.Add(d)})
	}
	require.Len(t, s.Plan(start).Batch, len(due))
	for range due {
		s.Acquire(start, AcquireArgs{Service: service, MaxWait: time.Second})
	}
	var order []string
	for _, g := range s.Plan(start).Revoked {
		order = append(order, g.Host)
	}
	require.Equal(t, []string{"late", "last", "later"}, order, "an item that is due soon is protected")
}

func TestBatchGrantsGoToMostUrgentHosts(t *testing.T) {
	s := newScheduler(1, 2)
	for host, d := range map[string]time.Duration{"late": -time.Second, "soon": time.Second, "later": time.Minute} {
		s.SetDemand(host, Demand{Service: service, Items: 1, Due: start.Add(d)})
	}
	var order []string
	for _, g := range s.Plan(start).Batch {
		order = append(order, g.Host)
	}
	require.Equal(t, []string{"soon", "later"}, order)
}

func TestLeavingReplicaGetsNoGrantsAndItsBatchIsRevoked(t *testing.T) {
	s := newScheduler(1, 2)
	granted := fillBatch(s, start, "b", dueMargin/2)
	all := replicasOf(1, 2)
	all[0].Ready = false
	s.SetReplicas(all)
	require.Nil(t, acquire(s, start, time.Second).Grant)
	require.Len(t, s.Plan(start).Revoked, 2, "also of items that are due soon: the replica would cut them off")
	require.False(t, s.deliverable(start, granted[0].ID), "an undelivered grant is dropped")
}

// A stream runs for longer than onlineGrantTTL. Its slot stays in use as long as its
// host lists it, and is free once it doesn't.
func TestLongStreamKeepsItsSlot(t *testing.T) {
	s := newScheduler(1, 1)
	g := *acquire(s, start, 0).Grant
	now := start
	for now.Sub(start) < 2*onlineGrantTTL {
		now = now.Add(pollWait)
		s.Sync(now, "h", []Grant{g}, nil, false)
		s.Expire(now)
	}
	require.NotNil(t, acquire(s, now, time.Second).Waiter)
	require.Empty(t, s.Plan(now).Granted)
	now = now.Add(pollWait)
	s.Sync(now, "h", nil, nil, false)
	require.Len(t, s.Plan(now).Granted, 1)
}

func TestUndeliveredBatchGrantExpires(t *testing.T) {
	s := newScheduler(1, 1)
	g := fillBatch(s, start, "b", time.Minute)[0]
	require.True(t, s.deliverable(start, g.ID))
	require.False(t, s.deliverable(start.Add(grantDeliveryTimeout+1), g.ID))
}

func TestCooldownByOutcome(t *testing.T) {
	rows := []struct {
		name     string
		outcomes []Outcome
		cooldown time.Duration
	}{
		{"a response", []Outcome{Done}, 0},
		{"unused", []Outcome{Unused}, 0},
		{"one broken exchange", []Outcome{Failed}, 0},
		{"broken exchanges with a success between", []Outcome{Failed, Failed, Done, Failed}, 0},
		{"broken exchanges in a row", []Outcome{Failed, Failed, Failed}, failureCooldown},
		{"unreachable", []Outcome{Unreachable}, failureCooldown},
		{"unreachable twice", []Outcome{Unreachable, Unreachable}, 2 * failureCooldown},
		{"full", []Outcome{Full}, fullCooldown},
		{"replaced", []Outcome{Replaced}, replacedCooldown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, at := &replicaState{}, start
			for _, o := range row.outcomes {
				at = at.Add(sameCauseWindow)
				r.recordOutcome(at, o)
			}
			if row.cooldown == 0 {
				require.True(t, r.avoidUntil.IsZero())
				return
			}
			require.Equal(t, at.Add(row.cooldown), r.avoidUntil)
		})
	}
}

// A reset of all connections of a host breaks off exchanges with replicas that
// work.
func TestSimultaneousBrokenExchangesCountAsOneFailure(t *testing.T) {
	s := newScheduler(1, 8)
	var ids []GrantID
	for range 8 {
		ids = append(ids, acquire(s, start, 0).Grant.ID)
	}
	for i, id := range ids {
		s.Release(start.Add(time.Duration(i)*time.Millisecond), id, Failed)
	}
	for range 8 {
		require.NotNil(t, acquire(s, start.Add(8*time.Millisecond), 0).Grant)
	}
}

// A replica that fails at once is always the least loaded one. It must not
// attract the requests that other replicas could serve.
func TestFailingReplicaDoesNotAttractRequests(t *testing.T) {
	for name, failureRate := range map[string]float64{"always": 1, "often": 0.4} {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(4, 8)
			now, failed, requests := start, 0, 0
			running := map[GrantID]time.Time{}
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
				for id, end := range running {
					if !now.Before(end) {
						s.Release(now, id, Done)
						delete(running, id)
					}
				}
				requests++
				g := acquire(s, now, 0).Grant
				require.NotNil(t, g)
				if g.Replica.ID == "r0" && s.rng.Float64() < failureRate {
					failed++
					s.Release(now, g.ID, Errored)
					continue
				}
				running[g.ID] = now.Add(600 * time.Millisecond)
			}
			require.Less(t, float64(failed)/float64(requests), 0.06)
		})
	}
}

// A replica that was unreachable may still be so. One request tries it, and
// only when no other replica has a free slot.
// All replicas crash again and again under the same batch item, then all is calm.
func TestItemIsPlacedSoonAfterABurstOfCrashes(t *testing.T) {
	s := newScheduler(3, 4)
	now := start
	for range 60 {
		s.SetDemand("h", Demand{Service: service, Items: 1, Due: now.Add(time.Hour)})
		for _, g := range s.Plan(now).Batch {
			s.Release(now, g.ID, Failed)
		}
		now = now.Add(200 * time.Millisecond)
	}
	s.SetDemand("h", Demand{Service: service, Items: 1, Due: now.Add(time.Hour)})
	require.Len(t, s.Plan(now.Add(maxFailureCooldown)).Batch, 1)
}

func TestSuspectReplicaGetsOneRequest(t *testing.T) {
	s := newScheduler(2, 4)
	s.find(service, "r0").recordOutcome(start, Unreachable)
	later := start.Add(maxFailureCooldown)
	var got []string
	for range 5 {
		got = append(got, acquire(s, later, 0).Grant.Replica.ID)
	}
	require.Equal(t, []string{"r1", "r1", "r1", "r1", "r0"}, got)
	require.Nil(t, acquire(s, later, 0).Grant)
	s.find(service, "r0").recordOutcome(later, Done)
	require.NotNil(t, acquire(s, later, 0).Grant)
}

func TestBackoffIsBounded(t *testing.T) {
	r := &replicaState{}
	for range 100 {
		r.recordOutcome(start, Unreachable)
	}
	require.Equal(t, start.Add(maxFailureCooldown), r.avoidUntil)
}

func TestGrantsOfAnotherBrokerAreTakenOver(t *testing.T) {
	old, next := newScheduler(1, 2), newScheduler(1, 2)
	next.nextID += 1 << 20
	g := acquire(old, start, 0).Grant
	next.Sync(start, "h", []Grant{*g}, nil, false)
	require.NotNil(t, acquire(next, start, 0).Grant)
	require.Nil(t, acquire(next, start, 0).Grant, "the grant that was taken over counts")
	next.Release(start, g.ID, Done)
	require.NotNil(t, acquire(next, start, 0).Grant)
}

func TestUnlistedGrantIsReleasedAfterTimeout(t *testing.T) {
	s := newScheduler(1, 1)
	acquire(s, start, 0)
	s.Sync(start, "h", nil, nil, false)
	require.Nil(t, acquire(s, start, 0).Grant, "the reply may not have arrived yet")
	s.Sync(start.Add(unlistedGrantTimeout+1), "h", nil, nil, true)
	require.Nil(t, acquire(s, start, 0).Grant, "a partial list leaves out online requests")
	s.Sync(start.Add(unlistedGrantTimeout+1), "h", nil, nil, false)
	require.NotNil(t, acquire(s, start, 0).Grant)
}

func TestUnresponsiveHostLosesGrantsAndDemand(t *testing.T) {
	s := newScheduler(1, 1)
	s.Sync(start, "h", nil, []Demand{{Service: service, Items: 5}}, false)
	require.Len(t, s.Plan(start).Batch, 1)
	s.Expire(start.Add(hostTimeout))
	require.Len(t, s.grants, 1)
	s.Expire(start.Add(hostTimeout + 1))
	require.Empty(t, s.grants)
	require.Empty(t, s.Plan(start).Batch)
}

func TestRestartedReplicaBeginsWithoutGrants(t *testing.T) {
	s := newScheduler(1, 1)
	g := acquire(s, start, 0).Grant
	all := replicasOf(1, 1)
	all[0].Born = 7
	s.SetReplicas(all)
	next := acquire(s, start, 0).Grant
	require.NotNil(t, next, "the grant on the earlier incarnation is dropped")
	s.Release(start, g.ID, Done)
	require.Nil(t, acquire(s, start, 0).Grant, "its release frees nothing")
}
