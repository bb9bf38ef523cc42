package jobs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// cluster is a set of hosts that share one store.
type cluster struct {
	t           *testing.T
	store       *txntest.Store
	hosts       map[string]*testHost
	mu          sync.Mutex
	unreachable map[string]bool
	// registered are the hosts that have a record in the store.
	registered map[string]bool
	// maxWaitingTokens is the limit of the route; zero means none.
	maxWaitingTokens int64
	// upstream replaces the replicas of each host; nil has no effect.
	upstream forward.Upstream
}

type testHost struct {
	*Manager
	replicas *fakeReplicas
	released chan slots.Outcome
}

// fakeReplicas is a forward.Upstream that answers each item with the function answer.
type fakeReplicas struct {
	mu     sync.Mutex
	answer func(req *forward.Request, s forward.SendArgs) (*forward.Response, error)
	sent   []forward.SendArgs
}

func (e *fakeReplicas) Send(_ context.Context, req *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, s)
	return e.answer(req, s)
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

func answer(status int, body io.Reader) *forward.Response {
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return &forward.Response{Status: status, Verified: true, Body: body, Header: header, Close: func() {}}
}

// answerInFull answers with the events 1 to 3 that follow the request's last event.
func answerInFull(_ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	from := 1
	if s.LastEventID != "" {
		_, _ = fmt.Sscan(s.LastEventID, &from)
		from++
	}
	return answer(http.StatusOK, strings.NewReader(events(from, 3))), nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errors.Mark(errors.New("reset"), pool.ErrBroken)
}

// Release and NotifyDemand implement SlotClient.
func (h *testHost) Release(_ slots.Grant, o slots.Outcome) { h.released <- o }
func (h *testHost) NotifyDemand(context.Context)           {}

// Call implements PeerClient: it calls the Peer of another host of the cluster.
func (c *cluster) Call(_ context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	unreachable, to := c.unreachable[address], c.hosts[address]
	c.mu.Unlock()
	if unreachable {
		return errors.New("unreachable")
	}
	p := to.Peer()
	switch strings.TrimPrefix(method, PeerName+".") {
	case "Read":
		return p.Read(args.(ReadArgs), reply.(*ReadReply))
	case "Body":
		return p.Body(args.(BodyArgs), reply.(*BodyReply))
	case "End":
		return p.End(args.(EndArgs), reply.(*EndReply))
	case "Owns":
		return p.Owns(args.(OwnsArgs), reply.(*OwnsReply))
	case "Adopt":
		return p.Adopt(args.(AdoptArgs), reply.(*None))
	default:
		return p.Announce(args.(AnnounceArgs), reply.(*None))
	}
}

func (c *cluster) isRegistered(_ context.Context, name string) (bool, error) {
	return c.registered[name], nil
}

// setUnreachable sets whether calls to a host fail.
func (c *cluster) setUnreachable(name string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[name] = unreachable
}

func member(name string, incarnation uint64) membership.Host {
	return membership.Host{Name: name, DataCentre: "dc", Region: "r", PeerAddress: name, Incarnation: incarnation}
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{
		t: t, store: txntest.NewStore(), hosts: make(map[string]*testHost), unreachable: make(map[string]bool), registered: make(map[string]bool),
	}
	for _, name := range names {
		c.addHost(name, 1, names...)
	}
	return c
}

// addHost adds a host whose membership view holds the given hosts. A host of the
// same name is replaced.
func (c *cluster) addHost(name string, incarnation uint64, sees ...string) *testHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := membership.NewStatic(member(name, incarnation))
	var others []membership.Host
	for _, other := range sees {
		if other != name {
			others = append(others, member(other, 1))
		}
	}
	view.Set(others)
	table := func() *route.Table {
		return route.NewTable(1, route.Limits{}, []*route.Route{{
			Host: "h", Prefix: "/p/", Kind: route.Batch, MaxAttempts: 2, Targets: []route.Target{{Service: "svc", Weight: 1}},
			MaxWaitingTokens: c.maxWaitingTokens,
		}}, nil)
	}
	h := &testHost{replicas: &fakeReplicas{answer: answerInFull}, released: make(chan slots.Outcome, 64)}
	var upstream forward.Upstream = h.replicas
	if c.upstream != nil {
		upstream = c.upstream
	}
	h.Manager = NewManager(Options{
		Store: c.store, Slots: h, Upstream: upstream, View: view, Peers: c, Table: table,
		StoreUnavailable: func() bool { return false }, IsRegistered: c.isRegistered, Retention: time.Minute, Clock: clockwork.NewRealClock(), Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = h
	return h
}

func submission(items int) Submission {
	s := Submission{ID: "job", Host: "h", Prefix: "/p/", RunTarget: time.Minute, Retention: time.Hour}
	for i := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("i%d", i), Path: "/p/x", Body: []byte(fmt.Sprintf("body %d", i))})
	}
	return s
}

