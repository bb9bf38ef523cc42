package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// onlinePart is the part of the capacity that online requests take.
const onlinePart = 0.4

// mixed measures batch throughput and the harm done to online requests, for
// both users' weights.
func mixed() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "mixed", Summary: "batch throughput and harm to online latency, for both users' weights",
		Targets: map[string]experiment.Target{
			"kyushu_batch_of_idle": atLeast(0.90), "kyushu_ttft_p95_ratio": atMost(1.15),
			"bluemountain_batch_of_idle": atLeast(0.80), "bluemountain_ttft_p95_ratio": atMost(1.15),
			"bluemountain_ttft_p99_ratio": atMost(1.05),
		},
		Run: func(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
			out := experiment.Figures{}
			for _, u := range []user{kyushu(), blueMountain()} {
				if err := mixedUser(ctx, env, u, out); err != nil {
					return nil, err
				}
			}
			return out, nil
		},
	}
}

func mixedUser(ctx context.Context, env *experiment.Env, u user, out experiment.Figures) error {
	s, err := u.start(fleet.Spec{}, u.document())
	if err != nil {
		return err
	}
	defer s.close()
	capacity := s.capacity(ctx, env)
	say(env, "%s: capacity %.0f tokens/s", u.name, capacity)
	rate := onlinePart * capacity / float64(s.chat(0, 0).Tokens)
	alone := s.run(ctx, s.chat(rate, env.Seed), env.Duration(5*time.Second))
	say(env, "%s: online alone p95 %.1f ms", u.name, p95(alone))
	r, err := s.withBatch(ctx, env, rate)
	if err != nil {
		return err
	}
	idle := capacity - r.online
	out[u.name+"_capacity_tokens"] = capacity
	out[u.name+"_batch_of_idle"] = r.batch / idle
	out[u.name+"_ttft_p95_ratio"] = ratio(p95(r.stats), p95(alone))
	out[u.name+"_ttft_p99_ratio"] = ratio(p99(r.stats), p99(alone))
	out[u.name+"_online_failed"] = float64(r.stats.Failed + r.stats.Wrong + alone.Failed + alone.Wrong)
	out[u.name+"_online_refused"] = float64(r.stats.Refused + alone.Refused)
	ordinary, err := s.ordinary(ctx, env, rate, idle)
	if err != nil {
		return err
	}
	out[u.name+"_ordinary_batch_of_idle"] = ordinary.batch / idle
	out[u.name+"_ordinary_ttft_p95_ratio"] = ratio(p95(ordinary.stats), p95(alone))
	return nil
}

// together is what online and batch reached side by side, in tokens a second.
type together struct {
	stats  *load.Stats
	online float64
	batch  float64
}

// withBatch runs online load beside a batch job that does not end before it.
func (s *system) withBatch(ctx context.Context, env *experiment.Env, rate float64) (*together, error) {
	const length = 5 * time.Second
	jobs := []*load.Job{s.job(env.Count(8000), env.Seed+1)}
	for i, p := range s.user.places[1:] {
		j := s.job(env.Count(8000), env.Seed+2+uint64(i))
		j.Target = s.In(p.DataCentre)[0].Node.CallersAddress()
		jobs = append(jobs, j)
	}
	for _, j := range jobs {
		if _, err := j.Submit(ctx, s.client); err != nil {
			return nil, err
		}
	}
	// Slots grow one by one; the measurement begins once they have.
	s.run(ctx, s.chat(rate, env.Seed+5), env.Duration(3*time.Second))
	begin, from := time.Now(), s.generated()
	stats := s.run(ctx, s.chat(rate, env.Seed), env.Duration(length))
	seconds := time.Since(begin).Seconds()
	total := float64(s.generated()-from) / seconds
	online := float64(stats.Whole*s.chat(0, 0).Tokens) / seconds
	say(env, "%s: with batch p95 %.1f ms, batch %.0f tokens/s, slots given up: %v", s.user.name, p95(stats), total-online, s.slotCauses())
	return &together{stats: stats, online: online, batch: total - online}, nil
}

// slotCauses counts why replicas gave all batch slots up.
func (s *system) slotCauses() map[string]int {
	causes := make(map[string]int)
	for _, h := range s.Hosts {
		for _, e := range h.Node.Events().Events(func(e *timeline.Event) bool { return e.Kind == batch.EventSlotsRemoved }) {
			causes[e.Cause]++
		}
	}
	return causes
}

// ordinary is the baseline in which batch work is sent as online requests, as
// much as the idle capacity holds.
func (s *system) ordinary(ctx context.Context, env *experiment.Env, rate, idle float64) (*together, error) {
	fresh, err := s.user.start(fleet.Spec{}, withoutBatch(s.user.document()))
	if err != nil {
		return nil, err
	}
	defer fresh.close()
	online, work := fresh.chat(rate, env.Seed), fresh.chat(idle/32, env.Seed+9)
	work.Key, work.Tokens, work.Class = s.user.jobKey, 32, ""
	d := env.Duration(4 * time.Second)
	done := make(chan *load.Stats, 1)
	go func() { done <- fresh.run(ctx, work, d) }()
	begin := time.Now()
	stats := fresh.run(ctx, online, d)
	workStats := <-done
	return &together{stats: stats, batch: float64(workStats.Whole*work.Tokens) / time.Since(begin).Seconds()}, nil
}

func withoutBatch(d *service.Document) *service.Document {
	d.Batch.Enabled = false
	return d
}
