package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// budgetWindow is the sliding window over which successes and retries count.
	budgetWindow = 10 * time.Second
	// bucketCount is the number of buckets into which the window is divided.
	bucketCount = 10
	// minRetries is the number of retries that a window always allows, so that
	// failed requests of a service with little traffic can be retried as well.
	minRetries = 10
)

// bucket holds the counts of one period, which is a time span of the window divided
// by bucketCount, numbered from the Unix epoch.
type bucket struct {
	period    int64
	successes int
	retries   int
}

// Budget limits the retries of one service on one host to a fraction of its recent
// successes. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu   sync.Mutex
	ring [bucketCount]bucket
}

// NewBudget returns a budget without recorded successes or retries.
func NewBudget(clock clockwork.Clock) *Budget { return &Budget{clock: clock} }

// RecordSuccess records a request that was answered.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().successes++
}

// Spend records one retry and returns true if the budget allows it: the retries in
// the window stay within the given fraction of its successes, or within minRetries.
// A fraction of zero allows no retries at all.
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

// currentBucket returns the bucket of the current period, cleared if it still holds
// the counts of an expired period.
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

// Budgets holds a budget for each service. It is safe for concurrent use.
type Budgets struct {
	clock clockwork.Clock

	mu        sync.RWMutex
	byService map[string]*Budget
}

// NewBudgets returns an empty set of budgets.
func NewBudgets(clock clockwork.Clock) *Budgets {
	return &Budgets{clock: clock, byService: make(map[string]*Budget)}
}

// ForService returns the budget of a service and creates it if needed.
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
