package run

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// takeSegments claims segments until they hold the wanted items, and returns how
// many it claimed.
func (w *Worker) takeSegments(r *store.Record, id string, items int, now time.Time) int {
	taken := 0
	for n := range r.Segments {
		if items <= 0 {
			break
		}
		s := &r.Segments[n]
		mine := s.Claim != nil && s.Claim.Owner == w.o.Owner
		if mine || !r.Free(n) && !w.orphan(id, r, n) {
			continue
		}
		if r.Take(n, s.Epoch, w.o.Owner, now) {
			items -= s.Items - s.Ended.Count()
			taken++
		}
	}
	return taken
}

// orphan reports whether the claim on a segment may be taken over.
func (w *Worker) orphan(id string, r *store.Record, n int) bool {
	s := &r.Segments[n]
	if s.Done() || s.Claim == nil || r.Status != store.StatusInProgress {
		return false
	}
	if s.Claim.Host == w.o.Owner.Host && s.Claim.Incarnation < w.o.Owner.Incarnation || w.o.OwnerEnded(s.Claim.Owner) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return false
	}
	seen, ok := j.seen[n]
	return ok && seen.round == w.sightings && seen.epoch == s.Epoch && seen.renewals == s.Claim.Renewals &&
		w.o.Clock.Since(seen.since) >= w.o.Timing.TakeOverTimeout
}

// sight notes the claims of others.
func (w *Worker) sight(j *job, r *store.Record) {
	now := w.o.Clock.Now()
	for n := range r.Segments {
		s := &r.Segments[n]
		if s.Claim == nil || s.Claim.Owner == w.o.Owner {
			delete(j.seen, n)
			continue
		}
		seen, ok := j.seen[n]
		if !ok || seen.round != w.sightings || seen.epoch != s.Epoch || seen.renewals != s.Claim.Renewals {
			j.seen[n] = sighting{epoch: s.Epoch, renewals: s.Claim.Renewals, round: w.sightings, since: now}
		}
	}
}

// open reads the items of a segment just claimed and makes them ready.
func (w *Worker) open(ctx context.Context, id string, rec *store.Job, n int, began time.Time) {
	items, err := store.ReadSegment(ctx, w.o.KV, rec.Data, n)
	if err != nil {
		// The claim stays; the next write of the record finds it again.
		w.failed(ctx, id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	seg := &rec.Segments[n]
	s := &segment{
		job: id, service: rec.Service, caller: rec.Caller, run: rec.Run, n: n, epoch: seg.Epoch, once: rec.Once,
		items: items, termEnd: began.Add(w.o.Timing.LeaseDuration), renewedAt: began,
		running: make(map[int]*Attempt), tries: make(map[int]int), losses: make(map[int]int), starts: make(map[int]int), partial: make(map[int]Partial),
		sequence: seg.NextSequence(seg.Epoch), stop: make(chan struct{}),
	}
	for i := range items {
		switch {
		case seg.Ended.Has(i):
		case seg.Started.Has(i):
			w.keep(s, i, mayHaveRun(items[i].CustomID))
		default:
			s.queue = append(s.queue, i)
		}
	}
	j.held[n] = s
	if j.stopped || w.draining {
		s.end()
	}
	w.record(EventClaimed, id, rec.Service, fmt.Sprintf("segment %d, epoch %d, %d items", n, seg.Epoch, len(s.queue)))
}

// claim claims segments of announced jobs until the wanted items are ready.
func (w *Worker) claim(ctx context.Context, want Demand) {
	if w.lacks(want) <= 0 || !w.lookDue() {
		return
	}
	for _, id := range w.candidates(want.Service) {
		missing := w.lacks(want)
		if missing <= 0 || !w.mayLook() || !w.claimFrom(ctx, id, missing) {
			return
		}
	}
}

// lookDue reports whether a look is allowed now.
func (w *Worker) lookDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.o.Clock.Now().Before(w.lookAt)
}

// mayLook limits the reads of jobs that turn out to have nothing to claim.
func (w *Worker) mayLook() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	if now.Before(w.lookAt) {
		return false
	}
	w.lookAt = now.Add(w.o.Timing.PollInterval)
	return true
}

