package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// scriptedAttempt is how a replica reacts to one attempt.
type scriptedAttempt struct {
	err      error
	response *Response
}

// fakeUpstream plays its attempts in order, the last one again and again, and
// records what was sent.
type fakeUpstream struct {
	attempts []scriptedAttempt
	sent     []SendArgs
	// onSend is called with the arguments of each attempt; it may be nil.
	onSend func(SendArgs)
}

func (f *fakeUpstream) Send(_ context.Context, _ *Request, s SendArgs) (*Response, error) {
	f.sent = append(f.sent, s)
	if f.onSend != nil {
		f.onSend(s)
	}
	t := f.attempts[min(len(f.sent), len(f.attempts))-1]
	if t.err != nil {
		return nil, t.err
	}
	a := *t.response
	a.Close = func() {}
	return &a, nil
}

// fakeSlots grants a slot at a new replica each time, until none is left.
type fakeSlots struct {
	// returned is the number of tokens that were returned.
	returned int
	left     int
	acquires []slots.AcquireArgs
	waits    []time.Duration
	outcomes []slots.Outcome
	// version and versionErr are what StreamVersion returns.
	version    string
	versionErr error
	began      []beganStream
	runs       []slots.Run
}

type beganStream struct {
	stream, softwareVersion string
	firstAttempt            bool
}

func (f *fakeSlots) Acquire(_ context.Context, args slots.AcquireArgs, wait time.Duration) (slots.Grant, error) {
	f.acquires = append(f.acquires, args)
	f.waits = append(f.waits, wait)
	if f.left == 0 {
		return slots.Grant{}, &slots.RefusedError{RetryAfter: 700 * time.Millisecond}
	}
	f.left--
	id := fmt.Sprintf("r%d", len(f.acquires))
	return slots.Grant{Replica: replica.Replica{ID: id, SoftwareVersion: "version of " + id}}, nil
}

func (f *fakeSlots) StreamVersion(context.Context, string, string) (string, error) {
	return f.version, f.versionErr
}

func (f *fakeSlots) StreamBegan(stream string, g slots.Grant, firstAttempt bool) {
	f.began = append(f.began, beganStream{stream, g.Replica.SoftwareVersion, firstAttempt})
}

func (f *fakeSlots) Release(g slots.Grant, o slots.Outcome) {
	f.outcomes = append(f.outcomes, o)
	f.runs = append(f.runs, g.Run)
}

func (f *fakeSlots) ReturnToken(slots.Grant) { f.returned++ }

// recordingSink records what is sent to the caller.
type recordingSink struct {
	begun  int
	status int
	body   bytes.Buffer
	err    error
}

func (r *recordingSink) Begin(status int, _ http.Header, _ int64) { r.begun++; r.status = status }

func (r *recordingSink) Write(p []byte) error {
	r.body.Write(p)
	return r.err
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// failAfter returns a reader of body that ends with err.
func failAfter(body string, err error) io.Reader {
	return io.MultiReader(strings.NewReader(body), errorReader{err})
}

type errorReader struct{ err error }

func (f errorReader) Read([]byte) (int, error) { return 0, f.err }

func ok(body io.Reader) scriptedAttempt {
	return scriptedAttempt{response: &Response{Status: http.StatusOK, Verified: true, Length: -1, Body: body, Header: http.Header{}}}
}

func stream(body io.Reader) scriptedAttempt {
	t := ok(body)
	t.response.Header.Set("Content-Type", "text/event-stream")
	return t
}

func status(code int, verified bool) scriptedAttempt {
	return scriptedAttempt{response: &Response{Status: code, Verified: verified, Body: strings.NewReader(""), Header: http.Header{}}}
}

func notRun(code int) scriptedAttempt {
	t := status(code, false)
	t.response.NotRun = true
	t.response.Misdirected = code == http.StatusMisdirectedRequest
	return t
}

var (
	errDial   = errors.Mark(errors.Mark(errors.New("refused"), pool.ErrConnect), pool.ErrNotSent)
	errLeaves = errors.Mark(ErrReplicaLeaving, pool.ErrNotSent)
	errBroken = errors.Mark(errors.New("reset"), pool.ErrBroken)
	errSilent = errors.Mark(errors.New("silent"), pool.ErrSilent)
)

var (
	idempotent   = &route.Route{Kind: route.Idempotent, MaxAttempts: 2, Objective: time.Second}
	atMostOnce   = &route.Route{Kind: route.AtMostOnce, MaxAttempts: 2, Objective: time.Second}
	resumable    = &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2, Objective: time.Second, MaxGap: time.Second}
	notResumable = &route.Route{Kind: route.Stream, MaxAttempts: 2, Objective: time.Second}
)

