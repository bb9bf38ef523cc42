package run

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// handleRemovedRecord forgets a job whose record is gone.
func (w *Worker) handleRemovedRecord(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	for _, s := range j.held {
		w.loseClaim(s)
		w.removeSegment(j, s)
	}
	j.cancelPending = false
	j.pollAt = w.o.Clock.Now().Add(w.o.Timing.JobPollInterval)
	w.removeIfDone(id, j)
}

// retireEnded takes an ended job out of the active index.
func (w *Worker) retireEnded(ctx context.Context, id string, rec *store.Job) {
	if !rec.Status.Ended() {
		return
	}
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return
	}
	entry := j.entry
	w.mu.Unlock()
	w.recordEvent(EventEnded, id, rec.Service, string(rec.Status))
	retention := 30 * 24 * time.Hour
	if doc, ok := w.o.Document(rec.Service); ok {
		retention = doc.Batch.Retention
	}
	if err := store.Retire(ctx, w.o.KV, rec.Record, entry, retention); err != nil {
		w.recordFailure(ctx, id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.unlisted = true
	w.removeIfDone(id, j)
}

// Maintain looks at the announced jobs that this host keeps: it retires ended jobs,
// ends cancelled ones and abandons those that were never accepted.
func (w *Worker) Maintain(ctx context.Context, responsible func(job string) bool) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.maintenanceDue(responsible) {
		if !w.processJob(ctx, id, 0) {
			return
		}
	}
}

func (w *Worker) maintenanceDue(responsible func(string) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if !j.unlisted && !now.Before(j.maintainAt) && !now.Before(j.retryAt) && responsible(id) {
			j.maintainAt = now.Add(w.o.Timing.MaintenanceInterval)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// abandonUnaccepted handles an announced job without a head.
func (w *Worker) abandonUnaccepted(ctx context.Context, id string) bool {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return true
	}
	// The head follows the announcement within moments.
	j.pollAt = w.o.Clock.Now().Add(w.o.Timing.PollInterval / 4)
	service, entry := j.service, j.entry
	w.mu.Unlock()
	if _, err := store.Abandon(ctx, w.o.KV, service, entry, w.o.Clock.Now()); err != nil {
		w.recordFailure(ctx, id, err)
		return false
	}
	return true
}

// finishCancellation ends a job that is being cancelled once every claim's term has
// run out, counted from when this host first saw the cancellation.
func (w *Worker) finishCancellation(ctx context.Context, id string, rec *store.Job) {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return
	}
	if j.cancelSeenAt.IsZero() {
		j.cancelSeenAt = w.o.Clock.Now()
	}
	leasesExpired := w.o.Clock.Since(j.cancelSeenAt) >= w.o.Timing.LeaseDuration+w.o.Timing.LeaseMargin
	w.mu.Unlock()
	w.postponePoll(id)
	if !leasesExpired {
		return
	}
	next, err := store.Update(ctx, w.o.KV, id, rec, func(r *store.Record) error {
		if r.Status != store.StatusCancelling {
			return store.ErrUnchanged
		}
		r.Release()
		r.Settle(w.o.Clock.Now(), w.o.Clock.Now())
		return nil
	})
	if err != nil {
		w.recordFailure(ctx, id, err)
		return
	}
	w.updateKnown(id, next)
	w.retireEnded(ctx, id, next)
}
