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
	// batchInterval is the mean of the minimum time between the starts of two
	// batches of a shard on one host. The first request after a pause is
	// written at once.
	batchInterval = 200 * time.Millisecond
	// settlementFlushDelay is how long settlements wait to be written with a
	// batch of claims before they are written on their own.
	settlementFlushDelay = 2 * time.Second
	// maxBatchRequests bounds the requests in one batch, so that the batch fits
	// the head record.
	maxBatchRequests = 256
	// maxQueuedRequests bounds the queue to fewer requests than can be written
	// within claimTimeout.
	maxQueuedRequests = 4 * maxBatchRequests
	// queueFullRetryAfter is the RetryAfter of requests refused because the
	// queue is full.
	queueFullRetryAfter = time.Second
	// maxQueuedSettlements bounds the settlements that wait to be written.
	maxQueuedSettlements = 4096
	// batchTimeout bounds the time to write one batch.
	batchTimeout = 5 * time.Second
	// maxBatchAttempts bounds the compare-and-swaps tried for one batch.
	maxBatchAttempts = 8
	// maxChunkDeletions bounds the dead chunks deleted after one batch.
	maxChunkDeletions = 2 * mergeFanIn
	// conflictRetryAfter is the RetryAfter of requests refused although the
	// store is available, mostly because other writers won every
	// compare-and-swap.
	conflictRetryAfter = 200 * time.Millisecond
)

// queuedRequest is a claimRequest in a shard's queue.
type queuedRequest struct {
	claimRequest
	answered chan answer
	// cancelled is set when no one waits for the answer any more.
	cancelled atomic.Bool
}

// shard writes the claims of one shard in batches. It needs no lease: the
// compare-and-swap of the head decides between writers.
type shard struct {
	store       kv.Store
	clock       clockwork.Clock
	storeHealth *storeHealth
	// batchLimiter bounds the rate of batches of all shards of the host.
	batchLimiter *rate.Limiter
	key          string

	mu                 sync.Mutex
	queue              []*queuedRequest
	pendingSettlements []settlement
	writerRunning      bool
	flushScheduled     bool

	// lastCommitted is the last head that this host read from or wrote to the
	// store.
	lastCommitted atomic.Pointer[head]

	// The fields below are used only by the goroutine that runs writeBatches.
	head    head
	version kv.Version
	// headCurrent is set while head and version are assumed to equal the record
	// in the store.
	headCurrent bool
	// contended is set while other writers change the record too. A batch then
	// reads the record first, because its first swap would probably fail.
	contended  bool
	chunks     *chunkSet
	batchStart time.Time
}

// claim queues a request and waits for its answer.
func (s *shard) claim(ctx context.Context, req claimRequest) answer {
	if retryAfter, unavailable := s.storeHealth.unavailable(); unavailable {
		return s.refusal(&req, outcomeRefused, retryAfter)
	}
	w := &queuedRequest{claimRequest: req, answered: make(chan answer, 1)}
	if !s.enqueue(w) {
		return answer{Outcome: outcomeRefused, RetryAfter: queueFullRetryAfter}
	}
	select {
	case got := <-w.answered:
		return got
	case <-ctx.Done():
		w.cancelled.Store(true)
		return answer{Outcome: outcomeUnknown, RetryAfter: minProbeDelay}
	}
}

// enqueue adds a request to the queue and reports whether there was room.
func (s *shard) enqueue(w *queuedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueuedRequests {
		return false
	}
	s.queue = append(s.queue, w)
	s.startWriter()
	return true
}

// enqueueSettlement queues a settlement for the next batch.
func (s *shard) enqueueSettlement(st settlement) { s.enqueueSettlements([]settlement{st}) }

// enqueueSettlements queues settlements for a later batch and drops those that
// exceed maxQueuedSettlements.
func (s *shard) enqueueSettlements(settlements []settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := maxQueuedSettlements - len(s.pendingSettlements)
	s.pendingSettlements = append(s.pendingSettlements, settlements[:min(room, len(settlements))]...)
	if len(s.pendingSettlements) > 0 && !s.flushScheduled {
		s.flushScheduled = true
		s.clock.AfterFunc(settlementFlushDelay, s.flush)
	}
}

