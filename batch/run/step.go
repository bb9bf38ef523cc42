package run

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Want says how many items of a service should be ready to start.
type Want struct {
	Service string
	Items   int
}

// Step records what has ended, renews claims and claims segments until the
// wanted items are ready. It does at most a few calls per job that it touches.
func (w *Worker) Step(ctx context.Context, wants ...Want) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.due() {
		w.flush(ctx, id, w.missing(id, wants))
	}
	for _, want := range wants {
		w.claim(ctx, want)
	}
}

// due returns the jobs that need a write, by id.
func (w *Worker) due() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if now.Before(j.retryAt) {
			w.relieve(j)
			continue
		}
		if j.cancel || w.anyDue(j, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) anyDue(j *job, now time.Time) bool {
	for _, s := range j.held {
		if w.segmentDue(s, now) {
			return true
		}
	}
	return false
}

// urgent reports whether a job needs a write, whatever there is to claim.
func (w *Worker) urgent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	return ok && (j.cancel || w.anyDue(j, w.o.Clock.Now()))
}

func (w *Worker) segmentDue(s *segment, now time.Time) bool {
	switch {
	case s.lost:
		return len(s.running) == 0
	case s.done() && !s.ended && len(w.jobs[s.job].held) > 1:
		// The write that claims the next segment may carry the end of this one.
		return now.Sub(s.newest) >= w.o.Times.Gather
	case s.done(), s.ended && len(s.running) == 0:
		return true
	case len(s.chunks) > 0, s.size >= w.o.Limits.ChunkBytes:
		return true
	case len(s.results) > 0 && now.Sub(s.oldest) >= w.o.Times.Flush:
		return true
	case s.once && s.ready() == 0 && len(s.queue) > 0 && !s.ended:
		return true
	default:
		return now.Sub(s.renewedAt) >= w.o.Times.Renew
	}
}

// missing is the number of items that the job's service lacks.
func (w *Worker) missing(id string, wants []Want) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok || w.draining || j.stopped {
		return 0
	}
	for _, want := range wants {
		if want.Service == j.service {
			return want.Items - w.readyOf(j.service)
		}
	}
	return 0
}

// lacks returns the number of items that a service lacks.
func (w *Worker) lacks(want Want) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return want.Items - w.readyOf(want.Service)
}

// readyOf counts the items of a service that are or can be made ready.
func (w *Worker) readyOf(service string) int {
	n := 0
	for _, j := range w.jobs {
		if j.service != service || j.stopped {
			continue
		}
		for _, s := range j.held {
			if !s.ended && !s.lost {
				n += len(s.queue)
			}
		}
	}
	return n
}

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
		return s.done() || s.ended && len(s.running) == 0 || now.Sub(s.oldest) >= w.o.Times.Flush
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
	if w.o.Limits.Folder == "" || w.buffered < w.o.Limits.MemoryBytes/2 {
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
			if err := c.Spill(w.o.Limits.Folder); err != nil {
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
	r.Settle(now, now.Add(-w.o.Times.Term-w.o.Times.Margin))
	return nil
}

// takeSegments claims segments until they hold the wanted items, and returns how
// many it claimed.
func (w *Worker) takeSegments(r *store.Record, id string, items int, now time.Time) int {
	taken := 0
	for n := range r.Segments {
		if items <= 0 {
			break
		}
		s := &r.Segments[n]
		mine := s.Claim != nil && s.Claim.Owner == w.o.Owner
		if mine || !r.Free(n) && !w.orphan(id, r, n) {
			continue
		}
		if r.Take(n, s.Epoch, w.o.Owner, now) {
			items -= s.Items - s.Ended.Count()
			taken++
		}
	}
	return taken
}

// orphan reports whether the claim on a segment may be taken over.
func (w *Worker) orphan(id string, r *store.Record, n int) bool {
	s := &r.Segments[n]
	if s.Done() || s.Claim == nil || r.Status != store.StatusInProgress {
		return false
	}
	if s.Claim.Host == w.o.Owner.Host && s.Claim.Incarnation < w.o.Owner.Incarnation || w.o.Gone(s.Claim.Owner) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return false
	}
	seen, ok := j.seen[n]
	return ok && seen.round == w.sightings && seen.epoch == s.Epoch && seen.renewals == s.Claim.Renewals &&
		w.o.Clock.Since(seen.since) >= w.o.Times.TakeOver
}

