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
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 1 << 20
	// loadTimeout bounds the request for a load report.
	loadTimeout = time.Second
)

// unstreamed are fields whose answers are not put together from a stream; such
// items run whole and start anew when they step aside.
var unstreamed = []string{"tools", "functions", "logprobs", "top_logprobs", "n", "best_of", "echo", "suffix"}

// engine runs single items on replicas.
type engine struct {
	client *upstream.Client
	guard  quarantine.Guard
}

// outcome is how a run of an item ended.
type outcome struct {
	// result is set when the item ended.
	result *store.Result
	// err says why it didn't; nil with begun false means that it never started.
	err     error
	begun   bool
	partial run.Partial
	load    *upstream.Load
	leaving bool
	// lost says that the replica was lost with the item.
	lost bool
}

// check asks the quarantine about an item.
func (e *engine) check(work *run.Attempt) (alone bool, err error) {
	return e.guard.Check(work.Service, quarantine.FingerprintOf(work.Service, work.Item.Body))
}

// run runs an item on a replica. mayStart is asked just before the first byte.
func (e *engine) run(ctx context.Context, doc *service.Document, u *service.Upstream, work *run.Attempt, mayStart func(*run.Attempt) bool) outcome {
	streamed := streamable(work.Item.Body)
	body, err := bodyOf(work, streamed, doc.Batch.Resume)
	if err != nil {
		return outcome{err: verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The item's body can't be prepared.")}
	}
	if !doc.Batch.Resume {
		work.Partial = run.Partial{}
	}
	if !mayStart(work) {
		return outcome{}
	}
	fp := quarantine.FingerprintOf(work.Service, work.Item.Body)
	e.guard.Started(work.Service, u.Name, fp)
	o := e.exchange(ctx, u, work, body, streamed)
	end := endOf(ctx, o.err)
	o.lost = end == quarantine.ConnectionLost
	e.guard.Ended(work.Service, u.Name, fp, end)
	return o
}

// endOf tells the guard what an outcome says of the replica.
func endOf(ctx context.Context, err error) quarantine.End {
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

func streamable(body []byte) bool {
	for _, field := range unstreamed {
		if gjson.GetBytes(body, field).Exists() {
			return false
		}
	}
	return true
}

// bodyOf returns the body as it is sent.
func bodyOf(work *run.Attempt, streamed, resume bool) ([]byte, error) {
	body, err := sjson.SetBytes(work.Item.Body, "stream", streamed)
	if err != nil || !streamed || !resume || work.Partial.Tokens == 0 {
		return body, err
	}
	return sjson.SetBytes(body, upstream.FieldResume, upstream.Resume{Text: work.Partial.Text, Tokens: work.Partial.Tokens})
}

func (e *engine) exchange(ctx context.Context, u *service.Upstream, work *run.Attempt, body []byte, streamed bool) outcome {
	o := outcome{begun: true, partial: work.Partial}
	res, err := e.client.Send(ctx, u, &upstream.Request{
		ID: work.ID, Method: work.Item.Method, Path: work.Item.URL, Body: body, StartBy: work.StartBy,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = res.Body.Close() }()
	o.load = loadOf(res.Header)
	o.leaving = res.Header.Get(upstream.HeaderLeaving) != ""
	switch {
	case res.Status >= http.StatusInternalServerError:
		cause := &upstream.StatusError{Upstream: u.Name, Status: res.Status, Header: res.Header}
		o.err = verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered with status %d.", u.Name, res.Status)
	case streamed && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		e.readStream(res, u, work, &o)
	default:
		e.readWhole(res, u, work, &o)
	}
	return o
}

func loadOf(h http.Header) *upstream.Load {
	var l upstream.Load
	if json.Unmarshal([]byte(h.Get(upstream.HeaderLoad)), &l) != nil {
		return nil
	}
	return &l
}

func (e *engine) readWhole(res *upstream.Response, u *service.Upstream, work *run.Attempt, o *outcome) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		o.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", u.Name)
	case len(body) > maxAnswerBytes:
		o.err = verdict.New(verdict.Ran, verdict.CodeTooLarge, "The answer of upstream %s exceeds %d bytes.", u.Name, maxAnswerBytes)
	case !json.Valid(body):
		o.err = verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer of upstream %s is not JSON.", u.Name)
	default:
		o.result = resultOfStatus(work, u, res.Status, body)
	}
}

// resultOfStatus makes the result of a whole answer; a status of 400 and above
// is the item's own failure.
func resultOfStatus(work *run.Attempt, u *service.Upstream, status int, body []byte) *store.Result {
	r := &store.Result{
		CustomID: work.Item.CustomID,
		Response: &store.ItemResponse{StatusCode: status, RequestID: work.ID, Body: body},
	}
	if status >= http.StatusBadRequest {
		r.Error = &store.ItemError{
			Code: verdict.CodeInvalidRequest, Verdict: verdict.Ran,
			Message: "Upstream " + u.Name + " refused the item: " + http.StatusText(status) + ".",
		}
	}
	return r
}

// assembly puts an answer together from its stream.
type assembly struct {
	first  gjson.Result
	text   strings.Builder
	tokens int
	finish string
	usage  json.RawMessage
}

func (e *engine) readStream(res *upstream.Response, u *service.Upstream, work *run.Attempt, o *outcome) {
	a := &assembly{tokens: work.Partial.Tokens}
	a.text.WriteString(work.Partial.Text)
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == endMarker {
			o.result = a.result(work, res.Status)
			return
		}
		a.add(data)
	}
	o.partial = run.Partial{Text: a.text.String(), Tokens: a.tokens}
	cause := errors.CombineErrors(lines.Err(), io.ErrUnexpectedEOF)
	o.err = verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", u.Name)
}

