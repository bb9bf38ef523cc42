package run

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// plan is what one write of a job's record is to do.
type plan struct {
	id    string
	known *store.Job
	// fresh says that known has just been read.
	fresh   bool
	flushes []store.Flush
	chunks  []*store.Chunk
	cancel  bool
	// claim is the number of items to claim.
	claim int
	// claimOnly makes no write where there is nothing to claim.
	claimOnly bool
}

// flush writes a job's chunks and then its record. With missing items it
// claims further segments of the job in the same write.
func (w *Worker) flush(ctx context.Context, id string, missing int) {
	p, ok := w.prepare(id)
	if !ok {
		return
	}
	for _, c := range p.chunks {
		if err := c.Write(ctx, w.o.KV); err != nil {
			w.failed(ctx, id, errors.Wrap(err, "write chunk"))
			return
		}
	}
	// The chunks' versions are known only now.
	p.flushes = w.flushesOf(id)
	p.claim = missing
	p.claimOnly = !w.urgent(id) && len(p.chunks) == 0
	w.write(ctx, p)
}

// prepare cuts results into chunks.
func (w *Worker) prepare(id string) (*plan, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return nil, false
	}
	p := &plan{id: id, known: j.known, cancel: j.cancel}
	for _, n := range heldOf(j) {
		s := j.held[n]
		if s.lost {
			w.drop(j, s)
			continue
		}
		if w.cutDue(s, w.o.Clock.Now()) {
			w.cut(s)
		}
		p.chunks = append(p.chunks, s.chunks...)
	}
	w.forget(id, j)
	return p, len(j.held) > 0 || j.cancel
}

func heldOf(j *job) []int {
	var ns []int
	for n := range j.held {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// cutDue reports whether a segment's results are to be cut into chunks now. While
// a chunk waits to be written, further ones are cut only when they are large.
func (w *Worker) cutDue(s *segment, now time.Time) bool {
	switch {
	case len(s.results) == 0:
		return false
	case s.size >= w.o.Limits.ChunkBytes:
		return true
	case len(s.chunks) > 0:
		return false
	default:
		return s.done() || s.ended && len(s.running) == 0 || now.Sub(s.oldest) >= w.o.Timing.FlushDelay
	}
}

// cut makes chunks of all results of a segment.
func (w *Worker) cut(s *segment) {
	for len(s.results) > 0 {
		c, n, err := store.NewChunk(s.run, s.n, s.epoch, s.sequence, s.results)
		if err != nil {
			w.o.Log.WithError(err).WithField("job", s.job).Error("result not encoded")
			return
		}
		s.sequence++
		s.results = slices.Delete(s.results, 0, n)
		s.chunks = append(s.chunks, c)
		w.buffered += c.Bytes()
	}
	w.buffered -= s.size
	s.size = 0
}

// relieve moves results to disk while they wait for the platform's service.
func (w *Worker) relieve(j *job) {
	if w.o.Limits.SpillFolder == "" || w.buffered < w.o.Limits.MemoryBytes/2 {
		return
	}
	for _, s := range j.held {
		if s.size >= w.o.Limits.ChunkBytes/4 {
			w.cut(s)
		}
		for _, c := range s.chunks {
			size := c.Bytes()
			if size == 0 || w.spilled+size > w.o.Limits.DiskBytes {
				continue
			}
			if err := c.Spill(w.o.Limits.SpillFolder); err != nil {
				w.o.Log.WithError(err).Warn("results stay in memory")
				return
			}
			w.buffered -= size
			w.spilled += c.OnDisk
		}
	}
}

// discard frees a chunk's memory or disk.
func (w *Worker) discard(c *store.Chunk) {
	w.buffered -= c.Bytes()
	w.spilled -= c.OnDisk
	c.Discard()
}

// flushesOf returns one or more flushes for each held segment.
func (w *Worker) flushesOf(id string) []store.Flush {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return nil
	}
	var out []store.Flush
	for _, n := range heldOf(j) {
		out = append(out, w.flushesOfSegment(j.held[n])...)
	}
	return out
}

func (w *Worker) flushesOfSegment(s *segment) []store.Flush {
	last := store.Flush{Segment: s.n, Epoch: s.epoch}
	var out []store.Flush
	for _, c := range s.chunks {
		if c.Ref.Version == 0 {
			continue
		}
		ref := c.Ref
		out = append(out, store.Flush{Segment: s.n, Epoch: s.epoch, Chunk: &ref, Items: c.Items, Failed: c.Failed})
	}
	switch {
	case s.ended && len(s.running) == 0 && len(s.results) == 0 && len(out) == len(s.chunks):
		last.Release = true
		last.Cleared = s.unbegun()
	case s.once && !s.ended:
		last.Started = s.nextToMark()
	}
	return append(out, last)
}

// markAhead is the number of items marked as started in one write.
const markAhead = 64

// nextToMark returns items whose start is to be recorded before they run.
func (s *segment) nextToMark() []int {
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

// unbegun returns marked items that did not begin.
func (s *segment) unbegun() []int {
	var out []int
	for _, i := range s.queue {
		if s.marked.Has(i) && !s.begun.Has(i) {
			out = append(out, i)
		}
	}
	return out
}