func (h *testHost) grantSlot() slots.Outcome { return h.grantSlotOf("") }

// grantSlotOf grants a slot of a replica of the given software version.
func (h *testHost) grantSlotOf(version string) slots.Outcome {
	h.Granted(slots.Grant{ID: slots.GrantID(time.Now().UnixNano()), Replica: replica.Replica{ID: "r", Service: "svc", SoftwareVersion: version}})
	return <-h.released
}

// flushNow records the unrecorded results without delay.
func (h *testHost) flushNow(t *testing.T) {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	batch, _ := h.collectChanges(true)
	if len(batch) > 0 {
		require.NoError(t, h.writeChanges(context.Background(), batch))
	}
}

func (c *cluster) results(host string, after int) []Result {
	page, err := c.hosts[host].Results(context.Background(), Access{}, "job", after, 0)
	require.NoError(c.t, err)
	return page.Results
}

const output = "e1\ne2\ne3"

func TestResultsAreReadableAtEveryHost(t *testing.T) {
	c := newCluster(t, "a", "b")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	require.Equal(t, slots.Done, a.grantSlot())
	require.Empty(t, c.results("a", 0), "a result is visible once it is recorded")
	a.flushNow(t)
	a.grantSlot()
	a.flushNow(t)
	for _, host := range []string{"a", "b"} {
		got := c.results(host, 0)
		require.Len(t, got, 2)
		require.Equal(t, output, got[0].Output)
		require.Equal(t, got[1:], c.results(host, 1))
	}
	c.setUnreachable("a", true)
	require.Len(t, c.results("b", 1), 1, "read from the store while the owner is unreachable")
	_, err := c.hosts["b"].Results(context.Background(), Access{}, "other", 0, 0)
	require.Equal(t, verdict.CodeNotFound, verdict.As(err).Code)
}

func TestResubmittedJobIsAcceptedOnce(t *testing.T) {
	c := newCluster(t, "a", "b")
	for _, host := range []string{"a", "b", "a"} {
		require.NoError(t, c.hosts[host].Submit(context.Background(), submission(2)))
	}
	require.Len(t, c.hosts["a"].jobs, 1)
	require.Empty(t, c.hosts["b"].jobs)
}

// Each row lists the faults of the first commits of an acceptance.
func TestSubmitUnderStoreFaults(t *testing.T) {
	rows := []struct {
		name     string
		faults   []txntest.Fault
		accepted bool
		verdict  verdict.Verdict
	}{
		{"refused", []txntest.Fault{txntest.Refuse}, false, verdict.NotRun},
		{"answer lost", []txntest.Fault{txntest.LoseReply}, true, 0},
		{"request lost", []txntest.Fault{txntest.LoseRequest}, true, 0},
		{"request lost, then refused, then accepted", []txntest.Fault{txntest.LoseRequest, txntest.Refuse}, true, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, "a")
			faults := row.faults
			c.store.SetFault(func(call string) txntest.Fault {
				if call != "commit" || len(faults) == 0 {
					return txntest.None
				}
				f := faults[0]
				faults = faults[1:]
				return f
			})
			err := c.hosts["a"].Submit(context.Background(), submission(1))
			require.Equal(t, row.accepted, err == nil, "%v", err)
			require.Len(t, c.hosts["a"].jobs, map[bool]int{true: 1}[row.accepted])
			if err != nil {
				require.Equal(t, row.verdict, verdict.Of(err))
			}
		})
	}
}

