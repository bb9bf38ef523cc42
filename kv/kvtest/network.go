package kvtest

import (
	"time"

	"golang.org/x/time/rate"
)

// Cut is a break, in one direction, between a host and the service.
type Cut uint8

// Cuts of the way between a host and the service.
const (
	// CutNone lets everything pass.
	CutNone Cut = iota
	// CutRequests loses what the host sends: nothing takes effect.
	CutRequests
	// CutReplies loses what the service sends: calls take effect.
	CutReplies
)

// SetCut breaks or heals the way between a host and the service.
func (s *Store) SetCut(host string, c Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[host] = c
}

// Rate bounds calls per second; zero does not bound.
type Rate struct {
	Writes float64
	Reads  float64
}

// limits are the service's rate limits.
type limits struct {
	perHost Rate
	total   *buckets
	hosts   map[string]*buckets
}

// buckets hold one second's worth of calls each.
type buckets struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newBuckets(r Rate) *buckets { return &buckets{writes: bucket(r.Writes), reads: bucket(r.Reads)} }

func bucket(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetRateLimits bounds the calls of each host and of all hosts together; calls
// beyond are refused with ErrLimited.
func (s *Store) SetRateLimits(perHost, total Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits{perHost: perHost, total: newBuckets(total), hosts: make(map[string]*buckets)}
}

// exceeded counts a call against the limits.
func (l *limits) exceeded(now time.Time, host string, op Op) bool {
	if l.total == nil {
		return false
	}
	hostBuckets, ok := l.hosts[host]
	if !ok {
		hostBuckets = newBuckets(l.perHost)
		l.hosts[host] = hostBuckets
	}
	return !hostBuckets.allow(now, op) || !l.total.allow(now, op)
}

func (b *buckets) allow(now time.Time, op Op) bool {
	if op == OpPut || op == OpDelete {
		return b.writes.AllowN(now, 1)
	}
	return b.reads.AllowN(now, 1)
}
