package forward

import (
	"bytes"
)

// EventParser splits a series of events (text/event-stream) into whole ones.
type EventParser struct {
	pending []byte
	// LastID is the id of the last whole event, empty before the first.
	LastID string
}

// Feed takes bytes as they arrive and returns those up to the end of the last
// whole event. The result is valid until the next call.
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

// Remainder returns the bytes after the last whole event.
func (e *EventParser) Remainder() []byte { return e.pending }

// lastEventEnd returns the index after the last blank line, or -1.
func lastEventEnd(p []byte) int {
	end := -1
	for _, blankLine := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(p, blankLine); i >= 0 && i+len(blankLine) > end {
			end = i + len(blankLine)
		}
	}
	return end
}

// recordLastID finds the last id among whole events.
func (e *EventParser) recordLastID(p []byte) {
	for line := range bytes.Lines(p) {
		if value, ok := fieldValue(line, "id"); ok {
			e.LastID = value
		}
	}
}

// fieldValue returns the value of a line's fieldValue, as the format of event streams
// defines it: one space after the colon doesn't count.
func fieldValue(line []byte, name string) (string, bool) {
	line = bytes.TrimRight(line, "\r\n")
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimPrefix(value, []byte(" "))), true
}

// EventData returns the data of each whole event in p, lines of one event joined by
// a line feed.
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
