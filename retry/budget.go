package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// budgetWindow is the time over which successes count.
	budgetWindow = 10 * time.Second
	// bucketCount divide the window.
	bucketCount = 10
	// minRetries is the number of retries in a window that need no success, so that
	// a service with little traffic can be retried at all.
	minRetries = 10
)

// bucket counts over one part of the window.
type bucket struct {
	period    int64
	successes int
	retries   int
}

// Budget bounds the retries of one service on one host to a part of the recent
// successes. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu   sync.Mutex
	ring [bucketCount]bucket
}

// NewBudget returns a budget.
func NewBudget(clock clockwork.Clock) *Budget { return &Budget{clock: clock} }

// RecordSuccess counts an answered request.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().successes++
}

// Spend takes one retry and reports whether there was room: the retries of the
// window stay within part of its successes, or within the floor.
func (b *Budget) Spend(fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket()
	successes, retries := b.sum(current.period)
	if retries >= minRetries && float64(retries+1) > fraction*float64(successes) {
		return false
	}
	if fraction == 0 {
		return false
	}
	current.retries++
	return true
}

// currentBucket returns the bucket of the present time, emptied when it is old.
func (b *Budget) currentBucket() *bucket {
	period := b.clock.Now().UnixNano() / int64(budgetWindow/bucketCount)
	current := &b.ring[period%bucketCount]
	if current.period != period {
		*current = bucket{period: period}
	}
	return current
}

func (b *Budget) sum(period int64) (successes, retries int) {
	for i := range b.ring {
		if period-b.ring[i].period < bucketCount {
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

// ForService returns the budget of a service.
func (b *Budgets) ForService(service string) *Budget {
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
