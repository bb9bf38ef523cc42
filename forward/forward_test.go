package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
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

// try is what a replica does with one attempt.
type try struct {
	err    error
	answer *Response
}

// fakeUpstream plays tries in turn and notes what was sent.
type fakeUpstream struct {
	tries []try
	sent  []SendArgs
}

func (f *fakeUpstream) Send(_ context.Context, _ *Request, s SendArgs) (*Response, error) {
	f.sent = append(f.sent, s)
	t := f.tries[min(len(f.sent), len(f.tries))-1]
	if t.err != nil {
		return nil, t.err
	}
	a := *t.answer
	a.Close = func() {}
	return &a, nil
}

// fakePlaces gives a new replica each time, until none is left.
type fakePlaces struct {
	left     int
	asks     []slots.AcquireArgs
	outcomes []slots.Outcome
}

func (f *fakePlaces) Acquire(_ context.Context, ask slots.AcquireArgs, _ time.Duration) (slots.Grant, error) {
	f.asks = append(f.asks, ask)
	if f.left == 0 {
		return slots.Grant{}, &slots.RefusedError{RetryAfter: 700 * time.Millisecond}
	}
	f.left--
	return slots.Grant{Replica: replica.Replica{ID: fmt.Sprintf("r%d", len(f.asks))}}, nil
}

func (f *fakePlaces) Release(_ slots.Grant, o slots.Outcome) { f.outcomes = append(f.outcomes, o) }

// recorder is a Sink.
type recorder struct {
	begun  int
	status int
	body   bytes.Buffer
	err    error
}

func (r *recorder) Begin(status int, _ http.Header, _ int64) { r.begun++; r.status = status }

