package soak

import (
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Bounds of the requests that a replica with a rate limit may get, from rateContact
// after it named the limit: rateFactor times what it allows and rateSlack more, in any
// rateWindow. Requests count if their host passed on the limit rateKnown before.
const (
	rateContact = 3 * time.Second
	rateWindow  = 4 * time.Second
	rateKnown   = 500 * time.Millisecond
	rateFactor  = 1.5
	rateSlack   = 5
)

// rateLimit is a limit that a replica named over a time.
type rateLimit struct {
	replica   string
	perSecond float64
	from, to  time.Time
}

// limitedRate notes a limit that has ended.
func (l *Ledger) limitedRate(limit rateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateLimits = append(l.rateLimits, limit)
}

// saysRateLimit notes that a host has passed on that a replica has a rate limit.
func (l *Ledger) saysRateLimit(host hostRun, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	said := saidTo{host, replica}
	if _, ok := l.rateLimited[said]; !ok {
		l.rateLimited[said] = time.Now()
	}
}

// CheckRateLimits checks that replicas got no more requests than their limits allow from
// the hosts that knew of them.
func (l *Ledger) CheckRateLimits(starts map[string][]platformtest.Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range l.rateLimits {
		var counted []time.Time
		for _, s := range starts[limit.replica] {
			if limit.includes(s.At) && l.wasTold(limit.replica, s) {
				counted = append(counted, s.At)
			}
		}
		if most := mostWithin(counted, rateWindow); float64(most) > rateFactor*limit.perSecond*rateWindow.Seconds()+rateSlack {
			l.violations = append(l.violations, fmt.Sprintf("replica %s takes %.1f requests a second and got %d in %s", limit.replica, limit.perSecond, most, rateWindow))
		}
	}
}

func (r rateLimit) includes(at time.Time) bool {
	return at.After(r.from.Add(rateContact)) && at.Before(r.to)
}

// wasTold reports whether the host of a request had passed on the replica's limit.
func (l *Ledger) wasTold(replica string, s platformtest.Start) bool {
	request, ok := l.sent[s.Request]
	if !ok {
		return false
	}
	at, ok := l.rateLimited[saidTo{request.to, replica}]
	return ok && s.At.Sub(at) > rateKnown
}

// mostWithin returns the greatest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}
