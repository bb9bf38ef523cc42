package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// streamEvents is the number of events of a complete stream of anyReplica.
const streamEvents = 6

// otherBody is the body of a response that is no event stream.
const otherBody = "x"

// anyReplica makes responses as replicas in trouble do, at random. Its streams differ from run
// to run unless the run resumes one.
type anyReplica struct {
	rng *rand.Rand
	// resumable means that a run that is asked for the rest of a stream brings that rest.
	resumable bool
	// endings counts the close-delimited responses that ended in order, by the event after
	// which they did.
	endings map[int]int
	// wholeEnd means that a response brought the last event and ended in order.
	wholeEnd bool
	script   []string
}

// response returns a response to a request for the events after one, of a run of its own.
func (a *anyReplica) response(after, run int) scriptedAttempt {
	switch a.rng.IntN(12) {
	case 0:
		a.script = append(a.script, "no connection")
		return scriptedAttempt{err: errDial}
	case 1:
		a.script = append(a.script, "broken")
		return scriptedAttempt{err: errBroken}
	case 2:
		code := []int{204, 206, 302, 404, 500, 503}[a.rng.IntN(6)]
		a.script = append(a.script, fmt.Sprint(code))
		return framed(code, eventStream, pool.FramingChunked, "")
	case 3:
		a.script = append(a.script, "other media type")
		return framed(200, "text/plain", pool.FramingLength, otherBody)
	}
	return a.stream(after, run)
}

// stream returns a stream that goes on after an event and may be faulty. Only streams that can
// be resumed go on after another event, since the numbers of others are not known.
func (a *anyReplica) stream(after, run int) scriptedAttempt {
	framing := []pool.Framing{pool.FramingLength, pool.FramingChunked, pool.FramingClose, pool.FramingClose}[a.rng.IntN(4)]
	start := after
	if a.resumable && a.rng.IntN(6) == 0 {
		start = a.rng.IntN(streamEvents)
	}
	to := min(start+a.rng.IntN(streamEvents+1), streamEvents)
	if start != after {
		to = max(to, start+1)
	}
	text := a.text(start, to, run)
	ending := a.rng.IntN(5)
	var body io.Reader
	switch {
	case ending == 0:
		body = failAfter(text+"id: 9\nda"[:a.rng.IntN(8)], io.ErrUnexpectedEOF)
	case ending == 1:
		body = strings.NewReader(text + answerHead + a.text(0, streamEvents, run))
	case ending == 2 && framing == pool.FramingClose:
		body = strings.NewReader(text + "id: 9\ndata: x"[:1+a.rng.IntN(12)])
	case to == streamEvents || framing == pool.FramingClose:
		body = strings.NewReader(text)
		a.wholeEnd = a.wholeEnd || start == after && to == streamEvents
		if framing == pool.FramingClose && start == after {
			a.endings[to]++
		}
	default:
		body = failAfter(text, io.ErrUnexpectedEOF)
	}
	a.script = append(a.script, fmt.Sprintf("%s: events %d to %d after %d, ending %d", framing, start+1, to, after, ending))
	if a.rng.IntN(2) == 0 {
		body = iotest.OneByteReader(body)
	}
	t := framed(200, eventStream, framing, "")
	t.response.Body = body
	return t
}

// text returns the events after one, up to another, of a run.
func (a *anyReplica) text(after, to, run int) string {
	if a.resumable {
		return events(after+1, to)
	}
	return runEvents(after+1, to, run)
}

func runEvents(from, to, run int) string {
	return strings.ReplaceAll(events(from, to), "data: ", fmt.Sprintf("data: run %d ", run))
}

// Guards against any faults of replicas in a row after which a caller has something else than
// the beginning of one stream, or takes that for the whole.
func TestCallersGetTheBeginningOfOneStreamWhateverReplicasSend(t *testing.T) {
	routes := map[string]*route.Route{"resumable": resumable, "not resumable": notResumable, "idempotent": idempotent}
	for name, rt := range routes {
		t.Run(name, func(t *testing.T) {
			complete := 0
			for seed := range uint64(1000) {
				if runAnyReplica(t, *rt, seed) {
					complete++
				}
			}
			require.Greater(t, complete, 100)
		})
	}
}

// runAnyReplica runs one request, checks what its caller gets and reports whether that is a
// complete stream.
func runAnyReplica(t *testing.T, rt route.Route, seed uint64) bool {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	rt.MaxAttempts = 1 + rng.IntN(4)
	from, after := 0, ""
	if rt.Resumable && rng.IntN(3) == 0 {
		from = 1 + rng.IntN(streamEvents)
		after = strconv.Itoa(from)
	}
	replicas := &anyReplica{rng: rng, resumable: rt.Resumable, endings: make(map[int]int)}
	upstream := &anyUpstream{replicas: replicas}
	o := scriptResult{slots: &fakeSlots{left: 9, version: "v1"}, sink: &recordingSink{}}
	o.err = newRunner(o.slots, upstream).Run(t.Context(), newRequest(&rt, after), o.sink)
	body := o.sink.body.String()
	msg := fmt.Sprintf("seed %d, after %q, attempts %d: %q", seed, after, rt.MaxAttempts, replicas.script)
	if o.sink.status != 0 && o.sink.status != http.StatusOK || body == otherBody {
		require.False(t, after != "" && isSuccess(o.sink.status), "%s\nstatus %d: %s", msg, o.sink.status, body)
		return false
	}
	whole := replicas.text(from, streamEvents, upstream.runs)
	require.True(t, strings.HasPrefix(whole, body), "%s\n%s", msg, body)
	if o.err != nil {
		return false
	}
	got := from + strings.Count(body, "id: ")
	confirmed := replicas.endings[got] > 1 || !rt.Resumable && replicas.endings[got] > 0
	require.True(t, confirmed || got == streamEvents && replicas.wholeEnd, "%s\n%s", msg, body)
	return true
}

// anyUpstream sends each request to a replica with a response of its own.
type anyUpstream struct {
	fakeUpstream
	replicas *anyReplica
	// runs counts the responses; it is the number of the last run.
	runs int
}

// Send implements Upstream.
func (u *anyUpstream) Send(ctx context.Context, req *Request, args SendArgs) (*Response, error) {
	after := 0
	if args.LastEventID != "" {
		after, _ = strconv.Atoi(args.LastEventID)
	}
	u.runs++
	u.attempts = append(u.attempts, u.replicas.response(after, u.runs))
	return u.fakeUpstream.Send(ctx, req, args)
}
