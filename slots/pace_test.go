package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// respond lets a replica respond after a time while it runs a number of requests.
func respond(s *Scheduler, now time.Time, id string, ran int, headAfter time.Duration) {
	s.ObserveLoad(now, s.find(service, id).Replica, replica.Load{Running: ran, Slowness: 1, HeadAfter: headAfter, At: now})
}

// restart replaces replicas by new incarnations.
func restart(s *Scheduler, now time.Time, ids ...string) {
	all := replicasOf(len(s.pool(service).replicas), 8)
	for i := range all {
		all[i].Born = s.find(service, all[i].ID).Born
		for _, id := range ids {
			if all[i].ID == id {
				all[i].Born = now.UnixMilli()
			}
		}
	}
	s.SetReplicas(all)
}

// usedOf returns the used slots of a replica after requests are granted as long as one
// goes there.
func usedOf(s *Scheduler, now time.Time, id string) int {
	args := AcquireArgs{Host: "h", Service: service, MaxWait: 20 * time.Millisecond, FirstEventWithin: time.Second}
	for range 100 {
		if d := s.Acquire(now, args); d.Grant == nil {
			break
		}
	}
	return s.find(service, id).used
}

func TestPaceOfANewReplica(t *testing.T) {
	s := newUnevenScheduler(8, 1, 1, 1)
	now := start.Add(10 * time.Second)
	respond(s, now, "r1", 1, 45*time.Millisecond)
	restart(s, now, "r0")
	require.Equal(t, initialPace, usedOf(s, now, "r0"))
	respond(s, now, "r0", 2, 45*time.Millisecond)
	require.Equal(t, 3, usedOf(s, now, "r0"))
	respond(s, now, "r0", 1, 45*time.Millisecond)
	require.Equal(t, 3, usedOf(s, now, "r0"), "one that ran alone says nothing of four")
	for ran := 3; ran < 8; ran++ {
		respond(s, now, "r0", ran, 45*time.Millisecond)
	}
	require.Equal(t, 8, usedOf(s, now, "r0"))
	require.Zero(t, s.countPaced())
	plan := s.Plan(now)
	require.Equal(t, PaceNew, plan.Paces[0].Reason)
	require.Equal(t, initialPace, plan.Paces[0].Slots)
	require.Equal(t, 8, plan.Paces[len(plan.Paces)-1].Slots)
}

func TestLateResponsesReduceThePace(t *testing.T) {
	p := paceState{}
	p.begin(start, PaceNew, 0)
	for range 4 {
		p.raise(8, 8)
	}
	require.InDelta(t, 6, p.limit, 0)
	require.True(t, p.reduce(start.Add(time.Second)))
	require.False(t, p.reduce(start.Add(time.Second+paceReductionInterval/2)), "those that ran beside it show the same")
	require.InDelta(t, 3, p.limit, 0)
	p.raise(8, 8)
	require.InDelta(t, 3+carefulGrowth, p.limit, 0.001, "carefully from now on")
	for i := range 20 {
		p.reduce(start.Add(time.Duration(2+i) * time.Second))
	}
	require.InDelta(t, 1, p.limit, 0, "one request shows whether it works")
	require.False(t, p.expire(start.Add(25*time.Second)))
	require.True(t, p.expire(start.Add(40*time.Second)), "nothing is late any more, nor in time")
}

// A slot of a replica that recovers must not be one of eight that fail together, and one
// that flaps gets its slots more slowly.
func TestPaceOfAReplicaThatRecoversAndFlaps(t *testing.T) {
	s := newUnevenScheduler(8, 1, 1, 1)
	now := start
	fail := func() {
		for range failureThreshold {
			s.Release(now, s.grant(now, s.find(service, "r0"), Grant{Class: Online, Host: "h"}).ID, Unreachable)
		}
	}
	recoverNow := func() {
		now = now.Add(maxFailureCooldown)
		s.Release(now, s.grant(now, s.find(service, "r0"), Grant{Class: Online, Host: "h"}).ID, Done)
	}
	fail()
	require.Zero(t, s.countPaced())
	recoverNow()
	r := s.find(service, "r0")
	require.InDelta(t, initialPace, r.pace.limit, 0)
	require.Equal(t, PaceRecovered, r.pace.reason)
	require.False(t, r.pace.careful)
	fail()
	recoverNow()
	require.True(t, r.pace.careful)
	require.Equal(t, initialPace, usedOf(s, now, "r0"))
}

func TestReplicaOfATakenOverDataCentreIsNotNew(t *testing.T) {
	s := newScheduler(2, 8)
	now := start.Add(time.Hour)
	all := replicasOf(2, 8)
	all[0].Born = start.UnixMilli()
	all[1].Born = now.Add(-time.Second).UnixMilli()
	s.SetReplicas(all)
	for i := range 5 {
		s.adopt(now, "h", Grant{ID: GrantID(i + 1), Class: Online, Replica: all[1], Since: now})
	}
	respond(s, now, "r0", 1, 45*time.Millisecond)
	s.updatePaces(now, s.pool(service))
	require.False(t, s.find(service, "r0").pace.limited())
	require.InDelta(t, 5, s.find(service, "r1").pace.limit, 0, "it bears what runs there")
}

// Nobody can wait where most replicas are new: nothing is held back.
func TestNewFleetHoldsNothingBack(t *testing.T) {
	s := newUnevenScheduler(8, 1, 1, 1)
	restart(s, start, "r0", "r1", "r2")
	respond(s, start, "r0", 1, 45*time.Millisecond)
	for range 24 {
		require.NotNil(t, acquireBy(s, 20*time.Millisecond, 300*time.Millisecond).Grant)
	}
	require.Nil(t, acquireBy(s, 20*time.Millisecond, 300*time.Millisecond).Grant)
}

// A request that would be refused goes beyond the pace, unless the replica has shown to be
// overloaded.
func TestRequestAtItsLastCallExceedsThePace(t *testing.T) {
	s := newUnevenScheduler(8, 1, 1, 1)
	restart(s, start, "r0")
	respond(s, start, "r1", 1, 45*time.Millisecond)
	require.Equal(t, initialPace, usedOf(s, start, "r0"))
	d := acquireBy(s, 0, 50*time.Millisecond)
	require.Equal(t, "r0", d.Grant.Replica.ID)
	respond(s, start, "r0", 3, time.Second)
	require.Nil(t, acquireBy(s, 0, 50*time.Millisecond).Grant)
}

func TestItemsKeepToThePace(t *testing.T) {
	s := newUnevenScheduler(8, 1, 1, 1)
	restart(s, start, "r0")
	respond(s, start, "r1", 1, 45*time.Millisecond)
	require.Len(t, fillBatch(s, start, "b", time.Minute), 8+8+initialPace)
}

// Without the figure a new replica gets all its slots, as before.
func TestNoPaceWithoutReports(t *testing.T) {
	s := newScheduler(2, 8)
	restart(s, start, "r0")
	require.Equal(t, 8, usedOf(s, start, "r0"))
	require.Zero(t, s.countPaced())
}