type scriptResult struct {
	upstream *fakeUpstream
	slots    *fakeSlots
	sink     *recordingSink
	// clock is a real one if it is nil.
	clock clockwork.Clock
	err   error
}

func runScript(rt *route.Route, replicas int, attempts ...scriptedAttempt) scriptResult {
	o := scriptResult{upstream: &fakeUpstream{attempts: attempts}, slots: &fakeSlots{left: replicas}, sink: &recordingSink{}}
	return o.run(rt)
}

func (o scriptResult) run(rt *route.Route) scriptResult {
	return o.runRequest(&Request{ID: "q", Route: rt})
}

func (o scriptResult) runRequest(req *Request) scriptResult {
	if o.clock == nil {
		o.clock = clockwork.NewRealClock()
	}
	r := newRunner(o.slots, o.upstream)
	r.Clock = o.clock
	req.Arrived = o.clock.Now()
	req.Deadline = req.Arrived.Add(time.Minute)
	o.err = r.Run(context.Background(), req, o.sink)
	return o
}

// newRunner returns a Runner with a real clock.
func newRunner(s SlotClient, upstream Upstream) *Runner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Runner{
		Slots: s, Upstream: upstream, Clock: clockwork.NewRealClock(), Log: logrus.NewEntry(log),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
}

// newRequest returns a request that goes on after the event with the given id; empty is
// the beginning.
func newRequest(rt *route.Route, after string) *Request {
	req := &Request{ID: "q", Route: rt, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), LastEventID: after}
	if after != "" {
		req.Resumes = "p"
	}
	return req
}

