package slots

import (
	"math"
	"time"
)

// Times for which requests are kept away from a replica.
const (
	// fullCooldown lets a replica that is full get room.
	fullCooldown = 40 * time.Millisecond
	// failureCooldown is the pause after repeated failures. It doubles with each
	// further one, up to maxFailurePause.
	failureCooldown    = 300 * time.Millisecond
	maxFailureCooldown = 4 * time.Second
	// replacedCooldown keeps requests from an address that another replica has,
	// until the replica's record is gone.
	replacedCooldown = 3 * time.Second
	// failureThreshold is the number of exchanges that must break off in a row: a
	// single one is lost by replicas that otherwise serve.
	failureThreshold = 3
	// sameCauseWindow is the time within which exchanges that break off have one
	// cause, as when all connections of a host are reset.
	sameCauseWindow = 100 * time.Millisecond
	// errorRateWeight is the weight of the newest use in the part that fails, and
	// errorHalfLife how long that part takes to halve without uses.
	errorRateWeight   = 0.2
	errorRateHalfLife = 3 * time.Second
	// minErrorRate is a part of failures that counts as none.
	minErrorRate = 0.01
)

// recordOutcome takes how the use of a place ended.
func (r *replicaState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case Done:
		r.failures = 0
		r.updateErrorRate(now, 0)
	case Full:
		r.avoidFor(now, fullCooldown)
	case Replaced:
		r.avoidFor(now, replacedCooldown)
	case Unreachable:
		r.failures = max(r.failures+1, failureThreshold)
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

// updateErrorRate adds a use to the part that fails.
func (r *replicaState) updateErrorRate(now time.Time, sample float64) {
	r.errorRate = (1-errorRateWeight)*r.currentErrorRate(now) + errorRateWeight*sample
	r.errorRateAt = now
}

// currentErrorRate returns the part of the uses that fails.
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

// suspect reports whether the last uses failed: a single request tries it next.
func (r *replicaState) suspect() bool { return r.failures >= failureThreshold }

func (r *replicaState) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(r.avoidUntil) {
		r.avoidUntil = until
	}
}

// backoff returns the pause after the present number of failures.
func (r *replicaState) backoff() time.Duration {
	d := failureCooldown
	for i := failureThreshold; i < r.failures && d < maxFailureCooldown; i++ {
		d *= 2
	}
	return min(d, maxFailureCooldown)
}
