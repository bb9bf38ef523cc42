package run

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// recordUpdate is what one write of a job's record is to do.
type recordUpdate struct {
	id    string
	known *store.Job
	// justRead says that known has just been read.
	justRead bool
	flushes  []store.Flush
	chunks   []*store.Chunk
	cancel   bool
	// claimItems is the number of items to claimItems.
	claimItems int
	// claimOnly makes no write where there is nothing to claim.
	claimOnly bool
}

// flush writes a job's chunks and then its record. With missing items it
// claims further segments of the job in the same write.
func (w *Worker) flush(ctx context.Context, id string, missing int) {
	p, ok := w.prepareFlush(id)
	if !ok {
		return
	}
	for _, c := range p.chunks {
		if err := c.Write(ctx, w.o.KV); err != nil {
			w.recordFailure(ctx, id, errors.Wrap(err, "write chunk"))
			return
		}
	}
	// The chunks' versions are known only now.
	p.flushes = w.jobFlushes(id)
	p.claimItems = missing
	p.claimOnly = !w.writeDue(id) && len(p.chunks) == 0
	w.writeRecord(ctx, p)
}

// prepareFlush cuts results into chunks.
func (w *Worker) prepareFlush(id string) (*recordUpdate, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return nil, false
	}
	p := &recordUpdate{id: id, known: j.known, cancel: j.cancelPending}
	for _, n := range heldSegments(j) {
		s := j.held[n]
		if s.claimLost {
			w.removeSegment(j, s)
			continue
		}
		if w.chunksDue(s, w.o.Clock.Now()) {
			w.buildChunks(s)
		}
		p.chunks = append(p.chunks, s.chunks...)
	}
	w.removeIfDone(id, j)
	return p, len(j.held) > 0 || j.cancelPending
}

func heldSegments(j *job) []int {
	var ns []int
	for n := range j.held {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// chunksDue reports whether a segment's results are to be cut into chunks now. While
// a chunk waits to be written, further ones are cut only when they are large.
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

// buildChunks makes chunks of all results of a segment.
func (w *Worker) buildChunks(s *segment) {
	for len(s.results) > 0 {
		c, n, err := store.NewChunk(s.run, s.number, s.epoch, s.nextSequence, s.results)
		if err != nil {
			w.o.Log.WithError(err).WithField("job", s.job).Error("result not encoded")
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

// spillResults moves results to disk while they wait for the platform's service.
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
				w.o.Log.WithError(err).Warn("results stay in memory")
				return
			}
			w.bufferedBytes -= size
			w.spilledBytes += c.OnDisk
		}
	}
}

// discardChunk frees a chunk's memory or disk.
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

// markAhead is the number of items marked as started in one write.
const markAhead = 64

// itemsToMark returns items whose start is to be recorded before they run.
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

// markedNotStarted returns marked items that did not begin.
func (s *segment) markedNotStarted() []int {
	var out []int
	for _, i := range s.queue {
		if s.marked.Has(i) && !s.started.Has(i) {
			out = append(out, i)
		}
	}
	return out
}