// Each row scripts the replicas' reactions and states what the caller gets.
// Field sent is the number of attempts.
func TestRunReturnsResponseOrVerdict(t *testing.T) {
	rows := []struct {
		name     string
		route    *route.Route
		replicas int
		attempts []scriptedAttempt
		sent     int
		status   int
		body     string
		verdict  verdict.Verdict
		code     verdict.Code
	}{
		{"answered", atMostOnce, 5, []scriptedAttempt{ok(strings.NewReader("x"))}, 1, 200, "x", 0, ""},
		{"status 500 is relayed if it can't be retried", atMostOnce, 5, []scriptedAttempt{status(500, true)}, 1, 500, "", 0, ""},
		{"idempotent, status 500 then answered", idempotent, 5, []scriptedAttempt{status(500, true), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"idempotent, status 500 from each replica", idempotent, 5, []scriptedAttempt{status(500, true)}, 2, 500, "", 0, ""},
		{"not run by one replica", atMostOnce, 5, []scriptedAttempt{notRun(503), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"misdirected to another replica", atMostOnce, 5, []scriptedAttempt{notRun(421), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"not run by any replica", atMostOnce, 9, []scriptedAttempt{notRun(503)}, maxNotRunAttempts, 0, "", verdict.NotRun, verdict.CodeUpstreamFailed},
		{"no connection, then answered", atMostOnce, 5, []scriptedAttempt{{err: errDial}, ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"no slot", atMostOnce, 0, nil, 0, 0, "", verdict.NotRun, verdict.CodeNoUpstream},
		{"not run, then no slot", atMostOnce, 1, []scriptedAttempt{notRun(503)}, 1, 0, "", verdict.NotRun, verdict.CodeNoUpstream},
		{"at most once, connection broken", atMostOnce, 5, []scriptedAttempt{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, response timed out", atMostOnce, 5, []scriptedAttempt{{err: errSilent}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, body truncated", atMostOnce, 5, []scriptedAttempt{ok(failAfter("x", errBroken))}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, not signed", atMostOnce, 5, []scriptedAttempt{status(200, false)}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"idempotent, connection broken then answered", idempotent, 5, []scriptedAttempt{{err: errBroken}, ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"idempotent, body truncated then answered", idempotent, 5, []scriptedAttempt{ok(failAfter("x", errBroken)), ok(strings.NewReader("xy"))}, 2, 200, "xy", 0, ""},
		{"idempotent, connection broken at each replica", idempotent, 5, []scriptedAttempt{{err: errBroken}}, 2, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"idempotent, may have run, then no slot", idempotent, 1, []scriptedAttempt{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"stream", notResumable, 5, []scriptedAttempt{stream(strings.NewReader(events(1, 3)))}, 1, 200, events(1, 3), 0, ""},
		{"stream that can't be resumed, connection broken before its start", notResumable, 5, []scriptedAttempt{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"stream resumes after the last complete event", resumable, 5, []scriptedAttempt{stream(failAfter(events(1, 2)+"id: 3\nda", errBroken)), stream(strings.NewReader(events(3, 4)))}, 2, 200, events(1, 4), 0, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := runScript(row.route, row.replicas, row.attempts...)
			require.Len(t, o.upstream.sent, row.sent)
			require.Equal(t, row.status, o.sink.status)
			require.Equal(t, row.body, o.sink.body.String())
			require.LessOrEqual(t, o.sink.begun, 1)
			if row.code == "" {
				require.NoError(t, o.err)
				return
			}
			e := verdict.As(o.err)
			require.Equal(t, row.verdict, e.Verdict)
			require.Equal(t, row.code, e.Code)
			require.Positive(t, e.RetryAfter)
		})
	}
}

// A response that is larger than what is buffered has run; another replica would only
// run the request again.
func TestTooLargeResponseIsNotRepeated(t *testing.T) {
	o := runScript(idempotent, 5, ok(strings.NewReader(strings.Repeat("x", maxResponseBytes+1))))
	require.True(t, errors.Is(o.err, ErrTruncated))
	require.Len(t, o.upstream.sent, 1)
	require.Equal(t, verdict.Ran, verdict.Of(o.err))
	require.Equal(t, verdict.CodeIncomplete, verdict.As(o.err).Code)
}

// The grants of slots may be older than the word that their replicas leave.
func TestRequestIsPlacedElsewhereIfItsReplicaLeaves(t *testing.T) {
	o := runScript(atMostOnce, 5, scriptedAttempt{err: errLeaves}, ok(strings.NewReader("x")))
	require.NoError(t, o.err)
	require.Equal(t, "x", o.sink.body.String())
	require.Equal(t, []string{"r1"}, o.slots.acquires[1].Avoid)
	require.Equal(t, slots.Unused, o.slots.outcomes[0])
}

func TestReplicaThatGotNothingIsNotTakenForALeavingOne(t *testing.T) {
	notSent := errors.Mark(errors.New("closed"), pool.ErrNotSent)
	require.False(t, errors.Is(notSent, ErrReplicaLeaving))
	o := runScript(atMostOnce, 5, scriptedAttempt{err: notSent}, ok(strings.NewReader("x")))
	require.NoError(t, o.err)
	require.Empty(t, o.slots.acquires[1].Avoid)
	require.Equal(t, slots.Unused, o.slots.outcomes[0])
}

func TestTruncatedStreamReturnsErrTruncated(t *testing.T) {
	for name, o := range map[string]scriptResult{
		"can't be resumed":        runScript(notResumable, 5, stream(failAfter(events(1, 2), errBroken))),
		"truncated twice":         runScript(resumable, 5, stream(failAfter(events(1, 2), errBroken)), stream(failAfter(events(3, 3), errBroken))),
		"status 503 when resumed": runScript(resumable, 5, stream(failAfter(events(1, 2), errBroken)), status(503, true)),
		"no slot to resume":       runScript(resumable, 1, stream(failAfter(events(1, 2), errBroken))),
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, errors.Is(o.err, ErrTruncated), "%v", o.err)
			require.LessOrEqual(t, len(o.upstream.sent), 2)
		})
	}
}

// endlessReader returns its text again and again, until limit bytes were read.
type endlessReader struct {
	text        string
	read, limit int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, r.text)
	r.read += n
	return n, nil
}

func TestEndlessBytesAreNeitherKeptNorComplete(t *testing.T) {
	const limit = 256 << 20
	rows := []struct {
		name     string
		attempt  func(io.Reader) scriptedAttempt
		text     string
		maxRead  int
		maxHeld  int
		complete bool
	}{
		{"partial event", stream, strings.Repeat("data: x", 1000), maxPartialEventBytes + relayBufferBytes, 0, false},
		{"body", ok, strings.Repeat("x", 4000), maxResponseBytes + relayBufferBytes, maxResponseBytes, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			body := &endlessReader{text: row.text, limit: limit}
			o := runScript(notResumable, 5, row.attempt(body))
			require.Error(t, o.err)
			require.LessOrEqual(t, body.read, row.maxRead)
			require.LessOrEqual(t, o.sink.body.Len(), row.maxHeld)
		})
	}
}

func TestEndlessEventIsResumedOnAnotherReplica(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(events(1, 2)), &endlessReader{text: strings.Repeat("data: x", 1000), limit: 256 << 20})
	o := runScript(resumable, 5, stream(endless), stream(strings.NewReader(events(3, 4))))
	require.NoError(t, o.err)
	require.Equal(t, events(1, 4), o.sink.body.String())
}

// The part that is buffered for a retry is small; a larger response is passed on as it
// arrives.
func TestLargeResponseIsRelayedWhole(t *testing.T) {
	text := strings.Repeat("x", 3*maxBufferedBytes+1)
	o := runScript(idempotent, 5, ok(strings.NewReader(text)))
	require.NoError(t, o.err)
	require.Equal(t, text, o.sink.body.String())
	require.Len(t, o.upstream.sent, 1)
}

// A body without length or chunks ends with its connection, also when the replica fails.
func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	const partial = "id: 3\nda"
	rows := []struct {
		name     string
		route    *route.Route
		attempts []scriptedAttempt
		sent     int
		body     string
		complete bool
	}{
		{"resumed", resumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2) + partial)), stream(strings.NewReader(events(3, 4)))}, 2, events(1, 4), true},
		{"resumed from the start", resumable, []scriptedAttempt{stream(strings.NewReader("id: 1")), stream(strings.NewReader(events(1, 2)))}, 2, events(1, 2), true},
		{"before its blank line", resumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2) + "id: 3\ndata: e3\n")), stream(strings.NewReader(events(3, 4)))}, 2, events(1, 4), true},
		{"at each replica", resumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2) + partial)), stream(strings.NewReader(partial))}, 2, events(1, 2), false},
		{"can't be resumed", notResumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2) + partial))}, 1, events(1, 2), false},
		{"can't be resumed, first event", notResumable, []scriptedAttempt{stream(strings.NewReader("id: 1"))}, 1, "", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := runScript(row.route, 5, row.attempts...)
			require.Equal(t, row.complete, o.err == nil, "%v", o.err)
			require.Equal(t, row.body, o.sink.body.String())
			require.Len(t, o.upstream.sent, row.sent)
			require.Equal(t, slots.Failed, o.slots.outcomes[0])
		})
	}
}

