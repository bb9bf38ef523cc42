package slots

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// newMixedScheduler returns a scheduler with one replica of each software version,
// whose ID is its version.
func newMixedScheduler(slots int, versions ...string) *Scheduler {
	s := newScheduler(0, 0)
	var all []replica.Replica
	for _, version := range versions {
		all = append(all, replica.Replica{ID: version, Service: service, Slots: slots, Ready: true, SoftwareVersion: version})
	}
	s.SetReplicas(all)
	return s
}

func acquirePinned(s *Scheduler, version string, wait time.Duration) Decision {
	return s.Acquire(start, AcquireArgs{Host: "h", Service: service, MaxWait: wait, Pinned: true, SoftwareVersion: version})
}

func TestPinnedRequestGetsItsSoftwareVersionOnly(t *testing.T) {
	s := newMixedScheduler(2, "v1", "v2")
	for range 2 {
		require.Equal(t, "v1", acquirePinned(s, "v1", 0).Grant.Replica.ID)
	}
	d := acquirePinned(s, "v1", 0)
	require.Nil(t, d.Grant)
	require.Equal(t, 1, d.Replicas)
	require.Equal(t, "v2", acquire(s, start, 0).Grant.Replica.ID)
}

func TestPinnedRequestWithoutReplicaOfItsVersionIsRefusedAtOnce(t *testing.T) {
	s := newMixedScheduler(2, "v1", "v2")
	d := acquirePinned(s, "v3", time.Hour)
	require.Nil(t, d.Grant)
	require.Nil(t, d.Waiter)
	require.Zero(t, d.Replicas)
}

// An empty version is one of its own: a record may not name any.
func TestPinnedRequestWithEmptyVersion(t *testing.T) {
	s := newMixedScheduler(2, "v1", "")
	require.Empty(t, acquirePinned(s, "", 0).Grant.Replica.SoftwareVersion)
}

func TestPinnedWaiterLetsOthersPass(t *testing.T) {
	s := newMixedScheduler(1, "v1", "v2")
	first := acquirePinned(s, "v1", 0).Grant
	pinned := acquirePinned(s, "v1", time.Second).Waiter
	require.NotNil(t, pinned)
	require.Equal(t, "v2", acquire(s, start, 0).Grant.Replica.ID)
	s.Release(start, first.ID, Done)
	granted := s.Plan(start).Granted
	require.Len(t, granted, 1)
	require.Equal(t, pinned, granted[0].Waiter)
}

// One of twelve replicas has the version of the resumed streams, and all are full.
func TestResumedStreamsAreServedInABurst(t *testing.T) {
	versions := []string{"v1"}
	for range 11 {
		versions = append(versions, "v2")
	}
	s := newScheduler(0, 0)
	var all []replica.Replica
	for i, version := range versions {
		all = append(all, replica.Replica{ID: string(rune('a' + i)), Service: service, Slots: 8, Ready: true, SoftwareVersion: version})
	}
	s.SetReplicas(all)
	now := start
	var grants []*Grant
	for range 12 * 8 {
		grants = append(grants, acquire(s, now, 0).Grant)
	}
	now = now.Add(initialServiceTime / 2)
	const wait = initialServiceTime
	fresh, resumed := 0, 0
	for range 60 {
		if s.Acquire(now, AcquireArgs{Service: service, MaxWait: wait}).Waiter != nil {
			fresh++
		}
	}
	for range 8 {
		if s.Acquire(now, AcquireArgs{Service: service, MaxWait: wait, Priority: -1, Pinned: true, SoftwareVersion: "v1"}).Waiter != nil {
			resumed++
		}
	}
	require.Equal(t, 60, fresh)
	require.Equal(t, 8, resumed, "waiters that come later are not ahead")
	granted := 0
	for _, g := range grants {
		s.Release(now, g.ID, Done)
		for _, p := range s.Plan(now).Granted {
			if p.Waiter.args.Pinned {
				granted++
			}
		}
	}
	require.Equal(t, 8, granted)
}

func TestItemsGiveWayToPinnedRequestOnItsVersionOnly(t *testing.T) {
	s := newMixedScheduler(2, "v1", "v2")
	fillBatch(s, start, "h", time.Hour)
	require.NotNil(t, acquirePinned(s, "v2", time.Second).Waiter)
	revoked := s.Plan(start).Revoked
	require.Len(t, revoked, 1)
	require.Equal(t, "v2", revoked[0].Replica.ID)
	require.Empty(t, s.Plan(start).Revoked, "one is being revoked already")
	require.NotNil(t, acquirePinned(s, "v1", time.Second).Waiter)
	revoked = s.Plan(start).Revoked
	require.Len(t, revoked, 1)
	require.Equal(t, "v1", revoked[0].Replica.ID)
}

// The replica of a pinned request's version is busy and in another data centre; the
// request waits for it there.
func TestPinnedRequestWaitsWhereItsVersionServes(t *testing.T) {
	f := newFleet()
	f.setVersions("rx", "ry")
	_, other := f.broker("x")
	args := AcquireArgs{Host: other.name(), Service: service, Pinned: true, SoftwareVersion: "ry"}
	busy, err := other.Acquire(context.Background(), args, 0)
	require.NoError(t, err)
	got := make(chan string, 1)
	go func() {
		g, err := other.Acquire(context.Background(), args, initialServiceTime+time.Second)
		if err != nil {
			close(got)
			return
		}
		got <- g.Replica.ID
	}()
	remote, _ := f.broker("y")
	require.Eventually(t, func() bool {
		remote.broker.mu.Lock()
		defer remote.broker.mu.Unlock()
		return len(remote.broker.waiting) == 1
	}, 5*time.Second, time.Millisecond)
	other.Release(busy, Done)
	require.Equal(t, "ry", <-got)
}
