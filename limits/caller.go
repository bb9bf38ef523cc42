package limits

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// callerLimit is a host's part of the limits of one caller.
type callerLimit struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	doc      *service.Document
	share    float64
}

// callerLimit refuses a request over the host's part of its caller's limits.
func (q *queue) callerLimit(ask *Request, now time.Time) error {
	c, ok := q.named[ask.Caller]
	if !ok || c.RequestsPerSecond == 0 && c.TokensPerSecond == 0 {
		return nil
	}
	l := q.limitsOf(c, now)
	request := reserve(l.requests, 1, now)
	tokens := reserve(l.tokens, max(1, ask.Tokens), now)
	wait := max(request.DelayFrom(now), tokens.DelayFrom(now))
	if wait == 0 {
		return nil
	}
	request.CancelAt(now)
	tokens.CancelAt(now)
	return q.overLimit(c, wait)
}

// limitsOf returns the limiters of a caller, brought up to date.
func (q *queue) limitsOf(c *service.Caller, now time.Time) *callerLimit {
	share := q.opts.Share(q.name, c.Name)
	l, ok := q.limits[c.Name]
	if !ok {
		l = &callerLimit{}
		q.limits[c.Name] = l
	}
	if l.doc != q.doc || l.share != share {
		l.doc, l.share = q.doc, share
		l.requests = limiter(l.requests, c.RequestsPerSecond*share, now)
		l.tokens = limiter(l.tokens, c.TokensPerSecond*share, now)
	}
	return l
}

// limiter returns a limiter with bursts of one second that goes on from an old
// one; zero is no limit.
func limiter(old *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond))
	if old == nil || old.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	old.SetLimitAt(now, rate.Limit(perSecond))
	old.SetBurstAt(now, burst)
	return old
}

// reserve takes n from a limiter; the reservation tells how long the limiter
// would have the request wait. More than a burst counts as a burst.
func reserve(l *rate.Limiter, n int, now time.Time) *rate.Reservation {
	if l.Limit() == rate.Inf {
		return l.ReserveN(now, 0)
	}
	return l.ReserveN(now, min(n, l.Burst()))
}

func (q *queue) overLimit(c *service.Caller, wait time.Duration) error {
	after := max(minRetryAfter, wait)
	after += time.Duration(retryJitter * q.random.Float64() * float64(after))
	return verdict.New(verdict.NotRun, verdict.CodeCallerLimit,
		"Caller %s is over its limit.", c.Name).WithRetryAfter(after)
}
