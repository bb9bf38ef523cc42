package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
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
	// endMarker is the data of the event that ends a whole stream.
	endMarker = "[DONE]"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResponseBytes bounds an answer that is not streamed.
	maxResponseBytes = 1 << 20
	// loadTimeout bounds the request for a load report.
	loadTimeout = time.Second
)

// nonStreamableFields are fields whose answers are not put together from a stream; such
// items run whole and start anew when they step aside.
var nonStreamableFields = []string{"tools", "functions", "logprobs", "top_logprobs", "n", "best_of", "echo", "suffix"}

// itemRunner runs single items on replicas.
type itemRunner struct {
	client *upstream.Client
	guard  quarantine.Guard
}

// outcome is how a run of an item ended.
type outcome struct {
	// result is set when the item ended.
	result *store.Result
	// err says why it didn't; nil with begun false means that it never started.
	err     error
	started bool
	partial run.Partial
	load    *upstream.Load
	leaving bool
	// replicaFailed says that the replica was replicaFailed with the item.
	replicaFailed bool
}

// checkQuarantine asks the quarantine about an item.
func (e *itemRunner) checkQuarantine(attempt *run.Attempt) (alone bool, err error) {
	return e.guard.Check(attempt.Service, quarantine.FingerprintOf(attempt.Service, attempt.Item.Body))
}

// run runs an item on a replica. mayStart is asked just before the first byte.
func (e *itemRunner) run(ctx context.Context, doc *service.Document, u *service.Upstream, attempt *run.Attempt, tryStart func(*run.Attempt) bool) outcome {
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
	e.guard.Started(attempt.Service, u.Name, fp)
	o := e.exchange(ctx, u, attempt, body, streamed)
	end := quarantineEnd(ctx, o.err)
	o.replicaFailed = end == quarantine.ConnectionLost
	e.guard.Ended(attempt.Service, u.Name, fp, end)
	return o
}

// quarantineEnd tells the guard what an outcome says of the replica.
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

func isStreamable(body []byte) bool {
	for _, field := range nonStreamableFields {
		if gjson.GetBytes(body, field).Exists() {
			return false
		}
	}
	return true
}

// requestBody returns the body as it is sent.
func requestBody(attempt *run.Attempt, streamed, resume bool) ([]byte, error) {
	body, err := sjson.SetBytes(attempt.Item.Body, "stream", streamed)
	if err != nil || !streamed || !resume || attempt.Partial.Tokens == 0 {
		return body, err
	}
	return sjson.SetBytes(body, upstream.FieldResume, upstream.Resume{Text: attempt.Partial.Text, Tokens: attempt.Partial.Tokens})
}

func (e *itemRunner) exchange(ctx context.Context, u *service.Upstream, attempt *run.Attempt, body []byte, streamed bool) outcome {
	o := outcome{started: true, partial: attempt.Partial}
	res, err := e.client.Send(ctx, u, &upstream.Request{
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
	switch {
	case res.Status >= http.StatusInternalServerError:
		cause := &upstream.StatusError{Upstream: u.Name, Status: res.Status, Header: res.Header}
		o.err = verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered with status %d.", u.Name, res.Status)
	case streamed && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		e.readStream(res, u, attempt, &o)
	default:
		e.readUnstreamed(res, u, attempt, &o)
	}
	return o
}

func loadFromHeader(h http.Header) *upstream.Load {
	var l upstream.Load
	if json.Unmarshal([]byte(h.Get(upstream.HeaderLoad)), &l) != nil {
		return nil
	}
	return &l
}

func (e *itemRunner) readUnstreamed(res *upstream.Response, u *service.Upstream, attempt *run.Attempt, o *outcome) {
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

// newResult makes the result of a whole answer; a status of 400 and above
// is the item's own failure.
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

// assembler puts an answer together from its stream.
type assembler struct {
	firstEvent   gjson.Result
	text         strings.Builder
	tokens       int
	finishReason string
	usage        json.RawMessage
}

func (e *itemRunner) readStream(res *upstream.Response, u *service.Upstream, attempt *run.Attempt, o *outcome) {
	a := &assembler{tokens: attempt.Partial.Tokens}
	a.text.WriteString(attempt.Partial.Text)
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == endMarker {
			o.result = a.buildResult(attempt, res.Status)
			return
		}
		a.addEvent(data)
	}
	o.partial = run.Partial{Text: a.text.String(), Tokens: a.tokens}
	cause := errors.CombineErrors(lines.Err(), io.ErrUnexpectedEOF)
	o.err = verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", u.Name)
}

func (a *assembler) addEvent(data []byte) {
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

// response is a whole response in the callers' format.
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

// fetchLoad asks a replica for its fetchLoad.
func (e *itemRunner) fetchLoad(ctx context.Context, u *service.Upstream) (*upstream.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := e.client.Load(ctx, u)
	return l, err == nil
}

// countWastedTokens counts the tokens that a run which stepped aside threw away.
func (d *dispatcher) countWastedTokens(attempt *run.Attempt, o outcome) {
	doc, ok := d.manager.document(attempt.Service)
	if ok && doc.Batch.Resume || o.partial.Tokens == 0 {
		return
	}
	d.manager.o.Costs.Add(attempt.Service, attempt.Caller, accounting.WastedTokens, "stepped aside", int64(o.partial.Tokens))
}
