package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// batchCost measures the calls and bytes to the platform's service for each
// item of a job.
func batchCost() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "batchcost", Summary: "platform calls and bytes an item of a job",
		Targets: map[string]experiment.Target{"kv_calls_per_item": atMost(0.01), "items_lost": atMost(0)},
		Run:     runBatchCost,
	}
}

func runBatchCost(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 12)
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	time.Sleep(settle)
	idle := s.Store.Calls("", "")
	time.Sleep(time.Second)
	background := float64(s.Store.Calls("", "") - idle)
	j := s.job(env.Count(10000), env.Seed)
	j.Tokens = 8
	calls, bytes, begin := s.Store.Calls("", ""), s.Store.BytesWritten(), time.Now()
	accepted, err := j.Submit(ctx, s.client)
	if err != nil {
		return nil, err
	}
	bound, cancel := context.WithTimeout(ctx, env.Duration(40*time.Second))
	defer cancel()
	// The job is polled rarely, since each look reads from the platform.
	j.Poll = 2 * time.Second
	ended, err := j.Await(bound, s.client, accepted.ID)
	if err != nil {
		say(env, "job not ended: %v", err)
	}
	seconds := time.Since(begin).Seconds()
	used := float64(s.Store.Calls("", "")-calls) - background*seconds
	written := float64(s.Store.BytesWritten() - bytes)
	t, err := s.check(ctx, j, ended.OutputFileID, j.Target)
	if err != nil {
		return nil, err
	}
	n := float64(j.Items)
	return experiment.Figures{
		"kv_calls_per_item": max(0, used) / n, "kv_bytes_per_item": written / n, "input_bytes_per_item": float64(len(j.Lines())) / n,
		"items": n, "items_lost": float64(t.lost + t.twice + t.wrong), "items_per_s": n / seconds,
	}, nil
}
