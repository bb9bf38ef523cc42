package forward

import (
	"bytes"
)

// EventParser splits a series of events (text/event-stream) into whole ones.
type EventParser struct {
	rest []byte
	// LastID is the id of the last whole event, empty before the first.
	LastID string
}

// Feed takes bytes as they arrive and returns those up to the end of the last
// whole event. The result is valid until the next call.
func (e *EventParser) Feed(p []byte) []byte {
	e.rest = append(e.rest, p...)
	end := lastEventEnd(e.rest)
	if end < 0 {
		return nil
	}
	whole := e.rest[:end]
	e.note(whole)
	e.rest = bytes.Clone(e.rest[end:])
	return whole
}

// Remainder returns the bytes after the last whole event.
func (e *EventParser) Remainder() []byte { return e.rest }

// lastEventEnd returns the index after the last blank line, or -1.
func lastEventEnd(p []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(p, blank); i >= 0 && i+len(blank) > end {
			end = i + len(blank)
		}
	}
	return end
}

// note finds the last id among whole events.
func (e *EventParser) note(p []byte) {
	for line := range bytes.Lines(p) {
		if value, ok := field(line, "id"); ok {
			e.LastID = value
		}
	}
}

// field returns the value of a line's field, as the format of event streams
// defines it: one space after the colon doesn't count.
func field(line []byte, name string) (string, bool) {
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
		out   []string
		lines [][]byte
		has   bool
	)
	for line := range bytes.Lines(p) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if has {
				out = append(out, string(bytes.Join(lines, []byte("\n"))))
			}
			lines, has = nil, false
			continue
		}
		if value, ok := field(line, "data"); ok {
			lines, has = append(lines, []byte(value)), true
		}
	}
	return out
}
