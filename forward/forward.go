// Package forward runs online requests: it acquires a slot at a replica, sends
// the request there, relays the response and decides whether a failed attempt
// may be retried.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// SendArgs describes one attempt to run a request on a replica.
type SendArgs struct {
	Replica replica.Replica
	// TimeLeft is the time that the replica may take; zero states no limit.
	TimeLeft time.Duration
	// LastEventID is the id of the event after which the replica resumes the
	// stream; empty is the beginning.
	LastEventID string
	// FirstByteTimeout bounds the wait for the response and GapTimeout the wait
	// for each further piece of it; zero is unbounded.
	FirstByteTimeout, GapTimeout time.Duration
	// GiveUp is called each time that one of the time-outs has passed, and reports
	// whether to end the attempt; nil ends it the first time.
	GiveUp func() bool
	// Seen, if it is not nil, is set to what shows of the connection that is used.
	Seen *pool.Connection
}

// Response is a replica's response.
type Response struct {
	Status int
	// Header holds the headers that are passed on to the caller.
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framing is how the end of the body is shown.
	Framing pool.Framing
	Body    io.Reader
	// ConnectionUse is the number of requests sent on the connection, with this one, and
	// Skipped the number of responses to other requests that arrived on it before this one.
	ConnectionUse, Skipped int
	// NotRun means that the replica states that it has not run the request.
	// Misdirected means that the request reached another replica than the one
	// it was meant for.
	NotRun, Misdirected bool
	// Verified means that the response carries the replica's signature and the
	// id of the request.
	Verified bool
	// Close releases the response, and cancels the run if the response is
	// incomplete.
	Close func()
}

// Upstream sends requests to replicas. Its errors are those of package pool.
type Upstream interface {
	Send(ctx context.Context, req *Request, s SendArgs) (*Response, error)
}

// SlotClient acquires and releases slots of replicas, and knows which software
// version began a stream. Acquire returns a *slots.RefusedError if the request is
// refused a slot.
type SlotClient interface {
	Acquire(ctx context.Context, args slots.AcquireArgs, wait time.Duration) (slots.Grant, error)
	Release(g slots.Grant, outcome slots.Outcome)
	// ReturnToken returns the token of a customer's quota that was taken with a grant.
	ReturnToken(g slots.Grant)
	// StreamVersion returns the software version that may resume a stream, or
	// slots.ErrVersionUnknown.
	StreamVersion(ctx context.Context, service, stream string) (string, error)
	// StreamBegan reports that the first event of a stream has arrived.
	StreamBegan(stream string, g slots.Grant, firstAttempt bool)
}

// Sink receives the response for the caller.
type Sink interface {
	// Begin sends the status and the headers. The length is that of the body,
	// or -1 if it is unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a piece of the body immediately.
	Write(p []byte) error
}

// Runner runs requests. All fields but ReplicasSilentFor and Unfinished are required.
type Runner struct {
	Host     string
	Slots    SlotClient
	Upstream Upstream
	Clock    clockwork.Clock
	Log      *logrus.Entry
	Metrics  *Metrics
	// ReplicasSilentFor returns the time since bytes last arrived from any replica, for the
	// log. It returns false if that is unknown.
	ReplicasSilentFor func() (time.Duration, bool)
	// Unfinished bounds what all responses hold together; nil bounds nothing.
	Unfinished *Unfinished
}

// Limits of one request.
const (
	// startMargin is the part of the route's objective that is reserved for the
	// replica: a slot must be granted this long before the objective ends.
	startMargin = 60 * time.Millisecond
	// fallbackSlotTimeout bounds the wait for a slot if the route has no
	// objective, or if an earlier attempt may have run the request.
	fallbackSlotTimeout = 250 * time.Millisecond
	// confirmSlotTimeout bounds the wait for a slot to confirm the end of a stream whose
	// events the caller has: callers leave a stream that is silent for two seconds.
	confirmSlotTimeout = 1500 * time.Millisecond
	// minFirstByteTimeout is the shortest time that a replica has for the first
	// byte before the request is retried on another one.
	minFirstByteTimeout = 250 * time.Millisecond
	// maxNotRunAttempts bounds the attempts of one request that did not run.
	maxNotRunAttempts = 4
	// minTimeLeft is the least time to the deadline with which a request is
	// still retried.
	minTimeLeft = 20 * time.Millisecond
	// defaultRetryAfter is the delay after which callers are advised to retry if
	// no replica answered the request.
	defaultRetryAfter = 300 * time.Millisecond
)

