// Package retry decides whether a failed try is made again.
package retry

import "github.com/comfreyspindle/comfreyspindle/verdict"

// State is what a decision depends on.
type State struct {
	// Err is how the last try failed.
	Err error
	// Tries is the number of tries made; MaxTries bounds it.
	Tries    int
	MaxTries int
	// Once marks a request that may run at most once.
	Once bool
	// Begun says that a part of the answer has reached the caller.
	Begun bool
	// Budget says that the retry budget has room.
	Budget bool
}

// Again reports whether the request may be tried again.
func Again(s State) bool {
	if s.Tries >= s.MaxTries || s.Begun || !s.Budget {
		return false
	}
	return verdict.Of(s.Err) == verdict.NotRun || !s.Once && verdict.Of(s.Err) == verdict.MayHaveRun
}
