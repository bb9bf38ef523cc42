// Package limits admits requests: it bounds what runs and waits, shares the
// room between callers, and refuses at once what can't be served in time.
package limits

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request is a request for admission.
type Request struct {
	Doc    *service.Document
	Class  *service.Class
	Caller string
	// Tokens is the expected work: prompt tokens and asked tokens.
	Tokens int
}

// Admission decides which requests may run now.
type Admission interface {
	// Admit waits until the request may run. The error carries verdict NotRun.
	// The caller calls release once the request has ended.
	Admit(ctx context.Context, req Request) (release func(), err error)
	// Waiting returns the number of waiting requests of a service.
	Waiting(service string) int
}

// refusalRetryAfter is the advice to callers that were refused for lack of room.
const refusalRetryAfter = time.Second

// newOverloadedError returns the error of a request that finds no room.
func newOverloadedError(req Request) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"Service %s has no room for the request now.", req.Doc.Name).WithRetryAfter(refusalRetryAfter)
}