// A write whose reply was lost is repeated. Results must not be recorded twice,
// whether the first copy takes effect at once or after the second.
func TestLateWriteDoesNotDuplicateResults(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	a.grantSlot()
	for _, fault := range []txntest.Fault{txntest.Late, txntest.LoseReply} {
		first := true
		c.store.SetFault(func(call string) txntest.Fault {
			if call == "commit" && first {
				first = false
				return fault
			}
			return txntest.None
		})
		a.flushNow(t)
		c.store.ReleaseLate()
		a.grantSlot()
	}
	a.flushNow(t)
	require.Len(t, c.results("a", 0), 2)
	c.setUnreachable("a", true)
	c.addHost("b", 1, "a")
	require.Len(t, c.results("b", 1), 1)
}

// A change that is written twice, as by a handover during a flush, must add its
// results only once.
func TestChangeIsAppliedOnce(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.grantSlot()
	batch, _ := a.collectChanges(true)
	require.NoError(t, a.writeChanges(context.Background(), batch))
	require.NoError(t, a.writeChanges(context.Background(), batch))
	require.Len(t, c.results("a", 0), 1)
}

func TestItemResumesAfterTheLastEvent(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.replicas.answer = func(_ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
		if s.LastEventID == "" {
			return answer(http.StatusOK, io.MultiReader(strings.NewReader(events(1, 2)+"id: 3\nda"), failingReader{})), nil
		}
		return answerInFull(nil, s)
	}
	require.Equal(t, slots.Failed, a.grantSlot())
	require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, time.Second, time.Millisecond, "the item waits again after its retry delay")
	require.Equal(t, slots.Done, a.grantSlot())
	require.Equal(t, "2", a.replicas.sent[1].LastEventID)
	a.flushNow(t)
	require.Equal(t, output, c.results("a", 0)[0].Output)
}

// answerPartly sends events 1 and 2 and breaks off.
func answerPartly(*forward.Request, forward.SendArgs) (*forward.Response, error) {
	return answer(http.StatusOK, io.MultiReader(strings.NewReader(events(1, 2)), failingReader{})), nil
}

func TestItemUnderWhichReplicasCrashedIsStillOwed(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	clock := clockwork.NewFakeClock()
	a.Clock = clock
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return nil, errors.Mark(errors.New("reset"), pool.ErrBroken)
	}
	for range 50 {
		require.Equal(t, slots.Failed, a.grantSlot())
		clock.Advance(maxRunRetryDelay)
		require.Len(t, a.Demand(false), 1)
	}
	a.replicas.answer = answerInFull
	require.Equal(t, slots.Done, a.grantSlot())
	a.flushNow(t)
	require.Equal(t, output, c.results("a", 0)[0].Output)
}

// grantAndWait grants a slot, and waits until the run is over.
func (h *testHost) grantAndWait(t *testing.T) slots.Outcome {
	outcome := h.grantSlot()
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return !h.jobs["job"].items[0].running
	}, 5*time.Second, time.Millisecond)
	return outcome
}

// An item crashes each replica that begins to run it. It was sent to another one every two
// seconds until the end of its retention.
func TestItemThatCrashesReplicasReachesFew(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, 10 * time.Minute} {
		c := newCluster(t, "a")
		a := c.hosts["a"]
		clock := clockwork.NewFakeClock()
		a.Clock = clock
		a.ReplicaGone = func(context.Context, replica.Replica) bool { return true }
		a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return nil, errors.Mark(errors.New("reset"), pool.ErrBroken)
		}
		s := submission(1)
		s.Retention = retention
		require.NoError(t, a.Submit(t.Context(), s))
		var runs []time.Duration
		for at := time.Duration(0); at < retention; at += time.Second {
			if len(a.Demand(false)) > 0 {
				require.Equal(t, slots.Failed, a.grantAndWait(t))
				runs = append(runs, at)
			}
			clock.Advance(time.Second)
		}
		require.Len(t, runs, crashesToSuspect+suspectRuns, "%v", runs)
		require.Less(t, runs[crashesToSuspect-1], 10*time.Second)
		require.Greater(t, runs[len(runs)-1], retention/2, "the last runs are spread over the retention")
	}
}

