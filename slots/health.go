package slots

import "time"

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
)

// note takes how the use of a place ended.
func (r *place) note(now time.Time, outcome Outcome) {
	switch outcome {
	case Done:
		r.failures = 0
	case Full:
		r.pause(now, fullPause)
	case Replaced:
		r.pause(now, replacedPause)
	case Unreachable:
		r.failures = max(r.failures+1, brokenRuns)
		r.pause(now, r.backoff())
	case Failed:
		r.failures++
		if r.failures >= brokenRuns {
			r.pause(now, r.backoff())
		}
	case Unused:
	}
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