func (r *recorder) Write(p []byte) error {
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

// cut ends a body with an error.
func cut(body string, err error) io.Reader {
	return io.MultiReader(strings.NewReader(body), failing{err})
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func ok(body io.Reader) try {
	return try{answer: &Response{Status: http.StatusOK, Verified: true, Length: -1, Body: body, Header: http.Header{}}}
}

func stream(body io.Reader) try {
	t := ok(body)
	t.answer.Header.Set("Content-Type", "text/event-stream")
	return t
}

func status(code int, genuine bool) try {
	return try{answer: &Response{Status: code, Verified: genuine, Body: strings.NewReader(""), Header: http.Header{}}}
}

func notRun(code int) try {
	t := status(code, false)
	t.answer.NotRun = true
	t.answer.Misdirected = code == http.StatusMisdirectedRequest
	return t
}

var (
	errDial   = errors.Mark(errors.Mark(errors.New("refused"), pool.ErrConnect), pool.ErrNotSent)
	errBroken = errors.Mark(errors.New("reset"), pool.ErrBroken)
	errSilent = errors.Mark(errors.New("silent"), pool.ErrSilent)
)

var (
	idempotent = &route.Route{Kind: route.Idempotent, MaxAttempts: 2, Objective: time.Second}
	once       = &route.Route{Kind: route.AtMostOnce, MaxAttempts: 2, Objective: time.Second}
	resumable  = &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2, Objective: time.Second, MaxGap: time.Second}
	plain      = &route.Route{Kind: route.Stream, MaxAttempts: 2, Objective: time.Second}
)

type outcome struct {
	upstream *fakeUpstream
	places   *fakePlaces
	sink     *recorder
	err      error
}

func play(rt *route.Route, replicas int, tries ...try) outcome {
	o := outcome{upstream: &fakeUpstream{tries: tries}, places: &fakePlaces{left: replicas}, sink: &recorder{}}
	return o.run(rt)
}

func (o outcome) run(rt *route.Route) outcome {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &Runner{
		Slots: o.places, Upstream: o.upstream, Clock: clockwork.NewRealClock(), Log: logrus.NewEntry(log),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	now := time.Now()
	o.err = r.Run(context.Background(), &Request{ID: "q", Route: rt, Arrived: now, Deadline: now.Add(time.Minute)}, o.sink)
	return o
}

// Each row is a way in which replicas answer, with what the caller gets. Sent
// is the number of replicas that the request reached.
func TestOutcomes(t *testing.T) {
	rows := []struct {
		name     string
		route    *route.Route
		replicas int
		tries    []try
		sent     int
		status   int
		body     string
		verdict  verdict.Verdict
		code     verdict.Code
	}{
		{"answered", once, 5, []try{ok(strings.NewReader("x"))}, 1, 200, "x", 0, ""},
		{"a failure of the replica is passed on", once, 5, []try{status(500, true)}, 1, 500, "", 0, ""},
		{"idempotent, failed then answered", idempotent, 5, []try{status(500, true), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"idempotent, failed at each", idempotent, 5, []try{status(500, true)}, 2, 500, "", 0, ""},
		{"refused by a replica", once, 5, []try{notRun(503), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"another replica at the address", once, 5, []try{notRun(421), ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"refused by all", once, 9, []try{notRun(503)}, maxNotRun, 0, "", verdict.NotRun, verdict.CodeUpstreamFailed},
		{"no connection, then answered", once, 5, []try{{err: errDial}, ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"no place", once, 0, nil, 0, 0, "", verdict.NotRun, verdict.CodeNoUpstream},
		{"refused, then no place", once, 1, []try{notRun(503)}, 1, 0, "", verdict.NotRun, verdict.CodeNoUpstream},
		{"at most once, broken off", once, 5, []try{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, errSilent", once, 5, []try{{err: errSilent}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, cut body", once, 5, []try{ok(cut("x", errBroken))}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"at most once, not signed", once, 5, []try{status(200, false)}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"idempotent, broken off then answered", idempotent, 5, []try{{err: errBroken}, ok(strings.NewReader("x"))}, 2, 200, "x", 0, ""},
		{"idempotent, cut body then answered", idempotent, 5, []try{ok(cut("x", errBroken)), ok(strings.NewReader("xy"))}, 2, 200, "xy", 0, ""},
		{"idempotent, broken off at each", idempotent, 5, []try{{err: errBroken}}, 2, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"idempotent, may have run, then no place", idempotent, 1, []try{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"stream", plain, 5, []try{stream(strings.NewReader(events(1, 3)))}, 1, 200, events(1, 3), 0, ""},
		{"stream that can't be resumed, broken off before its start", plain, 5, []try{{err: errBroken}}, 1, 0, "", verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		{"stream goes on after the last whole event", resumable, 5, []try{stream(cut(events(1, 2)+"id: 3\nda", errBroken)), stream(strings.NewReader(events(3, 4)))}, 2, 200, events(1, 4), 0, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := play(row.route, row.replicas, row.tries...)
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

func TestCutStreamIsNotCompleted(t *testing.T) {
	for name, o := range map[string]outcome{
		"can't be resumed":    play(plain, 5, stream(cut(events(1, 2), errBroken))),
		"broken off twice":    play(resumable, 5, stream(cut(events(1, 2), errBroken)), stream(cut(events(3, 3), errBroken))),
		"refused when it was": play(resumable, 5, stream(cut(events(1, 2), errBroken)), status(503, true)),
		"no place to go on":   play(resumable, 1, stream(cut(events(1, 2), errBroken))),
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, errors.Is(o.err, ErrTruncated), "%v", o.err)
			require.LessOrEqual(t, len(o.upstream.sent), 2)
		})
	}
}

func TestResumedStreamGoesToAnotherReplicaAheadOfTheQueue(t *testing.T) {
	o := play(resumable, 5, stream(cut(events(1, 2), errSilent)), stream(strings.NewReader(events(3, 3))))
	require.NoError(t, o.err)
	require.Equal(t, "2", o.upstream.sent[1].LastEventID)
	require.Equal(t, []string{"r1"}, o.places.asks[1].Avoid)
	require.Equal(t, -1, o.places.asks[1].Priority)
	require.Equal(t, []slots.Outcome{slots.Unreachable, slots.Done}, o.places.outcomes)
}

func TestSilenceIsBoundedOnlyWhereAnotherReplicaMayTry(t *testing.T) {
	o := play(resumable, 5, stream(cut(events(1, 1), errBroken)), stream(strings.NewReader(events(2, 2))))
	require.NotZero(t, o.upstream.sent[0].FirstByteTimeout)
	require.NotZero(t, o.upstream.sent[0].GapTimeout)
	require.Zero(t, o.upstream.sent[1].FirstByteTimeout, "the last attempt is waited for")
	require.Zero(t, play(plain, 5, stream(strings.NewReader(""))).upstream.sent[0].FirstByteTimeout)
}

// A stream may have no event at all. Its caller gets the replica's headers.
func TestEmptyStreamIsPassedOn(t *testing.T) {
	o := play(plain, 5, stream(strings.NewReader("")))
	require.NoError(t, o.err)
	require.Equal(t, 1, o.sink.begun)
	require.Equal(t, http.StatusOK, o.sink.status)
}

func TestCallerGoneEndsTheRequest(t *testing.T) {
	o := outcome{
		upstream: &fakeUpstream{tries: []try{stream(strings.NewReader(events(1, 3)))}},
		places:   &fakePlaces{left: 5}, sink: &recorder{err: errors.New("closed")},
	}.run(resumable)
	require.Error(t, o.err)
	require.Len(t, o.upstream.sent, 1)
}

func TestEventsAreSplitWherever(t *testing.T) {
	text := events(1, 3)
	for i := range len(text) {
		var e EventParser
		var out string
		out += string(e.Feed([]byte(text[:i])))
		out += string(e.Feed([]byte(text[i:])))
		require.Equal(t, text, out, "cut at %d", i)
		require.Equal(t, "3", e.LastID)
		require.Empty(t, e.Remainder())
	}
}

func TestData(t *testing.T) {
	require.Equal(t, []string{"a\nb", "", "c"}, EventData([]byte("id: 1\ndata: a\ndata: b\n\nid: 2\ndata:\n\n: note\n\r\ndata:c\r\n\r\n")))
}
