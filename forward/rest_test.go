package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
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
		{"", "0", true},
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

// Guards against a response that is joined from two runs of a request whose rest no replica
// can be asked for.
func TestEventStreamOfAnIdempotentRouteIsNotJoinedFromTwoRuns(t *testing.T) {
	for name, broken := range map[string]io.Reader{
		"connection broken":   failAfter(events(1, 2), errBroken),
		"ends within event":   strings.NewReader(events(1, 2) + "id: 3\nda"),
		"something else":      strings.NewReader(events(1, 2) + answerHead),
		"larger than allowed": strings.NewReader(events(1, 2) + "data: " + strings.Repeat("x", maxPartialEventBytes+1)),
	} {
		t.Run(name, func(t *testing.T) {
			o := runScript(idempotent, 5, stream(broken), stream(strings.NewReader(events(1, 4))), stream(strings.NewReader(events(3, 4))))
			require.True(t, errors.Is(o.err, ErrTruncated), "%v", o.err)
			require.Equal(t, events(1, 2), o.sink.body.String())
			require.Len(t, o.upstream.sent, 1)
		})
	}
	o := runScript(idempotent, 5, stream(failAfter("id: 1\nda", errBroken)), stream(strings.NewReader(events(1, 4))))
	require.NoError(t, o.err, "nothing was sent before")
	require.Equal(t, events(1, 4), o.sink.body.String())
}

// Guards against a request that tells a replica of events which the route doesn't let it
// resume after; the caller's own header is passed on as it is.
func TestOnlyResumableRoutesAskForTheRestOfAStream(t *testing.T) {
	for _, rt := range []*route.Route{idempotent, atMostOnce, notResumable} {
		o := scriptResult{
			upstream: &fakeUpstream{attempts: []scriptedAttempt{stream(strings.NewReader(events(1, 2)))}},
			slots:    &fakeSlots{left: 5}, sink: &recordingSink{},
		}.runRequest(&Request{ID: "q", Route: rt, LastEventID: "7"})
		require.NoError(t, o.err)
		require.Empty(t, o.upstream.sent[0].LastEventID)
		require.Equal(t, events(1, 2), o.sink.body.String())
	}
}

// framed returns an attempt with the status, the content type and the framing.
func framed(code int, contentType string, framing pool.Framing, body string) scriptedAttempt {
	a := status(code, true)
	a.response.Header.Set("Content-Type", contentType)
	a.response.Framing, a.response.Body, a.response.Length = framing, strings.NewReader(body), -1
	return a
}

const eventStream = "text/event-stream"

// restRows are responses to a request for the events after event 2.
var restRows = []struct {
	name string
	// rest is the response, and isRest whether it is the rest of the stream.
	rest   func() scriptedAttempt
	isRest bool
	// status is what a caller that resumes the stream gets if nothing else is tried; zero
	// is an error of the host's own.
	status int
	body   string
}{
	{"rest in chunks", func() scriptedAttempt { return framed(200, eventStream, pool.FramingChunked, events(3, 4)) }, true, 200, events(3, 4)},
	{"rest with a length", func() scriptedAttempt { return framed(200, eventStream, pool.FramingLength, events(3, 4)) }, true, 200, events(3, 4)},
	{"media type with a parameter", func() scriptedAttempt {
		return framed(200, "Text/Event-Stream; charset=utf-8", pool.FramingChunked, events(3, 4))
	}, true, 200, events(3, 4)},
	{"empty in chunks", func() scriptedAttempt { return framed(200, eventStream, pool.FramingChunked, "") }, true, 200, ""},
	{"empty with a length", func() scriptedAttempt { return framed(200, eventStream, pool.FramingLength, "") }, true, 200, ""},
	{"empty with a length that is not reached", func() scriptedAttempt {
		a := framed(200, eventStream, pool.FramingLength, "")
		a.response.Body = failAfter("", io.ErrUnexpectedEOF)
		return a
	}, false, 0, ""},
	{"events from the start", func() scriptedAttempt { return framed(200, eventStream, pool.FramingChunked, events(1, 4)) }, false, 0, ""},
	{"event is skipped", func() scriptedAttempt { return framed(200, eventStream, pool.FramingChunked, events(4, 4)) }, false, 0, ""},
	{"event is repeated", func() scriptedAttempt { return framed(200, eventStream, pool.FramingChunked, events(2, 4)) }, false, 0, ""},
	{"another media type", func() scriptedAttempt { return framed(200, "text/plain", pool.FramingLength, events(3, 4)) }, false, 0, ""},
	{"longer media type", func() scriptedAttempt { return framed(200, eventStream+"ing", pool.FramingLength, events(3, 4)) }, false, 0, ""},
	{"no media type", func() scriptedAttempt { return framed(200, "", pool.FramingLength, events(3, 4)) }, false, 0, ""},
	{"status 204", func() scriptedAttempt { return framed(204, eventStream, pool.FramingLength, "") }, false, 0, ""},
	{"status 206", func() scriptedAttempt { return framed(206, eventStream, pool.FramingChunked, events(3, 4)) }, false, 0, ""},
	{"status 302", func() scriptedAttempt { return framed(302, "", pool.FramingLength, "moved") }, false, 302, "moved"},
	{"status 404", func() scriptedAttempt { return framed(404, "", pool.FramingLength, "none") }, false, 404, "none"},
	{"status 404 with events", func() scriptedAttempt { return framed(404, eventStream, pool.FramingChunked, events(3, 4)) }, false, 404, events(3, 4)},
	{"status 500", func() scriptedAttempt { return framed(500, "", pool.FramingLength, "failed") }, false, 500, "failed"},
	{"status 500 with events", func() scriptedAttempt { return framed(500, eventStream, pool.FramingChunked, events(3, 4)) }, false, 500, events(3, 4)},
	{"not signed", func() scriptedAttempt {
		a := framed(200, eventStream, pool.FramingChunked, events(3, 4))
		a.response.Verified = false
		return a
	}, false, 0, ""},
}

