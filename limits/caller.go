package limits

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// callerLimiters holds the rate limiters that enforce this host's share of the
// limits of one caller. doc and share are the values they were set up with.
type callerLimiters struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	doc      *service.Document
	share    float64
}

// chargeCaller charges a request to its caller, or refuses it if it exceeds this host's share
// of the caller's limits. The returned function takes the charge back.
func (q *queue) chargeCaller(req *Request, now time.Time) (refund func(), err error) {
	c, ok := q.callers[req.Caller]
	if !ok || c.RequestsPerSecond == 0 && c.TokensPerSecond == 0 {
		return func() {}, nil
	}
	l := q.limitersFor(c, now)
	requests := reserve(l.requests, 1, now)
	tokens := reserve(l.tokens, max(1, req.Tokens), now)
	refund = func() {
		requests.CancelAt(now)
		tokens.CancelAt(now)
	}
	if wait := max(requests.DelayFrom(now), tokens.DelayFrom(now)); wait > 0 {
		refund()
		return nil, q.newCallerLimitError(c, wait)
	}
	return refund, nil
}

// limitersFor returns the limiters of a caller, updated if the document or this
// host's share has changed.
func (q *queue) limitersFor(c *service.Caller, now time.Time) *callerLimiters {
	share := q.opts.CallerShare(q.name, c.Name)
	l, ok := q.limiters[c.Name]
	if !ok {
		l = &callerLimiters{}
		q.limiters[c.Name] = l
	}
	if l.doc != q.doc || l.share != share {
		l.doc, l.share = q.doc, share
		l.requests = updateLimiter(l.requests, c.RequestsPerSecond*share, now)
		l.tokens = updateLimiter(l.tokens, c.TokensPerSecond*share, now)
	}
	return l
}

// updateLimiter returns a limiter for a rate per second with a burst of one
// second. A previous limiter with a limit is updated in place, so that what was
// already spent still counts. A rate of zero means no limit.
func updateLimiter(previous *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond))
	if previous == nil || previous.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	previous.SetLimitAt(now, rate.Limit(perSecond))
	previous.SetBurstAt(now, burst)
	return previous
}

// reserve takes n from a limiter and returns the reservation, whose delay is the
// time until the limiter allows it. It never takes more than the burst, since a
// larger reservation could never be granted.
func reserve(l *rate.Limiter, n int, now time.Time) *rate.Reservation {
	if l.Limit() == rate.Inf {
		return l.ReserveN(now, 0)
	}
	return l.ReserveN(now, min(n, l.Burst()))
}

func (q *queue) newCallerLimitError(c *service.Caller, wait time.Duration) error {
	retryAfter := max(minRetryAfter, wait)
	retryAfter += time.Duration(retryJitter * q.random.Float64() * float64(retryAfter))
	return verdict.New(verdict.NotRun, verdict.CodeCallerLimit,
		"Caller %s is over its limit.", c.Name).WithRetryAfter(retryAfter)
}
