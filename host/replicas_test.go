package host

import (
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// readAt returns Replicas that have listed two replicas at revision 20 of the store and then seen
// one of them go at revision 30.
func readAt(t *testing.T) *Replicas {
	broker := slots.NewBroker(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), quietLog())
	r := newReplicas(broker, "dc", clockwork.NewRealClock(), quietLog())
	var items []txn.Item
	for _, name := range []string{"kept", "gone"} {
		of := platformtest.NewReplica(name, 4, 0)
		t.Cleanup(of.Close)
		w := of.Record("svc", "dc", "ready", 4)
		items = append(items, txn.Item{Key: w.Key, Value: w.Value, Rev: 10})
	}
	r.replace(t.Context(), items)
	r.readTo(20)
	r.apply(t.Context(), []txn.Item{{Key: items[1].Key, Rev: 30, Deleted: true}})
	r.readTo(30)
	return r
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
