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

// aloneAfterLost is the number of lost attempts after which a request runs
// alone on an upstream, even if its fingerprint was cleared meanwhile: other
// requests must not be lost together with it again.
const aloneAfterLost = 2

// requestState is the state of one request over its attempts.
type requestState struct {
	runner   *Runner
	req      *Request
	fp       quarantine.Fingerprint
	sink     Sink
	excluded []string
	// lostCount counts the attempts that were lost with their connection.
	lostCount int
	// lastStatus is the status of the last response.
	lastStatus int
	// begun means that part of the response was sent to the caller.
	begun bool
	// mayHaveRun means that some attempt may have run the request.
	mayHaveRun bool
	// reservedUpstream is the upstream reserved for this attempt; usually
	// empty.
	reservedUpstream string
	// lastErr is the error of the previous attempt.
	lastErr error
	// delivered is what the caller has received of a streamed response.
	delivered transcript
}

// attempt sends the request to one upstream and relays the response.
func (s *requestState) attempt(ctx context.Context) error {
	routingRequest, release, err := s.prepareRouting(ctx)
	if err != nil {
		return err
	}
	defer release()
	choice, err := s.choose(routingRequest)
	if err != nil {
		return err
	}
	name := choice.Upstream.Name
	s.excluded = append(s.excluded, name)
	if s.lastErr != nil {
		s.runner.recordCost(s.req, accounting.Retries, string(verdict.As(s.lastErr).Code), 1)
		s.runner.recordEvent(s.req, EventRetried, name, s.lastErr.Error())
	}
	s.runner.recordChoice(s.req, choice)
	s.runner.Guard.Started(s.req.Doc.Name, name, s.fp)
	outcome := s.send(ctx, choice)
	choice.Done(outcome)
	end := s.quarantineEnd(ctx, outcome.Err)
	s.runner.Guard.Ended(s.req.Doc.Name, name, s.fp, end)
	if end == quarantine.ConnectionLost {
		s.lostCount++
	}
	if outcome.Err != nil {
		s.recordFailedAttempt(outcome.Err)
	}
	return outcome.Err
}

// choose returns the upstream of the attempt. A reserved upstream takes its
// suspect even if the balancer excludes it.
func (s *requestState) choose(routingRequest routing.Request) (*routing.Choice, error) {
	choice, err := s.runner.Balancer.Choose(routingRequest)
	if err == nil || s.reservedUpstream == "" {
		return choice, err
	}
	for i := range routingRequest.Doc.Upstreams {
		if u := &routingRequest.Doc.Upstreams[i]; u.Name == s.reservedUpstream {
			return &routing.Choice{Upstream: *u, Cause: "runs alone", Done: func(routing.Outcome) {}}, nil
		}
	}
	return nil, err
}

// prepareRouting returns the routing request of the next attempt and a function
// that releases its reservation. A suspect runs alone on the upstream that is
// reserved for it; every other request avoids reserved upstreams.
func (s *requestState) prepareRouting(ctx context.Context) (routing.Request, func(), error) {
	routingRequest := routing.Request{Doc: s.req.Doc, Tokens: s.req.Tokens, Prefix: s.req.Prefix}
	s.reservedUpstream = ""
	alone, err := s.runner.Guard.Check(s.req.Doc.Name, s.fp)
	if err != nil {
		return routingRequest, nil, err
	}
	suspect := alone || s.req.Doc.Quarantine.Enabled && s.lostCount >= aloneAfterLost
	if !suspect {
		routingRequest.Exclude = slices.Concat(s.excluded, s.runner.Guard.ExcludedUpstreams(s.req.Doc.Name))
		return routingRequest, func() {}, nil
	}
	reserved, err := s.runner.Guard.Reserve(ctx, s.req.Doc, s.fp)
	if err != nil {
		return routingRequest, nil, err
	}
	s.reservedUpstream = reserved.Upstream
	for i := range s.req.Doc.Upstreams {
		if name := s.req.Doc.Upstreams[i].Name; name != reserved.Upstream {
			routingRequest.Exclude = append(routingRequest.Exclude, name)
		}
	}
	return routingRequest, reserved.Release, nil
}

