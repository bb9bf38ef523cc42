package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// cutOff cuts a data centre off from the platform and measures what it still
// serves.
func cutOff() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "cutoff", Summary: "what a data centre serves while it is cut off from the platform",
		Targets: map[string]experiment.Target{"local_goodput_ratio": atLeast(0.99), "false_not_run": atMost(0)},
		Run:     runCutOff,
	}
}

func runCutOff(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	s, err := u.start(fleet.Spec{}, u.document())
	if err != nil {
		return nil, err
	}
	defer s.close()
	place := u.places[1].DataCentre
	chat := s.chat(150, env.Seed)
	chat.Targets = nil
	for _, h := range s.In(place) {
		chat.Targets = append(chat.Targets, h.Node.CallersAddress())
	}
	length := env.Duration(4 * time.Second)
	before := s.run(ctx, chat, length)
	var heal []func()
	for _, h := range s.In(place) {
		heal = append(heal, s.Store.AddFault(kvtest.Fault{Host: h.Settings.Host, Err: kv.ErrUnreachable}))
	}
	say(env, "%s cut off from the platform", place)
	during := s.run(ctx, chat, length)
	falsely, refused := s.onceWhileCut(ctx, chat, env)
	for _, f := range heal {
		f()
	}
	s.doc.Batch.ThroughputWeight = 0.6
	if err := s.Apply(ctx, s.doc); err != nil {
		return nil, err
	}
	begin := time.Now()
	s.awaitGeneration(s.doc.Generation, 20*time.Second)
	return experiment.Figures{
		"local_goodput_ratio": float64(during.Whole) / float64(max(1, before.Whole)), "false_not_run": falsely,
		"once_refused": refused, "in_force_after_heal_ms": millis(time.Since(begin)),
	}, nil
}

// onceWhileCut sends requests that may run at most once and returns how many
// ran although the caller heard that they did not, and how many were refused.
func (s *system) onceWhileCut(ctx context.Context, chat *load.Chat, env *experiment.Env) (falsely, refused float64) {
	once := *chat
	once.Once = true
	once.Rate = 40
	runs := s.totalRuns()
	stats := s.run(ctx, &once, env.Duration(2*time.Second))
	ran := s.totalRuns() - runs
	return float64(max(0, ran-(stats.Sent-stats.Refused))), float64(stats.Refused)
}
