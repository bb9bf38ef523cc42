package run

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Demand says how many items of a service should be ready to start.
type Demand struct {
	Service string
	Items   int
}

// Step records what has ended, renews claims and claims segments until the
// wanted items are ready. It does at most a few calls per job that it touches.
func (w *Worker) Step(ctx context.Context, wants ...Demand) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.due() {
		w.flush(ctx, id, w.missing(id, wants))
	}
	for _, want := range wants {
		w.claim(ctx, want)
	}
}

// due returns the jobs that need a write, by id.
func (w *Worker) due() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if now.Before(j.retryAt) {
			w.relieve(j)
			continue
		}
		if j.cancel || w.anyDue(j, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) anyDue(j *job, now time.Time) bool {
	for _, s := range j.held {
		if w.segmentDue(s, now) {
			return true
		}
	}
	return false
}

// urgent reports whether a job needs a write, whatever there is to claim.
func (w *Worker) urgent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	return ok && (j.cancel || w.anyDue(j, w.o.Clock.Now()))
}

func (w *Worker) segmentDue(s *segment, now time.Time) bool {
	switch {
	case s.lost:
		return len(s.running) == 0
	case s.done() && !s.ended && len(w.jobs[s.job].held) > 1:
		// The write that claims the next segment may carry the end of this one.
		return now.Sub(s.newest) >= w.o.Timing.SegmentEndDelay
	case s.done(), s.ended && len(s.running) == 0:
		return true
	case len(s.chunks) > 0, s.size >= w.o.Limits.ChunkBytes:
		return true
	case len(s.results) > 0 && now.Sub(s.oldest) >= w.o.Timing.FlushDelay:
		return true
	case s.once && s.ready() == 0 && len(s.queue) > 0 && !s.ended:
		return true
	default:
		return now.Sub(s.renewedAt) >= w.o.Timing.RenewInterval
	}
}

// missing is the number of items that the job's service lacks.
func (w *Worker) missing(id string, wants []Demand) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok || w.draining || j.stopped {
		return 0
	}
	for _, want := range wants {
		if want.Service == j.service {
			return want.Items - w.readyOf(j.service)
		}
	}
	return 0
}

// lacks returns the number of items that a service lacks.
func (w *Worker) lacks(want Demand) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return want.Items - w.readyOf(want.Service)
}

// readyOf counts the items of a service that are or can be made ready.
func (w *Worker) readyOf(service string) int {
	n := 0
	for _, j := range w.jobs {
		if j.service != service || j.stopped {
			continue
		}
		for _, s := range j.held {
			if !s.ended && !s.lost {
				n += len(s.queue)
			}
		}
	}
	return n
}
