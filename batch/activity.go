package batch

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Tracker is a Balancer that observes the work that it lets pass. It stands in
// for the Observer of a balancer that has none.
type Tracker struct {
	routing.Balancer
	clock clockwork.Clock

	mu   sync.Mutex
	seen map[string]*observed
}

type observed struct {
	online int
	load   *upstream.Load
	readAt time.Time
}

// NewTracker wraps a balancer.
func NewTracker(b routing.Balancer, clock clockwork.Clock) *Tracker {
	return &Tracker{Balancer: b, clock: clock, seen: make(map[string]*observed)}
}

// Choose implements routing.Balancer.
func (t *Tracker) Choose(ask routing.Request) (*routing.Choice, error) {
	choice, err := t.Balancer.Choose(ask)
	if err != nil {
		return nil, err
	}
	address, done := choice.Upstream.Address, choice.Done
	t.add(address, 1, nil)
	choice.Done = func(o routing.Outcome) {
		t.add(address, -1, o.Load)
		done(o)
	}
	return choice, nil
}

func (t *Tracker) add(address string, n int, load *upstream.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.seen[address]
	if !ok {
		o = &observed{}
		t.seen[address] = o
	}
	o.online += n
	if load != nil {
		o.load, o.readAt = load, t.clock.Now()
	}
}

// Activity implements routing.Observer.
func (t *Tracker) Activity(address string) routing.Activity {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.seen[address]
	if !ok {
		return routing.Activity{}
	}
	return routing.Activity{Online: o.online, Load: o.load, ReadAt: o.readAt}
}
