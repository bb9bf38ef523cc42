// Package forward runs online requests: it acquires a slot at a replica, sends
// the request there, relays the response and decides whether a failed attempt
// may be retried.
package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request is a request of a caller.
type Request struct {
	ID      string
	Route   *route.Route
	Service string
	// Customer is the customer whose request it is; nil if the configuration has no
	// customers or the route is public.
	Customer *customer.Customer
	// HasCustomers reports that the configuration has customers. Replicas then get the
	// customer's name and nothing of what the caller sent to be identified.
	HasCustomers bool
	// ConfigVersion is the version of the configuration that Route belongs to.
	ConfigVersion int64
	// Method, Target, Host, Header and Body are those of the caller's HTTP
	// request and are passed on to the replica. Target is the path with the
	// query.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// LastEventID is the id of the last event that the caller has received
	// before this request; the stream resumes after it. Empty is the beginning.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream,
	// if the caller resumes one.
	Resumes string
	Arrived time.Time
	// Fingerprint is the same for all attempts of callers to send an equal request:
	// with the same host, target and body. Run sets it.
	Fingerprint quarantine.Fingerprint
	// PromptParts holds the IDs of the parts of the prompt that other requests may share,
	// in order: all but the last.
	PromptParts []string
	// Deadline is when the response must be complete.
	Deadline time.Time
}

// Stream returns the ID of the request that brings the first event of the stream:
// this one, or the one that it resumes. It is empty if the caller can't resume the
// stream, or does not say which request began it.
func (r *Request) Stream() string {
	switch {
	case !r.Route.Resumable:
		return ""
	case r.LastEventID != "":
		return r.Resumes
	}
	return r.ID
}

// customerName returns the name of the customer for logs, or an empty string.
func (r *Request) customerName() string {
	if r.Customer == nil {
		return ""
	}
	return r.Customer.Name
}

// content returns what of the request may crash replicas.
func (r *Request) content() quarantine.Content {
	c := quarantine.Content{Fingerprint: r.Fingerprint}
	for _, id := range r.PromptParts {
		c.Parts = append(c.Parts, quarantine.FingerprintOfPart(id))
	}
	return c
}

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

// Runner runs requests. All fields are required.
type Runner struct {
	Host     string
	Slots    SlotClient
	Upstream Upstream
	Clock    clockwork.Clock
	Log      *logrus.Entry
	Metrics  *Metrics
}

// Limits of one request.
const (
	// startMargin is the part of the route's objective that is reserved for the
	// replica: a slot must be granted this long before the objective ends.
	startMargin = 60 * time.Millisecond
	// fallbackSlotTimeout bounds the wait for a slot if the route has no
	// objective, or if an earlier attempt may have run the request.
	fallbackSlotTimeout = 250 * time.Millisecond
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
// it; pool.ErrNotSent holds too.
var ErrReplicaLeaving = errors.Mark(errors.New("replica is leaving"), pool.ErrNotSent)

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
	// askedAfter is the id of the event after which the present attempt was to resume the
	// stream; empty is the beginning.
	askedAfter string
	// endedAfter is the id of the last event that the caller had when a close-delimited
	// response ended in order; empty if none did.
	endedAfter string
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
	s := &requestState{Runner: r, req: req, sink: sink}
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

// attempt sends the request to one replica and reports whether to retry it on
// another one.
func (s *requestState) attempt(ctx context.Context) (retry bool, err error) {
	g, err := s.acquire(ctx)
	if err != nil {
		return false, s.refusalError(err)
	}
	if s.grant = g; !s.charged {
		s.charged, s.chargedGrant = true, g
	}
	args := s.sendArgs(ctx, g)
	s.giveUp, s.askedAfter = args.GiveUp, args.LastEventID
	s.timer, s.longestWrite = slots.RunTimer{Began: s.Clock.Now()}, 0
	res, err := s.Upstream.Send(ctx, s.req, args)
	if err != nil {
		return s.handleSendError(ctx, g, err)
	}
	if res.NotRun || res.Misdirected {
		return s.handleNotRun(ctx, g, res)
	}
	s.mayHaveRunCount++
	outcome, err := s.relay(res)
	if outcome == slots.Done && res.Framing == pool.FramingClose {
		outcome = slots.Ended
	}
	res.Close()
	g.Run = s.timer.Run()
	s.Slots.Release(g, outcome)
	s.logResponse(g, res, outcome, err)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, errEndNotConfirmed) {
		s.avoid = append(s.avoid, g.Replica.ID)
	}
	return s.mayRetry(ctx) && !errors.Is(err, errCallerDisconnected) && !errors.Is(err, errPartlySent), err
}

// acquire returns the slot that is reserved for the next attempt, or acquires one.
func (s *requestState) acquire(ctx context.Context) (slots.Grant, error) {
	if s.reserved == nil {
		return s.Slots.Acquire(ctx, s.acquireArgs(), s.slotTimeout())
	}
	g := *s.reserved
	s.reserved = nil
	return g, nil
}

// reserve acquires a slot of another replica than the silent one, if one is free
// now. Without one the attempt goes on: the replica may only be slow, and a
// response that was given up could not be continued.
func (s *requestState) reserve(ctx context.Context, silent slots.Grant) bool {
	args := s.acquireArgs()
	args.Avoid = append(slices.Clone(s.avoid), silent.Replica.ID)
	g, err := s.Slots.Acquire(ctx, args, 0)
	if err != nil {
		return ctx.Err() != nil
	}
	s.reserved = &g
	return true
}

