package online

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// maxAnswerBytes bounds an answer that is not streamed.
const maxAnswerBytes = 64 << 20

// maxPooledBytes bounds the buffers that are kept for reuse.
const maxPooledBytes = 64 << 10

const typeEventStream = "text/event-stream"

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// relay passes an answer on. It returns nil only for a whole one.
func (t *try) relay(res *upstream.Response, name string, first func()) error {
	if res.Status >= http.StatusInternalServerError {
		cause := &upstream.StatusError{Upstream: name, Status: res.Status, Header: res.Header}
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed,
			"Upstream %s answered with status %d.", name, res.Status)
	}
	if err := t.checkResumed(res, name); err != nil {
		return err
	}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), typeEventStream) {
		return t.relayWhole(res, name, first)
	}
	if t.req.Doc.Kind == service.KindPlain {
		return t.relayRaw(res, name, first)
	}
	return t.relayStream(res, name, first)
}

// checkResumed makes sure that a resumed answer goes on where the caller's
// part ends.
func (t *try) checkResumed(res *upstream.Response, name string) error {
	if t.sent.tokens == 0 {
		return nil
	}
	if res.Status == http.StatusOK && res.Header.Get(upstream.HeaderResumed) == itoa(t.sent.tokens) {
		return nil
	}
	t.sent.disable()
	return verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "Upstream %s does not resume answers.", name)
}

// relayWhole passes on an answer that is not streamed, once all of it is there.
func (t *try) relayWhole(res *upstream.Response, name string, first func()) error {
	buf, _ := buffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBytes {
			buf.Reset()
			buffers.Put(buf)
		}
	}()
	if _, err := buf.ReadFrom(io.LimitReader(res.Body, maxAnswerBytes+1)); err != nil {
		return incomplete(err, name)
	}
	first()
	if err := t.checkWhole(res, buf.Bytes(), name); err != nil {
		return err
	}
	t.begun = true
	if t.req.Method != http.MethodHead {
		res.Header.Set("Content-Length", itoa(buf.Len()))
	}
	if err := t.sink.Begin(res.Status, res.Header); err != nil {
		return err
	}
	if err := t.sink.Write(buf.Bytes()); err != nil {
		return err
	}
	t.countWhole(res, buf.Bytes())
	return nil
}

// checkWhole rules out answers that are cut, too long or another request's.
func (t *try) checkWhole(res *upstream.Response, body []byte, name string) error {
	switch {
	case len(body) > maxAnswerBytes:
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "The answer of upstream %s exceeds %d bytes.", name, maxAnswerBytes)
	case !res.Delimited && t.req.Method != http.MethodHead:
		return incomplete(errors.New("the end of the answer is not marked"), name)
	case t.req.Doc.Kind != service.KindEngine || res.Status != http.StatusOK:
		return nil
	case !gjson.ValidBytes(body):
		return incomplete(errors.New("the answer is not valid JSON"), name)
	case !belongs(gjson.GetBytes(body, "id").String(), t.req.ID):
		return otherRequest(name)
	default:
		return nil
	}
}

func incomplete(err error, name string) error {
	if e := verdict.As(err); err != nil && e.Code == verdict.CodeCeiling {
		return e
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", name)
}

func otherRequest(name string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered another request.", name)
}

// belongs reports whether an answer with the given id may be the request's. An
// engine makes ids of its own or repeats the request's, perhaps after a prefix
// such as "chatcmpl-"; an id of the system's form must be the request's.
func belongs(answer, request string) bool {
	if i := strings.LastIndexByte(answer, '-'); i >= 0 {
		answer = answer[i+1:]
	}
	if answer == request {
		return true
	}
	_, err := ulid.ParseStrict(answer)
	return err != nil
}

// relayRaw passes on a stream of a plain service as it comes. The end of the
// body, which must be marked, is the end of the answer.
func (t *try) relayRaw(res *upstream.Response, name string, first func()) error {
	if !res.Delimited {
		return incomplete(errors.New("the end of the answer is not marked"), name)
	}
	p := make([]byte, maxPooledBytes)
	for {
		n, err := res.Body.Read(p)
		if n > 0 {
			if sinkErr := t.pass(res, p[:n], first); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return t.pass(res, nil, first)
		}
		if err != nil {
			return incomplete(err, name)
		}
	}
}

// pass sends a part of the answer on, after the headers.
func (t *try) pass(res *upstream.Response, p []byte, first func()) error {
	if !t.begun {
		first()
		t.begun = true
		if err := t.sink.Begin(res.Status, res.Header); err != nil {
			return err
		}
	}
	if len(p) == 0 {
		return nil
	}
	return t.sink.Write(p)
}