func TestStreamWhoseSoftwareVersionIsNotKnownIsNotResumed(t *testing.T) {
	o := scriptResult{upstream: &fakeUpstream{}, slots: &fakeSlots{left: 5, versionErr: slots.ErrVersionUnknown}, sink: &recordingSink{}}
	o = o.runRequest(&Request{ID: "q", Route: resumable, LastEventID: "3", Resumes: "p"})
	require.Equal(t, verdict.NotRun, verdict.Of(o.err))
	require.Empty(t, o.upstream.sent)
	require.Empty(t, o.slots.acquires)
}

// The service is chosen by the request that began the stream, which this caller doesn't name.
func TestStreamOfAnUnknownServiceOfASplitRouteIsNotResumed(t *testing.T) {
	split := *resumable
	split.Targets = []route.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	resume := func(origin string) scriptResult {
		rest := stream(strings.NewReader(events(4, 5)))
		o := scriptResult{upstream: &fakeUpstream{attempts: []scriptedAttempt{rest}}, slots: &fakeSlots{left: 5}, sink: &recordingSink{}}
		return o.runRequest(&Request{ID: "q", Route: &split, LastEventID: "3", Resumes: origin})
	}
	refused := resume("")
	require.Error(t, refused.err)
	require.Equal(t, verdict.NotRun, verdict.Of(refused.err))
	require.Empty(t, refused.upstream.sent)
	require.NoError(t, resume("p").err)
	split.Targets[1].Service = "a"
	require.NoError(t, resume("").err)
}

