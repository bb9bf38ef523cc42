package jobs

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// wrongBodies are bodies that don't bring the events from the third on, whatever the
// replica was asked.
var wrongBodies = map[string]string{
	"events with a gap":            events(4, 4),
	"a gap after the third event":  events(3, 3) + events(5, 5),
	"an event twice":               events(3, 3) + events(3, 3),
	"a number that goes back":      events(3, 3) + events(1, 3),
	"an event without an id":       "data: e3\n\n",
	"the text of an error":         "data: e3\n\nupstream connect error\n\n",
	"only the text of an error":    "upstream connect error\n\n",
	"the head of another response": events(3, 3) + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}

// answerWith answers with a body whatever is asked.
func answerWith(body string) func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
	return func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return answer(http.StatusOK, strings.NewReader(body)), nil
	}
}

// grantNext grants a slot once an item waits for one.
func (h *testHost) grantNext(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return len(h.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
	h.grantSlot()
}

// requireOutput lets the replicas answer properly and requires that the item is done with
// its whole output.
func (c *cluster) requireOutput(t *testing.T, h *testHost) {
	t.Helper()
	h.flushNow(t)
	require.Empty(t, c.results("a", 0), "the item is done with another text than its output")
	h.replicas.answer = answerInFull
	h.grantNext(t)
	h.flushNow(t)
	require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
}

// A replica that is asked to go on after an event sends something else than the rest.
func TestRestOfAnOutputMustFollowTheLastEvent(t *testing.T) {
	rows := map[string]string{"all events again": events(1, 3)}
	for name, body := range wrongBodies {
		rows[name] = body
	}
	for name, body := range rows {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			a.replicas.answer = answerPartly
			a.grantNext(t)
			a.replicas.answer = answerWith(body)
			a.grantNext(t)
			c.requireOutput(t, a)
		})
	}
}

// A run from the start brings something else than a sequence of events.
func TestOutputMustBeASequenceOfEvents(t *testing.T) {
	for name, body := range wrongBodies {
		if name == "events with a gap" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			a.replicas.answer = answerWith(events(1, 2) + body)
			a.grantNext(t)
			c.requireOutput(t, a)
		})
	}
}

// An event without an id arrives and the connection breaks: the next run is not asked to go
// on after that event and brings it again.
func TestEventWithoutAnIDIsNotPartOfTheOutput(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return answer(http.StatusOK, io.MultiReader(strings.NewReader("data: e1\n\n"), failingReader{})), nil
	}
	a.grantNext(t)
	c.requireOutput(t, a)
}

// Guards against HTML or JSON with status 200 that is taken for an output without events.
func TestOutputMustBeAnEventStream(t *testing.T) {
	for _, contentType := range []string{"", "text/html; charset=utf-8", "application/json", "text/event-streams"} {
		t.Run(contentType, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
				res := answer(http.StatusOK, strings.NewReader(""))
				res.Header.Set("Content-Type", contentType)
				return res, nil
			}
			a.grantNext(t)
			c.requireOutput(t, a)
		})
	}
}

// The events before a fault are proven to be the output's: the next run goes on after them.
func TestEventsBeforeAFaultAreKept(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.replicas.answer = answerWith(events(1, 2) + "upstream connect error\n\n")
	a.grantNext(t)
	c.requireOutput(t, a)
	require.Equal(t, "2", a.replicas.sent[1].LastEventID)
}

// The last event has no data, so that it adds nothing to the text. Runs that were asked for
// it again would never end without an event.
func TestItemGoesOnAfterAnEventWithoutData(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.replicas.answer = func(_ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
		body := io.MultiReader(strings.NewReader(events(1, 3)), strings.NewReader("id: 4\n\n"))
		switch s.LastEventID {
		case "3":
			body = strings.NewReader("id: 4\n\n")
		case "4":
			body = strings.NewReader("")
		}
		res := answer(http.StatusOK, body)
		res.Framing = pool.FramingClose
		return res, nil
	}
	a.grantNext(t)
	a.grantNext(t)
	a.flushNow(t)
	require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
}

