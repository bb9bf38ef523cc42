// Package online runs one waiting caller's request: admission, choice of
// upstream, tries, and the relay of the answer.
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

// Kinds of event that a request records.
const (
	EventAdmitted timeline.Kind = "request.admitted"
	EventRefused  timeline.Kind = "request.refused"
	EventSent     timeline.Kind = "request.sent"
	EventRetried  timeline.Kind = "request.retried"
	EventFailed   timeline.Kind = "request.failed"
	EventDone     timeline.Kind = "request.done"
)

// reasonEstimated marks tokens that no answer stated.
const reasonEstimated = "estimated"

// Request is one request of a waiting caller.
type Request struct {
	ID     string
	Doc    *service.Document
	Class  *service.Class
	Caller string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Stream asks for the answer token by token.
	Stream bool
	// Tokens is the expected work: prompt tokens and asked tokens.
	Tokens int
	// PromptTokens is the part of Tokens that the prompt is estimated at.
	PromptTokens int
	// Prefix is the hash of the prompt's beginning, for cache affinity.
	Prefix uint64
	// Once marks a request that may run at most once, under Key.
	Once bool
	Key  ledger.Key
}

// Sink takes the answer.
type Sink interface {
	// Begin sends status and headers; it is called once, before Write.
	Begin(status int, header http.Header) error
	// Write sends a part of the body and flushes it.
	Write(p []byte) error
	// Abort breaks the connection to the caller after Begin, so that a cut
	// answer can't be taken for a whole one.
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
	// Region is the host's own region.
	Region string
}

// Run runs a request and relays its answer. An error before Begin carries the
// verdict; after Begin the sink has got an explicit error event.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, req.Doc.Routing.RequestTimeout)
	defer cancel()
	start := r.Clock.Now()
	err := r.admitted(ctx, req, sink)
	r.finish(req, start, err)
	return err
}

func (r *Runner) admitted(ctx context.Context, req *Request, sink Sink) error {
	fp := fingerprintOf(req)
	if _, err := r.Guard.Check(req.Doc.Name, fp); err != nil {
		return err
	}
	release, err := r.Admission.Admit(ctx, limits.Request{Doc: req.Doc, Class: req.Class, Caller: req.Caller, Tokens: req.Tokens})
	if err != nil {
		return err
	}
	defer release()
	r.record(req, EventAdmitted, "", "")
	claim, err := r.claim(ctx, req)
	if err != nil {
		return err
	}
	err = r.tries(ctx, req, fp, sink)
	if req.Once {
		r.Ledger.Settle(req.Doc, claim, outcomeOf(err))
	}
	return err
}

// outcomeOf returns the verdict on a request that ended with err.
func outcomeOf(err error) verdict.Verdict {
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

// claim makes the request's claim in the ledger where it may run at most once.
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

// tries sends the request until it is answered or may not be tried again.
func (r *Runner) tries(ctx context.Context, req *Request, fp quarantine.Fingerprint, sink Sink) error {
	t := &try{runner: r, req: req, fp: fp, sink: sink}
	t.sent.off = !resumableRequest(req)
	budget := r.Budgets.ForService(req.Doc.Name)
	for n := 1; ; n++ {
		err := t.once(ctx)
		if err == nil {
			budget.RecordSuccess()
			t.answered()
			return nil
		}
		if reason := t.again(ctx, n, err, budget); reason != retry.ReasonNone {
			return t.end(err, reason)
		}
		t.last = err
	}
}

// again returns why the request is not tried again.
func (t *try) again(ctx context.Context, tries int, err error, budget *retry.Budget) retry.Reason {
	if ctx.Err() != nil {
		return retry.ReasonTime
	}
	state := retry.State{
		Err: err, Tries: tries, MaxTries: t.req.Doc.Routing.MaxTries,
		Once: t.req.Once, AnswerStarted: t.begun, Resumable: t.sent.resumable(), TimeLeft: timeLeft(ctx),
	}
	if reason := retry.Decide(state); reason != retry.ReasonNone {
		return reason
	}
	if !budget.Spend(t.req.Doc.Routing.RetryBudget) {
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

// answered books a request that is done.
func (t *try) answered() {
	t.runner.count(t.req, accounting.Requests, "", 1)
	t.runner.count(t.req, accounting.AnswerTokens, "", t.sent.tokens)
	if t.sent.tokens > 0 {
		t.runner.count(t.req, accounting.PromptTokens, reasonEstimated, t.req.PromptTokens)
	}
}

// end gives the request up. A caller that has got a part of the answer is told
// by an error event or, where the answer has no events, by a broken connection.
func (t *try) end(err error, reason retry.Reason) error {
	if t.last != nil && verdict.As(err).Code == verdict.CodeNoUpstream {
		err = t.last
	}
	err = t.final(err)
	if !t.begun {
		return err
	}
	if t.sent.resumable() {
		t.runner.count(t.req, accounting.WastedTokens, string(reason), t.sent.tokens)
	}
	if !t.req.Stream {
		t.sink.Abort()
		return err
	}
	return errors.CombineErrors(err, t.sink.Write(errorEvent(err)))
}

func (r *Runner) finish(req *Request, start time.Time, err error) {
	r.Metrics.observe(req, r.Clock.Since(start), err)
	if err == nil {
		r.record(req, EventDone, "", "")
		return
	}
	kind := EventFailed
	if verdict.Of(err) == verdict.NotRun {
		kind = EventRefused
	}
	r.record(req, kind, "", err.Error())
	r.Log.WithFields(logrus.Fields{"request": req.ID, "service": req.Doc.Name}).WithError(err).Debug("request failed")
}

func (r *Runner) record(req *Request, kind timeline.Kind, upstream, cause string) {
	r.Events.Record(timeline.Event{Kind: kind, Service: req.Doc.Name, Request: req.ID, Upstream: upstream, Cause: cause})
}

// recordChoice records where a try goes, why, and what the alternatives were.
func (r *Runner) recordChoice(req *Request, choice *routing.Choice) {
	r.Events.Record(timeline.Event{
		Kind: EventSent, Service: req.Doc.Name, Request: req.ID, Upstream: choice.Upstream.Name,
		Cause: choice.Cause, Scores: choice.Scores,
	})
}
