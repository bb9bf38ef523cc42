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

// TestPollerPollsUpstreamsWithoutRecentReport checks that a round polls only
// upstreams without a recent report and at most a fixed number of them, that one
// that returned no load is not polled again for a minute, and that one that
// reports leaving gets no more requests.
func TestPollerPollsUpstreamsWithoutRecentReport(t *testing.T) {
	f := newFixture(8)
	req := routing.Request{Doc: f.doc}
	polls := make(map[string]int)
	poller := &routing.Poller{Balancer: f.LoadAware, Fetch: func(_ context.Context, u *service.Upstream) (*upstream.Load, error) {
		polls[u.Name]++
		if u.Name == "u1" {
			return nil, errors.New("no load reported")
		}
		return &upstream.Load{At: f.clock.now, Running: 3, Leaving: u.Name == "u2"}, nil
	}}
	runRound := func(elapsed time.Duration) int {
		f.clock.now = f.clock.now.Add(elapsed)
		clear(polls)
		poller.PollOnce(t.Context())
		n := 0
		for _, c := range polls {
			n += c
		}
		return n
	}
	require.Zero(t, runRound(0), "no request of the service was routed yet")
	c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: "u0"})
	require.NoError(t, err)
	countChoices(t, f, 1, req, success)
	c.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now}})
	require.Equal(t, 4, runRound(time.Second), "maximum of one round")
	require.NotContains(t, polls, "u0")
	require.Equal(t, 3, runRound(time.Second))
	require.Zero(t, runRound(time.Second))
	require.Equal(t, 3, f.Activity(f.doc.Upstreams[3].Address).Load.Running)
	require.Zero(t, countChoices(t, f, 100, req, success)["u2"], "it reported leaving")
	for range 3 {
		runRound(5 * time.Second)
		require.NotContains(t, polls, "u1")
	}
	require.Positive(t, runRound(time.Minute))
	seen := polls["u1"]
	runRound(0)
	require.Positive(t, seen+polls["u1"])
	require.Zero(t, runRound(time.Hour), "no request for longer than the idle timeout")
}
