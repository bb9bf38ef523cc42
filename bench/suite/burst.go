package suite

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// burstFactor is how much more online load a burst brings.
const burstFactor = 10

// burst measures how fast batch items leave the replicas when online load
// rises tenfold for two seconds.
func burst() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "burst", Summary: "batch items leave the replicas at a tenfold burst of online load",
		Targets: map[string]experiment.Target{
			// One decode step of the stand-in engine, 21.9 ms with every place
			// taken, and one hop between hosts.
			"evict_ms_p99": atMost(25), "online_p99_ratio": atMost(1.05), "tokens_wasted_ratio": atMost(0.02),
		},
		Run: runBurst,
	}
}

func runBurst(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 6)
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	capacity := s.capacity(ctx, env)
	rate := 0.08 * capacity / float64(s.chat(0, 0).Tokens)
	length := env.Duration(2 * time.Second)
	s.run(ctx, s.chat(rate, env.Seed), env.Duration(time.Second))
	quiet := s.run(ctx, s.chat(rate*burstFactor, env.Seed+1), length)
	say(env, "burst without batch: p99 %.1f ms", p99(quiet))

	if _, err := s.job(env.Count(20000), env.Seed+2).Submit(ctx, s.client); err != nil {
		return nil, err
	}
	evictions := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var worst float64
	rounds := 3
	before := s.generated()
	online := 0
	for i := range rounds {
		online += s.run(ctx, s.chat(rate, env.Seed+3), env.Duration(3*time.Second)).Whole
		stats, evicted := s.burstOnce(ctx, rate*burstFactor, env.Seed+1, length)
		online += stats.Whole
		_ = evictions.RecordValue(evicted.Microseconds())
		worst = max(worst, p99(stats))
		say(env, "burst %d: batch left after %.1f ms, p99 %.1f ms", i+1, millis(evicted), p99(stats))
	}
	wasted := float64(s.wastedTokens())
	batch := float64(s.generated()-before) - float64(online*s.chat(0, 0).Tokens)
	return experiment.Figures{
		"evict_ms_p99": millis(load.Percentile(evictions, 99)), "online_p99_ratio": ratio(worst, p99(quiet)),
		"tokens_wasted_ratio": wasted / max(1, batch), "batch_tokens": batch, "rounds": float64(rounds),
	}, nil
}

// burstOnce sends a burst and measures the time until no batch item is left.
func (s *system) burstOnce(ctx context.Context, rate float64, seed uint64, length time.Duration) (*load.Stats, time.Duration) {
	done := make(chan *load.Stats, 1)
	begin := time.Now()
	go func() { done <- s.run(ctx, s.chat(rate, seed), length) }()
	evicted := length
	for time.Since(begin) < length {
		if s.batchRunning() == 0 {
			evicted = time.Since(begin)
			break
		}
		time.Sleep(200 * time.Microsecond)
	}
	return <-done, evicted
}
