package run

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// write swaps the job's record and takes over what came of it.
func (w *Worker) write(ctx context.Context, p *plan) {
	began := w.o.Clock.Now()
	known := w.startFrom(p)
	written, tries := false, 0
	next, err := store.Update(ctx, w.o.KV, p.id, known, func(r *store.Record) error {
		tries++
		err := w.change(r, p, began)
		written = err == nil
		return err
	})
	if known != nil && tries > 1 {
		w.contend(p.id)
	}
	if isNotFound(err) {
		w.vanished(p.id)
		return
	}
	if err != nil {
		w.failed(ctx, p.id, errors.Wrap(err, "write record"))
		return
	}
	if !written {
		w.look(p.id, next)
		return
	}
	w.integrate(ctx, p, next, began)
}

// contendedWrites is the number of writes that begin with a read after a write
// from the known record has lost a race: other hosts work on the job too.
const contendedWrites = 8

// startFrom returns the record that a write starts from; nil reads it first.
func (w *Worker) startFrom(p *plan) *store.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[p.id]
	if !ok || j.contended == 0 || p.fresh {
		return p.known
	}
	j.contended--
	return nil
}

func (w *Worker) contend(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		j.contended = contendedWrites
	}
}

// change applies a plan to a record.
func (w *Worker) change(r *store.Record, p *plan, now time.Time) error {
	for i := range p.flushes {
		if err := r.Apply(&p.flushes[i], w.o.Owner); err != nil && !errors.Is(err, store.ErrNotOwner) {
			return err
		}
	}
	if p.cancel {
		r.Cancel()
	}
	if taken := w.takeSegments(r, p.id, p.claim, now); taken == 0 && p.claimOnly {
		return store.ErrUnchanged
	}
	r.Pace(now)
	r.Settle(now, now.Add(-w.o.Timing.LeaseDuration-w.o.Timing.LeaseMargin))
	return nil
}

// integrate brings the worker's state in line with a record it has written.
func (w *Worker) integrate(ctx context.Context, p *plan, next *store.Job, began time.Time) {
	fresh := w.accept(p, next, began)
	for _, n := range fresh {
		w.open(ctx, p.id, next, n, began)
	}
	w.afterEnd(ctx, p.id, next)
}

// accept updates held segments and returns the segments that are new.
func (w *Worker) accept(p *plan, next *store.Job, began time.Time) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[p.id]
	if !ok {
		return nil
	}
	j.known, j.retryAt = next, time.Time{}
	j.cancel = j.cancel && !p.cancel
	w.sight(j, next.Record)
	for _, n := range heldOf(j) {
		w.acceptSegment(j, j.held[n], p, next.Record, began)
	}
	if next.Status != store.StatusInProgress {
		w.stop(j)
	}
	var fresh []int
	for n := range next.Segments {
		c := next.Segments[n].Claim
		if _, held := j.held[n]; !held && c != nil && c.Owner == w.o.Owner {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// acceptSegment takes what the record says of a held segment.
func (w *Worker) acceptSegment(j *job, s *segment, p *plan, r *store.Record, began time.Time) {
	w.recorded(s, r)
	if r.Holds(s.n, s.epoch, w.o.Owner) {
		s.termEnd, s.renewedAt = began.Add(w.o.Timing.LeaseDuration), began
		for i := range p.flushes {
			if f := &p.flushes[i]; f.Segment == s.n && f.Epoch == s.epoch {
				s.mark(f.Started)
			}
		}
		return
	}
	finished := r.Segments[s.n].Epoch == s.epoch
	if !finished || len(s.chunks) > 0 {
		w.record(EventClaimLost, s.job, s.service, fmt.Sprintf("segment %d, epoch %d", s.n, s.epoch))
	}
	w.lose(s)
	if len(s.running) == 0 {
		w.drop(j, s)
	}
}

func (s *segment) mark(items []int) {
	for _, i := range items {
		s.marked = s.marked.With(i)
	}
}

// recorded drops the chunks that the record names.
func (w *Worker) recorded(s *segment, r *store.Record) {
	s.chunks = slices.DeleteFunc(s.chunks, func(c *store.Chunk) bool {
		if !r.Segments[s.n].Names(c.Ref) {
			return false
		}
		w.record(EventFlushed, s.job, s.service, fmt.Sprintf("segment %d: %d items", s.n, len(c.Items)))
		w.discard(c)
		return true
	})
}

// lose ends a segment that has another owner; its unrecorded results are waste.
func (w *Worker) lose(s *segment) {
	if s.lost {
		return
	}
	s.lost = true
	s.end()
	wasted := len(s.results)
	for _, c := range s.chunks {
		wasted += len(c.Items)
		w.discard(c)
	}
	w.waste(s, WasteClaimLost, wasted)
	w.buffered -= s.size
	s.size, s.results, s.chunks = 0, nil, nil
}

func (w *Worker) drop(j *job, s *segment) { delete(j.held, s.n) }
