package run

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// handleRemovedRecord drops the segments of a job whose record no longer
// exists, and the job itself if it is no longer announced.
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

// retireEnded moves an ended job from the active index to the expiry index. It
// does nothing for other jobs.
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

// Maintain polls the announced jobs that this host is responsible for: it
// retires ended jobs, ends cancelled ones and abandons those that were never
// accepted.
func (w *Worker) Maintain(ctx context.Context, responsible func(job string) bool) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.maintenanceDue(responsible) {
		if !w.processJob(ctx, id, 0) {
			return
		}
	}
}

// maintenanceDue returns the jobs, by id, that are due for maintenance by this
// host and sets the time of their next one.
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

// abandonUnaccepted abandons an announced job that still has no head record
// when its acceptance must have failed.
func (w *Worker) abandonUnaccepted(ctx context.Context, id string) bool {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return true
	}
	// The head record is normally written moments after the announcement.
	j.pollAt = w.o.Clock.Now().Add(w.o.Timing.PollInterval / 4)
	service, entry := j.service, j.entry
	w.mu.Unlock()
	if _, err := store.Abandon(ctx, w.o.KV, service, entry, w.o.Clock.Now()); err != nil {
		w.recordFailure(ctx, id, err)
		return false
	}
	return true
}

// finishCancellation ends a job with status cancelling once the leases of all
// claims have expired, counted from the time at which this host first saw that
// status.
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
		r.ReleaseClaims()
		r.UpdateStatus(w.o.Clock.Now(), w.o.Clock.Now())
		return nil
	})
	if err != nil {
		w.recordFailure(ctx, id, err)
		return
	}
	w.updateKnown(id, next)
	w.retireEnded(ctx, id, next)
}
