package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := NewTable(1, Limits{}, []*Route{
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}, []Service{{Name: "s"}})
	rows := []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"},
		{"h", "/a/b", "short"},
		{"h", "/a", "root"},
		{"h:8080", "/a/x", "short"},
		{"g", "/a/", "other"},
		{"g", "/", ""},
		{"none", "/a/", ""},
	}
	for _, row := range rows {
		r := table.Match(row.host, row.path)
		require.Equal(t, row.want == "", r == nil, "%s%s", row.host, row.path)
		if r != nil {
			require.Equal(t, row.want, r.Name, "%s%s", row.host, row.path)
		}
	}
	require.True(t, table.HasHost("h:1"))
	require.False(t, table.HasHost("none"))
	_, ok := table.ServiceOf("none")
	require.False(t, ok)
}

func TestSplitByWeight(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	got := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint(i)
		require.Equal(t, r.Service(id), r.Service(id))
		got[r.Service(id)]++
	}
	require.InDelta(t, 9000, got["a"], 200)
	require.Zero(t, got["c"])
	require.Equal(t, "a", (&Route{Targets: []Target{{"a", 0}}}).Service("x"))
}

func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Repeatable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
	require.False(t, (&Route{Kind: Stream}).Repeatable())
	require.False(t, (&Route{Kind: AtMostOnce, Resumable: true}).Repeatable())
}
