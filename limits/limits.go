// Package limits implements admission control: it bounds the running and the
// waiting requests of each service, divides the capacity among callers, and
// refuses at once a request that can't be served in time.
package limits

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request describes a request that applies for admission.
type Request struct {
	Doc    *service.Document
	Class  *service.Class
	Caller string
	// Tokens is the expected work: the tokens of the prompt plus the maximum
	// number of tokens to generate.
	Tokens int
}

// Admission decides when a request may run.
type Admission interface {
	// Admit blocks until the request may run or is refused. The verdict of an
	// error is always NotRun. Without an error, release must be called once, when
	// the request has ended.
	Admit(ctx context.Context, req Request) (release func(), err error)
	// Waiting returns the number of requests that wait for admission to a
	// service.
	Waiting(service string) int
}

// refusalRetryAfter is the Retry-After of a refusal without an estimate of the
// wait.
const refusalRetryAfter = time.Second

// newOverloadedError returns the error for a request refused because the service
// is at its limit.
func newOverloadedError(req Request) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"Service %s has no room for the request now.", req.Doc.Name).WithRetryAfter(refusalRetryAfter)
}
