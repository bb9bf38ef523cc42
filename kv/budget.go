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

// BudgetOptions bound the calls of one host.
type BudgetOptions struct {
	// WritesPerSecond and ReadsPerSecond are the rates of the two token
	// buckets; each holds at most one second's worth, and at least one token.
	// A watch takes one read token.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Queue bounds the calls that wait for a token of one bucket.
	Queue int
}

// DefaultQueue is the bound on waiting calls of one bucket.
const DefaultQueue = 256

// Budget is a Store that keeps a host's calls to another Store within rates.
// Waiting calls are served by Purpose, most important first, and in order of
// arrival within one purpose. A call that waits until its context ends, or
// that is the least important one of a full queue, is refused with ErrLimited
// and was not made.
type Budget struct {
	store  Store
	writes *gate
	reads  *gate
}

var _ Store = (*Budget)(nil)

// NewBudget returns a Budget before store.
func NewBudget(store Store, o BudgetOptions, clock clockwork.Clock) *Budget {
	return &Budget{
		store:  store,
		writes: newGate(o.WritesPerSecond, o.Queue, clock),
		reads:  newGate(o.ReadsPerSecond, o.Queue, clock),
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

// gate is a token bucket whose waiters are served by priority.
type gate struct {
	clock clockwork.Clock
	queue int

	mu      sync.Mutex
	bucket  *rate.Limiter
	waiting waiters
	arrived uint64
	armed   bool
}

func newGate(perSecond float64, queue int, clock clockwork.Clock) *gate {
	return &gate{clock: clock, queue: queue, bucket: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (g *gate) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// acquire takes a token or waits for one.
func (g *gate) acquire(ctx context.Context) error {
	if ctx.Err() != nil {
		return errors.Mark(errors.Wrap(ctx.Err(), "call budget"), ErrLimited)
	}
	w, err := g.enter(PurposeOf(ctx))
	if err != nil || w == nil {
		return err
	}
	select {
	case err := <-w.served:
		return err
	case <-ctx.Done():
		return g.leave(ctx, w)
	}
}

// enter returns nil when it took a token, else a waiter.
func (g *gate) enter(p Purpose) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 && g.bucket.AllowN(g.clock.Now(), 1) {
		return nil, nil
	}
	g.arrived++
	w := &waiter{purpose: p, arrival: g.arrived, served: make(chan error, 1)}
	if len(g.waiting) >= g.queue && !g.evict(w) {
		return nil, errors.Wrap(ErrLimited, "call budget: queue full")
	}
	heap.Push(&g.waiting, w)
	g.arm()
	return w, nil
}

// evict makes room for w by refusing the least important waiter, if w is more
// important than it.
func (g *gate) evict(w *waiter) bool {
	var last *waiter
	for _, other := range g.waiting {
		if last == nil || last.before(other) {
			last = other
		}
	}
	if last == nil || last.purpose <= w.purpose {
		return false
	}
	heap.Remove(&g.waiting, last.index)
	last.served <- errors.Wrap(ErrLimited, "call budget: queue full")
	return true
}

// leave gives up waiting. A token that was granted meanwhile is used.
func (g *gate) leave(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return <-w.served
	}
	heap.Remove(&g.waiting, w.index)
	return errors.Mark(errors.Wrap(ctx.Err(), "call budget"), ErrLimited)
}

// arm sets a timer for the next token. The caller holds the lock.
func (g *gate) arm() {
	if g.armed || len(g.waiting) == 0 {
		return
	}
	g.armed = true
	missing := 1 - g.bucket.TokensAt(g.clock.Now())
	delay := time.Duration(max(0, missing) / float64(g.bucket.Limit()) * float64(time.Second))
	g.clock.AfterFunc(delay+time.Microsecond, g.serve)
}

// serve hands tokens to waiters.
func (g *gate) serve() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	for len(g.waiting) > 0 && g.bucket.AllowN(g.clock.Now(), 1) {
		heap.Pop(&g.waiting).(*waiter).served <- nil
	}
	g.arm()
}

// waiter is a call that waits for a token.
type waiter struct {
	purpose Purpose
	arrival uint64
	served  chan error
	// index is the place in the heap, -1 outside.
	index int
}

func (w *waiter) before(o *waiter) bool {
	if w.purpose != o.purpose {
		return w.purpose < o.purpose
	}
	return w.arrival < o.arrival
}

// waiters is a heap, most important first.
type waiters []*waiter

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
