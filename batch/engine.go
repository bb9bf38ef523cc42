package batch

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// endMarker is the data of the event that ends a complete stream.
	endMarker = "[DONE]"
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxResponseBytes bounds the size of a response that is not streamed.
	maxResponseBytes = 1 << 20
	// loadTimeout bounds the request for a load report.
	loadTimeout = time.Second
)

// nonStreamableFields are the request fields whose effect on the response is not
// reassembled from a stream. Items with such a field are not streamed and, if
// preempted, start from the beginning.
var nonStreamableFields = []string{"tools", "functions", "logprobs", "top_logprobs", "n", "best_of", "echo", "suffix"}

// itemRunner runs single items on replicas.
type itemRunner struct {
	client *upstream.Client
	guard  quarantine.Guard
}

// outcome is the outcome of an attempt to run an item.
type outcome struct {
	// result is the result of the item, or nil if the attempt gave none.
	result *store.Result
	// err is the reason for which there is no result. It is nil, and started is
	// false, if the item was not permitted to start.
	err     error
	started bool
	// postponed reports that the quarantine doesn't let the item start now.
	postponed bool
	// partial is the output up to the end of the attempt, earlier attempts
	// included.
	partial run.Partial
	// load is the load report that came with the response; it may be nil.
	load *upstream.Load
	// leaving reports whether the replica announced that it takes no new work.
	leaving bool
	// replicaFailed reports whether the connection broke while the item ran, so
	// that the replica may have crashed.
	replicaFailed bool
}

// checkQuarantine returns an error if the item is quarantined. It reports whether
// the item must run alone on a replica because it is a suspect.
func (r *itemRunner) checkQuarantine(attempt *run.Attempt) (alone bool, err error) {
	return r.guard.Check(attempt.Service, quarantine.FingerprintOf(attempt.Service, attempt.Item.Body))
}

