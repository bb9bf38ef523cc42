package suite

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// overload measures goodput, refusals, fairness and retries above capacity.
func overload() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "overload", Summary: "goodput, refusals, fairness and retries at 2x and 5x capacity",
		Targets: map[string]experiment.Target{
			"goodput_2x": atLeast(0.95), "goodput_5x": atLeast(0.95), "reject_ms_p99": atMost(50),
			"victim_goodput_ratio": atLeast(0.95), "retry_load_ratio": atMost(0.10),
		},
		Run: runOverload,
	}
}

func runOverload(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 4)
	d.Batch.Enabled = false
	// A few more than an engine runs, so that a place that falls free is taken
	// at its next step.
	d.Routing.Concurrency = engineOptions(nil).MaxRunning * 9 / 8
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	capacity := s.capacity(ctx, env) / float64(s.chat(0, 0).Tokens)
	say(env, "capacity %.0f requests/s", capacity)
	out := experiment.Figures{"capacity_requests": capacity}
	length := env.Duration(4 * time.Second)
	var rejects float64
	for name, factor := range map[string]float64{"goodput_2x": 2, "goodput_5x": 5} {
		stats, rate := s.goodput(ctx, s.chat(factor*capacity, env.Seed), length)
		out[name] = rate / capacity
		rejects = max(rejects, millis(load.Percentile(stats.Refusal, 99)))
		say(env, "%s: goodput %.2f, refused %d in p99 %.1f ms, failed %d", name, out[name], stats.Refused,
			millis(load.Percentile(stats.Refusal, 99)), stats.Failed)
		out[name+"_failed"] = float64(stats.Failed + stats.Wrong)
		out[name+"_ttft_p95_ms"] = p95(stats)
	}
	out["reject_ms_p99"] = rejects
	out["victim_goodput_ratio"] = s.victims(ctx, env, capacity)
	out["retry_load_ratio"] = s.retryLoad(ctx, env, capacity)
	return out, nil
}

// goodput sends the load for length and returns the whole answers a second,
// counted after the queues have filled and before the load ends.
func (s *system) goodput(ctx context.Context, c *load.Chat, length time.Duration) (*load.Stats, float64) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	stats := load.NewStats()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx, s.client, stats)
	}()
	time.Sleep(length / 4)
	begin, from := time.Now(), stats.WholeSoFar()
	time.Sleep(length / 2)
	rate := float64(stats.WholeSoFar()-from) / time.Since(begin).Seconds()
	<-done
	return stats, rate
}

// quietCaller is a caller that sends no more than its share.
type quietCaller struct {
	key  string
	rate float64
}

// victims compares the goodput of two callers with and without a third that
// sends ten times its share.
func (s *system) victims(ctx context.Context, env *experiment.Env, capacity float64) float64 {
	length := env.Duration(4 * time.Second)
	share := 0.8 * capacity / 5
	quiet := []quietCaller{{examples.KeyCrews, 3 * share}, {examples.KeyOrganisers, share}}
	run := func(noisy float64) int {
		var group sync.WaitGroup
		whole := make([]int, len(quiet))
		for i, q := range quiet {
			c := s.chat(q.rate, env.Seed+uint64(i))
			c.Key = q.key
			group.Go(func() { whole[i] = s.run(ctx, c, length).Whole })
		}
		c := s.chat(noisy, env.Seed+20)
		c.Key = s.user.jobKey
		group.Go(func() { s.run(ctx, c, length) })
		group.Wait()
		return whole[0] + whole[1]
	}
	calm := run(share)
	loud := run(10 * share)
	say(env, "victims: %d answers beside a calm caller, %d beside a loud one", calm, loud)
	return float64(loud) / float64(calm)
}

// retryLoad measures the tries above one a request while one of the replicas
// fails every request.
func (s *system) retryLoad(ctx context.Context, env *experiment.Env, capacity float64) float64 {
	s.Engines[s.doc.Upstreams[0].Name].Kill()
	before := s.cost(accounting.Retries)
	stats := s.run(ctx, s.chat(2*capacity, env.Seed+30), env.Duration(3*time.Second))
	return float64(s.cost(accounting.Retries)-before) / float64(max(1, stats.Sent))
}
