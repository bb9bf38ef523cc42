package forward

import (
	"bytes"
	"cmp"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// IDRule is what an EventParser expects of the ids of events.
type IDRule int

// Values of IDRule.
const (
	// ConsecutiveIDs is the rule of streams that can be resumed: each event has an id,
	// which is the number after that of the event before.
	ConsecutiveIDs IDRule = iota
	// IncreasingIDs is the rule of streams that can't be resumed: an id that is a number
	// is larger than the one before it. Events without an id and with other ids are
	// accepted, as nobody asks for the rest of such a stream.
	IncreasingIDs
	// AnyIDs is the rule of event streams on routes that are not for streams.
	AnyIDs
)

// EventParser splits a stream of server-sent events (text/event-stream) at the
// boundaries of events, and checks that the input is events which follow those
// before. It takes input in pieces of any size.
//
// The lines between two blank lines are accepted if each is a comment, a field of the
// format (id, data, event, retry) or, before the id and the data, a line such as
// "x-weight-versions: 3", with a name of lowercase letters, digits and hyphens. They
// hold at most one id, and an id or data unless they are comments, event and retry
// fields only. The id obeys the IDRule. Anything else, such as the head of a response,
// is an error.
type EventParser struct {
	// IDs is the rule for the ids of events.
	IDs IDRule
	// After is the id of the event after which the present body is to go on; empty is
	// the beginning of the stream. It is used with ConsecutiveIDs only. If it is not a
	// number, the first event may have any number.
	After string
	// Unfinished bounds what this parser and others hold together; nil bounds nothing.
	// Release must be called after use if it is set.
	Unfinished *Unfinished

	// buf holds what was returned by the last call of Feed, up to start, and after it the
	// bytes of an event that is not complete. The first scanned bytes of these hold no end of
	// an event.
	buf            []byte
	start, scanned int
	share          unfinishedShare
	// received means that the present body has brought any byte.
	received bool
	// last is the number of the last event of the present body, if numbered is true.
	last     uint64
	numbered bool
	// FirstID is the id of the first event of the present body; empty if there was none.
	FirstID string
	// LastID is the last id field in a complete event; empty if there was none.
	LastID string
	// DataLines counts the data lines of all complete events. A stream that sends
	// other bytes only makes no progress.
	DataLines int
}

const (
	// maxPartialEventBytes bounds the bytes of one event.
	maxPartialEventBytes = 256 << 10
	// maxKeptBytes bounds the buffer that is kept from one read to the next without need.
	maxKeptBytes = 2 * relayBufferBytes
)

// Errors of the input of an EventParser.
var (
	errEventTooLarge   = errors.Newf("event is larger than %d bytes", maxPartialEventBytes)
	errEndsWithinEvent = errors.New("event stream ends within an event")
	errNoEvent         = errors.New("connection ends before the first event of a stream")
	errNotEvent        = errors.New("event stream holds something other than events")
	errEventID         = errors.New("event stream does not go on with the next event")
)

// Feed appends p to the input and returns the bytes up to the end of the last
// complete event, without those that it returned before. It returns nil if no
// event was completed. The result is valid until the next call.
//
// An error means that the input is not events that follow those before, or that an
// event is larger than maxPartialEventBytes or than Unfinished allows. The bytes returned with it are the events
// before the fault. The rest of the body is then not to be fed.
func (e *EventParser) Feed(p []byte) ([]byte, error) {
	e.received = e.received || len(p) > 0
	e.buf = append(e.discardReturned(), p...)
	end, err := e.recordEvents(e.buf[:lastEventEnd(e.buf, e.scanned)])
	e.start, e.scanned = end, len(e.buf)-end
	if err == nil {
		err = e.checkSize()
	}
	if end == 0 {
		return nil, err
	}
	return e.buf[:end:end], err
}

// checkSize returns an error if the event that is not complete is too large.
func (e *EventParser) checkSize() error {
	if e.scanned > maxPartialEventBytes {
		return errEventTooLarge
	}
	e.share.of = e.Unfinished
	return e.share.resize(e.scanned)
}

// Release discards a partial event.
func (e *EventParser) Release() {
	e.buf, e.start, e.scanned = nil, 0, 0
	e.share.release()
}

// discardReturned returns the buffer with the bytes of an event that is not complete only. One that
// a large event has left behind is not kept for small ones.
func (e *EventParser) discardReturned() []byte {
	if e.start == 0 {
		return e.buf
	}
	rest := e.buf[e.start:]
	if cap(e.buf) > maxKeptBytes && len(rest) < maxKeptBytes/2 {
		return bytes.Clone(rest)
	}
	return e.buf[:copy(e.buf, rest)]
}

// Remainder returns the input after the last complete event.
func (e *EventParser) Remainder() []byte { return e.buf[e.start:] }

// CheckEnd returns an error if a body that has ended is not a complete stream: it
// ends within an event, or it is close-delimited and empty. A resumed stream may
// be empty, if its last event was received before.
func (e *EventParser) CheckEnd(framing pool.Framing, resumed bool) error {
	if n := len(e.Remainder()); n > 0 {
		return errors.Wrapf(errEndsWithinEvent, "%d bytes of a partial event", n)
	}
	if framing == pool.FramingClose && !e.received && !resumed {
		return errNoEvent
	}
	return nil
}

// Reset discards a partial event and prepares for the next body of the stream, which
// is to go on after the event with the given id; empty is the beginning.
func (e *EventParser) Reset(after string) {
	e.After = after
	e.Release()
	e.received, e.FirstID = false, ""
	e.last, e.numbered = 0, false
}

// lastEventEnd returns the index after the last blank line in p that ends at or after the index
// from, or 0 if there is none. As the event stream format allows, lines end with LF or CRLF, in
// any mix.
func lastEventEnd(p []byte, from int) int {
	for end := len(p); ; {
		n := bytes.LastIndexByte(p[from:end], '\n')
		if n < 0 {
			return 0
		}
		end = from + n
		before := bytes.TrimSuffix(p[:end], []byte("\r"))
		if len(before) == 0 || bytes.HasSuffix(before, []byte("\n")) {
			return end + 1
		}
	}
}

// recordEvents checks and records the events in p, which ends with a blank line. It
// returns the index after the last event before the first fault.
func (e *EventParser) recordEvents(p []byte) (int, error) {
	var (
		b        block
		end, pos int
	)
	for line := range bytes.Lines(p) {
		pos += len(line)
		text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(text) > 0 {
			if err := b.add(text); err != nil {
				return end, err
			}
			continue
		}
		if err := e.record(&b); err != nil {
			return end, err
		}
		b, end = block{}, pos
	}
	return end, nil
}

// record checks and records the lines between two blank lines.
func (e *EventParser) record(b *block) error {
	if !b.hasID && b.dataLines == 0 {
		if b.other > 0 {
			return errors.Wrapf(errNotEvent, "%d lines without an id and without data", b.other)
		}
		return nil
	}
	if err := e.checkID(b); err != nil {
		return err
	}
	if b.hasID {
		e.LastID = b.id
		e.FirstID = cmp.Or(e.FirstID, b.id)
	}
	e.DataLines += b.dataLines
	return nil
}

// checkID checks the id of an event by the rule of the stream.
func (e *EventParser) checkID(b *block) error {
	if e.IDs == AnyIDs {
		return nil
	}
	n, err := strconv.ParseUint(b.id, 10, 64)
	if err != nil {
		if e.IDs == ConsecutiveIDs {
			return errors.Wrapf(errEventID, "id %q is not a number", b.id)
		}
		return nil
	}
	if !e.follows(n) {
		return errors.Wrapf(errEventID, "id %d after %q", n, e.previousID())
	}
	e.last, e.numbered = n, true
	return nil
}

// follows reports whether the number of an event may follow what came before. A stream
// begins with the number 0 or 1.
func (e *EventParser) follows(n uint64) bool {
	switch {
	case e.numbered && e.IDs == ConsecutiveIDs:
		return n == e.last+1
	case e.numbered:
		return n > e.last
	case e.IDs != ConsecutiveIDs:
		return true
	case e.After == "":
		return n <= 1
	}
	after, err := strconv.ParseUint(e.After, 10, 64)
	return err != nil || n > after && n-after == 1
}

// previousID returns the id of the event before the next one; empty is the beginning.
func (e *EventParser) previousID() string {
	if e.numbered {
		return strconv.FormatUint(e.last, 10)
	}
	return e.After
}

// block is what the lines between two blank lines hold.
type block struct {
	id        string
	hasID     bool
	dataLines int
	// other counts the lines that are no fields of the format.
	other int
}

// maxQuotedBytes bounds what an error quotes of a line.
const maxQuotedBytes = 80

// add adds a line without its end.
func (b *block) add(line []byte) error {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	id, isID := fieldValue(line, "id")
	switch {
	case isID && !b.hasID:
		b.id, b.hasID = id, true
	case isID:
		return errors.Wrapf(errNotEvent, "two ids in one event: %q and %q", b.id, quotable(id))
	case string(name) == "data":
		b.dataLines++
	case hasColon && len(name) == 0, string(name) == "event", string(name) == "retry":
	case hasColon && isLowerToken(name) && !b.hasID && b.dataLines == 0:
		b.other++
	default:
		return errors.Wrapf(errNotEvent, "line %q", quotable(string(line)))
	}
	return nil
}

func quotable(s string) string { return s[:min(len(s), maxQuotedBytes)] }

// isLowerToken reports whether the name consists of lowercase letters, digits and
// hyphens.
func isLowerToken(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// fieldValue returns the value of a line that holds the named field. As the
// event stream format defines, one space after the colon is not part of the
// value, and a line without a colon is a field without a value.
func fieldValue(line []byte, name string) (string, bool) {
	found, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	if string(found) != name {
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
