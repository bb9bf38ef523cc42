package run

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// claimSegments claims segments in the record, free ones and those that may be
// taken over, until they hold the given number of unfinished items. It returns
// the number of segments that it claimed.
func (w *Worker) claimSegments(r *store.Record, id string, items int, now time.Time) int {
	claimed := 0
	for n := range r.Segments {
		if items <= 0 {
			break
		}
		s := &r.Segments[n]
		own := s.Claim != nil && s.Claim.Owner == w.o.Owner
		if own || !r.Claimable(n) && !w.mayTakeOver(id, r, n) {
			continue
		}
		if r.ClaimSegment(n, s.Epoch, w.o.Owner, now) {
			items -= s.Items - s.Ended.Count()
			claimed++
		}
	}
	return claimed
}

// mayTakeOver reports whether this host may take over segment n from its owner.
// It may if the owner's process is known to have ended, or if the claim has not
// been renewed for TakeOverTimeout while the store answered.
func (w *Worker) mayTakeOver(id string, r *store.Record, n int) bool {
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
	seen, ok := j.observations[n]
	return ok && seen.round == w.observationRound && seen.epoch == s.Epoch && seen.renewals == s.Claim.Renewals &&
		w.o.Clock.Since(seen.since) >= w.o.Timing.TakeOverTimeout
}

// observeClaims records when the present state of each claim of other hosts was
// first seen. The caller holds the lock.
func (w *Worker) observeClaims(j *job, r *store.Record) {
	now := w.o.Clock.Now()
	for n := range r.Segments {
		s := &r.Segments[n]
		if s.Claim == nil || s.Claim.Owner == w.o.Owner {
			delete(j.observations, n)
			continue
		}
		seen, ok := j.observations[n]
		if !ok || seen.round != w.observationRound || seen.epoch != s.Epoch || seen.renewals != s.Claim.Renewals {
			j.observations[n] = claimObservation{epoch: s.Epoch, renewals: s.Claim.Renewals, round: w.observationRound, since: now}
		}
	}
}

// loadSegment reads the items of a segment that this host has just claimed and
// queues those without a result. Items that may run at most once and were
// marked as started by an earlier owner end as ones that may have run.
func (w *Worker) loadSegment(ctx context.Context, id string, rec *store.Job, n int, writeStart time.Time) {
	items, err := store.ReadSegment(ctx, w.o.KV, rec.DataID, n)
	if err != nil {
		// The claim stays in the record; after the next write of the record the
		// segment is loaded again.
		w.recordFailure(ctx, id, err)
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
		job: id, service: rec.Service, caller: rec.Caller, run: rec.Run, number: n, epoch: seg.Epoch, once: rec.Once,
		items: items, leaseEnd: writeStart.Add(w.o.Timing.LeaseDuration), renewedAt: writeStart,
		running: make(map[int]*Attempt), tries: make(map[int]int), replicaFailures: make(map[int]int), notBefore: make(map[int]time.Time), attempts: make(map[int]int), partials: make(map[int]Partial),
		nextSequence: seg.NextSequence(seg.Epoch), stopped: make(chan struct{}),
	}
	for i := range items {
		switch {
		case seg.Ended.Has(i):
		case seg.Started.Has(i):
			w.bufferResult(s, i, mayHaveRunResult(items[i].CustomID))
		default:
			s.queue = append(s.queue, i)
		}
	}
	j.held[n] = s
	if j.stopped || w.draining {
		s.cancel()
	}
	w.recordEvent(EventClaimed, id, rec.Service, fmt.Sprintf("segment %d, epoch %d, %d items", n, seg.Epoch, len(s.queue)))
}

// claimForDemand claims segments of a service's jobs until its demand is met.
func (w *Worker) claimForDemand(ctx context.Context, demand Demand) {
	if w.unmetDemand(demand) <= 0 || !w.pollAllowed() {
		return
	}
	for _, id := range w.candidates(demand.Service) {
		missing := w.unmetDemand(demand)
		if missing <= 0 || !w.beginPoll() || !w.processJob(ctx, id, missing) {
			return
		}
	}
}

// pollAllowed reports whether the limit on polling jobs permits a poll now.
func (w *Worker) pollAllowed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.o.Clock.Now().Before(w.nextPollAt)
}

