package shutdown

import "time"

// Times of a planned stop, within the time that the platform grants.
const (
	// answerMargin is the time before the platform would kill the process at which
	// requests that still run are ended, so that their callers get an answer.
	answerMargin = 600 * time.Millisecond
	// exitMargin is the time before the platform would kill the process at which it ends
	// its connections by itself. Callers that read slowly have until then.
	exitMargin = 200 * time.Millisecond
	// defaultTimeout is the time that is assumed if the platform states none.
	defaultTimeout = 5 * time.Second
)

// Parts of the time that the platform grants: when a request is late, and the greatest ones
// of the times above.
const (
	lateFraction         = 3.0 / 8
	listenerFraction     = 1.0 / 2
	answerMarginFraction = 1.0 / 10
	exitMarginFraction   = 1.0 / 30
)

// part returns a fraction of a time.
func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Schedule holds the moments of a planned stop, in their order.
type Schedule struct {
	Began time.Time
	// LateFrom is when idle connections are closed, and from when on a request is only
	// taken if its time limit ends before AnswersDue.
	LateFrom time.Time
	// ListenerCloses is when no more connections are accepted.
	ListenerCloses time.Time
	// AnswersDue is when the requests that still run are ended.
	AnswersDue time.Time
	// Exit is when all connections are closed.
	Exit time.Time
}

// NewSchedule returns the schedule of a stop for which the platform grants a time. The load
// balancer may still open new connections for balancerDelay after readiness is off.
func NewSchedule(began time.Time, balancerDelay, timeout time.Duration) Schedule {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	listenerCloses := min(balancerDelay, part(timeout, listenerFraction))
	return Schedule{
		Began: began, LateFrom: began.Add(min(part(timeout, lateFraction), listenerCloses)), ListenerCloses: began.Add(listenerCloses),
		AnswersDue: began.Add(timeout - min(answerMargin, part(timeout, answerMarginFraction))),
		Exit:       began.Add(timeout - min(exitMargin, part(timeout, exitMarginFraction))),
	}
}
