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
	// endMarker is the data of the event that ends a whole stream.
	endMarker = "[DONE]"
	// streamBufferBytes is the first size of a stream's buffer.
	streamBufferBytes = 16 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var streamBuffers = sync.Pool{New: func() any {
	p := make([]byte, streamBufferBytes)
	return &p
}}

// relayStream passes events on as they come and returns nil only after the end
// marker. It sends all whole events that one read brought in one write, and
// waits for no more.
func (t *try) relayStream(res *upstream.Response, name string, first func()) error {
	pooled, _ := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(pooled)
	s := &eventScanner{requestID: t.req.ID, sent: &t.sent}
	buf, held := *pooled, 0
	for {
		n, readErr := res.Body.Read(buf[held:])
		held += n
		used, state := s.scan(buf[:held])
		if used > 0 {
			if err := t.pass(res, buf[:used], first); err != nil {
				return err
			}
		}
		switch {
		case state == streamEnded:
			return nil
		case state == streamForeign:
			return otherRequest(name)
		case state == streamFailed:
			return incomplete(errors.New("the upstream sent an error event"), name)
		case readErr != nil:
			return incomplete(errors.CombineErrors(skipEOF(readErr), io.ErrUnexpectedEOF), name)
		}
		held = copy(buf, buf[used:held])
		if held < len(buf) {
			continue
		}
		if held >= maxEventBytes {
			return verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "Upstream %s sent an event of more than %d bytes.", name, maxEventBytes)
		}
		grown := make([]byte, 2*len(buf))
		copy(grown, buf)
		buf = grown
	}
}

func skipEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// streamState is what the events so far mean.
type streamState uint8

const (
	streamOpen streamState = iota
	// streamEnded means that the end marker has come.
	streamEnded
	// streamForeign means that an event belongs to another request.
	streamForeign
	// streamFailed means that the upstream reports an error.
	streamFailed
)

// eventScanner checks the events of one stream. Most events of a stream begin
// alike, up to the id's value; the scanner parses only those that don't.
type eventScanner struct {
	requestID string
	sent      *transcript
	prefix    []byte
	id        string
}

// scan returns the length of the whole events in p that may be passed on, and
// what they mean. It looks at an event only once all of it is there, so that
// the transcript holds just what is passed on.
func (s *eventScanner) scan(p []byte) (int, streamState) {
	passed, line := 0, 0
	for {
		n := bytes.IndexByte(p[line:], '\n')
		if n < 0 {
			return passed, streamOpen
		}
		blank := n == 0 || n == 1 && p[line] == '\r'
		line += n + 1
		if !blank {
			continue
		}
		state := s.event(p[passed:line])
		if state == streamForeign || state == streamFailed {
			return passed, state
		}
		passed = line
		if state == streamEnded {
			return passed, state
		}
	}
}

// event checks the lines of one event.
func (s *eventScanner) event(p []byte) streamState {
	for len(p) > 0 {
		n := bytes.IndexByte(p, '\n')
		text := bytes.TrimSuffix(p[:n], []byte("\r"))
		p = p[n+1:]
		if state := s.line(text); state != streamOpen {
			return state
		}
	}
	return streamOpen
}

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
)

// line checks one line of an event.
func (s *eventScanner) line(text []byte) streamState {
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
	if len(s.prefix) == 0 || !bytes.HasPrefix(data, s.prefix) {
		if state := s.identify(data); state != streamOpen {
			return state
		}
	}
	s.sent.add(data)
	return streamOpen
}

// identify checks the id of an event that does not begin as the others.
func (s *eventScanner) identify(data []byte) streamState {
	if gjson.GetBytes(data, "error").IsObject() {
		return streamFailed
	}
	id := gjson.GetBytes(data, "id")
	if !id.Exists() {
		return streamOpen
	}
	if !belongs(id.String(), s.requestID) || s.id != "" && s.id != id.String() {
		return streamForeign
	}
	s.id = id.String()
	if id.Index > 0 {
		s.prefix = bytes.Clone(data[:id.Index+len(id.Raw)])
	}
	return streamOpen
}
