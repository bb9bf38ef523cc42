package batch

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// ActivityTracker is a Balancer that observes the work that it lets pass. It stands in
// for the Observer of a balancer that has none.
type ActivityTracker struct {
	routing.Balancer
	clock clockwork.Clock

	mu        sync.Mutex
	byAddress map[string]*upstreamActivity
}

type upstreamActivity struct {
	online int
	load   *upstream.Load
	readAt time.Time
}

// NewActivityTracker wraps a balancer.
func NewActivityTracker(b routing.Balancer, clock clockwork.Clock) *ActivityTracker {
	return &ActivityTracker{Balancer: b, clock: clock, byAddress: make(map[string]*upstreamActivity)}
}

// Choose implements routing.Balancer.
func (t *ActivityTracker) Choose(req routing.Request) (*routing.Choice, error) {
	choice, err := t.Balancer.Choose(req)
	if err != nil {
		return nil, err
	}
	address, done := choice.Upstream.Address, choice.Done
	t.update(address, 1, nil)
	choice.Done = func(o routing.Outcome) {
		t.update(address, -1, o.Load)
		done(o)
	}
	return choice, nil
}

func (t *ActivityTracker) update(address string, n int, load *upstream.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byAddress[address]
	if !ok {
		a = &upstreamActivity{}
		t.byAddress[address] = a
	}
	a.online += n
	if load != nil {
		a.load, a.readAt = load, t.clock.Now()
	}
}

// Activity implements routing.Observer.
func (t *ActivityTracker) Activity(address string) routing.Activity {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byAddress[address]
	if !ok {
		return routing.Activity{}
	}
	return routing.Activity{Online: a.online, Load: a.load, ReadAt: a.readAt}
}
