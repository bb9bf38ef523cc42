package routing_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// TestPollerAsksQuietUpstreams: each quiet upstream is asked in turn, a bounded
// number a round; one that answers requests is not; one that does not tell is
// left alone for a minute; one that says that it leaves gets no more work.
func TestPollerAsksQuietUpstreams(t *testing.T) {
	f := newFixture(8)
	ask := routing.Request{Doc: f.doc}
	asked := make(map[string]int)
	poller := &routing.Poller{Balancer: f.LoadAware, Fetch: func(_ context.Context, u *service.Upstream) (*upstream.Load, error) {
		asked[u.Name]++
		if u.Name == "u1" {
			return nil, errors.New("not told")
		}
		return &upstream.Load{At: f.clock.now, Running: 3, Leaving: u.Name == "u2"}, nil
	}}
	round := func(after time.Duration) int {
		f.clock.now = f.clock.now.Add(after)
		clear(asked)
		poller.PollOnce(t.Context())
		n := 0
		for _, c := range asked {
			n += c
		}
		return n
	}
	require.Zero(t, round(0), "nothing is known of the service yet")
	c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: "u0"})
	require.NoError(t, err)
	chosen(t, f, 1, ask, succeeds)
	c.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now}})
	require.Equal(t, 4, round(time.Second), "a round is bounded")
	require.NotContains(t, asked, "u0")
	require.Equal(t, 3, round(time.Second))
	require.Zero(t, round(time.Second))
	require.Equal(t, 3, f.Activity(f.doc.Upstreams[3].Address).Load.Running)
	require.Zero(t, chosen(t, f, 100, ask, succeeds)["u2"], "it said that it leaves")
	for range 3 {
		round(5 * time.Second)
		require.NotContains(t, asked, "u1")
	}
	require.Positive(t, round(time.Minute))
	seen := asked["u1"]
	round(0)
	require.Positive(t, seen+asked["u1"])
	require.Zero(t, round(time.Hour), "no request came for long")
}
