package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// callUntilRunOn makes requests to a host until the replica has run one.
func callUntilRunOn(t *testing.T, h *Host, r *platformtest.Replica, prefix string) {
	for i := range 100 {
		id := fmt.Sprint(prefix, i)
		_, err := call(h, id)
		require.NoError(t, err)
		if begun, _ := r.RunCounts(id); begun > 0 {
			return
		}
	}
	t.Fatalf("replica %s gets no requests", r.ID)
}

// total returns the number of runs of a replica.
func total(r *platformtest.Replica) int {
	n := 0
	for _, runs := range r.Runs() {
		n += runs
	}
	return n
}

// The record of the replica says that it is ready, and the store is away: only its
// responses say that it leaves.
func TestReplicaThatSaysInAResponseThatItLeavesGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	callUntilRunOn(t, a, f.replicas[0], "before")
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	f.replicas[0].SetLeaving(true)
	callUntilRunOn(t, a, f.replicas[0], "says")
	runs := total(f.replicas[0])
	for i := range 30 {
		got, err := call(a, fmt.Sprint("after", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.Status)
		got, err = platformtest.Call(a.settings.Callers, http.MethodPost, "/o/x", fmt.Sprint("once", i), "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.Status)
	}
	require.Equal(t, runs, total(f.replicas[0]))
}

func TestItemsAreNotRunOnAReplicaThatSaysThatItLeaves(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	f.replicas[0].SetLeaving(true)
	callUntilRunOn(t, a, f.replicas[0], "says")
	runs := total(f.replicas[0])
	f.submit(a, "job", 20)
	require.Eventually(t, func() bool { return f.countResults(a, "job") == 20 }, 20*time.Second, 50*time.Millisecond)
	require.Equal(t, runs, total(f.replicas[0]))
}

// The other host of the data centre learns it from the broker.
func TestOtherHostsHearThatAReplicaLeaves(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a, b := f.start("a"), f.start("b")
	require.Eventually(t, func() bool { return len(a.view.Local()) == 2 && len(b.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	f.replicas[0].SetLeaving(true)
	callUntilRunOn(t, a, f.replicas[0], "says")
	require.Eventually(t, func() bool {
		runs := total(f.replicas[0])
		for i := range 10 {
			_, err := call(b, fmt.Sprint("b", runs, "-", i))
			require.NoError(t, err)
		}
		return runs == total(f.replicas[0])
	}, 2*time.Second, 10*time.Millisecond)
}

// All replicas of the service say that they leave: callers are told at once when to come
// back.
func TestRequestIsRefusedAtOnceIfAllReplicasLeave(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	for _, r := range f.replicas {
		r.SetLeaving(true)
		callUntilRunOn(t, a, r, "says-"+r.ID+"-")
	}
	start := time.Now()
	got, err := call(a, "after")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
	require.Less(t, time.Since(start), time.Second)
}

// Another incarnation begins under the ID of a replica that left.
func TestReplicaThatStartedAgainGetsRequests(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	f.replicas[0].SetLeaving(true)
	callUntilRunOn(t, a, f.replicas[0], "says")
	f.replicas[0].SetLeaving(false)
	f.replicas[0].SetBorn(2)
	f.put(f.replicas[0].Record("svc", "dc", "ready", 4))
	require.Eventually(t, func() bool {
		runs := total(f.replicas[0])
		_, err := call(a, fmt.Sprint("again", runs, time.Now().UnixNano()))
		require.NoError(t, err)
		return total(f.replicas[0]) > runs
	}, 5*time.Second, 10*time.Millisecond)
}
