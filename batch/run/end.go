package run

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// vanished forgets a job whose record is gone.
func (w *Worker) vanished(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	for _, s := range j.held {
		w.lose(s)
		w.drop(j, s)
	}
	j.cancel = false
	j.scanAt = w.o.Clock.Now().Add(w.o.Timing.JobPollInterval)
	w.forget(id, j)
}

// afterEnd takes an ended job out of the active index.
func (w *Worker) afterEnd(ctx context.Context, id string, rec *store.Job) {
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
	w.record(EventEnded, id, rec.Service, string(rec.Status))
	retention := 30 * 24 * time.Hour
	if doc, ok := w.o.Document(rec.Service); ok {
		retention = doc.Batch.Retention
	}
	if err := store.Retire(ctx, w.o.KV, rec.Record, entry, retention); err != nil {
		w.failed(ctx, id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.gone = true
	w.forget(id, j)
}

// Maintain looks at the announced jobs that this host keeps: it retires ended jobs,
// ends cancelled ones and abandons those that were never accepted.
func (w *Worker) Maintain(ctx context.Context, keeps func(job string) bool) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.toTend(keeps) {
		if !w.claimFrom(ctx, id, 0) {
			return
		}
	}
}

func (w *Worker) toTend(keeps func(string) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if !j.gone && !now.Before(j.tendAt) && !now.Before(j.retryAt) && keeps(id) {
			j.tendAt = now.Add(w.o.Timing.MaintenanceInterval)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// unaccepted handles an announced job without a head.
func (w *Worker) unaccepted(ctx context.Context, id string) bool {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return true
	}
	// The head follows the announcement within moments.
	j.scanAt = w.o.Clock.Now().Add(w.o.Timing.PollInterval / 4)
	service, entry := j.service, j.entry
	w.mu.Unlock()
	if _, err := store.Abandon(ctx, w.o.KV, service, entry, w.o.Clock.Now()); err != nil {
		w.failed(ctx, id, err)
		return false
	}
	return true
}

// expireCancel ends a job that is being cancelled once every claim's term has
// run out, counted from when this host first saw the cancellation.
func (w *Worker) expireCancel(ctx context.Context, id string, rec *store.Job) {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return
	}
	if j.cancelSeen.IsZero() {
		j.cancelSeen = w.o.Clock.Now()
	}
	over := w.o.Clock.Since(j.cancelSeen) >= w.o.Timing.LeaseDuration+w.o.Timing.LeaseMargin
	w.mu.Unlock()
	w.later(id)
	if !over {
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
		w.failed(ctx, id, err)
		return
	}
	w.look(id, next)
	w.afterEnd(ctx, id, next)
}
