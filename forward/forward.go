// Package forward runs online requests: it gets a place at a replica, sends the
// request there and relays the answer, and decides what may be repeated.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Request is a caller's request.
type Request struct {
	ID      string
	Route   *route.Route
	Service string
	// ConfigVersion is the version of the configuration that named the route.
	ConfigVersion int64
	// Method, Target, Host, Header and Body go to the replica unchanged. Target
	// is the path with the query.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// LastEventID is the id of the event after which the caller goes on.
	LastEventID string
	Arrived     time.Time
	// Deadline is when the answer must be complete.
	Deadline time.Time
}

// SendArgs says how a request goes to a replica.
type SendArgs struct {
	Replica replica.Replica
	// TimeLeft is the time that the replica may take.
	TimeLeft time.Duration
	// LastEventID is the id of the event after which the run goes on; empty begins.
	LastEventID string
	// FirstByteTimeout bounds the wait for the answer and GapTimeout for each further piece;
	// zero is unbounded.
	FirstByteTimeout, GapTimeout time.Duration
}

// Response is a replica's answer.
type Response struct {
	Status int
	// Header holds what goes to the caller.
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	Body   io.Reader
	// NotRun says that the replica states that it hasn't run the request, and
	// Misdirected that it isn't the replica that was meant.
	NotRun, Misdirected bool
	// Verified answers bear the replica's signature.
	Verified bool
	// Close ends the use of the answer, and the run if it isn't complete.
	Close func()
}

// Upstream sends requests to replicas. Its errors are those of package pool.
type Upstream interface {
	Send(ctx context.Context, req *Request, s SendArgs) (*Response, error)
}

// SlotClient hands out places at replicas; a refusal is a *slots.RefusedError.
type SlotClient interface {
	Acquire(ctx context.Context, ask slots.AcquireArgs, wait time.Duration) (slots.Grant, error)
	Release(g slots.Grant, outcome slots.Outcome)
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin sends the status and headers; length -1 is unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a piece of the body at once.
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

// Bounds of a request.
const (
	// startMargin is the part of the objective that is left for the replica.
	startMargin = 60 * time.Millisecond
	// lateWait is how long a request may wait whose objective has passed, or
	// that goes on after a failure.
	lateWait = 250 * time.Millisecond
	// firstByte is the least time that a replica has for the first byte before
	// another is tried.
	firstByte = 250 * time.Millisecond
	// maxNotRun bounds the replicas that may refuse one request.
	maxNotRun = 4
	// minLeft is the least time with which a request is still sent.
	minLeft = 20 * time.Millisecond
	// retryPause is the advice to callers when no replica took a request.
	retryPause = 300 * time.Millisecond
)

// ErrTruncated means that an answer that has begun can't be completed.
var ErrTruncated = errors.New("answer cut off")

// run is the state of one request.
type run struct {
	*Runner
	req    *Request
	sink   Sink
	events EventParser
	// begun says that the status went to the caller.
	begun bool
	// ran counts the replicas that may have run the request and notRun those
	// that didn't.
	ran, notRun int
	avoid       []string
}

// Run runs a request and relays its answer. An error before the answer has
// begun carries the verdict; afterwards it is ErrCut.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	s := &run{Runner: r, req: req, sink: sink}
	for {
		again, err := s.attempt(ctx)
		if !again {
			err = s.finish(ctx, err)
			r.Metrics.count(err)
			return err
		}
		r.Metrics.retried.Inc()
	}
}

// finish turns the last error into the caller's.
func (s *run) finish(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if s.begun {
		return errors.Mark(err, ErrTruncated)
	}
	var known *verdict.Error
	if errors.As(err, &known) {
		return known
	}
	v := verdict.MayHaveRun
	if s.ran == 0 {
		v = verdict.NotRun
	}
	if ctx.Err() != nil {
		return verdict.Wrap(err, v, verdict.CodeTimeout, "The request was not answered in time.").WithRetryAfter(retryPause)
	}
	return verdict.Wrap(err, v, verdict.CodeUpstreamFailed, "No replica answered the request.").WithRetryAfter(retryPause)
}

