package routing

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Parameters of outlier ejection.
const (
	// ejectionThreshold is the number of consecutive failures after which an
	// upstream is ejected.
	ejectionThreshold = 5
	// baseEjectionDuration is the duration of the first ejection; it doubles with
	// each consecutive one, up to maxEjectionDuration.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDuration  = 5 * time.Minute
	// ejectionJitter is the greatest random extension, as a fraction of the
	// duration.
	ejectionJitter = 0.2
)

// Health holds the recent failures of an upstream and its ejections.
type Health struct {
	// Failures is the number of consecutive failures, the last one at FailedAt.
	Failures int
	FailedAt time.Time
	// Ejections is the number of ejections without a success between them.
	Ejections int
	// EjectedUntil is the end of the last ejection.
	EjectedUntil time.Time
}

// Ejected reports whether the upstream is ejected at the given time.
func (h Health) Ejected(now time.Time) bool { return now.Before(h.EjectedUntil) }

// AfterTry returns the health after one more attempt. If mayEject is false, the
// upstream is not ejected whatever its failures; jitter is a random number in
// [0, 1).
func (h Health) AfterTry(failed, mayEject bool, now time.Time, jitter float64) Health {
	if !failed {
		return Health{EjectedUntil: h.EjectedUntil}
	}
	h.Failures++
	h.FailedAt = now
	if h.Failures < ejectionThreshold || !mayEject || h.Ejected(now) {
		return h
	}
	duration := min(maxEjectionDuration, baseEjectionDuration<<min(h.Ejections, 10))
	h.EjectedUntil = now.Add(duration + time.Duration(ejectionJitter*jitter*float64(duration)))
	h.Ejections++
	// After the ejection, one more failure ejects the upstream again.
	h.Failures = ejectionThreshold - 1
	return h
}

// belowEjectLimit reports whether one more of total upstreams may be ejected,
// where limit is the greatest fraction of them.
func belowEjectLimit(ejected, total int, limit float64) bool {
	return float64(ejected+1) <= limit*float64(total)
}

// isFailure reports whether an outcome indicates a fault of the upstream, rather
// than one of the request or of the caller's connection.
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
