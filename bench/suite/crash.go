package suite

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// crashMarker is the word that crashes a stand-in engine.
const crashMarker = "CRASHME"

// crash measures the replicas lost to requests that crash every upstream and
// are sent again by their caller.
func crash() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "crash", Summary: "replicas lost to requests that crash upstreams, with and without the defence",
		Targets: map[string]experiment.Target{
			"replicas_lost_per_request": atMost(3), "innocent_refused": atMost(0), "innocent_p99_ratio": atMost(2),
		},
		Run: runCrash,
	}
}

func runCrash(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	out := experiment.Figures{"replicas_lost_per_request": 0, "innocent_refused": 0, "innocent_p99_ratio": 0}
	for _, n := range []int{1, 3} {
		with, err := crashRun(ctx, env, n, true, 3)
		if err != nil {
			return nil, err
		}
		out["replicas_lost_per_request"] = max(out["replicas_lost_per_request"], with.lost)
		out["innocent_refused"] += with.refused
		out["innocent_failed"] += with.failed
		out["innocent_p99_ratio"] = max(out["innocent_p99_ratio"], with.p99Ratio)
	}
	without, err := crashRun(ctx, env, 1, false, 3)
	if err != nil {
		return nil, err
	}
	limited, err := crashRun(ctx, env, 1, false, 1)
	if err != nil {
		return nil, err
	}
	out["replicas_lost_no_defence"] = without.lost
	out["innocent_failed_no_defence"] = without.failed
	out["replicas_lost_one_try"] = limited.lost
	return out, nil
}

// crashOutcome is what one run with crashing requests saw.
type crashOutcome struct {
	lost     float64
	refused  float64
	failed   float64
	p99Ratio float64
}

// resends is how often a caller sends its crashing request.
const resends = 8

func crashRun(ctx context.Context, env *experiment.Env, requests int, defence bool, tries int) (*crashOutcome, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 12)
	d.Quarantine.Enabled = defence
	d.Routing.MaxTries = tries
	s, err := narrow.start(fleet.Spec{Engine: func(up *service.Upstream) upstreamtest.Options {
		o := engineOptions(up)
		o.CrashMarker = crashMarker
		o.RestartTime = 300 * time.Millisecond
		return o
	}}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	chat := s.chat(200, env.Seed)
	calm := s.run(ctx, chat, env.Duration(2*time.Second))
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() { s.resendCrash(ctx, i) })
	}
	stats := s.run(ctx, chat, env.Duration(5*time.Second))
	group.Wait()
	var crashes int64
	for _, e := range s.Engines {
		crashes += e.Stats().Crashes
	}
	r := &crashOutcome{
		lost: float64(crashes) / float64(requests), refused: float64(stats.Refused),
		failed: float64(stats.Failed + stats.Wrong), p99Ratio: ratio(p99(stats), p99(calm)),
	}
	say(env, "%d requests, defence %t, %d tries: %.1f replicas lost a request, innocent failed %.0f refused %.0f, p99 ratio %.2f",
		requests, defence, tries, r.lost, r.failed, r.refused, r.p99Ratio)
	return r, nil
}

// resendCrash sends one crashing request again and again, to another host each
// time.
func (s *system) resendCrash(ctx context.Context, n int) {
	targets := s.targets()
	body := load.ChatBody(s.user.model, crashMarker+" "+string(rune('a'+n)), 8, true)
	for i := range resends {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+targets[(n+i)%len(targets)]+upstream.PathChat, bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+s.user.chatKey)
		if res, err := s.client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}