// attempt sends the request to one replica and says whether to try another.
func (s *run) attempt(ctx context.Context) (again bool, err error) {
	g, err := s.Slots.Acquire(ctx, s.ask(), s.patience())
	if err != nil {
		return false, s.refused(err)
	}
	ans, err := s.Upstream.Send(ctx, s.req, s.send(g))
	if err != nil {
		return s.sendFailed(ctx, g, err)
	}
	if ans.NotRun || ans.Misdirected {
		return s.turnedAway(ctx, g, ans)
	}
	s.ran++
	outcome, err := s.relay(ans)
	ans.Close()
	s.Slots.Release(g, outcome)
	s.log(g, outcome, err)
	if err == nil {
		return false, nil
	}
	s.avoid = append(s.avoid, g.Replica.ID)
	return s.mayRepeat(ctx) && !errors.Is(err, errCallerGone), err
}

func (s *run) ask() slots.AcquireArgs {
	ask := slots.AcquireArgs{Request: s.req.ID, Host: s.Host, Service: s.req.Service, Priority: s.req.Route.Priority, Avoid: s.avoid}
	if s.begun {
		// A caller who is reading goes before those who wait for a first event.
		ask.Priority = -1
	}
	return ask
}

// patience is how long the request may wait for a place.
func (s *run) patience() time.Duration {
	now := s.Clock.Now()
	if s.ran > 0 || s.req.Route.Objective <= 0 {
		return min(lateWait, s.req.Deadline.Sub(now))
	}
	wait := s.req.Arrived.Add(s.req.Route.Objective - startMargin).Sub(now)
	return max(wait, 0)
}

func (s *run) send(g slots.Grant) SendArgs {
	out := SendArgs{Replica: g.Replica, TimeLeft: s.req.Deadline.Sub(s.Clock.Now()), LastEventID: s.req.LastEventID}
	if s.events.LastID != "" {
		out.LastEventID = s.events.LastID
	}
	if s.req.Route.Repeatable() && s.ran+1 < s.req.Route.MaxAttempts {
		out.FirstByteTimeout = max(firstByte, s.req.Route.Objective/2)
		out.GapTimeout = s.req.Route.MaxGap / 2
	}
	return out
}

// refused ends a request that gets no place.
func (s *run) refused(err error) error {
	var refusal *slots.RefusedError
	if s.ran > 0 || !errors.As(err, &refusal) {
		return err
	}
	s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "config_version": s.req.ConfigVersion, "route": s.req.Route.Name, "service": s.req.Service, "expected_wait": refusal.Wait.String(),
		"replicas": refusal.Replicas, "retry_after": refusal.RetryAfter.String(), "verdict": verdict.NotRun.String(),
	}).Warn("request refused")
	return verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "No replica is free in time.").WithRetryAfter(refusal.RetryAfter)
}

// mayRepeat reports whether the request may be sent to one more replica.
func (s *run) mayRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && s.req.Deadline.Sub(s.Clock.Now()) > minLeft &&
		s.ran < s.req.Route.MaxAttempts && s.notRun < maxNotRun && (s.ran == 0 || s.req.Route.Repeatable())
}

func (s *run) log(g slots.Grant, outcome slots.Outcome, err error) {
	now := s.Clock.Now()
	entry := s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "config_version": s.req.ConfigVersion, "route": s.req.Route.Name, "replica": g.Replica.ID, "address": g.Replica.Address,
		"ran": s.ran, "not_run": s.notRun, "outcome": outcome.String(), "after_ms": now.Sub(s.req.Arrived).Milliseconds(),
		"waited_ms": g.Since.Sub(s.req.Arrived).Milliseconds(), "held_ms": now.Sub(g.Since).Milliseconds(), "last_event": s.events.LastID,
	})
	if err != nil {
		entry.WithError(err).Warn("attempt failed")
		return
	}
	entry.Info("request answered")
}
