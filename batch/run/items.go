package run

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// maxResultBytes bounds one result, so that it fits into a chunk.
const maxResultBytes = 900_000

// mayStart reports whether items of the segment may start now. The caller
// holds the lock.
func (w *Worker) mayStart(s *segment) bool {
	if s.cancelled || s.claimLost || w.draining || w.bufferFull() {
		return false
	}
	return w.o.Clock.Now().Add(w.o.Timing.LeaseMargin).Before(s.leaseEnd)
}

// bufferFull reports whether unrecorded results leave no room for more.
func (w *Worker) bufferFull() bool {
	if w.o.Limits.SpillFolder != "" && w.spilledBytes < w.o.Limits.DiskBytes {
		return w.bufferedBytes >= 2*w.o.Limits.MemoryBytes
	}
	return w.bufferedBytes >= w.o.Limits.MemoryBytes
}

// Next hands out the next item of a service, earliest due job first. The caller
// ends it with exactly one of Finish, Fail, Yield and Reject.
func (w *Worker) Next(service string) (*Attempt, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.segmentsByDueTime(service) {
		if !w.mayStart(s) {
			continue
		}
		if i, ok := s.nextItem(); ok {
			work := w.newAttempt(s, i)
			s.running[i] = work
			return work, true
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

// nextItem removes the next item that may start from the queue.
func (s *segment) nextItem() (int, bool) {
	for at, i := range s.queue {
		if s.once && !s.marked.Has(i) {
			continue
		}
		s.queue = slices.Delete(s.queue, at, at+1)
		return i, true
	}
	return 0, false
}

// TryStart must be asked just before an item's first byte goes out. It reports
// whether the claim's term still allows the item to start, and notes the start.
func (w *Worker) TryStart(work *Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := work.segment
	if s.running[work.Index] != work || !w.mayStart(s) {
		return false
	}
	s.started = s.started.With(work.Index)
	return true
}

// Finish ends an item with its result.
func (w *Worker) Finish(work *Attempt, result *store.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(work) {
		return
	}
	w.bufferResult(work.segment, work.Index, result)
}

// endAttempt takes a run off the running ones and reports whether its outcome
// counts. The caller holds the lock.
func (w *Worker) endAttempt(work *Attempt) bool {
	s := work.segment
	if s.running[work.Index] != work {
		return false
	}
	delete(s.running, work.Index)
	if s.claimLost {
		w.countWasted(s, WasteClaimLost, 1)
	}
	return !s.claimLost
}

func (w *Worker) countWasted(s *segment, reason string, runs int) {
	w.o.Costs.Add(s.service, s.caller, accounting.WastedRuns, reason, int64(runs))
}

// bufferResult buffers a result until it is flushed.
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
	delete(s.partial, i)
	if result.Error == nil {
		return
	}
	w.o.Events.Record(timeline.Event{
		Kind: EventItemFailed, Job: s.job, Service: s.service, Request: result.CustomID, Cause: result.Error.Message,
	})
}

func encodedSize(r *store.Result) int {
	text, err := json.Marshal(r)
	if err != nil {
		return maxResultBytes + 1
	}
	return len(text)
}

func failedResult(id string, err error) *store.Result {
	e := verdict.As(err)
	return &store.Result{CustomID: id, Error: &store.ItemError{Code: e.Code, Message: e.Message, Verdict: e.Verdict}}
}

// Fail ends a run without an answer. The item is tried again unless it has used
// up its tries or may run at most once and may have run.
func (w *Worker) Fail(work *Attempt, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(work) {
		return
	}
	s, v := work.segment, verdict.Of(err)
	maxTries := 1
	if doc, ok := w.o.Document(s.service); ok {
		maxTries = doc.Batch.MaxTries
	}
	final := verdict.As(err).Code == verdict.CodeQuarantined || s.tries[work.Index] >= maxTries || s.once && v != verdict.NotRun
	if final {
		w.bufferResult(s, work.Index, failedResult(work.Item.CustomID, err))
		return
	}
	if v != verdict.NotRun {
		w.countWasted(s, WasteItemFailed, 1)
	}
	s.queue = append(s.queue, work.Index)
}

// maxReplicaFailures bounds the replicas lost with one item among others.
const maxReplicaFailures = 20

// FailWithReplica ends a run whose replica was lost while it ran other items as well. The
// loss may be another item's doing, so it doesn't count as a try.
func (w *Worker) FailWithReplica(work *Attempt, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(work) {
		return
	}
	s := work.segment
	if s.replicaFailures[work.Index]++; s.once || s.replicaFailures[work.Index] >= maxReplicaFailures {
		w.bufferResult(s, work.Index, failedResult(work.Item.CustomID, err))
		return
	}
	w.countWasted(s, WasteReplicaFailed, 1)
	s.tries[work.Index]--
	s.queue = append(s.queue, work.Index)
}

// Requeue gives an item back that did not start; it doesn't count as a try.
func (w *Worker) Requeue(work *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := work.segment
	if s.running[work.Index] != work {
		return
	}
	delete(s.running, work.Index)
	s.tries[work.Index]--
	s.queue = slices.Insert(s.queue, 0, work.Index)
}

// Preempt gives an item back that stepped aside, with what it had produced. An
// item that may run at most once ends as one that may have run.
func (w *Worker) Preempt(work *Attempt, p Partial) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.endAttempt(work) {
		return
	}
	s := work.segment
	if s.once && s.started.Has(work.Index) {
		w.bufferResult(s, work.Index, mayHaveRunResult(work.Item.CustomID))
		return
	}
	if s.cancelled {
		w.countWasted(s, WasteJobCancelled, 1)
	}
	s.tries[work.Index]--
	s.partial[work.Index] = p
	s.queue = slices.Insert(s.queue, 0, work.Index)
}

func mayHaveRunResult(id string) *store.Result {
	return failedResult(id, verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete,
		"The item may run at most once; it may have run, and its result is lost."))
}
