// Package routing chooses the upstream of a request.
package routing

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request describes the request to route.
type Request struct {
	Doc *service.Document
	// Tokens is the expected work.
	Tokens int
	// Prefix is the hash of the prompt's beginning, for cache affinity; zero
	// has no affinity.
	Prefix uint64
	// Exclude names upstreams that the request must not go to again.
	Exclude []string
	// UpstreamName names the one upstream that may take the request; empty leaves the
	// choice to the balancer.
	UpstreamName string
	// Batch marks an item of a batch job.
	Batch bool
}

// Outcome is how a try on an upstream ended.
type Outcome struct {
	Err error
	// FirstToken is the time to the first token; zero if there was none.
	FirstToken time.Duration
	// Load is the load that the upstream reported on the answer, if any.
	Load *upstream.Load
	// Leaving says that the upstream refused because it leaves.
	Leaving bool
}

// Choice is an upstream chosen for one try.
type Choice struct {
	Upstream service.Upstream
	// Cause says why, and Scores against what, for the time line.
	Cause  string
	Scores []timeline.Score
	// Done reports the end of the try; it is called exactly once.
	Done func(Outcome)
	// Observe takes the load that came with the answer's headers, at the time
	// when they came; a stream may end much later. It may be nil, and calling
	// it is optional.
	Observe func(*upstream.Load)
}

// Balancer chooses upstreams.
type Balancer interface {
	// Choose returns an upstream and counts the request as in flight there. The
	// error carries verdict NotRun.
	Choose(ask Request) (*Choice, error)
}

// noUpstream returns the error of a request that no upstream may take.
func noUpstream(ask Request) error {
	return verdict.New(verdict.NotRun, verdict.CodeNoUpstream,
		"No upstream of service %s can take the request.", ask.Doc.Name).WithRetryAfter(time.Second)
}

// Activity tells what a host knows of the work on an upstream.
type Activity struct {
	// Online and Batch are the host's own requests in flight there.
	Online int
	Batch  int
	// Load is the newest load report, read at ReadAt; nil if there is none.
	Load   *upstream.Load
	ReadAt time.Time
}

// ActivityReader reports activity, for the batch dispatcher.
type ActivityReader interface {
	// Activity returns what is known of the upstream at an address.
	Activity(address string) Activity
}