func (a *assembly) add(data []byte) {
	event := gjson.ParseBytes(bytes.Clone(data))
	if !a.first.Exists() {
		a.first = event
	}
	choice := event.Get("choices.0")
	piece := choice.Get("text").String() + choice.Get("delta.content").String()
	if piece != "" {
		a.text.WriteString(piece)
		a.tokens++
	}
	if f := choice.Get("finish_reason").String(); f != "" {
		a.finish = f
	}
	if usage := event.Get("usage"); usage.IsObject() {
		a.usage = json.RawMessage(usage.Raw)
	}
}

// answer is a whole answer in the callers' format.
type answer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []answerChoice  `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answerUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *assembly) result(work *run.Attempt, status int) *store.Result {
	text := a.text.String()
	out := answer{ID: work.ID, Created: a.first.Get("created").Int(), Model: a.first.Get("model").String(), Usage: a.usage}
	choice := answerChoice{FinishReason: a.finish}
	if choice.FinishReason == "" {
		choice.FinishReason = "stop"
	}
	if work.Item.URL == upstream.PathChat {
		out.Object, choice.Message = "chat.completion", &answerMessage{Role: "assistant", Content: text}
	} else {
		out.Object, choice.Text = "text_completion", &text
	}
	out.Choices = []answerChoice{choice}
	if out.Usage == nil {
		out.Usage, _ = json.Marshal(answerUsage{CompletionTokens: a.tokens})
	}
	body, err := json.Marshal(&out)
	if err != nil {
		body = nil
	}
	return &store.Result{
		CustomID: work.Item.CustomID,
		Response: &store.ItemResponse{StatusCode: status, RequestID: work.ID, Body: body},
	}
}

// load asks a replica for its load.
func (e *engine) load(ctx context.Context, u *service.Upstream) (*upstream.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := e.client.Load(ctx, u)
	return l, err == nil
}

// accountWaste counts the tokens that a run which stepped aside threw away.
func (d *dispatcher) accountWaste(work *run.Attempt, o outcome) {
	doc, ok := d.manager.document(work.Service)
	if ok && doc.Batch.Resume || o.partial.Tokens == 0 {
		return
	}
	d.manager.o.Costs.Add(work.Service, work.Caller, accounting.WastedTokens, "stepped aside", int64(o.partial.Tokens))
}
