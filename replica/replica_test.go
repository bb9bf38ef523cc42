package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func ready(id string, born int64) Replica { return Replica{ID: id, Ready: true, Born: born} }

func leaving(id string, born int64) Replica { return Replica{ID: id, Born: born} }

func change(r Replica) []Change { return []Change{{ID: r.ID, Replica: &r}} }

func TestChangesAndListings(t *testing.T) {
	v := NewView()
	v.Replace(now, []Replica{ready("a", 1), ready("b", 1)})
	v.Apply(now, change(ready("c", 1)))
	v.Apply(now, []Change{{ID: "a"}, {ID: "unknown"}})
	require.Equal(t, map[string]Replica{"b": ready("b", 1), "c": ready("c", 1)}, v.Snapshot())
	v.Replace(now, []Replica{ready("c", 1)})
	require.Equal(t, map[string]Replica{"c": ready("c", 1)}, v.Snapshot())
}

// The store may return an older record after a newer one.
func TestLeavingPersistsUntilNextStart(t *testing.T) {
	v := NewView()
	v.Apply(now, change(leaving("a", 5)))
	v.Apply(now, change(ready("a", 5)))
	require.False(t, v.Snapshot()["a"].Ready, "the same start")
	v.Apply(now, []Change{{ID: "a"}})
	v.Apply(now, change(ready("a", 5)))
	require.False(t, v.Snapshot()["a"].Ready, "also after its removal")
	v.Apply(now, change(ready("a", 6)))
	require.True(t, v.Snapshot()["a"].Ready, "the next start")
	v.Apply(now, change(ready("a", 5)))
	require.EqualValues(t, 6, v.Snapshot()["a"].Born, "a record of an earlier start is out of date")
}

func TestRecordsExpiredDuringOutageMayReappear(t *testing.T) {
	v := NewView()
	v.Replace(now, []Replica{ready("a", 1), ready("b", 1)})
	v.SetOutageEnd(now)
	v.Replace(now, nil)
	require.Len(t, v.Snapshot(), 2, "their records may be written again")
	v.Apply(now, change(ready("a", 1)))
	removed, next := v.Expire(now)
	require.False(t, removed)
	require.Equal(t, now.Add(reappearTimeout), next)
	removed, _ = v.Expire(next)
	require.True(t, removed)
	require.Equal(t, map[string]Replica{"a": ready("a", 1)}, v.Snapshot(), "a replica still without a record is removed")
	v.Apply(next, []Change{{ID: "a"}})
	require.Empty(t, v.Snapshot(), "later removals apply at once")
}

func TestPeerListingReplacesViewAtOnce(t *testing.T) {
	v := NewView()
	v.Replace(now, []Replica{ready("a", 1)})
	v.SetOutageEnd(now)
	v.ReplaceFromPeer([]Replica{ready("b", 1)})
	require.Equal(t, map[string]Replica{"b": ready("b", 1)}, v.Snapshot())
}