// run runs an item on a replica. It calls tryStart immediately before the request
// is sent and sends nothing if tryStart returns false.
func (r *itemRunner) run(ctx context.Context, doc *service.Document, u *service.Upstream, attempt *run.Attempt, tryStart func(*run.Attempt) bool) outcome {
	streamed := isStreamable(attempt.Item.Body)
	body, err := requestBody(attempt, streamed, doc.Batch.Resume)
	if err != nil {
		return outcome{err: verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The item's body can't be prepared.")}
	}
	if !doc.Batch.Resume {
		attempt.Partial = run.Partial{}
	}
	if !tryStart(attempt) {
		return outcome{}
	}
	fp := quarantine.FingerprintOf(attempt.Service, attempt.Item.Body)
	r.guard.Started(attempt.Service, u.Name, fp)
	o := r.exchange(ctx, u, attempt, body, streamed)
	end := quarantineEnd(ctx, o.err)
	o.replicaFailed = end == quarantine.ConnectionLost
	r.guard.Ended(attempt.Service, u.Name, fp, end)
	return o
}

// quarantineEnd returns how an item ended in the terms of the quarantine. Only an
// error after which the item may have run, without a status from the replica
// and without cancellation or time-out, counts as a lost connection.
func quarantineEnd(ctx context.Context, err error) quarantine.End {
	var status *upstream.StatusError
	switch {
	case err == nil:
		return quarantine.Finished
	case ctx.Err() != nil, verdict.Of(err) != verdict.MayHaveRun, errors.As(err, &status):
		return quarantine.Abandoned
	default:
		return quarantine.ConnectionLost
	}
}

// isStreamable reports whether the response to body can be reassembled from a
// stream.
func isStreamable(body []byte) bool {
	for _, field := range nonStreamableFields {
		if gjson.GetBytes(body, field).Exists() {
			return false
		}
	}
	return true
}

// requestBody returns the body to send. If the item resumes, the body contains
// the output of the earlier attempt.
func requestBody(attempt *run.Attempt, streamed, resume bool) ([]byte, error) {
	body, err := sjson.SetBytes(attempt.Item.Body, "stream", streamed)
	if err != nil || !streamed || !resume || attempt.Partial.Tokens == 0 {
		return body, err
	}
	return sjson.SetBytes(body, upstream.FieldResume, upstream.Resume{Text: attempt.Partial.Text, Tokens: attempt.Partial.Tokens})
}

// exchange sends the request and reads the response.
func (r *itemRunner) exchange(ctx context.Context, u *service.Upstream, attempt *run.Attempt, body []byte, streamed bool) outcome {
	o := outcome{started: true, partial: attempt.Partial}
	res, err := r.client.Send(ctx, u, &upstream.Request{
		ID: attempt.ID, Method: attempt.Item.Method, Path: attempt.Item.URL, Body: body, StartBy: attempt.StartBy,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = res.Body.Close() }()
	o.load = loadFromHeader(res.Header)
	o.leaving = res.Header.Get(upstream.HeaderLeaving) != ""
	streamed = streamed && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	switch {
	case res.Status >= http.StatusInternalServerError:
		cause := &upstream.StatusError{Upstream: u.Name, Status: res.Status, Header: res.Header}
		o.err = verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered with status %d.", u.Name, res.Status)
	case streamed && res.Status == http.StatusOK && resumedAfter(res) == strconv.Itoa(attempt.Partial.Tokens):
		r.readStream(res, u, attempt, attempt.Partial, &o)
	case resumedAfter(res) != fromBeginning:
		o.err = verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer of upstream %s goes on after %q tokens in place of %d.",
			u.Name, resumedAfter(res), attempt.Partial.Tokens)
	case streamed:
		r.readStream(res, u, attempt, run.Partial{}, &o)
	default:
		r.readUnstreamed(res, u, attempt, &o)
	}
	return o
}

// fromBeginning is what resumedAfter returns for a whole response.
const fromBeginning = "0"

// resumedAfter returns the number of tokens after which a response states that it goes on. A
// replica that ignores the output of an earlier attempt states nothing and begins again.
func resumedAfter(res *upstream.Response) string {
	return cmp.Or(res.Header.Get(upstream.HeaderResumed), fromBeginning)
}

// loadFromHeader returns the load report in a response header, or nil if there is
// no valid one.
func loadFromHeader(h http.Header) *upstream.Load {
	var l upstream.Load
	if json.Unmarshal([]byte(h.Get(upstream.HeaderLoad)), &l) != nil {
		return nil
	}
	return &l
}

// readUnstreamed reads a response that is not streamed and sets the result or the
// error.
func (r *itemRunner) readUnstreamed(res *upstream.Response, u *service.Upstream, attempt *run.Attempt, o *outcome) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		o.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", u.Name)
	case len(body) > maxResponseBytes:
		o.err = verdict.New(verdict.Ran, verdict.CodeTooLarge, "The answer of upstream %s exceeds %d bytes.", u.Name, maxResponseBytes)
	case !json.Valid(body):
		o.err = verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer of upstream %s is not JSON.", u.Name)
	default:
		o.result = newResult(attempt, u, res.Status, body)
	}
}

// newResult returns the result for a complete response. A status of 400 or above
// makes it a failure of the item itself, which is not tried again.
func newResult(attempt *run.Attempt, u *service.Upstream, status int, body []byte) *store.Result {
	r := &store.Result{
		CustomID: attempt.Item.CustomID,
		Response: &store.ItemResponse{StatusCode: status, RequestID: attempt.ID, Body: body},
	}
	if status >= http.StatusBadRequest {
		r.Error = &store.ItemError{
			Code: verdict.CodeInvalidRequest, Verdict: verdict.Ran,
			Message: "Upstream " + u.Name + " refused the item: " + http.StatusText(status) + ".",
		}
	}
	return r
}

// assembler reassembles a response from the events of its stream.
type assembler struct {
	// firstEvent supplies the fields that are the same in all events.
	firstEvent   gjson.Result
	text         strings.Builder
	tokens       int
	finishReason string
	usage        json.RawMessage
	// resumeDisabled means that a later attempt can't go on after the text.
	resumeDisabled bool
}

// readStream reads a streamed response that goes on after the given output. If the stream
// ends without the end marker, it sets the error and the output so far.
func (r *itemRunner) readStream(res *upstream.Response, u *service.Upstream, attempt *run.Attempt, after run.Partial, o *outcome) {
	a := &assembler{tokens: after.Tokens}
	a.text.WriteString(after.Text)
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	err := a.addLines(lines)
	o.partial = a.partial()
	switch {
	case err == nil:
		o.result = a.buildResult(attempt, res.Status)
	case errors.Is(err, errFailedStream):
		o.err = verdict.Wrap(err, verdict.Ran, verdict.CodeUpstreamFailed, "The answer of upstream %s is not complete.", u.Name)
	default:
		o.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", u.Name)
	}
}

