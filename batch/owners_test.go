package batch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

func TestReplicaOwnersFollowMembershipChanges(t *testing.T) {
	a, b := membership.Host{Name: "a", DataCentre: "dc"}, membership.Host{Name: "b", DataCentre: "dc"}
	view := membership.NewStatic(a, b)
	var o replicaOwners
	owned := func() map[string]int {
		o.refresh(view.Changed())
		count := make(map[string]int)
		for _, key := range []string{"s/1", "s/2", "s/3", "s/4", "s/5", "s/6", "s/7", "s/8"} {
			count[o.of(view.Local(), key)[0].Name]++
		}
		return count
	}
	before := owned()
	require.Positive(t, before["a"])
	require.Positive(t, before["b"])
	require.Equal(t, before, owned())
	b.State = membership.Gone
	view.Set([]membership.Host{b})
	require.Equal(t, map[string]int{"a": 8}, owned())
}
