package forward

import (
	"bytes"
	"cmp"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// EventParser splits a stream of server-sent events (text/event-stream) at the
// boundaries of events. It takes input in pieces of any size.
type EventParser struct {
	pending []byte
	// received means that the present body has brought any byte.
	received bool
	// FirstID is the id of the first event of the present body; empty if there was none.
	FirstID string
	// LastID is the last id field in a complete event; empty if there was none.
	LastID string
	// DataLines counts the data lines of all complete events. A stream that sends
	// other bytes only makes no progress.
	DataLines int
}

// maxPartialEventBytes bounds the bytes of one event.
const maxPartialEventBytes = 256 << 10

// Feed appends p to the input and returns the bytes up to the end of the last
// complete event, without those that it returned before. It returns nil if no
// event was completed. The result is valid until the next call. An error means
// that an event is larger than maxPartialEventBytes.
func (e *EventParser) Feed(p []byte) ([]byte, error) {
	e.received = e.received || len(p) > 0
	e.pending = append(e.pending, p...)
	end := lastEventEnd(e.pending)
	if end < 0 {
		if len(e.pending) > maxPartialEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	complete := e.pending[:end]
	e.recordFields(complete)
	e.pending = bytes.Clone(e.pending[end:])
	return complete, nil
}

// Remainder returns the input after the last complete event.
func (e *EventParser) Remainder() []byte { return e.pending }

// CheckEnd returns an error if a body that has ended is not a complete stream: it
// ends within an event, or it is close-delimited and empty. A resumed stream may
// be empty, if its last event was received before.
func (e *EventParser) CheckEnd(framing pool.Framing, resumed bool) error {
	if n := len(e.pending); n > 0 {
		return errors.Wrapf(errEndsWithinEvent, "%d bytes of a partial event", n)
	}
	if framing == pool.FramingClose && !e.received && !resumed {
		return errNoEvent
	}
	return nil
}

// Reset discards a partial event and prepares for the next body of the stream.
func (e *EventParser) Reset() {
	e.pending, e.received, e.FirstID = nil, false, ""
}

// lastEventEnd returns the index after the last blank line in p, or -1 if there
// is none. As the event stream format allows, lines end with LF or CRLF, in any
// mix.
func lastEventEnd(p []byte) int {
	for end := len(p); ; {
		end = bytes.LastIndexByte(p[:end], '\n')
		if end < 0 {
			return -1
		}
		before := bytes.TrimSuffix(p[:end], []byte("\r"))
		if len(before) == 0 || bytes.HasSuffix(before, []byte("\n")) {
			return end + 1
		}
	}
}

// recordFields sets LastID from the id fields of complete events, and counts their data
// lines.
func (e *EventParser) recordFields(p []byte) {
	for line := range bytes.Lines(p) {
		if value, ok := fieldValue(line, "id"); ok {
			e.LastID = value
			e.FirstID = cmp.Or(e.FirstID, value)
		}
		if _, ok := fieldValue(line, "data"); ok {
			e.DataLines++
		}
	}
}

// fieldValue returns the value of a line that holds the named field. As the
// event stream format defines, one space after the colon is not part of the
// value.
func fieldValue(line []byte, name string) (string, bool) {
	line = bytes.TrimRight(line, "\r\n")
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimPrefix(value, []byte(" "))), true
}

// EventData returns the data of each event in p, which holds complete events
// only. The data lines of one event are joined by line feeds; events without
// data are left out.
func EventData(p []byte) []string {
	var (
		out     []string
		lines   [][]byte
		hasData bool
	)
	for line := range bytes.Lines(p) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if hasData {
				out = append(out, string(bytes.Join(lines, []byte("\n"))))
			}
			lines, hasData = nil, false
			continue
		}
		if value, ok := fieldValue(line, "data"); ok {
			lines, hasData = append(lines, []byte(value)), true
		}
	}
	return out
}
