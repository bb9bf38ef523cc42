package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// drain stops a host and takes an upstream away under load.
func drain() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "drain", Summary: "requests cut by a planned stop, and work that a leaving upstream still gets",
		Targets: map[string]experiment.Target{"requests_cut": atMost(0), "work_after_leaving_ms": atMost(3000), "leaving_failed": atMost(0)},
		Run:     runDrain,
	}
}

func runDrain(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 6)
	d.Batch.Enabled = false
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	cut, err := s.stopHost(ctx, env)
	if err != nil {
		return nil, err
	}
	late, failed := s.leaveUpstream(ctx, env)
	return experiment.Figures{"requests_cut": float64(cut), "work_after_leaving_ms": millis(late), "leaving_failed": float64(failed)}, nil
}

// stopHost stops the first host under load of short and long streams. The
// callers of that host stop sending when its readiness is off, as a balancer
// makes them do.
func (s *system) stopHost(ctx context.Context, env *experiment.Env) (int, error) {
	victim := s.Hosts[0]
	// Together they stay under the part of the replicas that one host may use.
	short, long := s.chat(50, env.Seed), s.chat(5, env.Seed+1)
	short.Targets, long.Targets = s.targets()[:1], s.targets()[:1]
	long.Tokens = 300
	sending, stop := context.WithCancel(ctx)
	defer stop()
	shortStats, longStats := load.NewStats(), load.NewStats()
	done := make(chan struct{}, 2)
	go func() { short.Run(sending, s.client, shortStats); done <- struct{}{} }()
	go func() { long.Run(sending, s.client, longStats); done <- struct{}{} }()
	time.Sleep(env.Duration(2 * time.Second))
	stopped := make(chan error, 1)
	go func() { stopped <- victim.Node.Stop(ctx) }()
	for victim.Node.Ready() {
		time.Sleep(time.Millisecond)
	}
	// The balancer sees the readiness a little later.
	time.Sleep(victim.Settings.Stop.BalancerDelay / 2)
	stop()
	<-done
	<-done
	err := <-stopped
	cut := shortStats.Failed + shortStats.Wrong + longStats.Failed + longStats.Wrong
	say(env, "planned stop: %d short and %d long answers whole, %d cut, %d refused %v %v", shortStats.Whole, longStats.Whole, cut,
		shortStats.Refused+longStats.Refused, shortStats.Errors, longStats.Errors)
	return cut + shortStats.Refused + longStats.Refused, err
}

// leaveUpstream makes an upstream leave and returns how long it still got new
// work, and how many requests failed meanwhile.
func (s *system) leaveUpstream(ctx context.Context, env *experiment.Env) (late time.Duration, failed int) {
	name := s.doc.Upstreams[0].Name
	e := s.Engines[name]
	chat := s.chat(200, env.Seed+2)
	chat.Targets = s.targets()[1:]
	const watched = 6 * time.Second
	length := watched + 2*time.Second
	done := make(chan *load.Stats, 1)
	go func() { done <- s.run(ctx, chat, length) }()
	time.Sleep(time.Second)
	e.SetLeaving(true)
	begin := time.Now()
	asked := e.Asked()
	for time.Since(begin) < watched {
		if n := e.Asked(); n != asked {
			asked, late = n, time.Since(begin)
		}
		time.Sleep(time.Millisecond)
	}
	stats := <-done
	return late, stats.Failed + stats.Wrong
}
