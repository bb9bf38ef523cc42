package host

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/internal/wait"
)

// Bounds of the time for which a host counts as in contact with the store after an answer.
const (
	// contactFraction is the fraction of the time in which a change must take effect. The rest
	// is for the next broker, which lists the store, and for the hosts, which ask it.
	contactFraction = 0.7
	// minContactLimit allows for a renewal, the only call of most hosts, and its response.
	minContactLimit = renewInterval + 400*time.Millisecond
	// defaultContactLimit applies if no change must take effect in a bounded time.
	defaultContactLimit = 2 * renewInterval
)

// contactLimit returns the time for which a host counts as in contact with the store after an
// answer, so that changes take effect by the earliest of the deadlines. A deadline that isn't
// positive is none.
func contactLimit(deadlines ...time.Duration) time.Duration {
	deadlines = slices.DeleteFunc(deadlines, func(d time.Duration) bool { return d <= 0 })
	if len(deadlines) == 0 {
		return defaultContactLimit
	}
	return max(minContactLimit, time.Duration(contactFraction*float64(slices.Min(deadlines))))
}

// storeContact knows when the store last answered this host. A store that leaves some hosts
// without answers fails none of their calls until these time out, so the age of the last answer
// decides whether what a host has from the store may be out of date. It is safe for concurrent
// use.
type storeContact struct {
	clock boottime.Clock
	timer clockwork.Clock
	log   *logrus.Entry
	// limit is the age of the last answer beyond which there is no contact.
	limit time.Duration
	// onChange is called when the contact is lost and when it is back.
	onChange func()
	// answered signals an answer.
	answered chan struct{}

	mu sync.Mutex
	// at is the last moment at which the store is known to have answered, and zero before the
	// first answer. since is the first of the answers without a gap of more than limit.
	at, since time.Duration
}

// record records that the store answered this host at a moment of the clock.
func (c *storeContact) record(at time.Duration) {
	c.mu.Lock()
	if c.at == 0 || at-c.at > c.limit {
		c.since = at
	}
	c.at = max(c.at, at)
	c.mu.Unlock()
	select {
	case c.answered <- struct{}{}:
	default:
	}
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

// lasted returns the time for which the store has answered this host, up to the last answer.
func (c *storeContact) lasted() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at - c.since
}

// present reports whether the store has answered this host lately.
func (c *storeContact) present() bool {
	age, ok := c.age()
	return ok && age <= c.limit
}

// Serve reports when the contact is lost and when it is back, until ctx ends.
func (c *storeContact) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if age, ok := c.age(); ok && age <= c.limit {
			wait.For(ctx, c.timer, c.limit-age+time.Millisecond)
			continue
		} else if ok {
			c.log.WithField("age", age.String()).Warn("the store no longer answers this host: what it has may be out of date")
			c.onChange()
		}
		for !c.present() && ctx.Err() == nil {
			select {
			case <-c.answered:
			case <-ctx.Done():
			}
		}
		c.onChange()
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (c *storeContact) String() string { return "store contact" }

// newStoreContact returns the contact of a host, which must have its settings and clocks.
func (h *Host) newStoreContact() *storeContact {
	return &storeContact{
		clock: h.bootTime, timer: h.clock, log: h.log, limit: contactLimit(h.settings.ConfigTimeout, h.settings.DrainTimeout),
		onChange: func() { h.broker.EndPolls() }, answered: make(chan struct{}, 1),
	}
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

// hasStore reports whether the store answers this host: the last calls did not fail, and one
// was answered lately. Only then may what this host has from the store count as current.
func (h *Host) hasStore() bool { return !h.storeUnavailable() && h.storeContact.present() }
