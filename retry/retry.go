// Package retry decides whether a failed try is made again, and keeps the
// budget from which tries after the first are spent.
package retry

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// minTimeLeft is the least time before the deadline that is worth a try.
const minTimeLeft = 20 * time.Millisecond

// State is what a decision depends on.
type State struct {
	// Err is how the last try failed.
	Err error
	// Tries is the number of tries made; MaxTries bounds it.
	Tries    int
	MaxTries int
	// Once marks a request that may run at most once.
	Once bool
	// AnswerStarted says that a part of the answer has reached the caller; Resumable
	// says that another upstream can go on from there.
	AnswerStarted bool
	Resumable     bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Reason says why a request is not tried again.
type Reason string

// Reasons against another try.
const (
	ReasonNone          Reason = ""
	ReasonMaxTries      Reason = "tries used up"
	ReasonTime          Reason = "no time left"
	ReasonAnswerStarted Reason = "answer begun"
	ReasonOnce          Reason = "may run at most once"
	ReasonFinal         Reason = "error is final"
	ReasonBudget        Reason = "retry budget used up"
)

// Decide returns ReasonNone when the request may be tried again, budget apart.
func Decide(s State) Reason {
	e := verdict.As(s.Err)
	switch {
	case final(e):
		return ReasonFinal
	case s.Once && e.Verdict != verdict.NotRun:
		return ReasonOnce
	case s.AnswerStarted && !s.Resumable:
		return ReasonAnswerStarted
	case s.Tries >= s.MaxTries:
		return ReasonMaxTries
	case s.TimeLeft < minTimeLeft:
		return ReasonTime
	default:
		return ReasonNone
	}
}

// final reports whether an error can't change with another try.
func final(e *verdict.Error) bool {
	if e == nil {
		return true
	}
	switch e.Code {
	case verdict.CodeUpstreamFailed, verdict.CodeIncomplete:
		return e.Verdict == verdict.Ran
	case verdict.CodeCeiling:
		return e.Verdict == verdict.Ran
	default:
		return true
	}
}
