package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// window is the time over which successes count.
	window = 10 * time.Second
	// buckets divide the window.
	buckets = 10
	// floor is the number of retries in a window that need no success, so that
	// a service with little traffic can be retried at all.
	floor = 10
)

// bucket counts over one part of the window.
type bucket struct {
	slot      int64
	successes int
	retries   int
}

// Budget bounds the retries of one service on one host to a part of the recent
// successes. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu   sync.Mutex
	ring [buckets]bucket
}

// NewBudget returns a budget.
func NewBudget(clock clockwork.Clock) *Budget { return &Budget{clock: clock} }

// Succeeded counts an answered request.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().successes++
}

// Spend takes one retry and reports whether there was room: the retries of the
// window stay within part of its successes, or within the floor.
func (b *Budget) Spend(part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	successes, retries := b.sum(now.slot)
	if retries >= floor && float64(retries+1) > part*float64(successes) {
		return false
	}
	if part == 0 {
		return false
	}
	now.retries++
	return true
}

// current returns the bucket of the present time, emptied when it is old.
func (b *Budget) current() *bucket {
	slot := b.clock.Now().UnixNano() / int64(window/buckets)
	now := &b.ring[slot%buckets]
	if now.slot != slot {
		*now = bucket{slot: slot}
	}
	return now
}

func (b *Budget) sum(slot int64) (successes, retries int) {
	for i := range b.ring {
		if slot-b.ring[i].slot < buckets {
			successes += b.ring[i].successes
			retries += b.ring[i].retries
		}
	}
	return successes, retries
}

// Budgets holds one budget for each service. It is safe for concurrent use.
type Budgets struct {
	clock clockwork.Clock

	mu        sync.RWMutex
	byService map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets(clock clockwork.Clock) *Budgets {
	return &Budgets{clock: clock, byService: make(map[string]*Budget)}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.RLock()
	budget, ok := b.byService[service]
	b.mu.RUnlock()
	if ok {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget, ok := b.byService[service]; ok {
		return budget
	}
	budget = NewBudget(b.clock)
	b.byService[service] = budget
	return budget
}
