package run

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// recordUpdate describes one write of a job's record.
type recordUpdate struct {
	id    string
	known *store.Job
	// justRead reports that known was read immediately before the write.
	justRead bool
	flushes  []store.Flush
	chunks   []*store.Chunk
	cancel   bool
	// claimItems is the number of items for which segments are to be claimed.
	claimItems int
	// claimOnly omits the write if there is nothing to claim.
	claimOnly bool
}

// flush writes a job's chunks and then its record. If items are missing, the
// same write claims further segments of the job.
func (w *Worker) flush(ctx context.Context, id string, missing int) {
	u, ok := w.prepareFlush(id)
	if !ok {
		return
	}
	for _, c := range u.chunks {
		if err := c.Write(ctx, w.o.KV); err != nil {
			w.recordFailure(ctx, id, errors.Wrap(err, "write result chunk"))
			return
		}
	}
	// A chunk's version is known only after it has been written.
	u.flushes = w.jobFlushes(id)
	u.claimItems = missing
	u.claimOnly = !w.writeDue(id) && len(u.chunks) == 0
	w.writeRecord(ctx, u)
}

// prepareFlush builds the chunks that are due and removes segments whose claim
// was lost. It reports false if there is nothing to write.
func (w *Worker) prepareFlush(id string) (*recordUpdate, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return nil, false
	}
	u := &recordUpdate{id: id, known: j.known, cancel: j.cancelPending}
	for _, n := range heldSegments(j) {
		s := j.held[n]
		if s.claimLost {
			w.removeSegment(j, s)
			continue
		}
		if w.chunksDue(s, w.o.Clock.Now()) {
			w.buildChunks(s)
		}
		u.chunks = append(u.chunks, s.chunks...)
	}
	w.removeIfDone(id, j)
	return u, len(j.held) > 0 || j.cancelPending
}

// heldSegments returns the numbers of the segments held of a job, sorted.
func heldSegments(j *job) []int {
	var ns []int
	for n := range j.held {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// chunksDue reports whether a segment's results are to be put into chunks now.
// While an earlier chunk waits to be written, only a full one is added.
func (w *Worker) chunksDue(s *segment, now time.Time) bool {
	switch {
	case len(s.results) == 0:
		return false
	case s.resultBytes >= w.o.Limits.ChunkBytes:
		return true
	case len(s.chunks) > 0:
		return false
	default:
		return s.done() || s.cancelled && len(s.running) == 0 || now.Sub(s.oldestResultAt) >= w.o.Timing.FlushDelay
	}
}

// buildChunks moves all results of a segment into chunks.
func (w *Worker) buildChunks(s *segment) {
	for len(s.results) > 0 {
		c, n, err := store.NewChunk(s.run, s.number, s.epoch, s.nextSequence, s.results)
		if err != nil {
			w.o.Log.WithError(err).WithField("job", s.job).Error("failed to encode batch results; they stay in memory")
			return
		}
		s.nextSequence++
		s.results = slices.Delete(s.results, 0, n)
		s.chunks = append(s.chunks, c)
		w.bufferedBytes += c.Bytes()
	}
	w.bufferedBytes -= s.resultBytes
	s.resultBytes = 0
}

// spillResults moves results to disk while the job's writes wait for a retry,
// once half of the memory limit is in use.
func (w *Worker) spillResults(j *job) {
	if w.o.Limits.SpillFolder == "" || w.bufferedBytes < w.o.Limits.MemoryBytes/2 {
		return
	}
	for _, s := range j.held {
		if s.resultBytes >= w.o.Limits.ChunkBytes/4 {
			w.buildChunks(s)
		}
		for _, c := range s.chunks {
			size := c.Bytes()
			if size == 0 || w.spilledBytes+size > w.o.Limits.DiskBytes {
				continue
			}
			if err := c.Spill(w.o.Limits.SpillFolder); err != nil {
				w.o.Log.WithError(err).Warn("failed to write unrecorded batch results to disk; they stay in memory")
				return
			}
			w.bufferedBytes -= size
			w.spilledBytes += c.OnDisk
		}
	}
}

// discardChunk frees the memory and the disk space of a chunk.
func (w *Worker) discardChunk(c *store.Chunk) {
	w.bufferedBytes -= c.Bytes()
	w.spilledBytes -= c.OnDisk
	c.Discard()
}

// jobFlushes returns one or more flushes for each held segment.
func (w *Worker) jobFlushes(id string) []store.Flush {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return nil
	}
	var out []store.Flush
	for _, n := range heldSegments(j) {
		out = append(out, w.segmentFlushes(j.held[n])...)
	}
	return out
}

// segmentFlushes returns one flush for each written chunk, then one that renews
// the claim, releases it or marks items as started.
func (w *Worker) segmentFlushes(s *segment) []store.Flush {
	last := store.Flush{Segment: s.number, Epoch: s.epoch}
	var out []store.Flush
	for _, c := range s.chunks {
		if c.Ref.Version == 0 {
			continue
		}
		ref := c.Ref
		out = append(out, store.Flush{Segment: s.number, Epoch: s.epoch, Chunk: &ref, Items: c.Items, Failed: c.Failed})
	}
	switch {
	case s.cancelled && len(s.running) == 0 && len(s.results) == 0 && len(out) == len(s.chunks):
		last.Release = true
		last.Cleared = s.markedNotStarted()
	case s.once && !s.cancelled:
		last.Started = s.itemsToMark()
	}
	return append(out, last)
}

// markAhead is the largest number of items of a segment that one write marks as
// started.
const markAhead = 64

// itemsToMark returns the next items that may run at most once and are not yet
// marked as started. The mark must be recorded before an item runs.
func (s *segment) itemsToMark() []int {
	var out []int
	for _, i := range s.queue {
		if len(out) >= markAhead {
			break
		}
		if !s.marked.Has(i) {
			out = append(out, i)
		}
	}
	return out
}

// markedNotStarted returns the items that are marked as started but did not
// start, so that the next owner may run them.
func (s *segment) markedNotStarted() []int {
	var out []int
	for _, i := range s.queue {
		if s.marked.Has(i) && !s.started.Has(i) {
			out = append(out, i)
		}
	}
	return out
}
