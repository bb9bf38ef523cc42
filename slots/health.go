package slots

import (
	"math"
	"time"
)

// Times for which requests are kept away from a replica.
const (
	// fullPause lets a replica that is full get room.
	fullPause = 40 * time.Millisecond
	// failurePause is the pause after repeated failures. It doubles with each
	// further one, up to maxFailurePause.
	failurePause    = 300 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// replacedPause keeps requests from an address that another replica has,
	// until the replica's record is gone.
	replacedPause = 3 * time.Second
	// brokenRuns is the number of exchanges that must break off in a row: a
	// single one is lost by replicas that otherwise serve.
	brokenRuns = 3
	// togetherTime is the time within which exchanges that break off have one
	// cause, as when all connections of a host are reset.
	togetherTime = 100 * time.Millisecond
	// errorWeight is the weight of the newest use in the part that fails, and
	// errorHalfLife how long that part takes to halve without uses.
	errorWeight   = 0.2
	errorHalfLife = 3 * time.Second
	// minErrors is a part of failures that counts as none.
	minErrors = 0.01
)

// note takes how the use of a place ended.
func (r *place) note(now time.Time, outcome Outcome) {
	switch outcome {
	case Done:
		r.failures = 0
		r.weigh(now, 0)
	case Full:
		r.pause(now, fullPause)
	case Replaced:
		r.pause(now, replacedPause)
	case Unreachable:
		r.failures = max(r.failures+1, brokenRuns)
		r.weigh(now, 1)
		r.pause(now, r.backoff())
	case Failed, Errored:
		if outcome == Failed {
			if now.Sub(r.brokenAt) < togetherTime {
				return
			}
			r.brokenAt = now
		}
		r.weigh(now, 1)
		r.failures++
		if r.failures >= brokenRuns {
			r.pause(now, r.backoff())
		}
	case Unused:
	}
}

// weigh adds a use to the part that fails.
func (r *place) weigh(now time.Time, failed float64) {
	r.errors = (1-errorWeight)*r.errorPart(now) + errorWeight*failed
	r.errorsAt = now
}

// errorPart returns the part of the uses that fails.
func (r *place) errorPart(now time.Time) float64 {
	if r.errors == 0 {
		return 0
	}
	part := r.errors * math.Exp2(-now.Sub(r.errorsAt).Seconds()/errorHalfLife.Seconds())
	if part < minErrors {
		return 0
	}
	return part
}

// suspect reports whether the last uses failed: a single request tries it next.
func (r *place) suspect() bool { return r.failures >= brokenRuns }

func (r *place) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(r.avoidUntil) {
		r.avoidUntil = until
	}
}

// backoff returns the pause after the present number of failures.
func (r *place) backoff() time.Duration {
	d := failurePause
	for i := brokenRuns; i < r.failures && d < maxFailurePause; i++ {
		d *= 2
	}
	return min(d, maxFailurePause)
}
