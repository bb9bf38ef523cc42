package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Delay between probes of an unavailable store. It doubles with each failed
// probe; up to half of it is added at random.
const (
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
)

// probeKey is the key that probes read. It need not exist.
const probeKey = "ledger/probe"

// storeHealth is a circuit breaker for the store. After a failed call claims
// are refused at once, without waiting for a probe, until a probe succeeds.
type storeHealth struct {
	clock clockwork.Clock
	store kv.Store

	mu             sync.Mutex
	down           bool
	delay          time.Duration
	probeScheduled bool
}

func newStoreHealth(store kv.Store, clock clockwork.Clock) *storeHealth {
	return &storeHealth{clock: clock, store: store}
}

// unavailable reports whether claims must be refused, and after which delay to
// retry.
func (h *storeHealth) unavailable() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay, h.down
}

// report records the outcome of a store call. A failure schedules a probe.
func (h *storeHealth) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if storeAnswered(err) {
		h.down, h.delay = false, 0
		return
	}
	h.down = true
	h.scheduleProbe()
}

// storeAnswered reports whether the outcome of a call shows that the store is
// available. A call rejected by the host's own call budget is not held against
// the store.
func storeAnswered(err error) bool {
	return err == nil || errors.IsAny(err, kv.ErrNotFound, kv.ErrConflict, kv.ErrLimited)
}

// scheduleProbe starts the timer for the next probe unless it is running. h.mu
// must be held.
func (h *storeHealth) scheduleProbe() {
	if h.probeScheduled {
		return
	}
	h.probeScheduled = true
	h.delay = min(maxProbeDelay, max(minProbeDelay, 2*h.delay))
	h.clock.AfterFunc(h.delay+rand.N(h.delay/2), h.probe)
}

func (h *storeHealth) probe() {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeLedger), claimTimeout)
	defer cancel()
	_, err := h.store.Get(ctx, probeKey)
	h.mu.Lock()
	h.probeScheduled = false
	h.mu.Unlock()
	h.report(err)
}