// sight notes the claims of others.
func (w *Worker) sight(j *job, r *store.Record) {
	now := w.o.Clock.Now()
	for n := range r.Segments {
		s := &r.Segments[n]
		if s.Claim == nil || s.Claim.Owner == w.o.Owner {
			delete(j.seen, n)
			continue
		}
		seen, ok := j.seen[n]
		if !ok || seen.round != w.sightings || seen.epoch != s.Epoch || seen.renewals != s.Claim.Renewals {
			j.seen[n] = sighting{epoch: s.Epoch, renewals: s.Claim.Renewals, round: w.sightings, since: now}
		}
	}
}

// vanished forgets a job whose record is gone.
func (w *Worker) vanished(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	for _, s := range j.held {
		w.lose(s)
		w.drop(j, s)
	}
	j.cancel = false
	j.scanAt = w.o.Clock.Now().Add(w.o.Times.Rescan)
	w.forget(id, j)
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
		s.termEnd, s.renewedAt = began.Add(w.o.Times.Term), began
		for i := range p.flushes {
			if f := &p.flushes[i]; f.Segment == s.n && f.Epoch == s.epoch {
				s.mark(f.Started)
			}
		}
		return
	}
	finished := r.Segments[s.n].Epoch == s.epoch
	if !finished || len(s.chunks) > 0 {
		w.record(EventLost, s.job, s.service, fmt.Sprintf("segment %d, epoch %d", s.n, s.epoch))
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

// open reads the items of a segment just claimed and makes them ready.
func (w *Worker) open(ctx context.Context, id string, rec *store.Job, n int, began time.Time) {
	items, err := store.ReadSegment(ctx, w.o.KV, rec.Data, n)
	if err != nil {
		// The claim stays; the next write of the record finds it again.
		w.failed(ctx, id, err)
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
		job: id, service: rec.Service, caller: rec.Caller, run: rec.Run, n: n, epoch: seg.Epoch, once: rec.Once,
		items: items, termEnd: began.Add(w.o.Times.Term), renewedAt: began,
		running: make(map[int]*Work), tries: make(map[int]int), losses: make(map[int]int), starts: make(map[int]int), partial: make(map[int]Partial),
		sequence: seg.NextSequence(seg.Epoch), stop: make(chan struct{}),
	}
	for i := range items {
		switch {
		case seg.Ended.Has(i):
		case seg.Started.Has(i):
			w.keep(s, i, mayHaveRun(items[i].CustomID))
		default:
			s.queue = append(s.queue, i)
		}
	}
	j.held[n] = s
	if j.stopped || w.draining {
		s.end()
	}
	w.record(EventClaimed, id, rec.Service, fmt.Sprintf("segment %d, epoch %d, %d items", n, seg.Epoch, len(s.queue)))
}

// afterEnd takes an ended job out of the active index.
func (w *Worker) afterEnd(ctx context.Context, id string, rec *store.Job) {
	if !rec.Status.Ended() {
		return
	}
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return
	}
	entry := j.entry
	w.mu.Unlock()
	w.record(EventEnded, id, rec.Service, string(rec.Status))
	retention := 30 * 24 * time.Hour
	if doc, ok := w.o.Document(rec.Service); ok {
		retention = doc.Batch.Retention
	}
	if err := store.Retire(ctx, w.o.KV, rec.Record, entry, retention); err != nil {
		w.failed(ctx, id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.gone = true
	w.forget(id, j)
}

// claim claims segments of announced jobs until the wanted items are ready.
func (w *Worker) claim(ctx context.Context, want Want) {
	if w.lacks(want) <= 0 || !w.lookDue() {
		return
	}
	for _, id := range w.candidates(want.Service) {
		missing := w.lacks(want)
		if missing <= 0 || !w.mayLook() || !w.claimFrom(ctx, id, missing) {
			return
		}
	}
}

// lookDue reports whether a look is allowed now.
func (w *Worker) lookDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.o.Clock.Now().Before(w.lookAt)
}

// mayLook limits the reads of jobs that turn out to have nothing to claim.
func (w *Worker) mayLook() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	if now.Before(w.lookAt) {
		return false
	}
	w.lookAt = now.Add(w.o.Times.Look)
	return true
}

// looked lifts the limit after a look that found something to claim.
func (w *Worker) looked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lookAt = time.Time{}
}

// Tend looks at the announced jobs that this host keeps: it retires ended jobs,
// ends cancelled ones and abandons those that were never accepted.
func (w *Worker) Tend(ctx context.Context, keeps func(job string) bool) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	for _, id := range w.toTend(keeps) {
		if !w.claimFrom(ctx, id, 0) {
			return
		}
	}
}

