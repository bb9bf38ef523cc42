package forward

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// answerHead is the head of a response that another request's answer begins with.
const answerHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: other\r\n\r\n"

// Guards against bytes that follow events of a stream and are passed on without proof
// that they are its rest.
func TestBytesThatAreNotTheRestOfAStreamAreNotPassedOn(t *testing.T) {
	for name, wrong := range map[string]string{
		"events are skipped":             events(4, 5),
		"events are repeated":            events(2, 4),
		"stream begins again":            events(1, 4),
		"number goes back within a body": events(3, 3) + events(2, 4),
		"event without an id":            "data: e3\n\n",
		"id that is not a number":        "id: x\ndata: e3\n\n",
		"head of a response":             answerHead + events(3, 4),
		"text of an error":               "upstream failed\n\n",
		"JSON of an error":               "{\"error\": \"upstream failed\"}\n\n",
		"headers without a status line":  "content-type: text/event-stream\r\n\r\n" + events(3, 4),
		"two ids in one event":           "id: 3\nid: 4\ndata: e4\n\n",
		"head within an event":           "id: 3\ndata: e" + answerHead + events(3, 4),
	} {
		t.Run(name, func(t *testing.T) {
			for split, reader := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader} {
				rest := func(text string) scriptedAttempt { return stream(reader(strings.NewReader(text))) }
				rt := *resumable
				rt.MaxAttempts = 3
				next := 3
				if strings.HasPrefix(wrong, events(3, 3)) {
					next = 4
				}
				o := runScript(&rt, 5, stream(failAfter(events(1, 2), errBroken)), rest(wrong), rest(events(next, 5)))
				require.NoError(t, o.err, split)
				require.Equal(t, events(1, 5), o.sink.body.String(), split)
				require.Equal(t, []slots.Outcome{slots.Failed, slots.Failed, slots.Done}, o.slots.outcomes, split)

				o = runScript(resumable, 5, rest(events(1, 2)+wrong), rest(wrong))
				require.True(t, errors.Is(o.err, ErrTruncated), "%s: %v", split, o.err)
			}
		})
	}
}

// Guards against events that are lost with the bytes after them in the same read.
func TestEventsBeforeAFaultAreDelivered(t *testing.T) {
	for name, rt := range map[string]*route.Route{"resumable": resumable, "not resumable": notResumable} {
		t.Run(name, func(t *testing.T) {
			o := runScript(rt, 1, stream(strings.NewReader(events(1, 2)+answerHead+events(1, 2))))
			require.True(t, errors.Is(o.err, ErrTruncated), "%v", o.err)
			require.Equal(t, events(1, 2), o.sink.body.String())
		})
	}
}

// Guards against a stream that goes on after events which its caller was never sent.
func TestEventsOfAStalledReadAreSentBeforeTheStreamIsResumed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	body := &slowReader{clock: clock, interval: 2 * resumable.MaxGap, pieces: []string{"id: 1\n\n", "id: 2\n\n", ""}}
	upstream := &fakeUpstream{attempts: []scriptedAttempt{stream(body), stream(strings.NewReader(events(2, 3)))}}
	o := scriptResult{upstream: upstream, slots: &fakeSlots{left: 5}, sink: &recordingSink{}, clock: clock}.run(resumable)
	require.NoError(t, o.err)
	require.Equal(t, "1", o.upstream.sent[1].LastEventID)
	require.Equal(t, "id: 1\n\n"+events(2, 3), o.sink.body.String())
}

// Guards against well-formed streams that are broken off because nobody can resume them.
func TestStreamThatCannotBeResumedNeedsNoNumbers(t *testing.T) {
	rows := []struct {
		name, text string
		rt         *route.Route
		complete   bool
	}{
		{"no ids", "data: a\n\ndata: b\n\n", notResumable, true},
		{"other ids", "id: a\ndata: a\n\nid\ndata: b\n\n", notResumable, true},
		{"numbers with gaps", events(3, 4) + events(9, 9), notResumable, true},
		{"number goes back", events(1, 3) + events(1, 3), notResumable, false},
		{"number goes back on a route that is not for streams", events(1, 3) + events(1, 3), idempotent, true},
		{"head on a route that is not for streams", events(1, 3) + answerHead, idempotent, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := runScript(row.rt, 1, stream(strings.NewReader(row.text)))
			require.Equal(t, row.complete, o.err == nil, "%v", o.err)
			if row.complete {
				require.Equal(t, row.text, o.sink.body.String())
			}
		})
	}
}

// Guards against streams that are broken off although the format allows their lines.
func TestEventParserAcceptsLinesOfTheFormat(t *testing.T) {
	text := ": ping\n\nevent: ping\n\nretry: 100\n\nx-weight-versions: 3\r\nid: 8\r\nevent: token\r\ndata: a\r\ndata: b\r\n\r\n: end\n\n\nid:9\ndata\n\n"
	for i := range len(text) {
		e := EventParser{After: "7"}
		require.Equal(t, text, feed(t, &e, text[:i])+feed(t, &e, text[i:]), "split at %d", i)
		require.Equal(t, "8", e.FirstID)
		require.Equal(t, "9", e.LastID)
		require.Equal(t, 3, e.DataLines)
	}
}

// Guards against a first event that is not the next one of the stream.
func TestEventParserChecksTheFirstEvent(t *testing.T) {
	rows := []struct {
		after, first string
		accepted     bool
	}{
		{"", "1", true},
		{"", "0", false},
		{"", "2", false},
		{"7", "8", true},
		{"7", "7", false},
		{"7", "9", false},
		{"7", "1", false},
		{"x", "5", true},
		{"7", "x", false},
		{"7", "-8", false},
		{"7", "8.0", false},
		{"7", "", false},
	}
	for _, row := range rows {
		var e EventParser
		e.Reset(row.after)
		complete, err := e.Feed([]byte("id: " + row.first + "\ndata: x\n\n"))
		require.Equal(t, row.accepted, err == nil, "%+v: %v", row, err)
		require.Equal(t, row.accepted, len(complete) > 0, "%+v", row)
		if row.accepted {
			require.Equal(t, row.first, e.FirstID)
			require.Equal(t, row.first, e.LastID)
			continue
		}
		require.Empty(t, e.LastID)
	}
}
