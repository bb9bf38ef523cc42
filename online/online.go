// Package online runs online requests: admission, choice of upstream, attempts,
// and relay of the response.
package online

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/escrow"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/retry"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Kinds of time line events that a request records.
const (
	EventAdmitted timeline.Kind = "request.admitted"
	EventRefused  timeline.Kind = "request.refused"
	EventSent     timeline.Kind = "request.sent"
	EventRetried  timeline.Kind = "request.retried"
	EventFailed   timeline.Kind = "request.failed"
	EventDone     timeline.Kind = "request.done"
)

// reasonEstimated marks token counts that are estimated because no response
// stated them.
const reasonEstimated = "estimated"

// Request is one online request.
type Request struct {
	ID     string
	Doc    *service.Document
	Class  *service.Class
	Caller string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Stream means that the caller requests the response token by token.
	Stream bool
	// Tokens is the expected work: the tokens of the prompt and the requested
	// tokens of the response.
	Tokens int
	// PromptTokens is the estimate of the prompt's share of Tokens.
	PromptTokens int
	// Prefix is the hash of the beginning of the prompt, for cache affinity.
	Prefix uint64
	// Once means that the request may run at most once; Key identifies it in
	// the ledger.
	Once bool
	Key  ledger.Key
}

// Sink receives the response for the caller.
type Sink interface {
	// Begin sends the status and the headers. It is called once, before Write.
	Begin(status int, header http.Header) error
	// Write sends a piece of the body and flushes it.
	Write(p []byte) error
	// Abort breaks the connection to the caller after Begin, so that a
	// truncated response can't be taken for a complete one.
	Abort()
}

// Runner runs requests. All fields are required.
type Runner struct {
	Admission limits.Admission
	Balancer  routing.Balancer
	Guard     quarantine.Guard
	Ledger    ledger.Ledger
	Budgets   *retry.Budgets
	Escrow    escrow.Account
	Costs     *accounting.Counters
	Client    *upstream.Client
	Events    *timeline.Recorder
	Clock     clockwork.Clock
	Log       *logrus.Entry
	Metrics   *Metrics
	// Region is the region of this host.
	Region string
}

// Run runs a request and relays its response. An error before Begin carries the
// verdict; after Begin, the sink has received an error event or a call of
// Abort.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, req.Doc.Routing.RequestTimeout)
	defer cancel()
	start := r.Clock.Now()
	err := r.admitAndRun(ctx, req, sink)
	r.recordEnd(req, start, err)
	return err
}

// admitAndRun runs a request once it is admitted.
func (r *Runner) admitAndRun(ctx context.Context, req *Request, sink Sink) error {
	fp := fingerprintOf(req)
	if _, err := r.Guard.Check(req.Doc.Name, fp); err != nil {
		return err
	}
	release, err := r.Admission.Admit(ctx, limits.Request{Doc: req.Doc, Class: req.Class, Caller: req.Caller, Tokens: req.Tokens})
	if err != nil {
		return err
	}
	defer release()
	r.recordEvent(req, EventAdmitted, "", "")
	claim, err := r.claim(ctx, req)
	if err != nil {
		return err
	}
	err = r.runAttempts(ctx, req, fp, sink)
	if req.Once {
		r.Ledger.Settle(req.Doc, claim, verdictOf(err))
	}
	return err
}

// verdictOf returns the verdict on a request that ended with err.
func verdictOf(err error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return verdict.Of(err)
}

func fingerprintOf(req *Request) quarantine.Fingerprint {
	if req.Doc.Kind == service.KindPlain {
		return quarantine.FingerprintOfPath(req.Doc.Name, req.Method+" "+req.Path, req.Body)
	}
	return quarantine.FingerprintOf(req.Doc.Name, req.Body)
}

// claim claims the request's key in the ledger if the request may run at most
// once.
func (r *Runner) claim(ctx context.Context, req *Request) (ledger.Claim, error) {
	if !req.Once {
		return ledger.Claim{}, nil
	}
	c, err := r.Ledger.Claim(ctx, req.Doc, req.Key, req.ID)
	switch first := c.First.UTC().Format(time.RFC3339); {
	case err != nil:
		return ledger.Claim{}, err
	case !c.Won && c.Ran:
		return ledger.Claim{}, verdict.New(verdict.Ran, verdict.CodeDuplicate,
			"The request was first seen at %s as %s and has run.", first, c.RequestID)
	case !c.Won:
		return ledger.Claim{}, verdict.New(verdict.MayHaveRun, verdict.CodeDuplicate,
			"The request was first seen at %s as %s and may have run.", first, c.RequestID)
	default:
		return c, nil
	}
}