func TestResumedStreamIsPinnedToItsSoftwareVersion(t *testing.T) {
	o := scriptResult{
		upstream: &fakeUpstream{attempts: []scriptedAttempt{notRun(503), stream(failAfter(events(4, 5), errBroken)), stream(strings.NewReader(events(6, 6)))}},
		slots:    &fakeSlots{left: 5, version: "v1"}, sink: &recordingSink{},
	}.runRequest(&Request{ID: "q", Route: resumable, LastEventID: "3", Resumes: "p"})
	require.NoError(t, o.err)
	require.Len(t, o.slots.acquires, 3)
	for _, args := range o.slots.acquires {
		require.True(t, args.Pinned)
		require.Equal(t, "v1", args.SoftwareVersion)
		require.Equal(t, "p", args.Stream)
		require.Equal(t, -1, args.Priority, "it comes before requests whose callers have received nothing yet")
	}
	require.Empty(t, o.slots.began, "the stream began with another request")
}

func TestBeganStreamIsReported(t *testing.T) {
	rows := []struct {
		name     string
		route    *route.Route
		attempts []scriptedAttempt
		began    []beganStream
	}{
		{"first attempt", resumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2)))}, []beganStream{{"q", "version of r1", true}}},
		{"second attempt", resumable, []scriptedAttempt{{err: errBroken}, stream(strings.NewReader(events(1, 2)))}, []beganStream{{"q", "version of r2", false}}},
		{"resumed", resumable, []scriptedAttempt{stream(failAfter(events(1, 1), errBroken)), stream(strings.NewReader(events(2, 2)))}, []beganStream{{"q", "version of r1", true}}},
		{"can't be resumed", notResumable, []scriptedAttempt{stream(strings.NewReader(events(1, 2)))}, nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.began, runScript(row.route, 5, row.attempts...).slots.began)
		})
	}
}

func TestResumedStreamAvoidsFailedReplicaAndIsQueuedFirst(t *testing.T) {
	o := runScript(resumable, 5, stream(failAfter(events(1, 2), errSilent)), stream(strings.NewReader(events(3, 3))))
	require.NoError(t, o.err)
	require.Equal(t, "2", o.upstream.sent[1].LastEventID)
	require.Equal(t, []string{"r1"}, o.slots.acquires[1].Avoid)
	require.Equal(t, -1, o.slots.acquires[1].Priority)
	require.Equal(t, []slots.Outcome{slots.Unreachable, slots.Done}, o.slots.outcomes)
}

// silentReader pauses after its first part: it asks whether to give the attempt up,
// as a connection does, and goes on if not.
type silentReader struct {
	io.Reader
	pauses int
	giveUp func() bool
	rest   io.Reader
}

func (r *silentReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 || r.rest == nil {
		return n, err
	}
	for range r.pauses {
		if r.giveUp == nil || r.giveUp() {
			return 0, errSilent
		}
	}
	r.Reader, r.rest = r.rest, nil
	return r.Reader.Read(p)
}

// A replica pauses within a stream while no other has a free slot. The stream must
// not be given up: it could not be continued anywhere.
func TestPausingStreamIsKeptUntilAnotherReplicaIsFree(t *testing.T) {
	for _, row := range []struct {
		name           string
		replicas, sent int
		outcomes       []slots.Outcome
	}{
		{"no free slot", 1, 1, []slots.Outcome{slots.Done}},
		{"a free slot", 2, 2, []slots.Outcome{slots.Unreachable, slots.Done}},
	} {
		t.Run(row.name, func(t *testing.T) {
			body := &silentReader{Reader: strings.NewReader(events(1, 2)), pauses: 2, rest: strings.NewReader(events(3, 4))}
			upstream := &fakeUpstream{attempts: []scriptedAttempt{stream(body), stream(strings.NewReader(events(3, 4)))}}
			upstream.onSend = func(args SendArgs) { body.giveUp = args.GiveUp }
			o := scriptResult{upstream: upstream, slots: &fakeSlots{left: row.replicas}, sink: &recordingSink{}}.run(resumable)
			require.NoError(t, o.err)
			require.Equal(t, events(1, 4), o.sink.body.String())
			require.Len(t, o.upstream.sent, row.sent)
			require.Equal(t, row.outcomes, o.slots.outcomes)
		})
	}
}

// slowReader reads pieces, one in each interval, and the last one again and again.
type slowReader struct {
	clock    *clockwork.FakeClock
	interval time.Duration
	pieces   []string
	reads    int
}

