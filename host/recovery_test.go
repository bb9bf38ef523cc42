package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/jobs"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// A job of this host names results that can't be read. The host must all the same take over
// the jobs of hosts that are lost.
func TestUnreadableJobDoesNotHoldUpTheRecovery(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	unreadable, err := cbor.Marshal(jobs.Head{
		Owner: "b", Incarnation: 1, RouteHost: "h.example", RoutePrefix: "/b/", CreatedMs: time.Now().UnixMilli(), RunTargetMs: 1000,
		RetentionMs: 600_000, ItemCount: 2, ItemChunks: 1, ChunkStarts: []int{0}, ResultCount: 1, DataCentre: "dc",
	})
	require.NoError(t, err)
	f.put(txn.Write{Key: "batch/job/unreadable", Value: unreadable})
	a := f.start("a")
	for _, r := range f.replicas {
		r.Close()
	}
	f.submit(a, "job", 4)
	lease := a.presence.leaseID
	f.kill("a")
	require.NoError(t, f.store.Expire(lease))
	f.addReplica("new", "", time.Millisecond)
	b := f.start("b")
	require.Eventually(t, func() bool { return f.countResults(b, "job") == 4 }, 25*time.Second, 50*time.Millisecond)
}

// A host accepts a job while the others have lost sight of it, and is lost before they see
// it again: nobody sees it go. Its job must be finished all the same.
func TestJobOfALostHostThatNobodySawIsFinished(t *testing.T) {
	f := newFleet(t, 100*time.Millisecond)
	broker, other := f.startPair()
	time.Sleep(recoveryDelay + time.Second) // after the search that follows the start
	name := other.settings.Host
	f.removeRecord(name)
	loseSight(broker, name)
	f.submit(other, "job", 4)
	lease := other.presence.leaseID
	f.kill(name)
	require.NoError(t, f.store.Expire(lease))
	f.removeRecord(name)
	loseSight(broker, name)
	require.Eventually(t, func() bool { return f.countResults(broker, "job") == 4 }, 40*time.Second, 100*time.Millisecond)
}

// The view of a host is wrong about another one that lives and has its record. Its jobs stay
// with it.
func TestJobOfARegisteredHostIsNotTakenOver(t *testing.T) {
	f := newFleet(t, 100*time.Millisecond)
	broker, other := f.startPair()
	f.submit(other, "job", 4)
	loseSight(broker, other.settings.Host)
	require.NoError(t, broker.jobs.Recover(t.Context(), true))
	require.Eventually(t, func() bool { return f.countResults(other, "job") == 4 }, 20*time.Second, 50*time.Millisecond)
	runs := 0
	for _, r := range f.replicas {
		for i := range 4 {
			begun, _ := r.RunCounts(platformtest.ItemID("job", i))
			runs += begun
		}
	}
	require.Equal(t, 4, runs)
}

// The operator asks to empty storage hosts. Of the three hosts that were to report one as empty
// none may have seen the request, since only brokers watch the store: it was never reported.
func TestStorageHostIsReportedAsEmpty(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	for i := range 4 {
		f.start(fmt.Sprint("a", i))
		f.startAt(fmt.Sprint("b", i), "other", f.address)
	}
	f.awaitView()
	// Watches that hosts began before they knew the broker end.
	time.Sleep(confirmedWatchTimeout + time.Second)
	var reports []string
	for i := range 8 {
		request, report := platformtest.Retire(fmt.Sprint("storage-", i))
		f.put(request)
		reports = append(reports, report)
	}
	for _, report := range reports {
		require.Eventually(t, func() bool {
			_, err := f.store.Get(t.Context(), report)
			return err == nil
		}, 2*testTimeout, 10*time.Millisecond, report)
	}
}
