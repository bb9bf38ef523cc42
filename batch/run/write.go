package run

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// writeRecord swaps the job's record and takes over what came of it.
func (w *Worker) writeRecord(ctx context.Context, p *recordUpdate) {
	began := w.o.Clock.Now()
	known := w.baseRecord(p)
	written, tries := false, 0
	next, err := store.Update(ctx, w.o.KV, p.id, known, func(r *store.Record) error {
		tries++
		err := w.applyUpdate(r, p, began)
		written = err == nil
		return err
	})
	if known != nil && tries > 1 {
		w.markContended(p.id)
	}
	if isNotFound(err) {
		w.handleRemovedRecord(p.id)
		return
	}
	if err != nil {
		w.recordFailure(ctx, p.id, errors.Wrap(err, "write record"))
		return
	}
	if !written {
		w.updateKnown(p.id, next)
		return
	}
	w.syncWritten(ctx, p, next, began)
}

// contendedWrites is the number of writes that begin with a read after a write
// from the known record has lost a race: other hosts work on the job too.
const contendedWrites = 8

// baseRecord returns the record that a write starts from; nil reads it first.
func (w *Worker) baseRecord(p *recordUpdate) *store.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[p.id]
	if !ok || j.readFirstWrites == 0 || p.justRead {
		return p.known
	}
	j.readFirstWrites--
	return nil
}

func (w *Worker) markContended(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		j.readFirstWrites = contendedWrites
	}
}

// applyUpdate applies a plan to a record.
func (w *Worker) applyUpdate(r *store.Record, p *recordUpdate, now time.Time) error {
	for i := range p.flushes {
		if err := r.Apply(&p.flushes[i], w.o.Owner); err != nil && !errors.Is(err, store.ErrNotOwner) {
			return err
		}
	}
	if p.cancel {
		r.Cancel()
	}
	if claimed := w.claimSegments(r, p.id, p.claimItems, now); claimed == 0 && p.claimOnly {
		return store.ErrUnchanged
	}
	r.Pace(now)
	r.Settle(now, now.Add(-w.o.Timing.LeaseDuration-w.o.Timing.LeaseMargin))
	return nil
}

// syncWritten brings the worker's state in line with a record it has written.
func (w *Worker) syncWritten(ctx context.Context, p *recordUpdate, next *store.Job, began time.Time) {
	added := w.syncJob(p, next, began)
	for _, n := range added {
		w.loadSegment(ctx, p.id, next, n, began)
	}
	w.retireEnded(ctx, p.id, next)
}

// syncJob updates held segments and returns the segments that are new.
func (w *Worker) syncJob(p *recordUpdate, next *store.Job, began time.Time) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[p.id]
	if !ok {
		return nil
	}
	j.known, j.retryAt = next, time.Time{}
	j.cancelPending = j.cancelPending && !p.cancel
	w.observeClaims(j, next.Record)
	for _, n := range heldSegments(j) {
		w.syncSegment(j, j.held[n], p, next.Record, began)
	}
	if next.Status != store.StatusInProgress {
		w.stopJob(j)
	}
	var added []int
	for n := range next.Segments {
		c := next.Segments[n].Claim
		if _, held := j.held[n]; !held && c != nil && c.Owner == w.o.Owner {
			added = append(added, n)
		}
	}
	return added
}

// syncSegment takes what the record says of a held segment.
func (w *Worker) syncSegment(j *job, s *segment, p *recordUpdate, r *store.Record, began time.Time) {
	w.dropRecordedChunks(s, r)
	if r.Holds(s.number, s.epoch, w.o.Owner) {
		s.leaseEnd, s.renewedAt = began.Add(w.o.Timing.LeaseDuration), began
		for i := range p.flushes {
			if f := &p.flushes[i]; f.Segment == s.number && f.Epoch == s.epoch {
				s.addMarked(f.Started)
			}
		}
		return
	}
	finished := r.Segments[s.number].Epoch == s.epoch
	if !finished || len(s.chunks) > 0 {
		w.recordEvent(EventClaimLost, s.job, s.service, fmt.Sprintf("segment %d, epoch %d", s.number, s.epoch))
	}
	w.loseClaim(s)
	if len(s.running) == 0 {
		w.removeSegment(j, s)
	}
}

func (s *segment) addMarked(items []int) {
	for _, i := range items {
		s.marked = s.marked.With(i)
	}
}

// dropRecordedChunks drops the chunks that the record names.
func (w *Worker) dropRecordedChunks(s *segment, r *store.Record) {
	s.chunks = slices.DeleteFunc(s.chunks, func(c *store.Chunk) bool {
		if !r.Segments[s.number].Names(c.Ref) {
			return false
		}
		w.recordEvent(EventFlushed, s.job, s.service, fmt.Sprintf("segment %d: %d items", s.number, len(c.Items)))
		w.discardChunk(c)
		return true
	})
}

// loseClaim ends a segment that has another owner; its unrecorded results are waste.
func (w *Worker) loseClaim(s *segment) {
	if s.claimLost {
		return
	}
	s.claimLost = true
	s.cancel()
	wasted := len(s.results)
	for _, c := range s.chunks {
		wasted += len(c.Items)
		w.discardChunk(c)
	}
	w.countWasted(s, WasteClaimLost, wasted)
	w.bufferedBytes -= s.resultBytes
	s.resultBytes, s.results, s.chunks = 0, nil, nil
}

func (w *Worker) removeSegment(j *job, s *segment) { delete(j.held, s.number) }
