package run

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// maxResultBytes bounds the encoded size of one result, so that it fits into a
// chunk.
const maxResultBytes = 900_000

// mayStart reports whether items of the segment may start now. The caller holds
// the lock.
func (w *Worker) mayStart(s *segment) bool {
	if s.cancelled || s.claimLost || w.draining || w.bufferFull() {
		return false
	}
	return w.o.Clock.Now().Add(w.o.Timing.LeaseMargin).Before(s.leaseEnd)
}

// bufferFull reports whether unrecorded results have reached their limit. While
// there is disk space left to spill to, the limit is twice MemoryBytes.
func (w *Worker) bufferFull() bool {
	if w.o.Limits.SpillFolder != "" && w.spilledBytes < w.o.Limits.DiskBytes {
		return w.bufferedBytes >= 2*w.o.Limits.MemoryBytes
	}
	return w.bufferedBytes >= w.o.Limits.MemoryBytes
}

// Next returns an attempt to run the next item of a service, in order of the
// jobs' due times. The caller must end the attempt with exactly one of Finish,
// Fail, FailWithReplica, Postpone, Preempt and Requeue.
func (w *Worker) Next(service string) (*Attempt, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.segmentsByDueTime(service) {
		if !w.mayStart(s) {
			continue
		}
		if i, ok := s.nextItem(w.o.Clock.Now()); ok {
			attempt := w.newAttempt(s, i)
			s.running[i] = attempt
			return attempt, true
		}
	}
	return nil, false
}

// segmentsByDueTime returns the held segments of a service, earliest due first.
func (w *Worker) segmentsByDueTime(service string) []*segment {
	var held []*segment
	for _, j := range w.jobs {
		if j.service != service {
			continue
		}
		for _, s := range j.held {
			held = append(held, s)
		}
	}
	slices.SortFunc(held, func(a, b *segment) int {
		return cmp.Or(w.jobs[a.job].entry.DueAt.Compare(w.jobs[b.job].entry.DueAt), cmp.Compare(a.job, b.job), cmp.Compare(a.number, b.number))
	})
	return held
}

// nextItem removes and returns the first item in the queue that may start.
func (s *segment) nextItem(now time.Time) (int, bool) {
	for at, i := range s.queue {
		if s.once && !s.marked.Has(i) || now.Before(s.notBefore[i]) {
			continue
		}
		s.queue = slices.Delete(s.queue, at, at+1)
		return i, true
	}
	return 0, false
}

// TryStart must be called immediately before the first byte of an item's
// request is sent. It reports whether the item may still start, which depends
// on the claim's lease among others, and if so records the start.
func (w *Worker) TryStart(attempt *Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := attempt.segment
	if s.running[attempt.Index] != attempt || !w.mayStart(s) {
		return false
	}
	s.started = s.started.With(attempt.Index)
	return true
}

// Finish ends an attempt with the item's result.
func (w *Worker) Finish(attempt *Attempt, result *store.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(attempt) {
		return
	}
	w.bufferResult(attempt.segment, attempt.Index, result)
}

// endAttempt removes an attempt from the running ones and reports whether its
// outcome is used: not if it ended before or the claim was lost. The caller
// holds the lock.
func (w *Worker) endAttempt(attempt *Attempt) bool {
	s := attempt.segment
	if s.running[attempt.Index] != attempt {
		return false
	}
	delete(s.running, attempt.Index)
	if s.claimLost {
		w.countWasted(s, WasteClaimLost, 1)
	}
	return !s.claimLost
}

// countWasted adds runs whose result is not used to the caller's costs.
func (w *Worker) countWasted(s *segment, reason string, runs int) {
	w.o.Costs.Add(s.service, s.caller, accounting.WastedRuns, reason, int64(runs))
}

// bufferResult keeps a result until it is written with a chunk. An oversized
// result is replaced by an error. The caller holds the lock.
func (w *Worker) bufferResult(s *segment, i int, result *store.Result) {
	size := encodedSize(result)
	if size > maxResultBytes {
		result = failedResult(result.CustomID, verdict.New(verdict.Ran, verdict.CodeTooLarge, "The answer exceeds %d bytes.", maxResultBytes))
		size = encodedSize(result)
	}
	if len(s.results) == 0 {
		s.oldestResultAt = w.o.Clock.Now()
	}
	s.newestResultAt = w.o.Clock.Now()
	s.results = append(s.results, store.ItemResult{Index: i, Result: *result})
	s.resultBytes += size
	w.bufferedBytes += size
	delete(s.partials, i)
	if result.Error == nil {
		return
	}
	w.o.Events.Record(timeline.Event{
		Kind: EventItemFailed, Job: s.job, Service: s.service, Request: result.CustomID, Cause: result.Error.Message,
	})
}

