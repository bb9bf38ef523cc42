package slots

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// The broker takes all replicas for ready. The host knows better.
func TestNothingWaitsForAReplicaThatLeaves(t *testing.T) {
	s := newScheduler(2, 1)
	args := AcquireArgs{Host: "h", Service: service, MaxWait: time.Hour, Leaving: []replica.Incarnation{{ID: "r0"}}}
	require.Equal(t, "r1", s.Acquire(start, args).Grant.Replica.ID)
	d := s.Acquire(start, args)
	require.NotNil(t, d.Waiter, "the other replica serves")
	require.Equal(t, 1, d.Replicas)
	args.Leaving = append(args.Leaving, replica.Incarnation{ID: "r1"})
	d = s.Acquire(start, args)
	require.Nil(t, d.Grant)
	require.Nil(t, d.Waiter, "no replica is left")
	require.Zero(t, d.Replicas)
	require.Positive(t, d.RetryAfter)
}

func TestLaterIncarnationOfALeavingReplicaIsGranted(t *testing.T) {
	s := newScheduler(0, 0)
	s.SetReplicas([]replica.Replica{{ID: "r0", Service: service, Slots: 1, Ready: true, Born: 2}})
	args := AcquireArgs{Host: "h", Service: service, Leaving: []replica.Incarnation{{ID: "r0", Born: 1}}}
	require.NotNil(t, s.Acquire(start, args).Grant)
}

func TestBrokerHearsOfALeavingReplicaWithTheRelease(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	heard := make(chan replica.Replica, 1)
	broker.broker.SetOnLeaving(func(r replica.Replica) { heard <- r })
	g, err := other.Acquire(context.Background(), AcquireArgs{Host: other.name(), Service: service}, 0)
	require.NoError(t, err)
	other.states.leaving = []string{g.Replica.ID}
	other.Release(g, Done)
	require.Equal(t, g.Replica.ID, (<-heard).ID)
	require.Equal(t, 1, f.count("Slots.Release"), "no call of its own")
}

func TestItemIsNotStartedOnALeavingReplica(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	other.states.leaving = []string{"rx"}
	granted := []Grant{
		{ID: 1, Class: Batch, Replica: replica.Replica{ID: "rx", DataCentre: "x"}},
		{ID: 2, Class: Batch, Replica: replica.Replica{ID: "ry", DataCentre: "y"}},
	}
	other.applyReply(broker.View.Self(), PollReply{Granted: granted, Notice: Notice{Current: true}}, false, false)
	require.Len(t, other.granted, 1)
	require.Equal(t, "ry", other.granted[0].Replica.ID)
	require.Eventually(t, func() bool { return f.count("Slots.Release") == 1 }, 5*time.Second, time.Millisecond)
}
