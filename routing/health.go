package routing

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Parameters of outlier ejection.
const (
	// ejectFailures is the number of consecutive failures that ejects.
	ejectFailures = 5
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// each one in a row.
	ejectBase = 5 * time.Second
	ejectMax  = 5 * time.Minute
	// ejectJitter is the random part of an ejection's time.
	ejectJitter = 0.2
)

// Health is what failures say about an upstream.
type Health struct {
	// Failures in a row, the last one at FailedAt.
	Failures int
	FailedAt time.Time
	// Ejections in a row, without a success between them.
	Ejections int
	// EjectedUntil is the end of the last ejection.
	EjectedUntil time.Time
}

// Ejected reports whether the upstream is ejected.
func (h Health) Ejected(now time.Time) bool { return now.Before(h.EjectedUntil) }

// AfterTry returns the health after a try. The room says whether one more
// upstream may be ejected; jitter is a random number in [0, 1).
func (h Health) AfterTry(failed, room bool, now time.Time, jitter float64) Health {
	if !failed {
		return Health{EjectedUntil: h.EjectedUntil}
	}
	h.Failures++
	h.FailedAt = now
	if h.Failures < ejectFailures || !room || h.Ejected(now) {
		return h
	}
	span := min(ejectMax, ejectBase<<min(h.Ejections, 10))
	h.EjectedUntil = now.Add(span + time.Duration(ejectJitter*jitter*float64(span)))
	h.Ejections++
	// One failure after the return ejects again.
	h.Failures = ejectFailures - 1
	return h
}

// ejectRoom reports whether one more of total upstreams may be ejected.
func ejectRoom(ejected, total int, limit float64) bool {
	return float64(ejected+1) <= limit*float64(total)
}

// isFailure reports whether an error speaks against the upstream rather than
// against the request or the caller's connection.
func isFailure(o Outcome) bool {
	if o.Err == nil || o.Leaving || errors.Is(o.Err, context.Canceled) {
		return false
	}
	switch verdict.As(o.Err).Code {
	case verdict.CodeUpstreamFailed, verdict.CodeIncomplete, verdict.CodeTimeout:
		return true
	default:
		return false
	}
}
