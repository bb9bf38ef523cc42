package batch

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// ActivityTracker wraps a Balancer that does not implement
// routing.ActivityReader and implements it by counting the requests that pass.
type ActivityTracker struct {
	routing.Balancer
	clock clockwork.Clock

	mu        sync.Mutex
	byAddress map[string]*upstreamActivity
}

// upstreamActivity is the activity on the upstream at one address.
type upstreamActivity struct {
	// online is the number of requests in flight.
	online int
	// load is the load report of the newest response that carried one, received
	// at readAt.
	load   *upstream.Load
	readAt time.Time
}

// NewActivityTracker returns a tracker that wraps b.
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

// update adds n to the requests in flight at an address and stores the load
// report if there is one.
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

// Activity implements routing.ActivityReader.
func (t *ActivityTracker) Activity(address string) routing.Activity {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byAddress[address]
	if !ok {
		return routing.Activity{}
	}
	return routing.Activity{Online: a.online, Load: a.load, ReadAt: a.readAt}
}
