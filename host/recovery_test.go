package host

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/jobs"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
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