// Replicas crash under an item that isn't the cause: it brings further events, or they are
// still there.
func TestItemUnderWhichReplicasCrashIsSuspectOnlyWithoutProgress(t *testing.T) {
	for name, row := range map[string]struct {
		gone     bool
		progress int
		suspect  bool
	}{
		"gone, no progress":  {true, 0, true},
		"gone, progress":     {true, 1, false},
		"there, no progress": {false, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			clock := clockwork.NewFakeClock()
			a.Clock = clock
			a.ReplicaGone = func(context.Context, replica.Replica) bool { return row.gone }
			last := 0
			a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
				first := last + 1
				last += row.progress
				return answer(http.StatusOK, io.MultiReader(strings.NewReader(events(first, last)), iotest.ErrReader(errors.Mark(errors.New("reset"), pool.ErrBroken)))), nil
			}
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			for range 2 * crashesToSuspect {
				if len(a.Demand(false)) > 0 {
					require.Equal(t, slots.Failed, a.grantAndWait(t))
				}
				clock.Advance(maxRunRetryDelay)
			}
			require.Equal(t, row.suspect, len(a.Demand(false)) == 0)
		})
	}
}

// endlessEvents makes complete events without end.
type endlessEvents struct{ n int }

func (r *endlessEvents) Read(p []byte) (int, error) {
	r.n++
	return copy(p, fmt.Sprintf("id: %d\ndata: %s\n\n", r.n, strings.Repeat("x", 4000))), nil
}

func TestEndlessOutputIsDiscarded(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	for _, body := range []io.Reader{&endlessEvents{}, io.MultiReader(strings.NewReader("data: "), &endlessText{})} {
		a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(http.StatusOK, body), nil
		}
		require.Equal(t, slots.Failed, a.grantSlot())
		require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, time.Second, time.Millisecond)
	}
	a.replicas.answer = answerInFull
	require.Equal(t, slots.Done, a.grantSlot())
	a.flushNow(t)
	require.Equal(t, output, c.results("a", 0)[0].Output)
}

// A replica sends comments and never another event.
func TestItemWhoseReplicaSendsNoEventsStartsAgain(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	clock := clockwork.NewFakeClock()
	a.Clock = clock
	a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return answer(http.StatusOK, &commentReader{clock}), nil
	}
	require.Equal(t, slots.Failed, a.grantSlot())
}

// commentReader sends a comment each second.
type commentReader struct{ clock *clockwork.FakeClock }

func (r *commentReader) Read(p []byte) (int, error) {
	r.clock.Advance(time.Second)
	return copy(p, ": wait\n\n"), nil
}

// endlessText is a line without end.
type endlessText struct{}

func (endlessText) Read(p []byte) (int, error) { return copy(p, strings.Repeat("x", len(p))), nil }

func TestItemStartsAgainOnAnotherSoftwareVersion(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.replicas.answer = answerPartly
	a.grantSlotOf("v1")
	require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, time.Second, time.Millisecond)
	a.replicas.answer = answerInFull
	require.Equal(t, slots.Done, a.grantSlotOf("v2"))
	require.Empty(t, a.replicas.sent[1].LastEventID)
	a.flushNow(t)
	require.Equal(t, output, c.results("a", 0)[0].Output)
}

func TestSlotGoesToAnItemOfItsSoftwareVersion(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	a.replicas.answer = answerPartly
	a.grantSlotOf("v1")
	a.grantSlotOf("v2")
	require.Eventually(t, func() bool {
		demand := a.Demand(false)
		return len(demand) > 0 && demand[0].Items == 2
	}, time.Second, time.Millisecond)
	a.replicas.answer = answerInFull
	a.grantSlotOf("v2")
	a.grantSlotOf("v1")
	require.Equal(t, "2", a.replicas.sent[2].LastEventID)
	require.Equal(t, "2", a.replicas.sent[3].LastEventID)
}

func TestHandOverTransfersTheSoftwareVersion(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.replicas.answer = answerPartly
	a.grantSlotOf("v1")
	a.HandOver(context.Background())
	b.grantSlotOf("v2")
	require.Empty(t, b.replicas.sent[0].LastEventID)
}

