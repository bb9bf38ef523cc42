package slots

import (
	"fmt"
	"math/rand/v2"
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

func ask(s *Scheduler, now time.Time, wait time.Duration) Decision {
	return s.Acquire(now, AcquireArgs{Host: "h", Service: service, MaxWait: wait})
}

// fillBatch takes all free places for batch items that are due after a time.
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
		used[ask(s, start, 0).Grant.Replica.ID]++
	}
	require.Equal(t, map[string]int{"r0": 2, "r1": 2, "r2": 2}, used)
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(1, 2)
	ask(s, start, 0)
	ask(s, start, 0)
	d := ask(s, start, firstHold/2)
	require.Nil(t, d.Grant)
	require.Nil(t, d.Waiter)
	require.Equal(t, firstHold, d.Wait)
	require.GreaterOrEqual(t, d.RetryAfter, d.Wait, "not before a place is expected")
	d = ask(s, start, firstHold)
	require.NotNil(t, d.Waiter, "one that can be served in time waits")
}

func TestNoReplicaMeansRefusal(t *testing.T) {
	s := newScheduler(0, 0)
	d := ask(s, start, time.Hour)
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

func TestQueueOrder(t *testing.T) {
	s := newScheduler(1, 1)
	first := ask(s, start, 0).Grant
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
		order = append(order, granted[0].Waiter.ask.Request)
		id = granted[0].Grant.ID
	}
	require.Equal(t, []string{"resumed", "urgent", "patient", "low"}, order)
}

func TestBatchLeavesForOnlineWork(t *testing.T) {
	s := newScheduler(1, 4)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 4, "batch fills what is free")
	require.NotNil(t, ask(s, start, 0).Waiter)
	require.NotNil(t, ask(s, start, 0).Waiter)
	plan := s.Plan(start)
	require.Len(t, plan.Revoked, 2, "as many as wait")
	require.Empty(t, s.Plan(start).Revoked, "not asked twice")
	s.Release(start, plan.Revoked[0].ID, Unused)
	require.Len(t, s.Plan(start).Granted, 1)
	late := s.Plan(start.Add(revokePatience))
	require.Len(t, late.Revoked, 1, "a host that doesn't answer is not waited for")
}

// In a peak a place that becomes free is taken by the next request, so an item
// that got it would have to leave again.
func TestBatchStaysAwayAfterItHadToLeave(t *testing.T) {
	s := newScheduler(1, 4)
	fillBatch(s, start, "b", time.Minute)
	require.NotNil(t, ask(s, start, time.Second).Waiter)
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
	require.Len(t, s.Plan(plan.Next).Batch, 2, "one place is kept for the next request")
}

// Places are kept free only where requests come.
func TestBatchTakesAllPlacesWithoutRequests(t *testing.T) {
	s := newScheduler(1, 4)
	require.NotNil(t, ask(s, start, time.Second).Grant)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 2)
	require.Len(t, fillBatch(s, start.Add(reserveWindow+1), "b", time.Minute), 1)
}

// Items that are due soon stay, so nobody should wait for their places.
func TestItemsThatStayAreNoReasonToWait(t *testing.T) {
	s := newScheduler(1, 2)
	fillBatch(s, start, "b", dueMargin/2)
	d := ask(s, start, time.Second)
	require.Nil(t, d.Waiter)
	require.Greater(t, d.Wait, time.Second)
}

func TestWhichBatchItemLeaves(t *testing.T) {
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
	require.Equal(t, []string{"late", "last", "later"}, order, "an item that is due soon stays")
}

func TestBatchPlacesGoToTheMostUrgent(t *testing.T) {
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

func TestLeavingReplicaGetsNoWorkAndLosesItsBatchItems(t *testing.T) {
	s := newScheduler(1, 2)
	granted := fillBatch(s, start, "b", dueMargin/2)
	all := replicasOf(1, 2)
	all[0].Ready = false
	s.SetReplicas(all)
	require.Nil(t, ask(s, start, time.Second).Grant)
	require.Len(t, s.Plan(start).Revoked, 2, "also items that are due soon: they would be cut off")
	require.False(t, s.fresh(start, granted[0].ID), "a grant that is still on its way is void")
}

func TestStaleBatchGrantIsVoid(t *testing.T) {
	s := newScheduler(1, 1)
	g := fillBatch(s, start, "b", time.Minute)[0]
	require.True(t, s.fresh(start, g.ID))
	require.False(t, s.fresh(start.Add(grantPatience+1), g.ID))
}

func TestFailuresKeepRequestsAway(t *testing.T) {
	rows := []struct {
		name     string
		outcomes []Outcome
		pause    time.Duration
	}{
		{"an answer", []Outcome{Done}, 0},
		{"unused", []Outcome{Unused}, 0},
		{"one lost exchange", []Outcome{Failed}, 0},
		{"lost exchanges apart", []Outcome{Failed, Failed, Done, Failed}, 0},
		{"lost exchanges in a row", []Outcome{Failed, Failed, Failed}, failurePause},
		{"unreachable", []Outcome{Unreachable}, failurePause},
		{"unreachable twice", []Outcome{Unreachable, Unreachable}, 2 * failurePause},
		{"full", []Outcome{Full}, fullPause},
		{"replaced", []Outcome{Replaced}, replacedPause},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r, at := &place{}, start
			for _, o := range row.outcomes {
				at = at.Add(togetherTime)
				r.note(at, o)
			}
			if row.pause == 0 {
				require.True(t, r.avoidUntil.IsZero())
				return
			}
			require.Equal(t, at.Add(row.pause), r.avoidUntil)
		})
	}
}

