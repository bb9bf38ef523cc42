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

// health remembers that the platform's service could not be used, so that asks
// are refused at once until a probe has succeeded. No ask waits for a probe.
type health struct {
	clock clockwork.Clock
	store kv.Store

	mu      sync.Mutex
	suspect bool
	delay   time.Duration
	armed   bool
}

func newHealth(store kv.Store, clock clockwork.Clock) *health {
	return &health{clock: clock, store: store}
}

// refusing reports whether asks have to be refused, and when to come back.
func (h *health) refusing() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.delay, h.suspect
}

// report takes the outcome of calls.
func (h *health) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if usable(err) {
		h.suspect, h.delay = false, 0
		return
	}
	h.suspect = true
	h.arm()
}

// usable reports whether an outcome shows that the service answers. A refusal
// by the host's own call budget says nothing against it.
func usable(err error) bool {
	return err == nil || errors.IsAny(err, kv.ErrNotFound, kv.ErrConflict, kv.ErrLimited)
}

// arm sets the timer for the next probe. The caller holds the lock.
func (h *health) arm() {
	if h.armed {
		return
	}
	h.armed = true
	h.delay = min(maxProbeDelay, max(minProbeDelay, 2*h.delay))
	h.clock.AfterFunc(h.delay+rand.N(h.delay/2), h.probe)
}

func (h *health) probe() {
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeLedger), claimTimeout)
	defer cancel()
	_, err := h.store.Get(ctx, probeKey)
	h.mu.Lock()
	h.armed = false
	h.mu.Unlock()
	h.report(err)
}
