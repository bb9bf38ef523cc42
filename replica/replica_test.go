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
	v.ReplaceFromPeer(now, []Replica{ready("b", 1)})
	require.Equal(t, map[string]Replica{"b": ready("b", 1)}, v.Snapshot())
}

// Each row applies words about replica a in order; ready is what the view says then of
// the incarnation born at 5.
func TestLeavingIsMergedFromAllSources(t *testing.T) {
	mark := func(born int64) func(*View) {
		return func(v *View) { v.MarkLeaving(now, leaving("a", born), FromResponse) }
	}
	record := func(r Replica) func(*View) { return func(v *View) { v.Apply(now, change(r)) } }
	removed := func(v *View) { v.Apply(now, []Change{{ID: "a"}}) }
	fromPeer := func(r Replica) func(*View) { return func(v *View) { v.ReplaceFromPeer(now, []Replica{r}) } }
	rows := []struct {
		name    string
		words   []func(*View)
		leaving bool
	}{
		{"ready record", []func(*View){record(ready("a", 5))}, false},
		{"response", []func(*View){record(ready("a", 5)), mark(5)}, true},
		{"response before any record", []func(*View){mark(5)}, true},
		{"response, then an older record", []func(*View){mark(5), record(ready("a", 5))}, true},
		{"response, then the listing of a peer that has not heard", []func(*View){mark(5), fromPeer(ready("a", 5))}, true},
		{"response, record removed and written again", []func(*View){record(ready("a", 5)), mark(5), removed, record(ready("a", 5))}, true},
		{"response of the former incarnation", []func(*View){record(ready("a", 4)), mark(4), record(ready("a", 5))}, false},
		{"response of the former incarnation comes late", []func(*View){record(ready("a", 5)), mark(4)}, false},
		{"record", []func(*View){record(leaving("a", 5)), record(ready("a", 5))}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			v := NewView()
			for _, word := range row.words {
				word(v)
			}
			require.Equal(t, row.leaving, v.IsLeaving(ready("a", 5)))
			if r, ok := v.Snapshot()["a"]; ok {
				require.Equal(t, row.leaving, !r.Ready)
			}
		})
	}
}

func TestLeavingReplicasAreCountedBySource(t *testing.T) {
	v := NewView()
	v.Replace(now, []Replica{ready("a", 1), ready("b", 1), leaving("c", 1), ready("d", 1)})
	require.True(t, v.MarkLeaving(now, ready("a", 1), FromResponse))
	require.False(t, v.MarkLeaving(now, ready("a", 1), FromPeer), "known already")
	v.MarkLeaving(now, ready("b", 1), FromPeer)
	require.Equal(t, map[Source]int{FromResponse: 1, FromPeer: 1, FromRecord: 1}, v.CountLeaving())
	v.Apply(now, change(ready("a", 2)))
	require.Equal(t, map[Source]int{FromPeer: 1, FromRecord: 1}, v.CountLeaving())
}

func TestOldLeavingMarksAreDropped(t *testing.T) {
	v := NewView()
	v.MarkLeaving(now, ready("a", 1), FromResponse)
	require.Equal(t, []Incarnation{{"a", 1}}, v.RecentlyLeaving(now, ""))
	require.Empty(t, v.RecentlyLeaving(now.Add(recentLeaving), ""))
	v.MarkLeaving(now.Add(2*leavingRetention), ready("b", 1), FromResponse)
	require.False(t, v.IsLeaving(ready("a", 1)))
}
