package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

const (
	// writeInterval is the mean of the least time between the beginnings of two
	// batches of a shard on one host. The first ask after a pause is written at once.
	writeInterval = 200 * time.Millisecond
	// settleDelay is how long settlements wait for a batch that takes them
	// along.
	settleDelay = 2 * time.Second
	// batchAsks bounds the asks in one batch, so that it fits the head.
	batchAsks = 256
	// maxWaiting bounds the asks that wait, to fewer than can be written in
	// claimTimeout.
	maxWaiting = 4 * batchAsks
	// fullRetryAfter is the advice while the queue is full.
	fullRetryAfter = time.Second
	// maxSettlements bounds the settlements that wait.
	maxSettlements = 4096
	// batchTimeout bounds the time of one batch.
	batchTimeout = 5 * time.Second
	// batchTries bounds the compare-and-swaps of one batch.
	batchTries = 8
	// removals bounds the dead chunks deleted after one batch.
	removals = 2 * mergeFan
	// conflictRetryAfter is the advice after too many lost races.
	conflictRetryAfter = 200 * time.Millisecond
)

// waitingAsk is an ask in a shard's queue.
type waitingAsk struct {
	ask
	answered chan answer
	// given is set when the asker no longer waits.
	given atomic.Bool
}

// shard writes claims to one shard, in batches. It needs no lease: the
// compare-and-swap of the head decides between writers.
type shard struct {
	store  kv.Store
	clock  clockwork.Clock
	health *health
	// pace bounds the batches of all shards of the host.
	pace *rate.Limiter
	key  string

	mu          sync.Mutex
	waiting     []*waitingAsk
	settlements []settlement
	running     bool
	flushing    bool

	// committed is the last head that is known to have been in the record.
	committed atomic.Pointer[head]

	// The fields below belong to the running goroutine.
	head    head
	version kv.Version
	// current says that the copy is taken to be the record.
	current bool
	// contended says that other writers change the record too, so that a
	// batch reads it first instead of losing its first swap.
	contended bool
	chunks    *chunkSet
	began     time.Time
}

// claim queues an ask and waits for its answer.
func (s *shard) claim(ctx context.Context, a ask) answer {
	if retryAfter, refusing := s.health.refusing(); refusing {
		return s.refuse(&a, outcomeRefused, retryAfter)
	}
	w := &waitingAsk{ask: a, answered: make(chan answer, 1)}
	if !s.enqueue(w) {
		return answer{Outcome: outcomeRefused, RetryAfter: fullRetryAfter}
	}
	select {
	case got := <-w.answered:
		return got
	case <-ctx.Done():
		w.given.Store(true)
		return answer{Outcome: outcomeUnknown, RetryAfter: minProbeDelay}
	}
}

// enqueue adds an ask to the queue unless that is full.
func (s *shard) enqueue(w *waitingAsk) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxWaiting {
		return false
	}
	s.waiting = append(s.waiting, w)
	s.start()
	return true
}

// settle queues a settlement for the next batch.
func (s *shard) settle(st settlement) { s.requeue([]settlement{st}) }

// requeue keeps settlements for a later batch, as many as there is room for.
func (s *shard) requeue(settled []settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := maxSettlements - len(s.settlements)
	s.settlements = append(s.settlements, settled[:min(room, len(settled))]...)
	if len(s.settlements) > 0 && !s.flushing {
		s.flushing = true
		s.clock.AfterFunc(settleDelay, s.flush)
	}
}

// flush starts a batch for settlements that no batch took along.
func (s *shard) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushing = false
	if len(s.settlements) > 0 {
		s.start()
	}
}

// start starts the writer unless it runs. The caller holds the lock.
func (s *shard) start() {
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run writes batches while there is something to write.
func (s *shard) run() {
	ctx := kv.WithPurpose(context.Background(), kv.PurposeLedger)
	for {
		s.wait()
		batch, settled, more := s.next()
		if !more {
			return
		}
		s.began = s.clock.Now()
		if retryAfter, refusing := s.health.refusing(); refusing {
			s.requeue(settled)
			s.refuseAll(batch, outcomeRefused, retryAfter)
			continue
		}
		s.write(ctx, batch, settled)
	}
}

// wait waits until the next batch may begin. It comes before the batch is
// taken off the queue, so that claims gather meanwhile.
func (s *shard) wait() {
	// The jitter keeps the writers of two data centres from meeting each time.
	interval := writeInterval*3/4 + rand.N(writeInterval/2)
	if s.contended {
		// Others write too: larger batches, so that the sum of calls stays.
		interval *= 2
	}
	if wait := interval - s.clock.Since(s.began); wait > 0 && !s.began.IsZero() {
		s.clock.Sleep(wait)
	}
	if !s.pending() {
		return
	}
	now := s.clock.Now()
	if wait := s.pace.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		s.clock.Sleep(wait)
	}
}

// pending reports whether there is something to write.
func (s *shard) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) > 0 || len(s.settlements) > 0 && !s.flushing
}

// next takes a batch off the queue. It ends the run when there is none.
func (s *shard) next() ([]*waitingAsk, []settlement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waitingAsk) bool { return w.given.Load() })
	if len(s.waiting) == 0 && (len(s.settlements) == 0 || s.flushing) {
		s.running = false
		return nil, nil, false
	}
	n := min(len(s.waiting), batchAsks)
	batch := slices.Clone(s.waiting[:n])
	s.waiting = slices.Clone(s.waiting[n:])
	settled := s.settlements
	s.settlements = nil
	return batch, settled, true
}

