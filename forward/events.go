package forward

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// EventParser splits a stream of server-sent events (text/event-stream) at the
// boundaries of events. It takes input in pieces of any size.
type EventParser struct {
	pending []byte
	// LastID is the last id field in a complete event; empty if there was none.
	LastID string
}

// Feed appends p to the input and returns the bytes up to the end of the last
// complete event, without those that it returned before. It returns nil if no
// event was completed. The result is valid until the next call.
func (e *EventParser) Feed(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastEventEnd(e.pending)
	if end < 0 {
		return nil
	}
	complete := e.pending[:end]
	e.recordLastID(complete)
	e.pending = bytes.Clone(e.pending[end:])
	return complete
}

// Remainder returns the input after the last complete event.
func (e *EventParser) Remainder() []byte { return e.pending }

// CheckEnd returns an error if the input ends within an event.
func (e *EventParser) CheckEnd() error {
	if n := len(e.pending); n > 0 {
		return errors.Wrapf(errEndsWithinEvent, "%d bytes of a partial event", n)
	}
	return nil
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

// recordLastID sets LastID from the id fields of complete events.
func (e *EventParser) recordLastID(p []byte) {
	for line := range bytes.Lines(p) {
		if value, ok := fieldValue(line, "id"); ok {
			e.LastID = value
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