// When all connections of a host are reset, so are those to replicas that serve.
func TestExchangesThatBreakOffTogetherAreOneFailure(t *testing.T) {
	s := newScheduler(1, 8)
	var ids []GrantID
	for range 8 {
		ids = append(ids, ask(s, start, 0).Grant.ID)
	}
	for i, id := range ids {
		s.Release(start.Add(time.Duration(i)*time.Millisecond), id, Failed)
	}
	for range 8 {
		require.NotNil(t, ask(s, start.Add(8*time.Millisecond), 0).Grant)
	}
}

// A replica that fails at once is always the least loaded one. It must not draw
// the requests of all others.
func TestReplicaThatFailsDrawsNoMoreWork(t *testing.T) {
	for name, part := range map[string]float64{"always": 1, "often": 0.4} {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(4, 8)
			now, failed, asked := start, 0, 0
			running := map[GrantID]time.Time{}
			for ; now.Before(start.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
				for id, end := range running {
					if !now.Before(end) {
						s.Release(now, id, Done)
						delete(running, id)
					}
				}
				asked++
				g := ask(s, now, 0).Grant
				require.NotNil(t, g)
				if g.Replica.ID == "r0" && s.rng.Float64() < part {
					failed++
					s.Release(now, g.ID, Errored)
					continue
				}
				running[g.ID] = now.Add(600 * time.Millisecond)
			}
			require.Less(t, float64(failed)/float64(asked), 0.06)
		})
	}
}

// A replica that was unreachable may be so still: one request tries it, and only
// when no other has room.
func TestSuspectReplicaIsTriedByOne(t *testing.T) {
	s := newScheduler(2, 4)
	s.find(service, "r0").note(start, Unreachable)
	later := start.Add(maxFailurePause)
	var got []string
	for range 5 {
		got = append(got, ask(s, later, 0).Grant.Replica.ID)
	}
	require.Equal(t, []string{"r1", "r1", "r1", "r1", "r0"}, got)
	require.Nil(t, ask(s, later, 0).Grant)
	s.find(service, "r0").note(later, Done)
	require.NotNil(t, ask(s, later, 0).Grant)
}

func TestBackoffIsBounded(t *testing.T) {
	r := &place{}
	for range 100 {
		r.note(start, Unreachable)
	}
	require.Equal(t, start.Add(maxFailurePause), r.avoidUntil)
}

func TestAnotherBrokersGrantsAreTakenOver(t *testing.T) {
	old, next := newScheduler(1, 2), newScheduler(1, 2)
	next.nextID += 1 << 20
	g := ask(old, start, 0).Grant
	next.Sync(start, "h", []Grant{*g}, nil, false)
	require.NotNil(t, ask(next, start, 0).Grant)
	require.Nil(t, ask(next, start, 0).Grant, "the place that was taken over counts")
	next.Release(start, g.ID, Done)
	require.NotNil(t, ask(next, start, 0).Grant)
}

func TestGrantThatItsHostDoesNotKnowIsFree(t *testing.T) {
	s := newScheduler(1, 1)
	ask(s, start, 0)
	s.Sync(start, "h", nil, nil, false)
	require.Nil(t, ask(s, start, 0).Grant, "its answer may be on the way")
	s.Sync(start.Add(adoptPatience+1), "h", nil, nil, true)
	require.Nil(t, ask(s, start, 0).Grant, "a partial list leaves out online requests")
	s.Sync(start.Add(adoptPatience+1), "h", nil, nil, false)
	require.NotNil(t, ask(s, start, 0).Grant)
}

func TestSilentHostLosesItsPlacesAndWants(t *testing.T) {
	s := newScheduler(1, 1)
	s.Sync(start, "h", nil, []Demand{{Service: service, Items: 5}}, false)
	require.Len(t, s.Plan(start).Batch, 1)
	s.Expire(start.Add(hostPatience))
	require.Len(t, s.grants, 1)
	s.Expire(start.Add(hostPatience + 1))
	require.Empty(t, s.grants)
	require.Empty(t, s.Plan(start).Batch)
}

func TestNewStartOfAReplicaBeginsEmpty(t *testing.T) {
	s := newScheduler(1, 1)
	g := ask(s, start, 0).Grant
	all := replicasOf(1, 1)
	all[0].Born = 7
	s.SetReplicas(all)
	next := ask(s, start, 0).Grant
	require.NotNil(t, next, "the place of the earlier start is gone")
	s.Release(start, g.ID, Done)
	require.Nil(t, ask(s, start, 0).Grant, "its release frees nothing")
}
