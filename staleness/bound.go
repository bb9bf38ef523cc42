// Package staleness bounds how old the configuration is by which a host accepts
// requests: it knows when the version in force was last confirmed as the newest one, and
// decides when a host asks the store to confirm it again.
package staleness

import (
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
)

// usableFraction is the fraction of the bound for which a confirmation counts. The rest
// allows for clocks that run at different rates and for the time between the check of a
// request and its run.
const usableFraction = 0.9

// Confirmation says that a version was the newest one at some moment not before At.
type Confirmation struct {
	Version int64
	// At is when the read that confirmed the version was sent, by this host's clock. The
	// reply may be much later, and newer versions may have been written before it arrived.
	At time.Duration
}

// Bound holds when the configuration in force was last confirmed. It is safe for
// concurrent use.
type Bound struct {
	clock boottime.Clock
	limit time.Duration

	mu sync.Mutex
	// inForce is the version in force; there is none before the first call of SetInForce.
	inForce    int64
	hasInForce bool
	latest     Confirmation
	confirmed  bool
}

// NewBound returns a Bound without a configuration in force. No configuration may be used
// maxAge after it was superseded.
func NewBound(maxAge time.Duration, clock boottime.Clock) *Bound {
	return &Bound{clock: clock, limit: time.Duration(usableFraction * float64(maxAge))}
}

// SetInForce records that a version has come into force. Earlier confirmations stay
// valid: if an older version was the newest one at some moment, the version now in force
// wasn't superseded before that.
func (b *Bound) SetInForce(version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inForce, b.hasInForce = version, true
}

// Confirm records that a version was the newest one at some moment not before at. It
// counts if the version is not newer than the one in force and the confirmation is later
// than the last one. Confirm reports whether the configuration in force was not usable
// before and is now.
func (b *Bound) Confirm(version int64, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if !b.hasInForce || version > b.inForce || at > now || b.confirmed && at <= b.latest.At {
		return false
	}
	before := b.usable(b.inForce, now)
	b.latest, b.confirmed = Confirmation{Version: version, At: at}, true
	return !before && b.usable(b.inForce, now)
}

// ConfirmAged is like Confirm for a confirmation from another host. That host stated its
// age after it had received a request that was sent at the given time of this host. An
// age at which the confirmation is of no use is ignored, and so is a negative one.
func (b *Bound) ConfirmAged(version int64, sent, age time.Duration) bool {
	if age < 0 || age >= b.limit {
		return false
	}
	return b.Confirm(version, sent-age)
}

// Usable reports whether requests may be accepted by a version of the configuration: it
// was the newest one, or not written yet, less than usableFraction of the maximum age ago.
// The version is that of the configuration with which the request is checked, and may
// differ from the one in force by now.
func (b *Bound) Usable(version int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usable(version, b.clock())
}

func (b *Bound) usable(version int64, now time.Duration) bool {
	return b.confirmed && b.latest.Version <= version && now-b.latest.At < b.limit
}

// Age returns the version that was confirmed last, which may be older than the one in
// force, and the age of the confirmation. It reports false if there is none.
func (b *Bound) Age() (version int64, age time.Duration, confirmed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.confirmed {
		return 0, 0, false
	}
	return b.latest.Version, b.clock() - b.latest.At, true
}
