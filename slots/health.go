package slots

import (
	"math"
	"time"
)

// Cooldowns of replicas after failures, and parameters of the error rate.
const (
	// fullCooldown lets a replica that refused a request as full finish others
	// first.
	fullCooldown = 40 * time.Millisecond
	// failureCooldown follows repeated failures. It doubles with each further
	// one, up to maxFailureCooldown.
	failureCooldown    = 300 * time.Millisecond
	maxFailureCooldown = 4 * time.Second
	// replacedCooldown keeps requests from an address that another replica has
	// taken over, until the record of the former one is removed.
	replacedCooldown = 3 * time.Second
	// failureThreshold is the number of exchanges in a row that must break off
	// before a replica is avoided. Replicas that work lose single exchanges
	// too.
	failureThreshold = 3
	// sameCauseWindow is the time within which broken exchanges count as one
	// failure, as when all connections of a host are reset.
	sameCauseWindow = 100 * time.Millisecond
	// errorRateWeight is the weight of the newest request in the error rate,
	// and errorRateHalfLife is the time in which the rate halves without
	// requests.
	errorRateWeight   = 0.2
	errorRateHalfLife = 3 * time.Second
	// minErrorRate is the error rate below which it counts as zero.
	minErrorRate = 0.01
)

// recordOutcome updates the error rate and the cooldown after a request.
func (r *replicaState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Done, Ended:
		r.failures, r.unreached = 0, false
		r.updateErrorRate(now, 0)
	case Full:
		r.busyFor(now, fullCooldown)
	case Replaced:
		r.busyFor(now, replacedCooldown)
	case Unreachable:
		r.failures, r.failedAt = max(r.failures+1, failureThreshold), now
		r.unreached = true
		r.updateErrorRate(now, 1)
		r.avoidFor(now, r.backoff())
	case Failed, Errored:
		if outcome == Failed {
			if now.Sub(r.brokenAt) < sameCauseWindow {
				return
			}
			r.brokenAt = now
		}
		r.updateErrorRate(now, 1)
		r.failures++
		if r.failures >= failureThreshold {
			r.avoidFor(now, r.backoff())
		}
	case Unused:
	}
}

// updateErrorRate adds a sample, 1 for a failure and 0 for success, to the
// moving average.
func (r *replicaState) updateErrorRate(now time.Time, sample float64) {
	r.errorRate = (1-errorRateWeight)*r.currentErrorRate(now) + errorRateWeight*sample
	r.errorRateAt = now
}

// currentErrorRate returns the fraction of requests that fail, decayed to the
// given time.
func (r *replicaState) currentErrorRate(now time.Time) float64 {
	if r.errorRate == 0 {
		return 0
	}
	rate := r.errorRate * math.Exp2(-now.Sub(r.errorRateAt).Seconds()/errorRateHalfLife.Seconds())
	if rate < minErrorRate {
		return 0
	}
	return rate
}

// suspect reports whether the last requests failed. A suspect replica gets one
// request at a time until one succeeds. If it was not reached, that is beside those in
// progress: they may wait on connections that no longer work.
func (r *replicaState) suspect() bool { return r.failures >= failureThreshold }

// avoidFor keeps requests from the replica for at least the given duration.
func (r *replicaState) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(r.avoidUntil) {
		r.avoidUntil = until
	}
}

// busyFor keeps requests from the replica for at least the given duration though it has not
// failed.
func (r *replicaState) busyFor(now time.Time, d time.Duration) {
	r.avoidFor(now, d)
	if until := now.Add(d); until.After(r.busyUntil) {
		r.busyUntil = until
	}
}

// backoff returns the cooldown for the present number of failures.
func (r *replicaState) backoff() time.Duration {
	d := failureCooldown
	for i := failureThreshold; i < r.failures && d < maxFailureCooldown; i++ {
		d *= 2
	}
	return min(d, maxFailureCooldown)
}
