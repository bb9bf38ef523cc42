package host

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// readAt returns Replicas that have listed two replicas at revision 20 of the store and then seen
// one of them go at revision 30.
func readAt(t *testing.T) *Replicas {
	r, items := list(t, clockwork.NewRealClock(), func() time.Duration { return 0 })
	r.apply(t.Context(), []txn.Item{{Key: items[1].Key, Rev: 30, Deleted: true}})
	r.readTo(30)
	return r
}

// list returns Replicas that have listed two replicas at revision 20 of the store.
func list(t *testing.T, clock clockwork.Clock, contactLasted func() time.Duration) (*Replicas, []txn.Item) {
	broker := slots.NewBroker(clock, rand.New(rand.NewPCG(1, 1)), quietLog())
	r := newReplicas(broker, "dc", clock, quietLog(), contactLasted)
	var items []txn.Item
	for _, name := range []string{"kept", "gone"} {
		of := platformtest.NewReplica(name, 4, 0)
		t.Cleanup(of.Close)
		w := of.Record("svc", "dc", "ready", 4)
		items = append(items, txn.Item{Key: w.Key, Value: w.Value, Rev: 10})
	}
	r.replace(t.Context(), items)
	r.readTo(20)
	return r, items
}

func ids(all []replica.Replica) []string {
	var ids []string
	for _, r := range all {
		ids = append(ids, r.ID)
	}
	return ids
}

// A broker that the store has stopped to answer names a replica that has left.
func TestReplicaThatHasLeftDoesNotComeBackWithOlderRecords(t *testing.T) {
	older := []replica.Replica{{ID: "kept", Service: "svc"}, {ID: "gone", Service: "svc"}}
	rows := []struct {
		name      string
		rev       txn.Rev
		wantNewer txn.Rev
		want      []string
	}{
		{"older", 29, 30, []string{"kept"}},
		{"as old", 30, 0, []string{"kept", "gone"}},
		{"newer", 31, 0, []string{"kept", "gone"}},
		{"unknown", 0, 0, []string{"kept", "gone"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := readAt(t)
			require.Equal(t, []string{"kept"}, ids(r.snapshot()))
			require.Equal(t, row.wantNewer, r.replaceFromPeer(older, row.rev))
			got, rev := r.snapshotAt()
			require.ElementsMatch(t, row.want, ids(got))
			require.Equal(t, max(row.rev, row.wantNewer), rev)
		})
	}
}

// A broker of an older build, whose records have no revision, names a replica that has left. The
// watch went on after the replica's end, so that the replica stayed until the host was restarted.
func TestReplicaThatHasLeftIsRemovedOnceTheStoreIsReadAgain(t *testing.T) {
	store := txntest.NewStore()
	left := platformtest.NewReplica("left", 1, time.Millisecond)
	t.Cleanup(left.Close)
	record := left.Record("svc", "dc", "ready", 4)
	put := func(req txn.Request) {
		_, err := store.Commit(t.Context(), req)
		require.NoError(t, err)
	}
	put(txn.Request{Writes: []txn.Write{record}})
	r := newReplicas(slots.NewBroker(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), quietLog()), "dc", clockwork.NewRealClock(), quietLog(), func() time.Duration { return 0 })
	w := &Watcher{
		name: "replicas", store: store, prefix: platform.ReplicaPrefix, clock: clockwork.NewRealClock(), log: quietLog(),
		onList: func(ctx context.Context, items []txn.Item, _ txn.Rev) { r.replace(ctx, items) }, onChanges: r.apply, onRead: r.readTo, outdated: r.isOutdated,
		watchTimeout: func() time.Duration { return 20 * time.Millisecond },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	require.Eventually(t, func() bool { return len(r.snapshot()) == 1 }, testTimeout, time.Millisecond)
	known := r.snapshot()
	put(txn.Request{Remove: []string{record.Key}})
	require.Eventually(t, func() bool { return len(r.snapshot()) == 0 }, testTimeout, time.Millisecond)
	require.Zero(t, r.replaceFromPeer(known, 0))
	require.Len(t, r.snapshot(), 1)
	require.Eventually(t, func() bool { return len(r.snapshot()) == 0 }, testTimeout, time.Millisecond)
}

// The store's revisions count, not the order of arrival: what is read later may be older.
func TestListingReplacesWhatAPeerHasSent(t *testing.T) {
	r := readAt(t)
	require.Zero(t, r.replaceFromPeer([]replica.Replica{{ID: "p", Service: "svc"}}, 40))
	r.readTo(35)
	_, rev := r.snapshotAt()
	require.EqualValues(t, 40, rev)
	r.replace(t.Context(), nil)
	r.readTo(38)
	got, rev := r.snapshotAt()
	require.Empty(t, got)
	require.EqualValues(t, 38, rev)
}

// A host reads no replica records while another one is the broker, so its last read may have
// failed long ago.
func TestReplicaThatLeftLongAfterAnOutageIsNotKept(t *testing.T) {
	for _, row := range []struct {
		lasted time.Duration
		kept   time.Duration
	}{
		{0, 2 * time.Second},
		{500 * time.Millisecond, 1500 * time.Millisecond},
		{3 * time.Second, 0},
	} {
		t.Run(row.lasted.String(), func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r, items := list(t, clock, func() time.Duration { return row.lasted })
			r.markStoreUnavailable()
			clock.Advance(5 * time.Second)
			r.replace(t.Context(), items[:1])
			if row.kept > 0 {
				clock.Advance(row.kept - time.Millisecond)
				require.ElementsMatch(t, []string{"kept", "gone"}, ids(r.snapshot()))
				clock.Advance(2 * time.Millisecond)
			}
			require.Eventually(t, func() bool { return len(r.snapshot()) == 1 }, time.Second, time.Millisecond)
			require.Equal(t, []string{"kept"}, ids(r.snapshot()))
		})
	}
}