// Guards against a response that is not the rest of a begun stream and is passed on as such.
func TestOnlyTheRestIsAddedToABegunStream(t *testing.T) {
	for _, row := range restRows {
		t.Run(row.name, func(t *testing.T) {
			begun := func() scriptedAttempt { return stream(failAfter(events(1, 2), errBroken)) }
			o := runScript(resumable, 5, begun(), row.rest())
			require.Equal(t, row.isRest, o.err == nil, "%v", o.err)
			require.Equal(t, "2", o.upstream.sent[1].LastEventID)
			require.Equal(t, 200, o.sink.status)
			want := events(1, 2)
			if row.isRest {
				want += row.body
			} else {
				require.True(t, errors.Is(o.err, ErrTruncated), "%v", o.err)
			}
			require.Equal(t, want, o.sink.body.String())

			rt := *resumable
			rt.MaxAttempts = 3
			o = runScript(&rt, 5, begun(), row.rest(), stream(strings.NewReader(events(3, 4))))
			require.NoError(t, o.err)
			if !row.isRest {
				require.Equal(t, events(1, 4), o.sink.body.String())
			}
			if code := row.rest().response.Status; isSuccess(code) && !row.isRest {
				require.Equal(t, slots.Failed, o.slots.outcomes[1])
			}
		})
	}
}

// Guards against a success that is not the rest of the stream which a caller resumes.
func TestCallerThatResumesGetsOnlyTheRest(t *testing.T) {
	for _, row := range restRows {
		t.Run(row.name, func(t *testing.T) {
			rt := *resumable
			rt.MaxAttempts = 1
			resume := func(rt *route.Route, attempts ...scriptedAttempt) scriptResult {
				return scriptResult{
					upstream: &fakeUpstream{attempts: attempts}, slots: &fakeSlots{left: 5, version: "v1"}, sink: &recordingSink{},
				}.runRequest(&Request{ID: "q", Route: rt, LastEventID: "2", Resumes: "p"})
			}
			o := resume(&rt, row.rest())
			require.Equal(t, row.status != 0, o.err == nil, "%v", o.err)
			require.Equal(t, row.status, o.sink.status)
			require.Equal(t, row.body, o.sink.body.String())

			o = resume(resumable, row.rest(), stream(strings.NewReader(events(3, 4))))
			require.NoError(t, o.err)
			if row.status == 0 {
				require.Equal(t, events(3, 4), o.sink.body.String())
				require.Equal(t, "2", o.upstream.sent[1].LastEventID)
			}
		})
	}
}

// Guards against streams that are buffered to their end, and other responses that are taken
// for streams, because of how the media type is written.
func TestEventStreamIsToldByItsMediaType(t *testing.T) {
	for value, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream": true, "text/event-stream;charset=utf-8": true, "text/event-stream ; charset": true,
		"text/event-streaming": false, "text/plain": false, "": false,
	} {
		require.Equal(t, want, IsEventStream(http.Header{"Content-Type": {value}}), "%q", value)
	}
}
