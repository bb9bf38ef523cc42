package kv

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// BudgetOptions limits the calls that one host makes to the store.
type BudgetOptions struct {
	// WritesPerSecond and ReadsPerSecond are the refill rates of the two token
	// buckets. A bucket holds at most the tokens of one second, and at least
	// one. A watch takes one read token.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Queue is the maximum number of calls that wait for a token of one bucket.
	Queue int
}

// DefaultQueue is the default of BudgetOptions.Queue.
const DefaultQueue = 256

// Budget is a Store that limits the rates of a host's calls to another Store.
// Waiting calls are served in the order of their Purpose, most important first,
// and in order of arrival within one purpose. A call is refused with ErrLimited,
// without reaching the other Store, if its context ends while it waits or if it
// is the least important call of a full queue.
type Budget struct {
	store  Store
	writes *priorityLimiter
	reads  *priorityLimiter
}

var _ Store = (*Budget)(nil)

// NewBudget returns a Budget that limits the calls to store.
func NewBudget(store Store, o BudgetOptions, clock clockwork.Clock) *Budget {
	return &Budget{
		store:  store,
		writes: newPriorityLimiter(o.WritesPerSecond, o.Queue, clock),
		reads:  newPriorityLimiter(o.ReadsPerSecond, o.Queue, clock),
	}
}

// WaitingWrites returns the number of writes that wait for a token.
func (b *Budget) WaitingWrites() int { return b.writes.len() }

// WaitingReads returns the number of reads and watches that wait for a token.
func (b *Budget) WaitingReads() int { return b.reads.len() }

// Get implements Store.
func (b *Budget) Get(ctx context.Context, key string) (Entry, error) {
	if err := b.reads.acquire(ctx); err != nil {
		return Entry{}, errors.Wrapf(err, "get %q", key)
	}
	return b.store.Get(ctx, key)
}

// Put implements Store.
func (b *Budget) Put(ctx context.Context, put Put) (Version, error) {
	if err := b.writes.acquire(ctx); err != nil {
		return 0, errors.Wrapf(err, "put %q", put.Key)
	}
	return b.store.Put(ctx, put)
}

// Delete implements Store.
func (b *Budget) Delete(ctx context.Context, key string, version Version) error {
	if err := b.writes.acquire(ctx); err != nil {
		return errors.Wrapf(err, "delete %q", key)
	}
	return b.store.Delete(ctx, key, version)
}

// Watch implements Store.
func (b *Budget) Watch(ctx context.Context, w Watch) (Changes, error) {
	if err := b.reads.acquire(ctx); err != nil {
		return Changes{}, errors.Wrapf(err, "watch %q", w.Key)
	}
	return b.store.Watch(ctx, w)
}

// priorityLimiter is a token bucket that serves waiting calls by priority.
type priorityLimiter struct {
	clock      clockwork.Clock
	maxWaiting int

	mu       sync.Mutex
	bucket   *rate.Limiter
	waiting  waiterHeap
	arrivals uint64
	timerSet bool
}

func newPriorityLimiter(perSecond float64, maxWaiting int, clock clockwork.Clock) *priorityLimiter {
	return &priorityLimiter{clock: clock, maxWaiting: maxWaiting, bucket: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (l *priorityLimiter) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// acquire takes a token, waiting for one if the bucket is empty.
func (l *priorityLimiter) acquire(ctx context.Context) error {
	if ctx.Err() != nil {
		return errors.Mark(errors.Wrap(ctx.Err(), "call budget"), ErrLimited)
	}
	w, err := l.takeOrEnqueue(PurposeOf(ctx))
	if err != nil || w == nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return l.cancelWait(ctx, w)
	}
}

// takeOrEnqueue returns nil if it took a token, or else the queued waiter.
func (l *priorityLimiter) takeOrEnqueue(p Purpose) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 && l.bucket.AllowN(l.clock.Now(), 1) {
		return nil, nil
	}
	l.arrivals++
	w := &waiter{purpose: p, arrival: l.arrivals, result: make(chan error, 1)}
	if len(l.waiting) >= l.maxWaiting && !l.evict(w) {
		return nil, errors.Wrap(ErrLimited, "call budget: queue full")
	}
	heap.Push(&l.waiting, w)
	l.scheduleServe()
	return w, nil
}

// evict refuses the least important waiter if w is more important, and reports
// whether it did.
func (l *priorityLimiter) evict(w *waiter) bool {
	var last *waiter
	for _, other := range l.waiting {
		if last == nil || last.before(other) {
			last = other
		}
	}
	if last == nil || last.purpose <= w.purpose {
		return false
	}
	heap.Remove(&l.waiting, last.index)
	last.result <- errors.Wrap(ErrLimited, "call budget: queue full")
	return true
}

// cancelWait removes w from the queue. If w has been served in the meantime, its
// result is returned, so that a granted token is used.
func (l *priorityLimiter) cancelWait(ctx context.Context, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return <-w.result
	}
	heap.Remove(&l.waiting, w.index)
	return errors.Mark(errors.Wrap(ctx.Err(), "call budget"), ErrLimited)
}

// scheduleServe starts a timer that calls serve when the next token is
// available. The caller holds the lock.
func (l *priorityLimiter) scheduleServe() {
	if l.timerSet || len(l.waiting) == 0 {
		return
	}
	l.timerSet = true
	missing := 1 - l.bucket.TokensAt(l.clock.Now())
	delay := time.Duration(max(0, missing) / float64(l.bucket.Limit()) * float64(time.Second))
	l.clock.AfterFunc(delay+time.Microsecond, l.serve)
}

// serve grants the available tokens to waiters.
func (l *priorityLimiter) serve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerSet = false
	for len(l.waiting) > 0 && l.bucket.AllowN(l.clock.Now(), 1) {
		heap.Pop(&l.waiting).(*waiter).result <- nil
	}
	l.scheduleServe()
}

// waiter is a call that waits for a token.
type waiter struct {
	purpose Purpose
	arrival uint64
	result  chan error
	// index is the position in the heap, or -1 when not in the heap.
	index int
}

func (w *waiter) before(o *waiter) bool {
	if w.purpose != o.purpose {
		return w.purpose < o.purpose
	}
	return w.arrival < o.arrival
}

// waiterHeap is a heap with the most important waiter first.
type waiterHeap []*waiter

func (q waiterHeap) Len() int           { return len(q) }
func (q waiterHeap) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waiterHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiterHeap) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
