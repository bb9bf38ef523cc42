package kvtest

import (
	"time"

	"golang.org/x/time/rate"
)

// Cut is a network failure in one direction between a host and the store.
type Cut uint8

// Cuts that can be simulated.
const (
	// CutNone is a working connection.
	CutNone Cut = iota
	// CutRequests loses what the host sends, so that no call takes effect.
	CutRequests
	// CutReplies loses what the store sends, so that calls take effect without
	// a reply.
	CutReplies
)

// SetCut sets the network failure between a host and the store. CutNone ends it.
func (s *Store) SetCut(host string, c Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[host] = c
}

// Rate is a limit in calls per second. Zero means no limit.
type Rate struct {
	Writes float64
	Reads  float64
}

// limits holds the store's rate limits and the token buckets of each host and of
// all hosts together.
type limits struct {
	perHost Rate
	total   *buckets
	hosts   map[string]*buckets
}

// buckets holds a token bucket for writes and one for reads. Each has the size of
// one second's calls.
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

// SetRateLimits limits the calls of each host and of all hosts together. Calls
// beyond a limit fail with ErrLimited.
func (s *Store) SetRateLimits(perHost, total Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits{perHost: perHost, total: newBuckets(total), hosts: make(map[string]*buckets)}
}

// exceeded takes a token for a call and reports whether none was left.
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