// maxSlowReads bounds the reads of a stream that should have ended.
const maxSlowReads = 1000

func (r *slowReader) Read(p []byte) (int, error) {
	if r.reads++; r.reads > maxSlowReads || len(r.pieces) == 0 {
		return 0, io.EOF
	}
	r.clock.Advance(r.interval)
	n := copy(p, r.pieces[0])
	if len(r.pieces) > 1 || r.pieces[0] == "" {
		r.pieces = r.pieces[1:]
	}
	return n, nil
}

func TestStreamThatSendsBytesButNoEventsIsResumed(t *testing.T) {
	for name, piece := range map[string]string{"partial event": "d", "comments": ": wait\n\n"} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			body := &slowReader{clock: clock, interval: resumable.MaxGap / 4, pieces: []string{events(1, 2), piece}}
			upstream := &fakeUpstream{attempts: []scriptedAttempt{stream(body), stream(strings.NewReader(events(3, 4)))}}
			o := scriptResult{upstream: upstream, slots: &fakeSlots{left: 5}, sink: &recordingSink{}, clock: clock}.run(resumable)
			require.NoError(t, o.err)
			require.Equal(t, events(1, 4), strings.ReplaceAll(o.sink.body.String(), ": wait\n\n", ""))
			require.Less(t, body.reads, 10)
		})
	}
}

func TestSlowStreamIsNotGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var pieces []string
	for n := range 12 {
		event := events(n+1, n+1)
		pieces = append(pieces, event[:5], event[5:9], event[9:])
	}
	body := &slowReader{clock: clock, interval: resumable.MaxGap * 3 / 10, pieces: append(pieces, "")}
	o := scriptResult{upstream: &fakeUpstream{attempts: []scriptedAttempt{stream(body)}}, slots: &fakeSlots{left: 5}, sink: &recordingSink{}, clock: clock}.run(resumable)
	require.NoError(t, o.err)
	require.Equal(t, events(1, 12), o.sink.body.String())
	require.Len(t, o.upstream.sent, 1)
}

func TestResponseTimeoutsAreSetOnlyIfARetryIsPossible(t *testing.T) {
	o := runScript(resumable, 5, stream(failAfter(events(1, 1), errBroken)), stream(strings.NewReader(events(2, 2))))
	require.NotZero(t, o.upstream.sent[0].FirstByteTimeout)
	require.NotZero(t, o.upstream.sent[0].GapTimeout)
	require.Zero(t, o.upstream.sent[1].FirstByteTimeout, "the last attempt has no time-out")
	require.Zero(t, runScript(notResumable, 5, stream(strings.NewReader(""))).upstream.sent[0].FirstByteTimeout)
}

// A replica that fails after the headers ends such a stream like a complete one.
func TestCloseDelimitedStreamWithoutEventsIsNotComplete(t *testing.T) {
	empty := func() scriptedAttempt {
		a := stream(strings.NewReader(""))
		a.response.Framing = pool.FramingClose
		return a
	}
	o := runScript(resumable, 5, empty(), stream(strings.NewReader(events(1, 2))))
	require.NoError(t, o.err)
	require.Equal(t, events(1, 2), o.sink.body.String())

	o = runScript(notResumable, 5, empty())
	require.Error(t, o.err)
	require.Zero(t, o.sink.begun)

	o = runScript(resumable, 5, stream(failAfter(events(1, 2), errBroken)), empty())
	require.True(t, errors.Is(o.err, ErrTruncated), "nothing shows that event 2 was the last: %v", o.err)
	require.Equal(t, events(1, 2), o.sink.body.String())
}

// The caller of a stream without events still gets the replica's status and
// headers.
func TestEmptyStreamIsRelayed(t *testing.T) {
	o := runScript(notResumable, 5, stream(strings.NewReader("")))
	require.NoError(t, o.err)
	require.Equal(t, 1, o.sink.begun)
	require.Equal(t, http.StatusOK, o.sink.status)
}

func TestCallerDisconnectEndsTheRequest(t *testing.T) {
	o := scriptResult{
		upstream: &fakeUpstream{attempts: []scriptedAttempt{stream(strings.NewReader(events(1, 3)))}},
		slots:    &fakeSlots{left: 5}, sink: &recordingSink{err: errors.New("closed")},
	}.run(resumable)
	require.Error(t, o.err)
	require.Len(t, o.upstream.sent, 1)
}

