package run

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// writeRecord updates the job's record by a conditional write and brings the
// worker's state in line with the result.
func (w *Worker) writeRecord(ctx context.Context, u *recordUpdate) {
	writeStart := w.o.Clock.Now()
	known := w.baseRecord(u)
	written, tries := false, 0
	next, err := store.Update(ctx, w.o.KV, u.id, known, func(r *store.Record) error {
		tries++
		err := w.applyUpdate(r, u, writeStart)
		written = err == nil
		return err
	})
	if known != nil && tries > 1 {
		w.markContended(u.id)
	}
	if isNotFound(err) {
		w.handleRemovedRecord(u.id)
		return
	}
	if err != nil {
		w.recordFailure(ctx, u.id, errors.Wrap(err, "write job record"))
		return
	}
	if !written {
		w.updateKnown(u.id, next)
		return
	}
	w.syncWritten(ctx, u, next, writeStart)
}

// contendedWrites is the number of writes that begin with a read after a write
// from the last known record has lost a race. Other hosts then work on the job
// too, and further races are likely.
const contendedWrites = 8

// baseRecord returns the record from which a write starts; nil means that the
// write reads it first.
func (w *Worker) baseRecord(u *recordUpdate) *store.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[u.id]
	if !ok || j.readFirstWrites == 0 || u.justRead {
		return u.known
	}
	j.readFirstWrites--
	return nil
}

// markContended makes the next writes of the job begin with a read.
func (w *Worker) markContended(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		j.readFirstWrites = contendedWrites
	}
}

// applyUpdate applies an update to a record. Flushes of segments that now have
// another owner are ignored.
func (w *Worker) applyUpdate(r *store.Record, u *recordUpdate, now time.Time) error {
	for i := range u.flushes {
		if err := r.Apply(&u.flushes[i], w.o.Owner); err != nil && !errors.Is(err, store.ErrNotOwner) {
			return err
		}
	}
	if u.cancel {
		r.Cancel()
	}
	if claimed := w.claimSegments(r, u.id, u.claimItems, now); claimed == 0 && u.claimOnly {
		return store.ErrUnchanged
	}
	r.SampleProgress(now)
	r.UpdateStatus(now, now.Add(-w.o.Timing.LeaseDuration-w.o.Timing.LeaseMargin))
	return nil
}

// syncWritten brings the worker's state in line with a record that it has
// written, loads the newly claimed segments and retires the job if it has
// ended.
func (w *Worker) syncWritten(ctx context.Context, u *recordUpdate, next *store.Job, writeStart time.Time) {
	added := w.syncJob(u, next, writeStart)
	for _, n := range added {
		w.loadSegment(ctx, u.id, next, n, writeStart)
	}
	w.retireEnded(ctx, u.id, next)
}

// syncJob updates the held segments from a written record and returns the
// numbers of the segments that were newly claimed.
func (w *Worker) syncJob(u *recordUpdate, next *store.Job, writeStart time.Time) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[u.id]
	if !ok {
		return nil
	}
	j.known, j.retryAt = next, time.Time{}
	j.cancelPending = j.cancelPending && !u.cancel
	w.observeClaims(j, next.Record)
	for _, n := range heldSegments(j) {
		w.syncSegment(j, j.held[n], u, next.Record, writeStart)
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

// syncSegment updates a held segment from a written record: it renews the
// lease, or drops the segment if this host no longer owns it.
func (w *Worker) syncSegment(j *job, s *segment, u *recordUpdate, r *store.Record, writeStart time.Time) {
	w.dropRecordedChunks(s, r)
	if r.OwnedBy(s.number, s.epoch, w.o.Owner) {
		s.leaseEnd, s.renewedAt = writeStart.Add(w.o.Timing.LeaseDuration), writeStart
		for i := range u.flushes {
			if f := &u.flushes[i]; f.Segment == s.number && f.Epoch == s.epoch {
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

// addMarked adds items that are marked as started in the record.
func (s *segment) addMarked(items []int) {
	for _, i := range items {
		s.marked = s.marked.With(i)
	}
}

// dropRecordedChunks discards the chunks that the record names.
func (w *Worker) dropRecordedChunks(s *segment, r *store.Record) {
	s.chunks = slices.DeleteFunc(s.chunks, func(c *store.Chunk) bool {
		if !r.Segments[s.number].HasChunk(c.Ref) {
			return false
		}
		w.recordEvent(EventFlushed, s.job, s.service, fmt.Sprintf("segment %d: %d items", s.number, len(c.Items)))
		w.discardChunk(c)
		return true
	})
}

// loseClaim cancels a segment that this host no longer owns. Its unrecorded
// results count as wasted.
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
