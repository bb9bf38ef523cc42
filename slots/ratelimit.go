package slots

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// minRateLimit, in requests a second, is granted on replicas that name a lower
	// limit: only a response can say that the limit has ended.
	minRateLimit = 0.2
	// maxRateLimit, in requests a second, stands for any higher limit: more requests
	// never reach one replica.
	maxRateLimit = 1e6
	// rateLimitBurst is the time whose requests may be granted at once.
	rateLimitBurst = time.Second
	// rateLimitPreference is how much less load a replica with a rate limit counts as
	// having for batch items, and how much more for online requests: as much as all its
	// slots.
	rateLimitPreference = 1.0
	// standbyRateShare is the fraction of a replica's rate limit that a host grants
	// while another one is the broker of the data centre. Hosts that can't reach the
	// broker request slots from it, and the sum has to stay near the limit.
	standbyRateShare = 0.125
)

// rateBudget is the part of a replica's rate limit that this broker may grant. The zero
// value has no limit.
type rateBudget struct {
	// limit is the last observation that the broker knows of.
	limit replica.RateLimit
	// bucket is nil while there is no limit. A grant takes a token.
	bucket *rate.Limiter
}

// observe applies an observation unless a later one is known. Nothing is granted
// at once under a limit that is new: the replica has had requests in the last second.
func (b *rateBudget) observe(now time.Time, l replica.RateLimit, share float64) {
	if l.At.Before(b.limit.At) {
		return
	}
	b.limit = l
	if !l.Limited {
		b.bucket = nil
		return
	}
	if !b.limited() {
		b.bucket = rate.NewLimiter(0, 0)
	}
	b.setShare(now, share)
}

// setShare sets the fraction of the limit that is granted here.
func (b *rateBudget) setShare(now time.Time, share float64) {
	if !b.limited() {
		return
	}
	perSecond := min(max(b.limit.PerSecond*share, minRateLimit), maxRateLimit)
	b.bucket.SetLimitAt(now, rate.Limit(perSecond))
	b.bucket.SetBurstAt(now, int(math.Ceil(perSecond*rateLimitBurst.Seconds())))
}

// limited reports whether the replica has a rate limit.
func (b *rateBudget) limited() bool { return b.bucket != nil }

// allows reports whether n requests may be granted now.
func (b *rateBudget) allows(now time.Time, n int) bool {
	return !b.limited() || b.bucket.TokensAt(now) >= float64(n)
}

// take counts a granted request.
func (b *rateBudget) take(now time.Time) {
	if b.limited() {
		b.bucket.AllowN(now, 1)
	}
}

// wait returns the time until n requests may be granted.
func (b *rateBudget) wait(now time.Time, n int) time.Duration {
	if b.allows(now, n) {
		return 0
	}
	missing := float64(n) - b.bucket.TokensAt(now)
	return time.Duration(math.Ceil(missing / float64(b.bucket.Limit()) * float64(time.Second)))
}

// used returns the fraction of the burst that has been granted lately.
func (b *rateBudget) used(now time.Time) float64 {
	if !b.limited() {
		return 0
	}
	return 1 - b.bucket.TokensAt(now)/float64(b.bucket.Burst())
}

// batchTokens returns the number of requests that have to be allowed before one of them
// is granted to a batch item. Like a slot, one is kept for the next online request.
func (b *rateBudget) batchTokens(onlineReserve int) int {
	if !b.limited() {
		return 1
	}
	return min(1+onlineReserve, b.bucket.Burst())
}

// ObserveRateLimit applies what a replica said about its rate limit.
func (s *Scheduler) ObserveRateLimit(now time.Time, r replica.Replica, l replica.RateLimit) {
	state := s.find(r.Service, r.ID)
	if state == nil || state.Born != r.Born {
		return
	}
	state.budget.observe(now, l, s.rateShare)
}

// SetRateShare sets the fraction of the replicas' rate limits that is granted here.
func (s *Scheduler) SetRateShare(now time.Time, share float64) {
	if s.rateShare == share {
		return
	}
	s.rateShare = share
	for _, p := range s.services {
		for _, r := range p.replicas {
			r.budget.setShare(now, share)
		}
	}
}

// hasRateLimits reports whether any replica has a rate limit.
func (s *Scheduler) hasRateLimits() bool {
	for _, p := range s.services {
		for _, r := range p.replicas {
			if r.budget.limited() {
				return true
			}
		}
	}
	return false
}

// countRateLimited returns the number of replicas that would get the request if their
// rate limits allowed it.
func (p *pool) countRateLimited(now time.Time, args *AcquireArgs) int {
	n := 0
	for _, r := range p.replicas {
		if args.allows(r) && r.hasFreeSlot(now) && !r.budget.allows(now, 1) {
			n++
		}
	}
	return n
}
