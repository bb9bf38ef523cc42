// Package routing chooses the upstream of a request.
package routing

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request describes a request to route.
type Request struct {
	Doc *service.Document
	// Tokens is the expected number of tokens.
	Tokens int
	// Prefix is the hash of the prompt's beginning, for cache affinity; zero
	// disables affinity.
	Prefix uint64
	// Exclude names upstreams that the request must not use.
	Exclude []string
	// UpstreamName is the name of the only upstream that may take the request; if
	// it is empty, the balancer chooses.
	UpstreamName string
	// Batch marks an item of a batch job.
	Batch bool
}

// Outcome is the result of an attempt on an upstream.
type Outcome struct {
	Err error
	// FirstToken is the time to the first token; zero if there was none.
	FirstToken time.Duration
	// Load is the load that the upstream reported with the response, if any.
	Load *upstream.Load
	// Leaving reports whether the upstream refused because it is leaving.
	Leaving bool
}

// Choice is an upstream chosen for one attempt.
type Choice struct {
	Upstream service.Upstream
	// Cause is the reason for the choice and Scores the scores compared, for the
	// time line.
	Cause  string
	Scores []timeline.Score
	// Done records the end of the attempt; it must be called exactly once.
	Done func(Outcome)
	// Observe records the load from the response headers when they arrive, since a
	// stream may end much later. It may be nil, and calling it is optional.
	Observe func(*upstream.Load)
}

// Balancer chooses upstreams.
type Balancer interface {
	// Choose returns an upstream and counts the request as in flight there. An
	// error has the verdict NotRun.
	Choose(req Request) (*Choice, error)
}

// noUpstream returns the error for a request that no upstream may take.
func noUpstream(req Request) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoUpstream,
		"No upstream of service %s can take the request.", req.Doc.Name).WithRetryAfter(time.Second)
}

// Activity is the load of an upstream as one host sees it.
type Activity struct {
	// Online and Batch are the host's own requests in flight.
	Online int
	Batch  int
	// Load is the newest load report, read at ReadAt; nil if there is none.
	Load   *upstream.Load
	ReadAt time.Time
}

// ActivityReader returns the activity on upstreams, for the batch dispatcher.
type ActivityReader interface {
	// Activity returns the activity on the upstream at an address; zero if there
	// is none.
	Activity(address string) Activity
}