// flush starts a batch for settlements that have not been written with claims.
func (s *shard) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushScheduled = false
	if len(s.pendingSettlements) > 0 {
		s.startWriter()
	}
}

// startWriter starts the writer unless it is running. s.mu must be held.
func (s *shard) startWriter() {
	if !s.writerRunning {
		s.writerRunning = true
		go s.writeBatches()
	}
}

// writeBatches writes batches until nothing is queued.
func (s *shard) writeBatches() {
	ctx := kv.WithPurpose(context.Background(), kv.PurposeLedger)
	for {
		s.awaitNextBatch()
		batch, settlements, more := s.takeBatch()
		if !more {
			return
		}
		s.batchStart = s.clock.Now()
		if retryAfter, unavailable := s.storeHealth.unavailable(); unavailable {
			s.enqueueSettlements(settlements)
			s.refuseAll(batch, outcomeRefused, retryAfter)
			continue
		}
		s.writeBatch(ctx, batch, settlements)
	}
}

// awaitNextBatch waits until the next batch may begin. It is called before the
// batch is taken off the queue, so that more requests join the batch meanwhile.
func (s *shard) awaitNextBatch() {
	// Jitter keeps the writers of two data centres from conflicting in every
	// batch.
	interval := batchInterval*3/4 + rand.N(batchInterval/2)
	if s.contended {
		// Other hosts write this shard too: fewer and larger batches keep the
		// total number of calls the same.
		interval *= 2
	}
	if wait := interval - s.clock.Since(s.batchStart); wait > 0 && !s.batchStart.IsZero() {
		s.clock.Sleep(wait)
	}
	if !s.hasPending() {
		return
	}
	now := s.clock.Now()
	if wait := s.batchLimiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		s.clock.Sleep(wait)
	}
}

// hasPending reports whether there is anything to write.
func (s *shard) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0 || len(s.pendingSettlements) > 0 && !s.flushScheduled
}

// takeBatch removes the next batch from the queue. If there is none, it marks
// the writer as stopped and returns false.
func (s *shard) takeBatch() ([]*queuedRequest, []settlement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool { return w.cancelled.Load() })
	if len(s.queue) == 0 && (len(s.pendingSettlements) == 0 || s.flushScheduled) {
		s.writerRunning = false
		return nil, nil, false
	}
	n := min(len(s.queue), maxBatchRequests)
	batch := slices.Clone(s.queue[:n])
	s.queue = slices.Clone(s.queue[n:])
	settlements := s.pendingSettlements
	s.pendingSettlements = nil
	return batch, settlements, true
}

// writeBatch writes a batch to the record and answers its requests. After a
// conflict or a write of unknown outcome it tries again.
func (s *shard) writeBatch(ctx context.Context, batch []*queuedRequest, settlements []settlement) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var err error
	unknown := false
	for range maxBatchAttempts {
		err = s.attempt(ctx, batch, settlements)
		if err == nil {
			s.storeHealth.report(nil)
			s.deleteDeadChunks(ctx)
			return
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown) || errors.Is(err, kv.ErrSuperseded)
		if !errors.IsAny(err, kv.ErrConflict, kv.ErrUnknown) {
			break
		}
	}
	s.enqueueSettlements(settlements)
	s.failBatch(batch, err, unknown)
}

// failBatch refuses the requests of a batch after the last failed attempt.
func (s *shard) failBatch(batch []*queuedRequest, err error, unknown bool) {
	s.storeHealth.report(err)
	retryAfter, unavailable := s.storeHealth.unavailable()
	if !unavailable {
		retryAfter = conflictRetryAfter
	}
	if unknown {
		s.refuseAll(batch, outcomeUnknown, retryAfter)
		return
	}
	s.refuseAll(batch, outcomeRefused, retryAfter)
}

