package replica

import "time"

// rateLimitRetention is how long a rate limit is remembered without another
// response of its replica.
const rateLimitRetention = time.Hour

// RateLimit is what a response of a replica says about the requests that the replica
// takes.
type RateLimit struct {
	// Limited is false if the response names no limit. PerSecond is the number of
	// requests a second that the replica takes from all hosts together.
	Limited   bool
	PerSecond float64
	// At is when the response arrived; zero means that none did.
	At time.Time
}

// Equal reports whether both say the same, at whatever time.
func (l RateLimit) Equal(other RateLimit) bool {
	return l.Limited == other.Limited && l.PerSecond == other.PerSecond
}

// rateLimitMark is the last observation of the rate limit of one incarnation of a
// replica.
type rateLimitMark struct {
	replica Replica
	limit   RateLimit
}

// ObserveRateLimit records what a replica says about its rate limit and reports
// whether that is new. The latest observation counts. A replica that never named a limit is
// not recorded.
func (v *View) ObserveRateLimit(r Replica, l RateLimit) bool {
	known, ok := v.rateLimits[r.ID]
	switch {
	case ok && (r.Born < known.replica.Born || r.Born == known.replica.Born && l.At.Before(known.limit.At)):
		return false
	case !ok && !l.Limited:
		return false
	}
	for id, mark := range v.rateLimits {
		if l.At.Sub(mark.limit.At) > rateLimitRetention {
			delete(v.rateLimits, id)
		}
	}
	v.rateLimits[r.ID] = rateLimitMark{r, l}
	if !ok || r.Born > known.replica.Born {
		return l.Limited
	}
	return !l.Equal(known.limit)
}

// RateLimit returns what this incarnation of a replica said last about its rate
// limit.
func (v *View) RateLimit(r Replica) RateLimit {
	mark, ok := v.rateLimits[r.ID]
	if !ok || mark.replica.Born != r.Born {
		return RateLimit{}
	}
	return mark.limit
}

// RateLimits returns the last observations of all replicas that ever named a rate
// limit.
func (v *View) RateLimits() map[Replica]RateLimit {
	limits := make(map[Replica]RateLimit, len(v.rateLimits))
	for _, mark := range v.rateLimits {
		limits[mark.replica] = mark.limit
	}
	return limits
}

// CountRateLimited returns the number of replicas that have named a rate limit and
// not taken it back.
func (v *View) CountRateLimited() int {
	n := 0
	for _, mark := range v.rateLimits {
		if mark.limit.Limited {
			n++
		}
	}
	return n
}
