package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// outage takes the platform's service away while online requests and a batch
// job run.
func outage() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "outage", Summary: "online errors, items lost and reverted configuration over an outage of the platform",
		Targets: map[string]experiment.Target{
			"online_errors": atMost(0), "items_lost": atMost(0), "items_twice": atMost(0), "config_reverts": atMost(0),
		},
		Run: runOutage,
	}
}

func runOutage(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 6)
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	j := s.job(env.Count(3000), env.Seed)
	accepted, err := j.Submit(ctx, s.client)
	if err != nil {
		return nil, err
	}
	watch := watchGenerations(ctx, s)
	backup := s.Store.Snapshot()
	d.Batch.ThroughputWeight = 0.7
	if err := s.Apply(ctx, d); err != nil {
		return nil, err
	}
	edited := d.Generation
	time.Sleep(settle)
	s.Store.SetOutage(true)
	say(env, "platform away")
	stats := s.run(ctx, s.chat(60, env.Seed), env.Duration(8*time.Second))
	s.Store.SetOutage(false)
	say(env, "platform back; an older backup of the documents is restored underneath")
	s.restoreDocuments(backup)
	after := s.run(ctx, s.chat(60, env.Seed+1), env.Duration(4*time.Second))
	bound, cancel := context.WithTimeout(ctx, env.Duration(25*time.Second))
	defer cancel()
	ended, err := j.Await(bound, s.client, accepted.ID)
	if err != nil {
		say(env, "job not ended: %v", err)
	}
	t, err := s.check(ctx, j, ended.OutputFileID, j.Target)
	if err != nil {
		return nil, err
	}
	reverts := watch.stop()
	for _, h := range s.Hosts {
		if h.Node.Config().Current().Generation(d.Name) < edited {
			reverts++
		}
	}
	return experiment.Figures{
		"online_errors": float64(stats.Failed + stats.Wrong + stats.Refused + after.Failed + after.Wrong + after.Refused),
		"online_whole":  float64(stats.Whole + after.Whole), "items_lost": float64(t.lost), "items_twice": float64(t.twice),
		"items_failed": float64(t.failed), "config_reverts": float64(reverts),
	}, nil
}

// restoreDocuments puts the documents of an earlier snapshot back and leaves
// all other keys as they are.
func (s *system) restoreDocuments(backup map[string][]byte) {
	now := s.Store.Snapshot()
	for key, value := range backup {
		if len(key) > len(documentKeys) && key[:len(documentKeys)] == documentKeys {
			now[key] = value
		}
	}
	s.Store.Restore(now)
}

// documentKeys begins the keys of service documents.
const documentKeys = "config/doc/"

// generationWatch counts how often a host's generation goes down.
type generationWatch struct {
	cancel context.CancelFunc
	done   chan int
}

func watchGenerations(ctx context.Context, s *system) *generationWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &generationWatch{cancel: cancel, done: make(chan int, 1)}
	go func() {
		last := make(map[*fleet.Host]uint64)
		reverts := 0
		for ctx.Err() == nil {
			for _, h := range s.Hosts {
				g := h.Node.Config().Current().Generation(s.doc.Name)
				if g < last[h] {
					reverts++
				}
				last[h] = g
			}
			time.Sleep(time.Millisecond)
		}
		w.done <- reverts
	}()
	return w
}

func (w *generationWatch) stop() int {
	w.cancel()
	return <-w.done
}
