package suite

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/gateway"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// ledgerCost measures the calls to the platform's service for requests that
// run at most once, and the runs of requests that their callers send twice.
func ledgerCost() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "ledger", Summary: "platform calls a request that runs at most once, and double runs",
		Targets: map[string]experiment.Target{"kv_calls_per_request": atMost(0.05), "runs_twice": atMost(0), "failed": atMost(0)},
		Run:     runLedgerCost,
	}
}

func runLedgerCost(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 12)
	d.Batch.Enabled = false
	d.Once.Shards = 4
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	time.Sleep(settle)
	idle := s.Store.Calls("", "")
	time.Sleep(time.Second)
	background := float64(s.Store.Calls("", "") - idle)
	length := env.Duration(5 * time.Second)
	chat := s.chat(1200, env.Seed)
	chat.Once, chat.Tokens = true, 4
	from, begin := s.Store.Calls("", ""), time.Now()
	stats := s.run(ctx, chat, length)
	calls := float64(s.Store.Calls("", "")-from) - background*time.Since(begin).Seconds()
	say(env, "%d requests, %.0f calls, %d refused, %d failed %v", stats.Sent, calls, stats.Refused, stats.Failed, stats.Errors)
	twice := s.sendTwice(ctx, env.Count(200))
	return experiment.Figures{
		"kv_calls_per_request": max(0, calls) / float64(max(1, stats.Whole)), "requests": float64(stats.Whole),
		"failed": float64(stats.Failed + stats.Wrong + stats.Refused), "runs_twice": float64(twice), "ttft_p95_ms": p95(stats),
	}, nil
}

// sendTwice sends each request to two hosts at the same time and returns how
// many ran more than once.
func (s *system) sendTwice(ctx context.Context, n int) int {
	targets := s.targets()
	var group sync.WaitGroup
	before := s.totalRuns()
	for i := range n {
		body := string(load.ChatBody(s.user.model, fmt.Sprintf("twice %d", i), 2, false))
		for k := range 2 {
			group.Go(func() { s.sendOnce(ctx, targets[(i+k)%len(targets)], body, fmt.Sprintf("twice-%d", i)) })
		}
		if i%20 == 0 {
			group.Wait()
		}
	}
	group.Wait()
	return max(0, s.totalRuns()-before-n)
}

func (s *system) totalRuns() int {
	n := 0
	for _, e := range s.Engines {
		n += e.TotalRuns()
	}
	return n
}

func (s *system) sendOnce(ctx context.Context, target, body, key string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+upstream.PathChat, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.user.chatKey)
	req.Header.Set(gateway.HeaderIdempotencyKey, key)
	req.Header.Set(gateway.HeaderRepeat, "never")
	if res, err := s.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
