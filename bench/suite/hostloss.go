package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// hostLoss kills hosts in the middle of a batch job and checks every item.
func hostLoss() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "hostloss", Summary: "items of a job lost or doubled when hosts are lost",
		Targets: map[string]experiment.Target{
			"items_lost": atMost(0), "items_twice": atMost(0), "items_wrong": atMost(0), "items_failed": atMost(0),
			"runs_wasted_of_in_flight": atMost(1),
		},
		Run: runHostLoss,
	}
}

func runHostLoss(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(4, 6)
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	j := s.job(env.Count(4000), env.Seed)
	// The last host stays; the job is sent to the first, which is lost.
	stays := s.Hosts[len(s.Hosts)-1].Node.CallersAddress()
	accepted, err := j.Submit(ctx, s.client)
	if err != nil {
		return nil, err
	}
	inFlight := 0
	for _, victim := range s.Hosts[:2] {
		time.Sleep(env.Duration(1500 * time.Millisecond))
		inFlight += s.batchRunning()
		victim.Kill()
		say(env, "host %s lost", victim.Settings.Host)
	}
	waiter := &load.Job{Target: stays, Key: j.Key}
	ctx, cancel := context.WithTimeout(ctx, env.Duration(40*time.Second))
	defer cancel()
	ended, err := waiter.Await(ctx, s.client, accepted.ID)
	if err != nil {
		say(env, "job not ended: %v", err)
	}
	t, err := s.check(context.WithoutCancel(ctx), j, ended.OutputFileID, stays)
	if err != nil {
		return nil, err
	}
	runs := 0
	for _, e := range s.Engines {
		runs += e.TotalRuns() - int(e.Stats().Resumes)
	}
	wasted := runs - j.Items
	return experiment.Figures{
		"items": float64(j.Items), "items_lost": float64(t.lost), "items_twice": float64(t.twice),
		"items_wrong": float64(t.wrong), "items_failed": float64(t.failed), "runs_wasted": float64(wasted),
		"runs_wasted_of_in_flight": float64(wasted) / float64(max(1, inFlight)),
	}, nil
}