// A comment at the beginning of the rest has no id: the item still goes on after its last
// event.
func TestItemGoesOnAfterItsLastEventBehindAComment(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.replicas.answer = answerPartly
	a.grantNext(t)
	a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return answer(http.StatusOK, io.MultiReader(strings.NewReader(": wait\n\n"), failingReader{})), nil
	}
	a.grantNext(t)
	c.requireOutput(t, a)
	require.Equal(t, "2", a.replicas.sent[2].LastEventID)
}

// moveRoute lets the job's route lead to another service.
func (h *testHost) moveRoute(service string) {
	h.Table = func() *route.Table {
		return route.NewTable(2, route.Limits{}, []*route.Route{{
			Host: "h", Prefix: "/p/", Kind: route.Batch, MaxAttempts: 2, Targets: []route.Target{{Service: service, Weight: 1}},
		}}, nil)
	}
}

// grantOn grants a slot of a replica of a service and software version once an item waits
// for one.
func (h *testHost) grantOn(t *testing.T, service, version string) {
	t.Helper()
	require.Eventually(t, func() bool { return len(h.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
	h.Granted(slots.Grant{ID: 7, Replica: replica.Replica{ID: "r", Service: service, SoftwareVersion: version}})
	<-h.released
}

// The route of a job is moved while an item is partly run. The software of two services is
// not the same, whatever their versions are called.
func TestItemStartsAgainOnAnotherService(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		c := newCluster(t, "a", "b")
		a := c.hosts["a"]
		require.NoError(t, a.Submit(t.Context(), submission(1)))
		a.replicas.answer = answerPartly
		a.grantOn(t, "svc", "v1")
		if handOver {
			a.HandOver(t.Context())
			a = c.hosts["b"]
		}
		a.moveRoute("other")
		a.replicas.answer = answerInFull
		a.grantOn(t, "other", "v1")
		a.flushNow(t)
		require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
		last := a.replicas.sent[len(a.replicas.sent)-1]
		require.Empty(t, last.LastEventID)
	}
}

// A host of an older build hands over events without the service of their replicas: they
// are kept, as the build itself would do.
func TestProgressWithoutAServiceIsKept(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(1)))
	b := c.hosts["b"]
	require.NoError(t, b.Peer().Adopt(AdoptArgs{ID: "job", From: "a", Progress: []Progress{
		{Item: "i0", Texts: []string{"e1", "e2"}, LastID: "2", SoftwareVersion: "v1"},
	}}, new(None)))
	b.grantOn(t, "svc", "v1")
	require.Equal(t, "2", b.replicas.sent[0].LastEventID)
}

// Guards against an output in which events stand twice, or are missing, since a host of an
// older build handed over events that it had not checked.
func TestProgressThatIsNotTheBeginningOfAnOutputIsDiscarded(t *testing.T) {
	rows := map[string]Progress{
		"no id":         {Texts: []string{"e1"}},
		"no number":     {Texts: []string{"e1"}, LastID: "x"},
		"event twice":   {Texts: []string{"e1", "e2", "e2"}, LastID: "1"},
		"event missing": {Texts: []string{"e2"}, LastID: "2"},
		"no event":      {LastID: "2"},
	}
	for name, p := range rows {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(1)))
			b := c.hosts["b"]
			p.Item, p.SoftwareVersion, p.Failures = "i0", "v1", 1
			require.NoError(t, b.Peer().Adopt(AdoptArgs{ID: "job", From: "a", Progress: []Progress{p}}, new(None)))
			require.Equal(t, 1, b.jobs["job"].items[0].failures)
			b.grantOn(t, "svc", "v1")
			b.flushNow(t)
			require.Empty(t, b.replicas.sent[0].LastEventID)
			require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("b", 0))
		})
	}
}