// encodedSize returns the size of a result as JSON. A result that can't be
// encoded counts as oversized.
func encodedSize(r *store.Result) int {
	text, err := json.Marshal(r)
	if err != nil {
		return maxResultBytes + 1
	}
	return len(text)
}

// failedResult returns the result of an item that ended with an error.
func failedResult(id string, err error) *store.Result {
	e := verdict.As(err)
	return &store.Result{CustomID: id, Error: &store.ItemError{Code: e.Code, Message: e.Message, Verdict: e.Verdict}}
}

// Fail ends an attempt without a result. The item is tried again unless it has used
// all its tries, or may run at most once and may have run.
func (w *Worker) Fail(attempt *Attempt, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(attempt) {
		return
	}
	s, v := attempt.segment, verdict.Of(err)
	maxTries := 1
	if doc, ok := w.o.Document(s.service); ok {
		maxTries = doc.Batch.MaxTries
	}
	final := s.tries[attempt.Index] >= maxTries || s.once && v != verdict.NotRun
	if final {
		w.bufferResult(s, attempt.Index, failedResult(attempt.Item.CustomID, err))
		return
	}
	if v != verdict.NotRun {
		w.countWasted(s, WasteItemFailed, 1)
	}
	if v == verdict.Ran {
		// The answer can't be used, perhaps because of the output that it was to go on after.
		delete(s.partials, attempt.Index)
	}
	s.queue = append(s.queue, attempt.Index)
}

// Delays before an item runs again after its replica failed. They double with each
// further failure, so that an item that does crash its replicas harms few of them.
const (
	replicaFailureDelay    = 100 * time.Millisecond
	maxReplicaFailureDelay = 30 * time.Second
)

// FailWithReplica ends an attempt whose replica failed. The replica may have failed
// by itself or for another item, so the attempt doesn't count as a try, and the
// item stays owed however often that happens. An item that may run at most once
// ends.
func (w *Worker) FailWithReplica(attempt *Attempt, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(attempt) {
		return
	}
	s := attempt.segment
	if s.once {
		w.bufferResult(s, attempt.Index, failedResult(attempt.Item.CustomID, err))
		return
	}
	w.countWasted(s, WasteReplicaFailed, 1)
	delay := replicaFailureDelay
	for n := 0; n < s.replicaFailures[attempt.Index] && delay < maxReplicaFailureDelay; n++ {
		delay *= 2
	}
	s.replicaFailures[attempt.Index]++
	w.postpone(attempt, min(delay, maxReplicaFailureDelay))
}

// Postpone returns an item that can't start now to the end of the queue for a
// while. The attempt doesn't count as a try.
func (w *Worker) Postpone(attempt *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endAttempt(attempt) {
		w.postpone(attempt, maxReplicaFailureDelay)
	}
}

func (w *Worker) postpone(attempt *Attempt, delay time.Duration) {
	s := attempt.segment
	s.tries[attempt.Index]--
	s.notBefore[attempt.Index] = w.o.Clock.Now().Add(delay)
	s.queue = append(s.queue, attempt.Index)
}

// Requeue returns an item that did not start to the front of the queue. The
// attempt doesn't count as a try.
func (w *Worker) Requeue(attempt *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := attempt.segment
	if s.running[attempt.Index] != attempt {
		return
	}
	delete(s.running, attempt.Index)
	s.tries[attempt.Index]--
	s.queue = slices.Insert(s.queue, 0, attempt.Index)
}

// Preempt ends an attempt that was stopped and returns the item to the front of
// the queue, together with the output produced so far. An item that may run at
// most once and has started ends as one that may have run.
func (w *Worker) Preempt(attempt *Attempt, p Partial) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(attempt) {
		return
	}
	s := attempt.segment
	if s.once && s.started.Has(attempt.Index) {
		w.bufferResult(s, attempt.Index, mayHaveRunResult(attempt.Item.CustomID))
		return
	}
	if s.cancelled {
		w.countWasted(s, WasteJobCancelled, 1)
	}
	s.tries[attempt.Index]--
	s.partials[attempt.Index] = p
	s.queue = slices.Insert(s.queue, 0, attempt.Index)
}

// mayHaveRunResult returns the result of an item that may run at most once and
// whose outcome is unknown.
func mayHaveRunResult(id string) *store.Result {
	return failedResult(id, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete,
		"The item may run at most once; it may have run, and its result is lost."))
}