func (w *Worker) toTend(keeps func(string) bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	var ids []string
	for id, j := range w.jobs {
		if !j.gone && !now.Before(j.tendAt) && !now.Before(j.retryAt) && keeps(id) {
			j.tendAt = now.Add(w.o.Times.Tend)
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
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
	for _, s := range w.shares(service, now) {
		if j := w.jobs[s.ID]; !now.Before(j.scanAt) && !now.Before(j.retryAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// shares plans the service's jobs. The caller holds the lock.
func (w *Worker) shares(service string, now time.Time) []dispatch.Share {
	var jobs []dispatch.Job
	for id, j := range w.jobs {
		if j.service == service && !j.gone && !j.stopped {
			jobs = append(jobs, j.view(id))
		}
	}
	lateShare := 1.0
	if doc, ok := w.o.Document(service); ok {
		lateShare = doc.Batch.LateShare
	}
	return dispatch.Shares(jobs, w.o.Capacity(service), lateShare, now)
}

// view is what the plan needs of a job.
func (j *job) view(id string) dispatch.Job {
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

// claimFrom looks at one job and reports whether to go on to the next.
func (w *Worker) claimFrom(ctx context.Context, id string, missing int) bool {
	if missing > 0 && w.knownFree(id) {
		// A record that has changed meanwhile fails the write and is read then.
		w.looked()
		w.flush(ctx, id, missing)
		return true
	}
	rec, err := store.Load(ctx, w.o.KV, id)
	if isNotFound(err) {
		return w.unaccepted(ctx, id)
	}
	if err != nil {
		w.failed(ctx, id, err)
		return false
	}
	w.look(id, rec)
	if rec.Status.Ended() {
		w.afterEnd(ctx, id, rec)
		return true
	}
	if rec.Status == store.StatusCancelling {
		w.expireCancel(ctx, id, rec)
		return true
	}
	if missing <= 0 {
		return true
	}
	if !w.claimable(id, rec.Record) {
		w.later(id)
		return true
	}
	w.looked()
	w.write(ctx, &plan{id: id, known: rec, fresh: true, flushes: w.flushesOf(id), claim: missing})
	return true
}

// knownFree reports whether the known record of a job, of which this host holds
// segments, has free ones.
func (w *Worker) knownFree(id string) bool {
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

// look notes what a record says.
func (w *Worker) look(id string, rec *store.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return
	}
	j.known = rec
	w.sight(j, rec.Record)
	if rec.Status != store.StatusInProgress && !j.stopped {
		w.stop(j)
	}
}

// later puts off the next look at a job with nothing to claim.
func (w *Worker) later(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok {
		jitter := time.Duration(w.o.Rand.Int64N(int64(w.o.Times.Rescan)/4 + 1))
		j.scanAt = w.o.Clock.Now().Add(w.o.Times.Rescan + jitter)
	}
}

func (w *Worker) claimable(id string, r *store.Record) bool {
	for n := range r.Segments {
		if r.Free(n) || w.orphan(id, r, n) || w.forgotten(id, r, n) {
			return true
		}
	}
	return false
}

// forgotten reports whether the host has a claim that it doesn't know of,
// because the reply to its write was lost.
func (w *Worker) forgotten(id string, r *store.Record, n int) bool {
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

// unaccepted handles an announced job without a head.
func (w *Worker) unaccepted(ctx context.Context, id string) bool {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return true
	}
	// The head follows the announcement within moments.
	j.scanAt = w.o.Clock.Now().Add(w.o.Times.Look / 4)
	service, entry := j.service, j.entry
	w.mu.Unlock()
	if _, err := store.Abandon(ctx, w.o.KV, service, entry, w.o.Clock.Now()); err != nil {
		w.failed(ctx, id, err)
		return false
	}
	return true
}

// expireCancel ends a job that is being cancelled once every claim's term has
// run out, counted from when this host first saw the cancellation.
func (w *Worker) expireCancel(ctx context.Context, id string, rec *store.Job) {
	w.mu.Lock()
	j, ok := w.jobs[id]
	if !ok {
		w.mu.Unlock()
		return
	}
	if j.cancelSeen.IsZero() {
		j.cancelSeen = w.o.Clock.Now()
	}
	over := w.o.Clock.Since(j.cancelSeen) >= w.o.Times.Term+w.o.Times.Margin
	w.mu.Unlock()
	w.later(id)
	if !over {
		return
	}
	next, err := store.Update(ctx, w.o.KV, id, rec, func(r *store.Record) error {
		if r.Status != store.StatusCancelling {
			return store.ErrUnchanged
		}
		r.Release()
		r.Settle(w.o.Clock.Now(), w.o.Clock.Now())
		return nil
	})
	if err != nil {
		w.failed(ctx, id, err)
		return
	}
	w.look(id, next)
	w.afterEnd(ctx, id, next)
}