// runAttempts sends the request until it is answered or may not be retried.
func (r *Runner) runAttempts(ctx context.Context, req *Request, fp quarantine.Fingerprint, sink Sink) error {
	s := &requestState{runner: r, req: req, fp: fp, sink: sink}
	s.delivered.resumeDisabled = !isResumable(req)
	budget := r.Budgets.ForService(req.Doc.Name)
	for attempts := 1; ; attempts++ {
		err := s.attempt(ctx)
		if err == nil {
			budget.RecordSuccess()
			s.recordSuccess()
			return nil
		}
		if reason := s.reasonNotToRetry(ctx, attempts, err, budget); reason != retry.ReasonNone {
			return s.fail(err, reason)
		}
		s.lastErr = err
	}
}

// reasonNotToRetry returns why the request is not retried, or ReasonNone if it
// is to be retried.
func (s *requestState) reasonNotToRetry(ctx context.Context, attempts int, err error, budget *retry.Budget) retry.Reason {
	if ctx.Err() != nil {
		return retry.ReasonTime
	}
	state := retry.State{
		Err: err, Tries: attempts, MaxTries: s.req.Doc.Routing.MaxTries,
		Once: s.req.Once, AnswerStarted: s.begun, Resumable: s.delivered.resumable(), TimeLeft: timeLeft(ctx),
	}
	if reason := retry.Decide(state); reason != retry.ReasonNone {
		return reason
	}
	if !budget.Spend(s.req.Doc.Routing.RetryBudget) {
		return retry.ReasonBudget
	}
	return retry.ReasonNone
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline)
}

// recordSuccess records the cost of an answered request.
func (s *requestState) recordSuccess() {
	s.runner.recordCost(s.req, accounting.Requests, "", 1)
	s.runner.recordCost(s.req, accounting.AnswerTokens, "", s.delivered.tokens)
	if s.delivered.tokens > 0 {
		s.runner.recordCost(s.req, accounting.PromptTokens, reasonEstimated, s.req.PromptTokens)
	}
}

// fail ends a failed request. A caller that has received part of the response
// is notified by an error event or, if the response has no events, by an
// aborted connection.
func (s *requestState) fail(err error, reason retry.Reason) error {
	if s.lastErr != nil && verdict.As(err).Code == verdict.CodeNoUpstream {
		err = s.lastErr
	}
	err = s.finalError(err)
	if !s.begun {
		return err
	}
	if s.delivered.resumable() {
		s.runner.recordCost(s.req, accounting.WastedTokens, string(reason), s.delivered.tokens)
	}
	if !s.req.Stream {
		s.sink.Abort()
		return err
	}
	return errors.CombineErrors(err, s.sink.Write(errorEvent(err)))
}

func (r *Runner) recordEnd(req *Request, start time.Time, err error) {
	r.Metrics.observe(req, r.Clock.Since(start), err)
	if err == nil {
		r.recordEvent(req, EventDone, "", "")
		return
	}
	kind := EventFailed
	if verdict.Of(err) == verdict.NotRun {
		kind = EventRefused
	}
	r.recordEvent(req, kind, "", err.Error())
	r.Log.WithFields(logrus.Fields{"request": req.ID, "service": req.Doc.Name}).WithError(err).Debug("request failed")
}

func (r *Runner) recordEvent(req *Request, kind timeline.Kind, upstream, cause string) {
	r.Events.Record(timeline.Event{Kind: kind, Service: req.Doc.Name, Request: req.ID, Upstream: upstream, Cause: cause})
}

// recordChoice records which upstream an attempt goes to, why, and how the
// alternatives scored.
func (r *Runner) recordChoice(req *Request, choice *routing.Choice) {
	r.Events.Record(timeline.Event{
		Kind: EventSent, Service: req.Doc.Name, Request: req.ID, Upstream: choice.Upstream.Name,
		Cause: choice.Cause, Scores: choice.Scores,
	})
}