// write brings a batch into the record and answers it.
func (s *shard) write(ctx context.Context, batch []*waitingAsk, settled []settlement) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var err error
	unknown := false
	for range batchTries {
		err = s.try(ctx, batch, settled)
		if err == nil {
			s.health.report(nil)
			s.removeDead(ctx)
			return
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown) || errors.Is(err, kv.ErrSuperseded)
		if !errors.IsAny(err, kv.ErrConflict, kv.ErrUnknown) {
			break
		}
	}
	s.requeue(settled)
	s.giveUp(batch, err, unknown)
}

// giveUp refuses a batch after a failure that more tries would not mend now.
func (s *shard) giveUp(batch []*waitingAsk, err error, unknown bool) {
	s.health.report(err)
	retryAfter, refusing := s.health.refusing()
	if !refusing {
		retryAfter = conflictRetryAfter
	}
	if unknown {
		s.refuseAll(batch, outcomeUnknown, retryAfter)
		return
	}
	s.refuseAll(batch, outcomeRefused, retryAfter)
}

// try plans the batch on the current head and swaps it in. After an error
// nothing is answered, and the head is read again before the next try: claims
// of the batch that a write of unknown outcome brought in are found there by
// their nonces, and the next swap is made against the version read, so that an
// earlier write that is still under way can't take effect after it.
func (s *shard) try(ctx context.Context, batch []*waitingAsk, settled []settlement) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	asks := make([]ask, len(batch))
	found := make([]older, len(batch))
	failed := false
	for i, w := range batch {
		asks[i] = w.ask
		if s.head.find(w.Entry.Key) < 0 {
			found[i] = s.chunks.lookup(ctx, &s.head, &w.ask)
			failed = failed || found[i].failed
		}
	}
	p := planBatch(s.head, s.clock.Now(), asks, found, settled)
	if p.changed {
		if err := s.swap(ctx, &p.next); err != nil {
			s.current = false
			return err
		}
	}
	// A chunk that can't be read may have been dropped from the record.
	s.current = s.current && !failed
	for i, w := range batch {
		w.answered <- p.answers[i]
	}
	return nil
}

// load reads the head unless the copy is taken as current. A stale copy costs
// a failed swap.
func (s *shard) load(ctx context.Context) error {
	if s.current && !s.contended {
		return nil
	}
	r, err := kv.Read(ctx, s.store, s.key)
	var h head
	switch {
	case errors.Is(err, kv.ErrNotFound):
		r = kv.Record{}
	case err != nil:
		return err
	default:
		if err := decode(r.Payload, &h); err != nil {
			return err
		}
	}
	s.contended = r.Version != s.version
	s.commit(h, r.Version)
	return nil
}

func (s *shard) commit(h head, v kv.Version) {
	s.head, s.version, s.current = h, v, true
	s.chunks.forget(&h)
	s.committed.Store(&h)
}

// swap makes next the head, after it moved claims that don't fit to a chunk.
func (s *shard) swap(ctx context.Context, next *head) error {
	payload, err := s.fit(ctx, next)
	if err != nil {
		return err
	}
	v, err := kv.Swap(ctx, s.store, kv.Put{Key: s.key, Value: payload, If: s.version})
	if err != nil {
		return err
	}
	s.commit(*next, v)
	return nil
}

// fit encodes the head and moves its older claims to a chunk when it is full.
func (s *shard) fit(ctx context.Context, next *head) ([]byte, error) {
	payload, err := encode(next)
	if err != nil || len(payload) <= headBytes {
		return payload, err
	}
	ref, err := s.chunks.create(ctx, next, next.takeOldest(), false)
	if err != nil {
		return nil, err
	}
	next.Chunks = append(next.Chunks, ref)
	s.merge(ctx, next)
	return encode(next)
}

// merge joins small chunks into a larger one. It changes nothing when that
// fails: a later batch tries again.
func (s *shard) merge(ctx context.Context, next *head) {
	first := next.mergeable()
	if first < 0 {
		return
	}
	old := slices.Clone(next.Chunks[first : first+mergeFan])
	contents := make([][]entry, len(old))
	for i, ref := range old {
		entries, err := s.chunks.entries(ctx, ref.Seq)
		if err != nil {
			return
		}
		contents[i] = entries
	}
	ref, err := s.chunks.create(ctx, next, mergeEntries(contents), true)
	if err != nil {
		return
	}
	next.Chunks = slices.Replace(next.Chunks, first, first+mergeFan, ref)
	next.Dead = append(next.Dead, old...)
}

// removeDead deletes chunks that the head no longer names. What is deleted
// leaves the list of dead chunks with the next swap.
func (s *shard) removeDead(ctx context.Context) {
	next := s.head.clone()
	tried := 0
	next.Dead = slices.DeleteFunc(next.Dead, func(ref chunkRef) bool {
		tried++
		return tried <= removals && s.chunks.remove(ctx, ref)
	})
	s.head = next
}

// refuse answers an ask that is not recorded. A repeat of a key that is known
// to be claimed is told so even while the platform's service is away.
func (s *shard) refuse(a *ask, o outcome, retryAfter time.Duration) answer {
	if h := s.committed.Load(); h != nil {
		i := h.find(a.Entry.Key)
		if i >= 0 && h.Claims[i].Nonce != a.Entry.Nonce && !slices.Contains(a.Supersedes, h.Claims[i].Nonce) {
			return answer{Outcome: outcomeHeld, Holder: h.Claims[i]}
		}
	}
	return answer{Outcome: o, RetryAfter: retryAfter}
}

func (s *shard) refuseAll(batch []*waitingAsk, o outcome, retryAfter time.Duration) {
	for _, w := range batch {
		w.answered <- s.refuse(&w.ask, o, retryAfter)
	}
}
