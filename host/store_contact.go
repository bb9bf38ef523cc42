package host

import (
	"math"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
)

// storeContact knows when the store last answered this host. It is safe for concurrent use.
type storeContact struct {
	clock boottime.Clock

	mu sync.Mutex
	// at is the last moment at which the store is known to have answered, and zero before the
	// first answer.
	at time.Duration
}

// record records that the store answered this host at a moment of the clock.
func (c *storeContact) record(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = max(c.at, at)
}

// age returns the time since the store last answered this host. It reports false if it never
// has.
func (c *storeContact) age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == 0 {
		return 0, false
	}
	return max(c.clock()-c.at, 0), true
}

// provisionStoreContact reports the time since the store last answered this host.
func (h *Host) provisionStoreContact() {
	h.broker.SetStoreAge(func() time.Duration {
		age, _ := h.storeContact.age()
		return age
	})
	h.registerGauge("comfreyspindle_store_answer_age_seconds", "Time since the store last answered a call of this host; +Inf before the first answer.", nil, func() float64 {
		age, ok := h.storeContact.age()
		if !ok {
			return math.Inf(1)
		}
		return age.Seconds()
	})
}