func TestRunEndDecidesWhetherAnItemIsGivenUp(t *testing.T) {
	status := func(code int) func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(code, strings.NewReader("")), nil
		}
	}
	rows := []struct {
		name   string
		answer func(*forward.Request, forward.SendArgs) (*forward.Response, error)
		runs   int
		// givenUp is whether the item has a result after the runs.
		givenUp bool
	}{
		{"invalid", status(http.StatusUnprocessableEntity), 1, true},
		{"failed once", status(http.StatusInternalServerError), 1, false},
		{"failed MaxAttempts times", status(http.StatusInternalServerError), 2, true},
		{"refused", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			ans := answer(http.StatusServiceUnavailable, strings.NewReader(""))
			ans.NotRun = true
			return ans, nil
		}, 3, false},
		{"connection reset", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return nil, errors.Mark(errors.New("reset"), pool.ErrBroken)
		}, 3, false},
		{"response ends inside an event", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(http.StatusOK, strings.NewReader(events(1, 3)+"id: 4\nda")), nil
		}, 1, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(context.Background(), submission(1)))
			a.replicas.answer = row.answer
			for range row.runs {
				require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
				a.grantSlot()
			}
			a.flushNow(t)
			got := c.results("a", 0)
			require.Len(t, got, map[bool]int{true: 1}[row.givenUp])
			if row.givenUp {
				require.Equal(t, Result{ID: "i0"}, got[0])
			}
		})
	}
}

func TestItemsReportThatTheirReplicaIsNotReached(t *testing.T) {
	failure := func(marks ...error) error {
		err := errors.New("failure")
		for _, mark := range marks {
			err = errors.Mark(err, mark)
		}
		return err
	}
	rows := []struct {
		name string
		err  error
		want slots.Outcome
	}{
		{"connection refused", failure(pool.ErrConnect, pool.ErrNotSent), slots.Unreachable},
		{"silent", failure(pool.ErrSilent), slots.Unreachable},
		{"reset", failure(pool.ErrBroken), slots.Failed},
		{"kept connection closed before anything was sent", failure(pool.ErrNotSent), slots.Unused},
		{"replica is leaving", errors.Mark(forward.ErrReplicaLeaving, pool.ErrNotSent), slots.Unused},
		{"carrying host ended", failure(pool.ErrCarrier, pool.ErrNotSent), slots.Unused},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) { return nil, row.err }
			require.Equal(t, row.want.String(), a.grantSlot().String())
		})
	}
}

func TestEndStopsTheJobAtItsOwner(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := c.hosts["a"]
	go func() { _ = a.Serve(ctx) }()
	require.NoError(t, a.Submit(ctx, submission(2)))
	require.NoError(t, c.hosts["b"].End(ctx, Access{}, "job"))
	require.Equal(t, slots.Unused, a.grantSlot(), "nothing is left to run")
	require.NoError(t, c.hosts["b"].End(ctx, Access{}, "job"), "ending an ended job succeeds")
	head, _, err := a.loadHead(ctx, "job")
	require.NoError(t, err)
	require.True(t, head.Ended)
}

// If the owner can't be reached, the end of a job leaves an end mark. The owner
// processes it even if it has nothing to write.
func TestEndWithUnreachableOwnerLeavesAMark(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	a := c.hosts["a"]
	require.NoError(t, a.Submit(ctx, submission(2)))
	c.setUnreachable("a", true)
	require.NoError(t, c.hosts["b"].End(ctx, Access{}, "job"))
	marks, _, err := txn.List(ctx, c.store, endMarkPrefix)
	require.NoError(t, err)
	require.Len(t, marks, 1)
	a.HandleEndMarks(ctx, marks)
	require.Empty(t, a.Demand(false))
	_, err = c.store.Get(ctx, marks[0].Key)
	errtest.Is(t, err, txn.ErrNotFound)
}

// owned returns a job of this host, or nil.
func (m *Manager) owned(id string) *job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.jobs[id]
}

