package suite

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// configChange measures how fast an edit is in force on all hosts.
func configChange() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "config", Summary: "time until an edit is in force on all hosts, and its cost",
		Targets: map[string]experiment.Target{"in_force_p99_ms": atMost(3000), "config_reverts": atMost(0)},
		Run:     runConfigChange,
	}
}

func runConfigChange(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	s, err := u.start(fleet.Spec{}, u.document())
	if err != nil {
		return nil, err
	}
	defer s.close()
	time.Sleep(env.Duration(2 * time.Second))
	idle := s.peerBytesIn(env.Duration(3 * time.Second))
	watch := watchGenerations(ctx, s)
	inForce := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	edits := env.Count(60)
	from, begin := s.peerBytes(), time.Now()
	for i := range edits {
		s.doc.Batch.ThroughputWeight = float64(i%10) / 10
		start := time.Now()
		if err := s.Apply(ctx, s.doc); err != nil {
			return nil, err
		}
		if !s.awaitGeneration(s.doc.Generation, 10*time.Second) {
			say(env, "edit %d not in force after 10 s", i)
		}
		_ = inForce.RecordValue(time.Since(start).Microseconds())
		time.Sleep(20 * time.Millisecond)
	}
	sent := s.peerBytes() - from - idle*time.Since(begin).Seconds()
	return experiment.Figures{
		"in_force_p50_ms": millis(load.Percentile(inForce, 50)), "in_force_p99_ms": millis(load.Percentile(inForce, 99)),
		"bytes_per_change_per_host": max(0, sent) / float64(edits) / float64(len(s.Hosts)),
		"edits":                     float64(edits), "hosts": float64(len(s.Hosts)), "config_reverts": float64(watch.stop()),
	}, nil
}

// peerBytesIn returns the bytes a second that all hosts send to peers.
func (s *system) peerBytesIn(d time.Duration) float64 {
	from := s.peerBytes()
	time.Sleep(d)
	return (s.peerBytes() - from) / d.Seconds()
}

// awaitGeneration waits until all hosts have the generation in force.
func (s *system) awaitGeneration(generation uint64, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, h := range s.Hosts {
		for h.Node.Config().Current().Generation(s.doc.Name) < generation {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	}
	return true
}
