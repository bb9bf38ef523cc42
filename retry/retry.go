// Package retry decides whether a failed request is tried again, and limits the
// retries of a service with a budget.
package retry

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// minTimeLeft is the shortest time before the deadline in which another attempt is
// worthwhile.
const minTimeLeft = 20 * time.Millisecond

// State describes a request after a failed attempt, as the input of Decide.
type State struct {
	// Err is the error of the last attempt.
	Err error
	// Tries is the number of attempts made, and MaxTries the number allowed.
	Tries    int
	MaxTries int
	// Once is set for a request that may run at most once.
	Once bool
	// AnswerStarted is set when the caller has received a part of the answer,
	// and Resumable when another upstream can continue from there.
	AnswerStarted bool
	Resumable     bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Reason is why a request is not tried again.
type Reason string

// Reasons why a request is not tried again. Decide never returns
// ReasonBudget, which is for a request that Budget.Spend refused.
const (
	ReasonNone          Reason = ""
	ReasonMaxTries      Reason = "tries used up"
	ReasonTime          Reason = "no time left"
	ReasonAnswerStarted Reason = "answer begun"
	ReasonOnce          Reason = "may run at most once"
	ReasonFinal         Reason = "error is final"
	ReasonBudget        Reason = "retry budget used up"
)

// Decide returns ReasonNone if the request may be tried again as far as its own
// state is concerned. The retry budget is checked separately, with Budget.Spend.
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

// final reports whether another attempt can't succeed after this error.
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
