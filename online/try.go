package online

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// endMarker is the data of the event that ends a whole stream.
const endMarker = "[DONE]"

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 64 << 20

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// try carries the state of a request over its tries.
type try struct {
	runner  *Runner
	req     *Request
	fp      quarantine.Fingerprint
	sink    Sink
	exclude []string
	begun   bool
}

// once sends the request to one upstream and relays the answer.
func (t *try) once(ctx context.Context) error {
	choice, err := t.runner.Balancer.Choose(routing.Ask{
		Doc: t.req.Doc, Tokens: t.req.Tokens, Prefix: t.req.Prefix, Exclude: t.exclude,
	})
	if err != nil {
		return err
	}
	name := choice.Upstream.Name
	t.exclude = append(t.exclude, name)
	t.runner.record(t.req, EventSent, name, choice.Cause)
	t.runner.Guard.Started(t.req.Doc.Name, name, t.fp)
	outcome := t.send(ctx, choice)
	t.runner.Guard.Ended(t.req.Doc.Name, name, t.fp, endOf(ctx, outcome.Err))
	choice.Done(outcome)
	return outcome.Err
}

func (t *try) send(ctx context.Context, choice *routing.Choice) routing.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := t.runner.Client.Send(ctx, &choice.Upstream, &upstream.Request{
		ID: t.req.ID, Method: t.req.Method, Path: t.req.Path, Header: t.req.Header, Body: t.req.Body,
	})
	if err != nil {
		return routing.Outcome{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	outcome := routing.Outcome{Load: loadOf(res.Header), Leaving: res.Header.Get(upstream.HeaderLeaving) != ""}
	outcome.Err = t.relay(res, choice.Upstream.Name)
	return outcome
}

// endOf tells the guard what an error says of the upstream.
func endOf(ctx context.Context, err error) quarantine.End {
	var status *upstream.StatusError
	switch {
	case err == nil, errors.As(err, &status) && !status.Refusal:
		return quarantine.Finished
	case ctx.Err() != nil, errors.As(err, &status), verdict.As(err).Code == verdict.CodeCancelled:
		return quarantine.Abandoned
	default:
		return quarantine.Lost
	}
}

func loadOf(h http.Header) *upstream.Load {
	text := h.Get(upstream.HeaderLoad)
	if text == "" {
		return nil
	}
	var l upstream.Load
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		return nil
	}
	return &l
}

func (t *try) relay(res *upstream.Response, name string) error {
	if res.Status >= http.StatusInternalServerError {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered with status %d.", name, res.Status)
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return t.relayStream(res, name)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return incomplete(err, name)
	}
	t.begun = true
	if err := t.sink.Begin(res.Status, res.Header); err != nil {
		return err
	}
	return t.sink.Write(body)
}

func incomplete(err error, name string) error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", name)
}

// relayStream passes events on and ends with an explicit error event when the
// stream ends without its end marker.
func (t *try) relayStream(res *upstream.Response, name string) error {
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) == 0 {
			continue
		}
		if !t.begun {
			t.begun = true
			if err := t.sink.Begin(res.Status, res.Header); err != nil {
				return err
			}
		}
		if err := t.sink.Write(append(bytes.Clone(line), '\n', '\n')); err != nil {
			return err
		}
		if string(line) == "data: "+endMarker {
			return nil
		}
	}
	err := incomplete(errors.CombineErrors(lines.Err(), io.ErrUnexpectedEOF), name)
	if t.begun {
		return errors.CombineErrors(err, t.sink.Write(errorEvent(err)))
	}
	return err
}
