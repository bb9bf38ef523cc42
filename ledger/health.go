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

// Delay between probes of a service that could not be used; it doubles, and
// each delay is lengthened by up to a half at random.
const (
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
)

// probeKey is read by probes; it need not exist.
const probeKey = "ledger/probe"

// storeHealth remembers that the platform's service could not be used, so that asks
// are refused at once until a probe has succeeded. No ask waits for a probe.
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

// unavailable reports whether asks have to be refused, and when to come back.
func (h *storeHealth) unavailable() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay, h.down
}

// report takes the outcome of calls.
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

// storeAnswered reports whether an outcome shows that the service answers. A refusal
// by the host's own call budget says nothing against it.
func storeAnswered(err error) bool {
	return err == nil || errors.IsAny(err, kv.ErrNotFound, kv.ErrConflict, kv.ErrLimited)
}

// scheduleProbe sets the timer for the next probe. The caller holds the lock.
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
