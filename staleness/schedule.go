package staleness

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
)

// Times of reads. The fractions are of the maximum age, by default 5 s.
const (
	// maxReadInterval is the time between two reads of a broker, and the shortest one
	// between two reads of another host.
	maxReadInterval = time.Second
	// readIntervalFraction bounds the interval for small maximum ages, so that a read may
	// fail several times before the configuration becomes unusable.
	readIntervalFraction = 0.2
	// oldFraction is the age from which a host that isn't a broker looks for a
	// confirmation itself. Each host adds up to oldJitter, so that the hosts that lose
	// their broker at the same time spread their reads.
	oldFraction = 0.5
	oldJitter   = 0.1
	// startFraction is the time over which the hosts that start at the same time spread
	// their first reads. Most get a confirmation from their broker before.
	startFraction = 0.25
	// retryJitter is the fraction of the interval by which the next read of a host that
	// isn't a broker may come later. Without it, hosts that were refused together would
	// be refused together again.
	retryJitter = 0.5
)

// Schedule decides when a host asks the store to confirm the configuration in force. It
// is not safe for concurrent use.
type Schedule struct {
	clock    boottime.Clock
	rng      *rand.Rand
	interval time.Duration
	// old is the age from which the host reads if it isn't a broker.
	old time.Duration
	// startSpread is the time over which first reads are spread, and first the time of
	// this host's one, 0 as long as it isn't set.
	startSpread, first time.Duration
	sent, next         time.Duration
	everSent           bool
}

// NewSchedule returns the schedule of a host that has just started.
func NewSchedule(maxAge time.Duration, clock boottime.Clock, rng *rand.Rand) *Schedule {
	return &Schedule{
		clock: clock, rng: rng, interval: ReadInterval(maxAge),
		old:         OldAge(maxAge) + time.Duration(oldJitter*rng.Float64()*float64(maxAge)),
		startSpread: time.Duration(startFraction * float64(maxAge)),
	}
}

// ReadInterval returns the time between two reads of a broker.
func ReadInterval(maxAge time.Duration) time.Duration {
	return min(maxReadInterval, time.Duration(readIntervalFraction*float64(maxAge)))
}

// OldAge returns the age from which a confirmation counts as old.
func OldAge(maxAge time.Duration) time.Duration {
	return time.Duration(oldFraction * float64(maxAge))
}

// Due reports whether to send a read now. It is called with the age of the last
// confirmation that the bound has, from whichever source.
func (s *Schedule) Due(broker bool, age time.Duration, confirmed bool) bool {
	now := s.clock()
	switch {
	case broker:
		return !s.everSent || now-s.sent >= s.interval
	case confirmed:
		return age >= s.old && now >= s.next
	}
	if s.first == 0 {
		s.first = now + time.Duration(s.rng.Float64()*float64(s.startSpread))
	}
	return now >= max(s.first, s.next)
}

// Send records that a read is sent now and returns the time, at which it confirms the
// configuration if it succeeds.
func (s *Schedule) Send() time.Duration {
	s.sent, s.everSent = s.clock(), true
	s.next = s.sent + time.Duration((1+retryJitter*s.rng.Float64())*float64(s.interval))
	return s.sent
}