// The cached owner of a job may have handed it over since. The end must reach the
// owner in the head record.
func TestEndReachesTheOwnerNamedInTheStore(t *testing.T) {
	c := newCluster(t, "a", "b", "d")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(2)))
	require.NoError(t, c.hosts["b"].claim(ctx, "job", "a", nil))
	go func() { _ = c.hosts["b"].Serve(ctx) }()
	// The announcement of the new owner may reach a first, which then has no job left.
	if j := c.hosts["a"].owned("job"); j != nil {
		c.hosts["a"].disown(j, "test")
	}
	require.Nil(t, c.hosts["a"].owned("job"))
	require.NoError(t, c.hosts["d"].Peer().Announce(AnnounceArgs{ID: "job", Owner: "a"}, new(None)))
	require.NoError(t, c.hosts["d"].End(ctx, Access{}, "job"))
	require.Empty(t, c.hosts["b"].Demand(false))
	marks, _, err := txn.List(ctx, c.store, endMarkPrefix)
	require.NoError(t, err)
	require.Empty(t, marks, "the owner was reached")
}

func TestFormerOwnerCannotRecordResults(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(ctx, submission(2)))
	a.grantSlot()
	require.NoError(t, b.claim(ctx, "job", "a", nil))
	a.flushNow(t)
	require.Empty(t, a.jobs, "the former owner disowns the job")
	b.grantSlot()
	b.grantSlot()
	b.flushNow(t)
	require.Len(t, c.results("a", 0), 2)
}

func TestHandOverTransfersProgress(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	a.grantSlot()
	a.replicas.answer = answerPartly
	a.grantSlot()
	a.HandOver(context.Background())
	require.Empty(t, a.jobs)
	require.Len(t, c.results("b", 0), 1)
	b.grantSlot()
	require.Equal(t, "2", b.replicas.sent[0].LastEventID)
	b.flushNow(t)
	require.Equal(t, output, c.results("b", 1)[0].Output)
	require.Error(t, a.Submit(context.Background(), Submission{ID: "next"}))
}

// The membership view of a host that has just started holds no peers. The host
// must not take the jobs of its peers for orphans.
func TestRecoverWithoutOrphansTakesOverOnlyOwnJobs(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(1)))
	alone := c.addHost("b", 2)
	require.NoError(t, alone.Recover(ctx, false))
	require.Empty(t, alone.jobs)
	again := c.addHost("a", 2)
	require.NoError(t, again.Recover(ctx, false))
	require.Len(t, again.jobs, 1, "takes over the job of its earlier incarnation")
	require.NoError(t, alone.Recover(ctx, true))
	require.Len(t, alone.jobs, 1, "with orphans, the owner is not a member")
	require.NoError(t, again.Recover(ctx, false))
	require.Empty(t, again.jobs, "disowned: another host has taken the job over")
}

func TestItemsAreGivenUpAfterTheirRetention(t *testing.T) {
	c := newCluster(t, "a")
	s := submission(1)
	s.Retention = 0
	require.NoError(t, c.hosts["a"].Submit(context.Background(), s))
	time.Sleep(2 * time.Millisecond)
	c.hosts["a"].expire(context.Background())
	c.hosts["a"].flushNow(t)
	require.Equal(t, []Result{{ID: "i0"}}, c.results("a", 0))
}

func TestBodyIsReadFromTheOwnerOrTheStore(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(3)))
	for _, ownerUnreachable := range []bool{false, true} {
		c.setUnreachable("a", ownerUnreachable)
		body, err := c.hosts["b"].Body(ctx, Access{}, "job", "i2")
		require.NoError(t, err)
		require.Equal(t, "body 2", string(body))
	}
	_, err := c.hosts["a"].Body(ctx, Access{}, "job", "none")
	require.Equal(t, verdict.CodeNotFound, verdict.As(err).Code)
}

func TestUnavailableStoreIsNotReportedAsUnknownJob(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(context.Background(), submission(1)))
	c.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	_, err := c.hosts["b"].Results(context.Background(), Access{}, "unknown", 0, 0)
	require.Equal(t, verdict.CodePlatformUnavailable, verdict.As(err).Code)
}

func TestLargeJobIsRecordedInChunks(t *testing.T) {
	c := newCluster(t, "a", "b")
	s := submission(4)
	for i := range s.Items {
		s.Items[i].Body = make([]byte, maxChunkBytes/2+1)
	}
	require.NoError(t, c.hosts["a"].Submit(context.Background(), s))
	require.Equal(t, 4, c.hosts["a"].jobs["job"].head.ItemChunks)
	require.NoError(t, c.hosts["b"].claim(context.Background(), "job", "a", nil))
	require.Len(t, c.hosts["b"].jobs["job"].items, 4)
}
