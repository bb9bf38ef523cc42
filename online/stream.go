package online

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// endMarker is the data of the event that ends a complete stream.
	endMarker = "[DONE]"
	// initialStreamBufferBytes is the initial size of a stream's buffer.
	initialStreamBufferBytes = 16 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var streamBufferPool = sync.Pool{New: func() any {
	p := make([]byte, initialStreamBufferBytes)
	return &p
}}

// relayEventStream sends events as they arrive and returns nil only after the
// end marker. It sends all events that one read completed in one write, and
// waits for no more. The length of the response isn't that of the stream, of which
// another upstream may send the rest.
func (s *requestState) relayEventStream(res *upstream.Response, name string, onFirstToken func()) error {
	pooled, _ := streamBufferPool.Get().(*[]byte)
	defer streamBufferPool.Put(pooled)
	scanner := &eventScanner{requestID: s.req.ID, delivered: &s.delivered}
	buf, buffered := *pooled, 0
	res.Header.Del("Content-Length")
	for {
		n, readErr := res.Body.Read(buf[buffered:])
		buffered += n
		complete, state := scanner.scan(buf[:buffered])
		if complete > 0 {
			if err := s.writeToCaller(res, buf[:complete], onFirstToken); err != nil {
				return err
			}
		}
		switch {
		case state == streamEnded:
			return nil
		case state == streamWrongRequest:
			return wrongRequestError(name)
		case state == streamFailed:
			return incompleteError(errors.New("the upstream sent an error event"), name)
		case readErr != nil:
			return incompleteError(errors.CombineErrors(ignoreEOF(readErr), io.ErrUnexpectedEOF), name)
		}
		buffered = copy(buf, buf[complete:buffered])
		if buffered < len(buf) {
			continue
		}
		if buffered >= maxEventBytes {
			return verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "Upstream %s sent an event of more than %d bytes.", name, maxEventBytes)
		}
		grown := make([]byte, 2*len(buf))
		copy(grown, buf)
		buf = grown
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// streamState is the state of a stream after the events scanned so far.
type streamState uint8

const (
	streamOpen streamState = iota
	// streamEnded means that the end marker was received.
	streamEnded
	// streamWrongRequest means that an event belongs to another request.
	streamWrongRequest
	// streamFailed means that the upstream reports an error.
	streamFailed
)

// eventScanner checks the events of one stream. Most events of a stream are
// identical up to the end of the id's value, the common prefix; the scanner
// parses only the others.
type eventScanner struct {
	requestID    string
	delivered    *transcript
	commonPrefix []byte
	streamID     string
}

// scan returns the length of the complete events in p that may be sent to the
// caller, and the state of the stream. It examines an event only once it is
// complete, so that the transcript holds exactly what is sent.
func (s *eventScanner) scan(p []byte) (int, streamState) {
	passed, lineStart := 0, 0
	for {
		n := bytes.IndexByte(p[lineStart:], '\n')
		if n < 0 {
			return passed, streamOpen
		}
		blank := n == 0 || n == 1 && p[lineStart] == '\r'
		lineStart += n + 1
		if !blank {
			continue
		}
		state := s.scanEvent(p[passed:lineStart])
		if state == streamWrongRequest || state == streamFailed {
			return passed, state
		}
		passed = lineStart
		if state == streamEnded {
			return passed, state
		}
	}
}

// scanEvent checks the lines of one event.
func (s *eventScanner) scanEvent(p []byte) streamState {
	for len(p) > 0 {
		n := bytes.IndexByte(p, '\n')
		text := bytes.TrimSuffix(p[:n], []byte("\r"))
		p = p[n+1:]
		if state := s.scanLine(text); state != streamOpen {
			return state
		}
	}
	return streamOpen
}

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
)

// scanLine checks one line of an event and adds its data to the transcript.
func (s *eventScanner) scanLine(text []byte) streamState {
	if field, ok := bytes.CutPrefix(text, eventField); ok && string(bytes.TrimSpace(field)) == "error" {
		return streamFailed
	}
	data, ok := bytes.CutPrefix(text, dataField)
	if !ok {
		return streamOpen
	}
	data = bytes.TrimPrefix(data, []byte(" "))
	if string(data) == endMarker {
		return streamEnded
	}
	if len(s.commonPrefix) == 0 || !bytes.HasPrefix(data, s.commonPrefix) {
		if state := s.checkID(data); state != streamOpen {
			return state
		}
	}
	s.delivered.add(data)
	return streamOpen
}

// checkID checks the id of an event that does not begin with the common prefix.
func (s *eventScanner) checkID(data []byte) streamState {
	if gjson.GetBytes(data, "error").IsObject() {
		return streamFailed
	}
	id := gjson.GetBytes(data, "id")
	if !id.Exists() {
		return streamOpen
	}
	if !mayBelongTo(id.String(), s.requestID) || s.streamID != "" && s.streamID != id.String() {
		return streamWrongRequest
	}
	s.streamID = id.String()
	if id.Index > 0 {
		s.commonPrefix = bytes.Clone(data[:id.Index+len(id.Raw)])
	}
	return streamOpen
}
