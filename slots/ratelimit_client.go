package slots

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// RateLimitMessage is a replica.RateLimit as sent between hosts. It holds its age, since
// the clocks of hosts differ. The zero value says nothing.
type RateLimitMessage struct {
	Known     bool
	Limited   bool
	PerSecond float64
	Age       time.Duration
}

func newRateLimitMessage(now time.Time, l replica.RateLimit) RateLimitMessage {
	if l.At.IsZero() {
		return RateLimitMessage{}
	}
	return RateLimitMessage{Known: true, Limited: l.Limited, PerSecond: l.PerSecond, Age: now.Sub(l.At)}
}

func (m RateLimitMessage) rateLimit(now time.Time) replica.RateLimit {
	if !m.Known {
		return replica.RateLimit{}
	}
	return replica.RateLimit{Limited: m.Limited, PerSecond: m.PerSecond, At: now.Add(-m.Age)}
}

// RateLimitReport tells a broker what a replica said about its rate limit.
type RateLimitReport struct {
	Replica   replica.Replica
	RateLimit RateLimitMessage
}

// reconcileRateLimit compares what the broker that granted a slot knew of the replica's
// rate limit with what this host knows. The later observation counts. It reports
// whether the grant may be used: not if the broker doesn't know that there is a limit.
func (c *Client) reconcileRateLimit(h membership.Host, g Grant) bool {
	now := c.Clock.Now()
	own, told := c.Replicas.RateLimit(g.Replica), g.RateLimit.rateLimit(now)
	if !told.At.Before(own.At) || own.Equal(told) {
		c.Replicas.LearnRateLimit(g.Replica, told)
		return true
	}
	if own.Limited && !told.Limited {
		return false
	}
	c.queueRateLimit(h, g.Replica, own)
	return true
}

// ReportRateLimit tells the broker of the replica's data centre what the replica said
// to this host.
func (c *Client) ReportRateLimit(r replica.Replica, l replica.RateLimit) {
	if ranked := c.brokers(r.DataCentre); len(ranked) > 0 {
		c.queueRateLimit(ranked[0], r, l)
	}
}

func (c *Client) queueRateLimit(h membership.Host, r replica.Replica, l replica.RateLimit) {
	c.queue(h, func(q *releaseQueue) {
		q.rateLimits = append(q.rateLimits, RateLimitReport{Replica: r, RateLimit: newRateLimitMessage(c.Clock.Now(), l)})
	})
}

// reportRateLimits tells a broker all that this host knows of the rate limits in its
// data centre, and waits for the reply.
func (c *Client) reportRateLimits(ctx context.Context, h membership.Host, dataCentre string) error {
	var args ReleaseArgs
	now := c.Clock.Now()
	for r, l := range c.Replicas.RateLimits() {
		if r.DataCentre == dataCentre {
			args.RateLimits = append(args.RateLimits, RateLimitReport{Replica: r, RateLimit: newRateLimitMessage(now, l)})
		}
	}
	return c.call(ctx, h, callMargin, "Release", args, new(Empty))
}
