package run

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// claimSegments claims segments until they hold the wanted items, and returns how
// many it claimed.
func (w *Worker) claimSegments(r *store.Record, id string, items int, now time.Time) int {
	claimed := 0
	for n := range r.Segments {
		if items <= 0 {
			break
		}
		s := &r.Segments[n]
		own := s.Claim != nil && s.Claim.Owner == w.o.Owner
		if own || !r.Free(n) && !w.mayTakeOver(id, r, n) {
			continue
		}
		if r.Take(n, s.Epoch, w.o.Owner, now) {
			items -= s.Items - s.Ended.Count()
			claimed++
		}
	}
	return claimed
}

// mayTakeOver reports whether the claim on a segment may be taken over.
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

// observeClaims notes the claims of others.
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

// loadSegment reads the items of a segment just claimed and makes them ready.
func (w *Worker) loadSegment(ctx context.Context, id string, rec *store.Job, n int, began time.Time) {
	items, err := store.ReadSegment(ctx, w.o.KV, rec.Data, n)
	if err != nil {
		// The claim stays; the next write of the record finds it again.
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
		items: items, leaseEnd: began.Add(w.o.Timing.LeaseDuration), renewedAt: began,
		running: make(map[int]*Attempt), tries: make(map[int]int), replicaFailures: make(map[int]int), attempts: make(map[int]int), partial: make(map[int]Partial),
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

// claimForDemand claims segments of announced jobs until the wanted items are ready.
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

// pollAllowed reports whether a look is allowed now.
func (w *Worker) pollAllowed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.o.Clock.Now().Before(w.nextPollAt)
}

// beginPoll limits the reads of jobs that turn out to have nothing to claim.
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

// resetPollLimit lifts the limit after a look that found something to claim.
func (w *Worker) resetPollLimit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextPollAt = time.Time{}
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
	for _, s := range w.planShares(service, now) {
		if j := w.jobs[s.ID]; !now.Before(j.pollAt) && !now.Before(j.retryAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// planShares plans the service's jobs. The caller holds the lock.
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

// dispatchJob is what the plan needs of a job.
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

// processJob looks at one job and reports whether to go on to the next.
func (w *Worker) processJob(ctx context.Context, id string, missing int) bool {
	if missing > 0 && w.hasKnownFreeSegment(id) {
		// A record that has changed meanwhile fails the write and is read then.
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

// hasKnownFreeSegment reports whether the known record of a job, of which this host holds
// segments, has free ones.
func (w *Worker) hasKnownFreeSegment(id string) bool {
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

// updateKnown notes what a record says.
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

// postponePoll puts off the next look at a job with nothing to claim.
func (w *Worker) postponePoll(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		jitter := time.Duration(w.o.Rand.Int64N(int64(w.o.Timing.JobPollInterval)/4 + 1))
		j.pollAt = w.o.Clock.Now().Add(w.o.Timing.JobPollInterval + jitter)
	}
}

func (w *Worker) claimable(id string, r *store.Record) bool {
	for n := range r.Segments {
		if r.Free(n) || w.mayTakeOver(id, r, n) || w.hasUnknownOwnClaim(id, r, n) {
			return true
		}
	}
	return false
}

// hasUnknownOwnClaim reports whether the host has a claim that it doesn't know of,
// because the reply to its write was lost.
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