// looked lifts the limit after a look that found something to claim.
func (w *Worker) looked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookAt = time.Time{}
}

// candidates returns the jobs of a service to look at, those furthest below
// their share first, then the earliest due.
func (w *Worker) candidates(service string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	if w.draining {
		return nil
	}
	var ids []string
	for _, s := range w.shares(service, now) {
		if j := w.jobs[s.ID]; !now.Before(j.scanAt) && !now.Before(j.retryAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// shares plans the service's jobs. The caller holds the lock.
func (w *Worker) shares(service string, now time.Time) []dispatch.Share {
	var jobs []dispatch.Job
	for id, j := range w.jobs {
		if j.service == service && !j.gone && !j.stopped {
			jobs = append(jobs, j.view(id))
		}
	}
	lateShare := 1.0
	if doc, ok := w.o.Document(service); ok {
		lateShare = doc.Batch.LateShare
	}
	return dispatch.Shares(jobs, w.o.Capacity(service), lateShare, now)
}

// view is what the plan needs of a job.
func (j *job) view(id string) dispatch.Job {
	v := dispatch.Job{ID: id, DueAt: j.entry.DueAt, Remaining: j.entry.Items}
	if j.known != nil {
		items, completed, failed := j.known.Counts()
		v.Remaining = items - completed - failed
	}
	for _, s := range j.held {
		v.Held += len(s.queue) + len(s.running)
	}
	return v
}

// claimFrom looks at one job and reports whether to go on to the next.
func (w *Worker) claimFrom(ctx context.Context, id string, missing int) bool {
	if missing > 0 && w.knownFree(id) {
		// A record that has changed meanwhile fails the write and is read then.
		w.looked()
		w.flush(ctx, id, missing)
		return true
	}
	rec, err := store.Load(ctx, w.o.KV, id)
	if isNotFound(err) {
		return w.unaccepted(ctx, id)
	}
	if err != nil {
		w.failed(ctx, id, err)
		return false
	}
	w.look(id, rec)
	if rec.Status.Ended() {
		w.afterEnd(ctx, id, rec)
		return true
	}
	if rec.Status == store.StatusCancelling {
		w.expireCancel(ctx, id, rec)
		return true
	}
	if missing <= 0 {
		return true
	}
	if !w.claimable(id, rec.Record) {
		w.later(id)
		return true
	}
	w.looked()
	w.write(ctx, &plan{id: id, known: rec, fresh: true, flushes: w.flushesOf(id), claim: missing})
	return true
}

// knownFree reports whether the known record of a job, of which this host holds
// segments, has free ones.
func (w *Worker) knownFree(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok || j.known == nil || len(j.held) == 0 {
		return false
	}
	for n := range j.known.Segments {
		if j.known.Free(n) {
			return true
		}
	}
	return false
}

// look notes what a record says.
func (w *Worker) look(id string, rec *store.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	j.known = rec
	w.sight(j, rec.Record)
	if rec.Status != store.StatusInProgress && !j.stopped {
		w.stop(j)
	}
}

// later puts off the next look at a job with nothing to claim.
func (w *Worker) later(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		jitter := time.Duration(w.o.Rand.Int64N(int64(w.o.Timing.JobPollInterval)/4 + 1))
		j.scanAt = w.o.Clock.Now().Add(w.o.Timing.JobPollInterval + jitter)
	}
}

func (w *Worker) claimable(id string, r *store.Record) bool {
	for n := range r.Segments {
		if r.Free(n) || w.orphan(id, r, n) || w.forgotten(id, r, n) {
			return true
		}
	}
	return false
}

// forgotten reports whether the host has a claim that it doesn't know of,
// because the reply to its write was lost.
func (w *Worker) forgotten(id string, r *store.Record, n int) bool {
	c := r.Segments[n].Claim
	if c == nil || c.Owner != w.o.Owner {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return false
	}
	_, held := j.held[n]
	return !held
}
