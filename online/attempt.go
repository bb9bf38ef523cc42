package online

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// aloneAfter is the number of lost tries after which a request runs alone, also
// when its like was cleared meanwhile: it must not be lost with others again.
const aloneAfter = 2

// try carries the state of a request over its tries.
type try struct {
	runner  *Runner
	req     *Request
	fp      quarantine.Fingerprint
	sink    Sink
	exclude []string
	// losses counts the tries that were lost with their connection.
	losses int
	// status is that of the last answer.
	status int
	// begun says that a part of the answer has reached the caller.
	begun bool
	// mayHaveRun says that some try may have run the request.
	mayHaveRun bool
	// reserved is the upstream that is kept for this try; mostly empty.
	reserved string
	// last is how the try before ended.
	last error
	// sent is what the caller has of a streamed answer.
	sent transcript
}

// once sends the request to one upstream and relays the answer.
func (t *try) once(ctx context.Context) error {
	ask, release, err := t.ask(ctx)
	if err != nil {
		return err
	}
	defer release()
	choice, err := t.choose(ask)
	if err != nil {
		return err
	}
	name := choice.Upstream.Name
	t.exclude = append(t.exclude, name)
	if t.last != nil {
		t.runner.count(t.req, accounting.Retries, string(verdict.As(t.last).Code), 1)
		t.runner.record(t.req, EventRetried, name, t.last.Error())
	}
	t.runner.recordChoice(t.req, choice)
	t.runner.Guard.Started(t.req.Doc.Name, name, t.fp)
	outcome := t.send(ctx, choice)
	choice.Done(outcome)
	end := t.endOf(ctx, outcome.Err)
	t.runner.Guard.Ended(t.req.Doc.Name, name, t.fp, end)
	if end == quarantine.ConnectionLost {
		t.losses++
	}
	if outcome.Err != nil {
		t.note(outcome.Err)
	}
	return outcome.Err
}

// choose returns the upstream of the try. A reserved upstream serves its
// suspect also when the balancer holds it back.
func (t *try) choose(ask routing.Request) (*routing.Choice, error) {
	choice, err := t.runner.Balancer.Choose(ask)
	if err == nil || t.reserved == "" {
		return choice, err
	}
	for i := range ask.Doc.Upstreams {
		if u := &ask.Doc.Upstreams[i]; u.Name == t.reserved {
			return &routing.Choice{Upstream: *u, Cause: "runs alone", Done: func(routing.Outcome) {}}, nil
		}
	}
	return nil, err
}

// ask says where the request may go: a suspect runs alone on the upstream that
// is reserved for it, and every other request keeps away from reserved ones.
func (t *try) ask(ctx context.Context) (routing.Request, func(), error) {
	ask := routing.Request{Doc: t.req.Doc, Tokens: t.req.Tokens, Prefix: t.req.Prefix}
	t.reserved = ""
	alone, err := t.runner.Guard.Check(t.req.Doc.Name, t.fp)
	if err != nil {
		return ask, nil, err
	}
	suspect := alone || t.req.Doc.Quarantine.Enabled && t.losses >= aloneAfter
	if !suspect {
		ask.Exclude = slices.Concat(t.exclude, t.runner.Guard.ExcludedUpstreams(t.req.Doc.Name))
		return ask, func() {}, nil
	}
	reserved, err := t.runner.Guard.Reserve(ctx, t.req.Doc, t.fp)
	if err != nil {
		return ask, nil, err
	}
	t.reserved = reserved.Upstream
	for i := range t.req.Doc.Upstreams {
		if name := t.req.Doc.Upstreams[i].Name; name != reserved.Upstream {
			ask.Exclude = append(ask.Exclude, name)
		}
	}
	return ask, reserved.Release, nil
}

// note keeps what a failed try means for the request's verdict and cost.
func (t *try) note(err error) {
	e := verdict.As(err)
	if e.Verdict == verdict.NotRun {
		return
	}
	t.mayHaveRun = true
	t.runner.count(t.req, accounting.WastedRuns, string(e.Code), 1)
	if !t.sent.resumable() {
		t.runner.count(t.req, accounting.WastedTokens, string(e.Code), t.sent.tokens)
	}
}

// final returns the error of a request whose last try ended with err: it is
// not run only if no try may have run it.
func (t *try) final(err error) error {
	if !t.mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	e := *verdict.As(err)
	return verdict.Wrap(err, verdict.MayHaveRun, e.Code, "%s An earlier try may have run.", e.Message).
		WithParam(e.Param).WithRetryAfter(e.RetryAfter)
}

func (t *try) send(ctx context.Context, choice *routing.Choice) routing.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := t.body()
	if err != nil {
		return routing.Outcome{Err: err}
	}
	bill := t.runner.bill(t.req, &choice.Upstream)
	if err := bill.request(body); err != nil {
		return routing.Outcome{Err: err}
	}
	defer bill.close()
	start := t.runner.Clock.Now()
	res, err := t.runner.Client.Send(ctx, &choice.Upstream, &upstream.Request{
		ID: t.req.ID, Method: t.req.Method, Path: t.req.Path, Header: t.req.Header, Body: body,
	})
	if err != nil {
		return t.refused(err, bill)
	}
	defer func() { _ = res.Body.Close() }()
	outcome := routing.Outcome{Load: loadOf(res.Header.Get(upstream.HeaderLoad)), Leaving: res.Header.Get(upstream.HeaderLeaving) != ""}
	if choice.Observe != nil {
		choice.Observe(outcome.Load)
	}
	res.Body = bill.answer(res.Body)
	t.status = res.Status
	first := func() { outcome.FirstToken = t.runner.Clock.Since(start) }
	outcome.Err = t.relay(res, choice.Upstream.Name, first)
	return outcome
}

// refused returns the outcome of a request without an answer.
func (t *try) refused(err error, bill *bill) routing.Outcome {
	outcome := routing.Outcome{Err: err}
	var status *upstream.StatusError
	if errors.As(err, &status) {
		outcome.Load = loadOf(status.Header.Get(upstream.HeaderLoad))
		outcome.Leaving = status.Header.Get(upstream.HeaderLeaving) != ""
	} else if verdict.Of(err) == verdict.NotRun {
		bill.refund()
	}
	return outcome
}

// body returns the request's body, or one that goes on from what the caller
// has already got.
func (t *try) body() ([]byte, error) {
	if t.sent.tokens == 0 {
		return t.req.Body, nil
	}
	return t.sent.resume(t.req.Body)
}

// endOf tells the guard what an outcome says of the upstream. Statuses by which
// an upstream turns work away, and errors of its own, tell nothing.
func (t *try) endOf(ctx context.Context, err error) quarantine.End {
	var status *upstream.StatusError
	switch {
	case err == nil && t.status != http.StatusTooManyRequests && t.status != http.StatusRequestTimeout:
		return quarantine.Finished
	case err == nil, ctx.Err() != nil, errors.As(err, &status), verdict.Of(err) == verdict.NotRun:
		return quarantine.Abandoned
	case verdict.As(err).Code == verdict.CodeCancelled, verdict.As(err).Code == verdict.CodeCeiling:
		return quarantine.Abandoned
	default:
		return quarantine.ConnectionLost
	}
}

func loadOf(text string) *upstream.Load {
	if text == "" {
		return nil
	}
	var l upstream.Load
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return nil
	}
	return &l
}