// errFailedStream means that a stream reports an error or holds something other than events.
var errFailedStream = errors.New("event stream failed")

// addLines adds the events of a stream up to the end marker. A connection that ends within
// a line leaves a part of it, which is no event.
func (a *assembler) addLines(lines *bufio.Scanner) error {
	for lines.Scan() {
		ended, err := a.addLine(lines.Bytes())
		if ended {
			return nil
		}
		if err != nil && lines.Scan() {
			return err
		}
	}
	return errors.CombineErrors(lines.Err(), io.ErrUnexpectedEOF)
}

// addLine adds one line of a stream. It reports whether that is the end marker.
func (a *assembler) addLine(line []byte) (ended bool, _ error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case string(name) == "event" && string(value) == "error":
		return false, errors.Wrap(errFailedStream, "error event")
	case string(name) != "data", len(value) == 0:
		return false, nil
	case string(value) == endMarker:
		return true, nil
	case !gjson.ValidBytes(value):
		return false, errors.Wrap(errFailedStream, "data that is not JSON")
	}
	if failure := gjson.GetBytes(value, "error"); failure.Exists() && failure.Type != gjson.Null {
		return false, errors.Wrapf(errFailedStream, "error %s", failure.Raw)
	}
	a.addEvent(value)
	return false, nil
}

// partial returns the output from which a later attempt may resume.
func (a *assembler) partial() run.Partial {
	if a.resumeDisabled {
		return run.Partial{}
	}
	return run.Partial{Text: a.text.String(), Tokens: a.tokens}
}

// addEvent adds the data of one event. Each event with text counts as one token.
func (a *assembler) addEvent(data []byte) {
	a.resumeDisabled = a.resumeDisabled || upstream.HasOtherOutput(data)
	event := gjson.ParseBytes(bytes.Clone(data))
	if !a.firstEvent.Exists() {
		a.firstEvent = event
	}
	choice := event.Get("choices.0")
	delta := choice.Get("text").String() + choice.Get("delta.content").String()
	if delta != "" {
		a.text.WriteString(delta)
		a.tokens++
	}
	if f := choice.Get("finish_reason").String(); f != "" {
		a.finishReason = f
	}
	if usage := event.Get("usage"); usage.IsObject() {
		a.usage = json.RawMessage(usage.Raw)
	}
}

// response is a complete response in the format of the completion API.
type response struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type responseUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// buildResult returns the result of the item. If the stream had no usage, the
// number of tokens counted takes its place.
func (a *assembler) buildResult(attempt *run.Attempt, status int) *store.Result {
	text := a.text.String()
	out := response{ID: attempt.ID, Created: a.firstEvent.Get("created").Int(), Model: a.firstEvent.Get("model").String(), Usage: a.usage}
	choice := responseChoice{FinishReason: a.finishReason}
	if choice.FinishReason == "" {
		choice.FinishReason = "stop"
	}
	if attempt.Item.URL == upstream.PathChat {
		out.Object, choice.Message = "chat.completion", &responseMessage{Role: "assistant", Content: text}
	} else {
		out.Object, choice.Text = "text_completion", &text
	}
	out.Choices = []responseChoice{choice}
	if out.Usage == nil {
		out.Usage, _ = json.Marshal(responseUsage{CompletionTokens: a.tokens})
	}
	body, err := json.Marshal(&out)
	if err != nil {
		body = nil
	}
	return &store.Result{
		CustomID: attempt.Item.CustomID,
		Response: &store.ItemResponse{StatusCode: status, RequestID: attempt.ID, Body: body},
	}
}

// fetchLoad requests a load report from a replica.
func (r *itemRunner) fetchLoad(ctx context.Context, u *service.Upstream) (*upstream.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := r.client.Load(ctx, u)
	return l, err == nil
}

// countWastedTokens adds the tokens of a preempted attempt to the costs of its
// caller, unless the service can resume from them.
func (d *dispatcher) countWastedTokens(attempt *run.Attempt, o outcome) {
	doc, ok := d.manager.document(attempt.Service)
	if ok && doc.Batch.Resume || o.partial.Tokens == 0 {
		return
	}
	d.manager.o.Costs.Add(attempt.Service, attempt.Caller, accounting.WastedTokens, "stepped aside", int64(o.partial.Tokens))
}