func feed(t *testing.T, e *EventParser, text string) string {
	complete, err := e.Feed([]byte(text))
	require.NoError(t, err)
	return string(complete)
}

func TestEventParserAcceptsAnySplit(t *testing.T) {
	text := events(1, 3)
	for i := range len(text) {
		var e EventParser
		var out string
		out += feed(t, &e, text[:i])
		out += feed(t, &e, text[i:])
		require.Equal(t, text, out, "split at %d", i)
		require.Equal(t, "3", e.LastID)
		require.Empty(t, e.Remainder())
	}
}

func TestLargeResponseThatEndsEarlyIsReported(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	o := runScript(idempotent, 5, ok(failAfter(large, errBroken)))
	require.True(t, errors.Is(o.err, ErrTruncated))
	require.Len(t, o.upstream.sent, 1, "part of it was sent")
	require.Equal(t, []slots.Outcome{slots.Failed}, o.slots.outcomes)

	o = scriptResult{
		upstream: &fakeUpstream{attempts: []scriptedAttempt{ok(strings.NewReader(large))}},
		slots:    &fakeSlots{left: 5}, sink: &recordingSink{err: errors.New("closed")},
	}.run(idempotent)
	require.Error(t, o.err)
	require.Equal(t, []slots.Outcome{slots.Done}, o.slots.outcomes, "the caller left")
}

func TestEventParserAcceptsAnyMixOfLineEnds(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\n", "id: 1\ndata: x\n\r\n", "id: 1\r\ndata: x\r\n\n",
		"\nid: 1\ndata: x\n\n\n", "id: 1\ndata: x\n\n\r\n",
	} {
		for i := range len(text) {
			var e EventParser
			out := feed(t, &e, text[:i])
			out += feed(t, &e, text[i:])
			require.Equal(t, text, out, "split at %d", i)
			require.Equal(t, "1", e.LastID)
			require.NoError(t, e.CheckEnd(pool.FramingClose, false))
		}
	}
}

func TestEventData(t *testing.T) {
	require.Equal(t, []string{"a\nb", "", "c"}, EventData([]byte("id: 1\ndata: a\ndata: b\n\nid: 2\ndata:\n\n: note\n\r\ndata:c\r\n\r\n")))
}

// The broker learns from this how fast each replica is.
func TestReleaseTellsWhatWasObservedOfTheStream(t *testing.T) {
	o := runScript(resumable, 5, stream(iotest.OneByteReader(strings.NewReader(events(1, 6)))))
	require.NoError(t, o.err)
	require.Len(t, o.slots.runs, 1)
	require.Equal(t, 5, o.slots.runs[0].Events)
	require.Positive(t, o.slots.runs[0].FirstEvent)
	require.Positive(t, o.slots.runs[0].Duration)
}

// slowSink is a caller that takes a time to accept its first piece.
type slowSink struct {
	recordingSink
	clock *clockwork.FakeClock
	delay time.Duration
}

func (s *slowSink) Write(p []byte) error {
	s.clock.Advance(s.delay)
	s.delay = 0
	return s.recordingSink.Write(p)
}

// A replica cuts off a response that a slow caller leaves unread. That must not count as
// a failure of the replica, and the caller still gets the rest.
func TestSlowCallerDoesNotCountAgainstTheReplica(t *testing.T) {
	for delay, want := range map[time.Duration]slots.Outcome{slowCallerWrite: slots.Unused, slowCallerWrite / 4: slots.Failed} {
		clock := clockwork.NewFakeClock()
		sink := &slowSink{clock: clock, delay: delay}
		o := &fakeSlots{left: 5}
		log := logrus.New()
		log.SetOutput(io.Discard)
		upstream := &fakeUpstream{attempts: []scriptedAttempt{stream(failAfter(events(1, 2), errBroken)), stream(strings.NewReader(events(3, 4)))}}
		r := &Runner{Slots: o, Upstream: upstream, Clock: clock, Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry())}
		err := r.Run(t.Context(), &Request{ID: "q", Route: resumable, Arrived: clock.Now(), Deadline: time.Now().Add(time.Hour)}, sink)
		require.NoError(t, err)
		require.Equal(t, events(1, 4), sink.body.String())
		require.Equal(t, []slots.Outcome{want, slots.Done}, o.outcomes)
	}
}