func (s *requestState) releaseReserved() {
	if s.reserved != nil {
		s.Slots.Release(*s.reserved, slots.Unused)
	}
}

func (s *requestState) acquireArgs() slots.AcquireArgs {
	args := slots.AcquireArgs{
		Request: s.req.ID, Content: s.req.content(), Host: s.Host, Service: s.req.Service, Priority: s.req.Route.Priority, Avoid: s.avoid,
		Pinned: s.pinned, SoftwareVersion: s.softwareVersion, Stream: s.req.Stream(),
	}
	if c := s.req.Customer; c != nil {
		args.Customer, args.CustomerPriority, args.ConfigVersion, args.Charged = c.Name, c.Priority, s.req.ConfigVersion, s.charged
	}
	if s.req.Route.Objective > 0 && !s.begun {
		args.FirstEventWithin = max(s.req.Arrived.Add(s.req.Route.Objective).Sub(s.Clock.Now()), 0)
	}
	if s.pinned {
		// Resuming a stream comes before requests whose callers have received
		// nothing yet.
		args.Priority = -1
	}
	return args
}

// slotTimeout returns how long the request may wait for a slot.
func (s *requestState) slotTimeout() time.Duration {
	now := s.Clock.Now()
	if s.mayHaveRunCount > 0 || s.req.Route.Objective <= 0 {
		return min(fallbackSlotTimeout, s.req.Deadline.Sub(now))
	}
	wait := s.req.Arrived.Add(s.req.Route.Objective - startMargin).Sub(now)
	return max(wait, 0)
}

// sendArgs returns the arguments of the next attempt. Time-outs for the replica
// are set only if a further attempt could follow.
func (s *requestState) sendArgs(ctx context.Context, g slots.Grant) SendArgs {
	args := SendArgs{Replica: g.Replica, TimeLeft: s.req.Deadline.Sub(s.Clock.Now())}
	if s.resumable() {
		args.LastEventID = s.lastEventID()
	}
	if s.req.Route.Repeatable() && s.mayHaveRunCount+1 < s.req.Route.MaxAttempts {
		args.FirstByteTimeout = max(minFirstByteTimeout, s.req.Route.Objective/2)
		args.GapTimeout = s.req.Route.MaxGap / 2
		args.GiveUp = func() bool { return s.reserve(ctx, g) }
	}
	return args
}

// resumable reports whether another run may go on after the last event of the response.
func (s *requestState) resumable() bool { return idRule(s.req.Route) == ConsecutiveIDs }

// lastEventID returns the id of the last event that the caller has received, or
// an empty string.
func (s *requestState) lastEventID() string {
	return cmp.Or(s.events.LastID, s.req.LastEventID)
}

// mayRetry reports whether the request may be sent to one more replica. Once part of a
// response was sent, a second run may only bring its rest, which some routes allow.
func (s *requestState) mayRetry(ctx context.Context) bool {
	if s.begun && !s.resumable() {
		return false
	}
	return ctx.Err() == nil && s.req.Deadline.Sub(s.Clock.Now()) > minTimeLeft &&
		s.mayHaveRunCount < s.req.Route.MaxAttempts && s.notRunCount < maxNotRunAttempts && (s.mayHaveRunCount == 0 || s.req.Route.Repeatable())
}

// logResponse logs the end of an attempt that had a response.
func (s *requestState) logResponse(g slots.Grant, res *Response, outcome slots.Outcome, err error) {
	entry := s.attemptEntry(g, outcome).WithFields(logrus.Fields{
		"status": res.Status, "framing": string(res.Framing), "partial_event_bytes": len(s.events.Remainder()),
		"asked_after": s.askedAfter, "first_event": s.events.FirstID, "connection_use": res.ConnectionUse, "skipped_answers": res.Skipped,
	})
	logAttemptEnd(entry, err)
}

// logAttempt logs the end of an attempt that had no response to relay.
func (s *requestState) logAttempt(g slots.Grant, outcome slots.Outcome, err error) {
	logAttemptEnd(s.attemptEntry(g, outcome), err)
}

func (s *requestState) attemptEntry(g slots.Grant, outcome slots.Outcome) *logrus.Entry {
	now := s.Clock.Now()
	return s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "fingerprint": s.req.Fingerprint.String(), "prompt_parts": s.req.PromptParts, "config_version": s.req.ConfigVersion, "route": s.req.Route.Name, "replica": g.Replica.ID, "address": g.Replica.Address, "broker": g.Broker,
		"software_version": g.Replica.SoftwareVersion, "resumes": s.req.Resumes, "customer": s.req.customerName(),
		"ran": s.mayHaveRunCount, "not_run": s.notRunCount, "outcome": outcome.String(), "after_ms": now.Sub(s.req.Arrived).Milliseconds(),
		"waited_ms": g.Since.Sub(s.req.Arrived).Milliseconds(), "held_ms": now.Sub(g.Since).Milliseconds(), "last_event": s.events.LastID,
	})
}

func logAttemptEnd(entry *logrus.Entry, err error) {
	if err != nil {
		entry.WithError(err).Warn("attempt failed")
		return
	}
	entry.Info("request answered")
}
