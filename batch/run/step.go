package run

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Demand is the number of items of a service that should be ready to start.
type Demand struct {
	Service string
	Items   int
}

// Step records results, renews claims and claims segments until the demand of
// each service is met. It makes at most a few store calls for each job that it
// changes.
func (w *Worker) Step(ctx context.Context, demands ...Demand) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.jobsDue() {
		w.flush(ctx, id, w.missingItems(id, demands))
	}
	for _, demand := range demands {
		w.claimForDemand(ctx, demand)
	}
}

// jobsDue returns the jobs that need a write, by id. Jobs that wait for a retry
// are left out; their results may move to disk.
func (w *Worker) jobsDue() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if now.Before(j.retryAt) {
			w.spillResults(j)
			continue
		}
		if j.cancelPending || w.anySegmentDue(j, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// anySegmentDue reports whether any held segment of the job needs a write. The
// caller holds the lock.
func (w *Worker) anySegmentDue(j *job, now time.Time) bool {
	for _, s := range j.held {
		if w.segmentDue(s, now) {
			return true
		}
	}
	return false
}

// writeDue reports whether a job needs a write even if there is nothing to
// claim.
func (w *Worker) writeDue(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	return ok && (j.cancelPending || w.anySegmentDue(j, w.o.Clock.Now()))
}

// segmentDue reports whether a held segment needs a write: to release it, to
// record results, to mark items as started or to renew the claim. The caller
// holds the lock.
func (w *Worker) segmentDue(s *segment, now time.Time) bool {
	switch {
	case s.claimLost:
		return len(s.running) == 0
	case s.done() && !s.cancelled && len(w.jobs[s.job].held) > 1:
		// The write that claims the next segment of the job can also record the
		// end of this one.
		return now.Sub(s.newestResultAt) >= w.o.Timing.SegmentEndDelay
	case s.done(), s.cancelled && len(s.running) == 0:
		return true
	case len(s.chunks) > 0, s.resultBytes >= w.o.Limits.ChunkBytes:
		return true
	case len(s.results) > 0 && now.Sub(s.oldestResultAt) >= w.o.Timing.FlushDelay:
		return true
	case s.once && s.ready() == 0 && len(s.queue) > 0 && !s.cancelled:
		return true
	default:
		return now.Sub(s.renewedAt) >= w.o.Timing.RenewInterval
	}
}

// missingItems returns how many items the job's service lacks to meet its
// demand.
func (w *Worker) missingItems(id string, demands []Demand) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok || w.draining || j.stopped {
		return 0
	}
	for _, demand := range demands {
		if demand.Service == j.service {
			return demand.Items - w.queuedItems(j.service)
		}
	}
	return 0
}

// unmetDemand returns how many items a service lacks to meet its demand.
func (w *Worker) unmetDemand(demand Demand) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return demand.Items - w.queuedItems(demand.Service)
}

// queuedItems returns the number of queued items of a service in segments that
// this host holds. The caller holds the lock.
func (w *Worker) queuedItems(service string) int {
	n := 0
	for _, j := range w.jobs {
		if j.service != service || j.stopped {
			continue
		}
		for _, s := range j.held {
			if !s.cancelled && !s.claimLost {
				n += len(s.queue)
			}
		}
	}
	return n
}