// recordFailedAttempt records the effect of a failed attempt on the verdict and
// the cost of the request.
func (s *requestState) recordFailedAttempt(err error) {
	e := verdict.As(err)
	if e.Verdict == verdict.NotRun {
		return
	}
	s.mayHaveRun = true
	s.runner.recordCost(s.req, accounting.WastedRuns, string(e.Code), 1)
	if !s.delivered.resumable() {
		s.runner.recordCost(s.req, accounting.WastedTokens, string(e.Code), s.delivered.tokens)
	}
}

// finalError returns the error of a request whose last attempt ended with err.
// Its verdict is NotRun only if no attempt may have run the request.
func (s *requestState) finalError(err error) error {
	if !s.mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	e := *verdict.As(err)
	return verdict.Wrap(err, verdict.MayHaveRun, e.Code, "%s An earlier try may have run.", e.Message).
		WithParam(e.Param).WithRetryAfter(e.RetryAfter)
}

func (s *requestState) send(ctx context.Context, choice *routing.Choice) routing.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := s.body()
	if err != nil {
		return routing.Outcome{Err: err}
	}
	meter := s.runner.newCrossRegionMeter(s.req, &choice.Upstream)
	if err := meter.chargeRequest(body); err != nil {
		return routing.Outcome{Err: err}
	}
	defer meter.settle()
	start := s.runner.Clock.Now()
	res, err := s.runner.Client.Send(ctx, &choice.Upstream, &upstream.Request{
		ID: s.req.ID, Method: s.req.Method, Path: s.req.Path, Header: s.req.Header, Body: body,
	})
	if err != nil {
		return s.sendErrorOutcome(err, meter)
	}
	defer func() { _ = res.Body.Close() }()
	outcome := routing.Outcome{Load: parseLoad(res.Header.Get(upstream.HeaderLoad)), Leaving: res.Header.Get(upstream.HeaderLeaving) != ""}
	if choice.Observe != nil {
		choice.Observe(outcome.Load)
	}
	res.Body = meter.meterResponse(res.Body)
	s.lastStatus = res.Status
	onFirstToken := func() { outcome.FirstToken = s.runner.Clock.Since(start) }
	outcome.Err = s.relay(res, choice.Upstream.Name, onFirstToken)
	return outcome
}

// sendErrorOutcome returns the outcome of an attempt without a response.
func (s *requestState) sendErrorOutcome(err error, meter *crossRegionMeter) routing.Outcome {
	outcome := routing.Outcome{Err: err}
	var status *upstream.StatusError
	if errors.As(err, &status) {
		outcome.Load = parseLoad(status.Header.Get(upstream.HeaderLoad))
		outcome.Leaving = status.Header.Get(upstream.HeaderLeaving) != ""
	} else if verdict.Of(err) == verdict.NotRun {
		meter.refundRequest()
	}
	return outcome
}

// body returns the request's body, extended by what the caller has already
// received of the response.
func (s *requestState) body() ([]byte, error) {
	if s.delivered.tokens == 0 {
		return s.req.Body, nil
	}
	return s.delivered.resumeBody(s.req.Body)
}

// quarantineEnd returns how the attempt ended for the quarantine guard.
// Statuses by which an upstream refuses work, and errors that it reports
// itself, are no evidence of a crash.
func (s *requestState) quarantineEnd(ctx context.Context, err error) quarantine.End {
	var status *upstream.StatusError
	switch {
	case err == nil && s.lastStatus != http.StatusTooManyRequests && s.lastStatus != http.StatusRequestTimeout:
		return quarantine.Finished
	case err == nil, ctx.Err() != nil, errors.As(err, &status), verdict.Of(err) == verdict.NotRun:
		return quarantine.Abandoned
	case verdict.As(err).Code == verdict.CodeCancelled, verdict.As(err).Code == verdict.CodeCeiling:
		return quarantine.Abandoned
	default:
		return quarantine.ConnectionLost
	}
}

func parseLoad(text string) *upstream.Load {
	if text == "" {
		return nil
	}
	var l upstream.Load
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return nil
	}
	return &l
}