// beginPoll reports whether a poll is permitted now and, if so, defers the next
// one by PollInterval. This limits the reads of jobs that turn out to have
// nothing to claim.
func (w *Worker) beginPoll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	if now.Before(w.nextPollAt) {
		return false
	}
	w.nextPollAt = now.Add(w.o.Timing.PollInterval)
	return true
}

// resetPollLimit permits the next poll at once, after a poll that found
// something to claim.
func (w *Worker) resetPollLimit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextPollAt = time.Time{}
}

// candidates returns the jobs of a service that may be polled now: those
// furthest below their share first, then by due time.
func (w *Worker) candidates(service string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	if w.draining {
		return nil
	}
	var ids []string
	for _, s := range w.planShares(service, now) {
		if j := w.jobs[s.ID]; !now.Before(j.pollAt) && !now.Before(j.retryAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// planShares divides the service's capacity between its jobs. The caller holds
// the lock.
func (w *Worker) planShares(service string, now time.Time) []dispatch.Share {
	var jobs []dispatch.Job
	for id, j := range w.jobs {
		if j.service == service && !j.unlisted && !j.stopped {
			jobs = append(jobs, j.dispatchJob(id))
		}
	}
	lateShare := 1.0
	if doc, ok := w.o.Document(service); ok {
		lateShare = doc.Batch.LateShare
	}
	return dispatch.Shares(jobs, w.o.Capacity(service), lateShare, now)
}

// dispatchJob returns the job as input for dispatch.Shares.
func (j *job) dispatchJob(id string) dispatch.Job {
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

// processJob claims segments with the missing number of items from one job;
// with missing zero it claims nothing. If the job has ended, is being cancelled
// or was never accepted, it retires, ends or abandons the job instead. It
// reports whether the caller may go on with the next job.
func (w *Worker) processJob(ctx context.Context, id string, missing int) bool {
	if missing > 0 && w.hasKnownFreeSegment(id) {
		// If the record has changed meanwhile, the conditional write fails and
		// reads the newer record.
		w.resetPollLimit()
		w.flush(ctx, id, missing)
		return true
	}
	rec, err := store.Load(ctx, w.o.KV, id)
	if isNotFound(err) {
		return w.abandonUnaccepted(ctx, id)
	}
	if err != nil {
		w.recordFailure(ctx, id, err)
		return false
	}
	w.updateKnown(id, rec)
	if rec.Status.Ended() {
		w.retireEnded(ctx, id, rec)
		return true
	}
	if rec.Status == store.StatusCancelling {
		w.finishCancellation(ctx, id, rec)
		return true
	}
	if missing <= 0 {
		return true
	}
	if !w.claimable(id, rec.Record) {
		w.postponePoll(id)
		return true
	}
	w.resetPollLimit()
	w.writeRecord(ctx, &recordUpdate{id: id, known: rec, justRead: true, flushes: w.jobFlushes(id), claimItems: missing})
	return true
}

// hasKnownFreeSegment reports whether this host holds segments of the job and
// its last known record has free ones.
func (w *Worker) hasKnownFreeSegment(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok || j.known == nil || len(j.held) == 0 {
		return false
	}
	for n := range j.known.Segments {
		if j.known.Claimable(n) {
			return true
		}
	}
	return false
}

// updateKnown stores a record that was read and applies its claims and status
// to the job's state.
func (w *Worker) updateKnown(id string, rec *store.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	j.known = rec
	w.observeClaims(j, rec.Record)
	if rec.Status != store.StatusInProgress && !j.stopped {
		w.stopJob(j)
	}
}

// postponePoll defers the next poll of a job that has nothing to claim.
func (w *Worker) postponePoll(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		jitter := time.Duration(w.o.Rand.Int64N(int64(w.o.Timing.JobPollInterval)/4 + 1))
		j.pollAt = w.o.Clock.Now().Add(w.o.Timing.JobPollInterval + jitter)
	}
}

// claimable reports whether the record has a segment that this host can claim
// or that it claimed without knowing.
func (w *Worker) claimable(id string, r *store.Record) bool {
	for n := range r.Segments {
		if r.Claimable(n) || w.mayTakeOver(id, r, n) || w.hasUnknownOwnClaim(id, r, n) {
			return true
		}
	}
	return false
}

// hasUnknownOwnClaim reports whether the record has a claim of this host on a
// segment that the worker doesn't hold. That happens when the reply to the
// claiming write is lost.
func (w *Worker) hasUnknownOwnClaim(id string, r *store.Record, n int) bool {
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
