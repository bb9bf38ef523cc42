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

// maxResponseBytes bounds a response that is not streamed.
const maxResponseBytes = 64 << 20

// maxPooledBufferBytes bounds the buffers that are returned to the pool. It is
// also the read size for streams of plain services.
const maxPooledBufferBytes = 64 << 10

const contentTypeEventStream = "text/event-stream"

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// relay sends an upstream's response to the caller and returns nil only if it
// was complete. It calls onFirstToken before it sends the first byte.
func (s *requestState) relay(res *upstream.Response, name string, onFirstToken func()) error {
	if res.Status >= http.StatusInternalServerError {
		cause := &upstream.StatusError{Upstream: name, Status: res.Status, Header: res.Header}
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeUpstreamFailed,
			"Upstream %s answered with status %d.", name, res.Status)
	}
	isEventStream := strings.HasPrefix(res.Header.Get("Content-Type"), contentTypeEventStream)
	if err := s.checkResumed(res, isEventStream, name); err != nil {
		return err
	}
	if !isEventStream {
		return s.relayBuffered(res, name, onFirstToken)
	}
	if s.req.Doc.Kind == service.KindPlain {
		return s.relayPlainStream(res, name, onFirstToken)
	}
	return s.relayEventStream(res, name, onFirstToken)
}

// checkResumed checks that a resumed response is a stream that continues where the part
// that the caller has received ends.
func (s *requestState) checkResumed(res *upstream.Response, isEventStream bool, name string) error {
	if s.delivered.tokens == 0 {
		return nil
	}
	if isEventStream && res.Status == http.StatusOK && res.Header.Get(upstream.HeaderResumed) == itoa(s.delivered.tokens) {
		return nil
	}
	s.delivered.disableResume()
	return verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "Upstream %s does not resume answers.", name)
}

// relayBuffered sends a response that is not streamed, once it has been read to
// its end and validated.
func (s *requestState) relayBuffered(res *upstream.Response, name string, onFirstToken func()) error {
	buf, _ := bufferPool.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBufferBytes {
			buf.Reset()
			bufferPool.Put(buf)
		}
	}()
	if _, err := buf.ReadFrom(io.LimitReader(res.Body, maxResponseBytes+1)); err != nil {
		return incompleteError(err, name)
	}
	onFirstToken()
	if err := s.validateResponse(res, buf.Bytes(), name); err != nil {
		return err
	}
	s.begun = true
	if s.req.Method != http.MethodHead {
		res.Header.Set("Content-Length", itoa(buf.Len()))
	}
	if err := s.sink.Begin(res.Status, res.Header); err != nil {
		return err
	}
	if err := s.sink.Write(buf.Bytes()); err != nil {
		return err
	}
	s.recordUsage(res, buf.Bytes())
	return nil
}

// validateResponse rejects responses that are truncated, too large or belong to
// another request.
func (s *requestState) validateResponse(res *upstream.Response, body []byte, name string) error {
	switch {
	case len(body) > maxResponseBytes:
		return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "The answer of upstream %s exceeds %d bytes.", name, maxResponseBytes)
	case !res.Delimited && s.req.Method != http.MethodHead:
		return incompleteError(errors.New("the end of the answer is not marked"), name)
	case s.req.Doc.Kind != service.KindEngine || res.Status != http.StatusOK:
		return nil
	case !gjson.ValidBytes(body):
		return incompleteError(errors.New("the answer is not valid JSON"), name)
	case !mayBelongTo(gjson.GetBytes(body, "id").String(), s.req.ID):
		return wrongRequestError(name)
	default:
		return nil
	}
}

func incompleteError(err error, name string) error {
	if e := verdict.As(err); err != nil && e.Code == verdict.CodeCeiling {
		return e
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "The answer of upstream %s ended early.", name)
}

func wrongRequestError(name string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered another request.", name)
}

// mayBelongTo reports whether a response with the given id may be the response
// to the request. An engine generates ids of its own or repeats the request's,
// perhaps after a prefix such as "chatcmpl-"; an id in the format of request
// ids (ULID) must be the request's.
func mayBelongTo(responseID, requestID string) bool {
	if i := strings.LastIndexByte(responseID, '-'); i >= 0 {
		responseID = responseID[i+1:]
	}
	if responseID == requestID {
		return true
	}
	_, err := ulid.ParseStrict(responseID)
	return err != nil
}

// relayPlainStream sends a stream of a plain service unchanged as it arrives.
// The response is complete at the end of the body, which must be marked by its
// length or by chunked encoding.
func (s *requestState) relayPlainStream(res *upstream.Response, name string, onFirstToken func()) error {
	if !res.Delimited {
		return incompleteError(errors.New("the end of the answer is not marked"), name)
	}
	buf := make([]byte, maxPooledBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if sinkErr := s.writeToCaller(res, buf[:n], onFirstToken); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.writeToCaller(res, nil, onFirstToken)
		}
		if err != nil {
			return incompleteError(err, name)
		}
	}
}

// writeToCaller sends a piece of the body, after the status and the headers.
func (s *requestState) writeToCaller(res *upstream.Response, p []byte, onFirstToken func()) error {
	if !s.begun {
		onFirstToken()
		s.begun = true
		if err := s.sink.Begin(res.Status, res.Header); err != nil {
			return err
		}
	}
	if len(p) == 0 {
		return nil
	}
	return s.sink.Write(p)
}