// attempt plans the batch on the current head and swaps the result in. On an
// error no request is answered, and the head is read again before the next
// attempt. Claims of the batch that were recorded by a write of unknown outcome
// are recognised there by their nonces. The next swap is conditional on the
// version read, so an earlier write that is still in flight can't take effect
// after it.
func (s *shard) attempt(ctx context.Context, batch []*queuedRequest, settlements []settlement) error {
	if err := s.loadHead(ctx); err != nil {
		return err
	}
	requests := make([]claimRequest, len(batch))
	matches := make([]chunkMatch, len(batch))
	failed := false
	for i, w := range batch {
		requests[i] = w.claimRequest
		if s.head.find(w.Entry.Key) < 0 {
			matches[i] = s.chunks.findClaim(ctx, &s.head, &w.claimRequest)
			failed = failed || matches[i].failed
		}
	}
	p := planBatch(s.head, s.clock.Now(), requests, matches, settlements)
	if p.changed {
		if err := s.swapHead(ctx, &p.next); err != nil {
			s.headCurrent = false
			return err
		}
	}
	// The head may be stale: a chunk that can't be read may have been removed
	// from the record.
	s.headCurrent = s.headCurrent && !failed
	for i, w := range batch {
		w.answered <- p.answers[i]
	}
	return nil
}

// loadHead reads the head unless the copy in memory is assumed to be current. A
// stale copy costs one failed swap.
func (s *shard) loadHead(ctx context.Context) error {
	if s.headCurrent && !s.contended {
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
	s.setHead(h, r.Version)
	return nil
}

func (s *shard) setHead(h head, v kv.Version) {
	s.head, s.version, s.headCurrent = h, v, true
	s.chunks.evictUnreferenced(&h)
	s.lastCommitted.Store(&h)
}

// swapHead replaces the head record by next. Claims that don't fit are moved to
// a chunk first.
func (s *shard) swapHead(ctx context.Context, next *head) error {
	payload, err := s.encodeHead(ctx, next)
	if err != nil {
		return err
	}
	v, err := kv.Swap(ctx, s.store, kv.Put{Key: s.key, Value: payload, If: s.version})
	if err != nil {
		return err
	}
	s.setHead(*next, v)
	return nil
}

// encodeHead encodes the head. If it is too large, the oldest claims are moved
// to a chunk.
func (s *shard) encodeHead(ctx context.Context, next *head) ([]byte, error) {
	payload, err := encode(next)
	if err != nil || len(payload) <= maxHeadBytes {
		return payload, err
	}
	ref, err := s.chunks.create(ctx, next, next.removeOldest(), false)
	if err != nil {
		return nil, err
	}
	next.Chunks = append(next.Chunks, ref)
	s.mergeChunks(ctx, next)
	return encode(next)
}

// mergeChunks merges small chunks of the head into a larger one. On a failure
// it leaves the list of chunks as it is, and a later batch tries again.
func (s *shard) mergeChunks(ctx context.Context, next *head) {
	first := next.firstMergeable()
	if first < 0 {
		return
	}
	old := slices.Clone(next.Chunks[first : first+mergeFanIn])
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
	next.Chunks = slices.Replace(next.Chunks, first, first+mergeFanIn, ref)
	next.Dead = append(next.Dead, old...)
}

// deleteDeadChunks deletes chunks that the head no longer lists. The next swap
// removes the deleted ones from the list of dead chunks.
func (s *shard) deleteDeadChunks(ctx context.Context) {
	next := s.head.clone()
	attempted := 0
	next.Dead = slices.DeleteFunc(next.Dead, func(ref chunkRef) bool {
		attempted++
		return attempted <= maxChunkDeletions && s.chunks.remove(ctx, ref)
	})
	s.head = next
}

// refusal returns the answer to a request whose claim is not recorded. It
// reports a claim known to hold the key even while the store is unavailable.
func (s *shard) refusal(req *claimRequest, o outcome, retryAfter time.Duration) answer {
	if h := s.lastCommitted.Load(); h != nil {
		i := h.find(req.Entry.Key)
		if i >= 0 && h.Claims[i].Nonce != req.Entry.Nonce && !slices.Contains(req.Supersedes, h.Claims[i].Nonce) {
			return answer{Outcome: outcomeHeld, Holder: h.Claims[i]}
		}
	}
	return answer{Outcome: o, RetryAfter: retryAfter}
}

func (s *shard) refuseAll(batch []*queuedRequest, o outcome, retryAfter time.Duration) {
	for _, w := range batch {
		w.answered <- s.refusal(&w.claimRequest, o, retryAfter)
	}
}