// ErrReplicaLeaving means that the replica is leaving and that nothing was sent to
// it. Upstreams mark it with pool.ErrNotSent.
var ErrReplicaLeaving = errors.New("replica is leaving")

// ErrTruncated means that part of the response was sent to the caller and the
// rest can't be delivered.
var ErrTruncated = errors.New("response truncated")

// requestState is the state of one request over its attempts.
type requestState struct {
	*Runner
	req    *Request
	sink   Sink
	events EventParser
	// begun means that the status was sent to the caller.
	begun bool
	// mayHaveRunCount counts the attempts that may have run the request, and
	// notRunCount those that did not.
	mayHaveRunCount, notRunCount int
	// charged reports that the request has a token of its quota, taken with chargedGrant.
	charged      bool
	chargedGrant slots.Grant
	// grant is that of the present attempt, and timer measures its response.
	grant slots.Grant
	timer slots.RunTimer
	// connection is that of the present attempt.
	connection pool.Connection
	// askedAfter is the id of the event after which the present attempt was to resume the
	// stream; empty is the beginning.
	askedAfter string
	ending     Ending
	// longestWrite is the longest time in which the caller accepted a piece of the
	// present attempt's response.
	longestWrite time.Duration
	// pinned means that only replicas of softwareVersion may run the request: such a
	// replica began the stream.
	pinned          bool
	softwareVersion string
	// avoid holds the ids of the replicas that failed or refused an attempt.
	avoid []string
	// giveUp reports whether to end the present attempt while its replica is silent;
	// nil if no other attempt could follow.
	giveUp func() bool
	// reserved is the slot for the next attempt, if it was acquired before the
	// present one was given up.
	reserved *slots.Grant
}

// Run runs a request and relays its response. An error before the response has
// begun is a *verdict.Error; afterwards it is ErrTruncated.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	req.Fingerprint = quarantine.FingerprintOfPath(req.Host, req.Target, req.Body)
	s := &requestState{Runner: r, req: req, sink: sink, events: EventParser{Unfinished: r.Unfinished}}
	defer s.events.Release()
	defer s.releaseReserved()
	err := s.pinResumed(ctx)
	if err == nil {
		err = s.attemptAll(ctx)
	}
	if s.charged && s.mayHaveRunCount == 0 {
		s.Slots.ReturnToken(s.chargedGrant)
	}
	err = s.callerError(ctx, err)
	r.Metrics.countRequest(r.Clock.Now(), req.customerName(), err)
	return err
}

// attemptAll makes attempts until one is not to be retried.
func (s *requestState) attemptAll(ctx context.Context) error {
	for {
		retry, err := s.attempt(ctx)
		if !retry {
			return err
		}
		s.Metrics.retries.Inc()
	}
}

// errServiceUnknown means that it is not known which service of a route began a stream.
var errServiceUnknown = errors.New("service of the stream is not known")

// pinResumed restricts a stream that the caller resumes to the software version that
// began it. The events of two versions or services don't fit together, and replicas
// don't check this.
func (s *requestState) pinResumed(ctx context.Context) error {
	if !s.req.Route.Resumable || s.req.LastEventID == "" {
		return nil
	}
	if s.req.Stream() == "" && !s.req.Route.HasOneService() {
		return verdict.Wrap(errServiceUnknown, verdict.NotRun, verdict.CodeNoUpstream, "The service that began the stream is not known.").WithRetryAfter(defaultRetryAfter)
	}
	version, err := s.Slots.StreamVersion(ctx, s.req.Service, s.req.Stream())
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeNoUpstream, "The software version that began the stream is not known.").WithRetryAfter(defaultRetryAfter)
	}
	s.pinned, s.softwareVersion = true, version
	return nil
}

// callerError returns what Run returns if the last attempt ended with err.
func (s *requestState) callerError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if s.begun {
		return errors.Mark(err, ErrTruncated)
	}
	var withVerdict *verdict.Error
	if errors.As(err, &withVerdict) {
		return withVerdict
	}
	v := verdict.MayHaveRun
	if s.mayHaveRunCount == 0 {
		v = verdict.NotRun
	}
	if ctx.Err() != nil {
		return verdict.Wrap(err, v, verdict.CodeTimeout, "The request was not answered in time.").WithRetryAfter(defaultRetryAfter)
	}
	return verdict.Wrap(err, v, verdict.CodeUpstreamFailed, "No replica answered the request.").WithRetryAfter(defaultRetryAfter)
}
