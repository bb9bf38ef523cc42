package jobs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
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

// cluster is a set of managers over one store.
type cluster struct {
	t     *testing.T
	store *txntest.Store
	hosts map[string]*testHost
	mu    sync.Mutex
	down  map[string]bool
}

type testHost struct {
	*Manager
	engine   *engine
	released chan slots.Outcome
}

// engine is a stand-in of the replicas: it answers each item by its script.
type engine struct {
	mu     sync.Mutex
	script func(req *forward.Request, s forward.SendArgs) (*forward.Response, error)
	sent   []forward.SendArgs
}

func (e *engine) Send(_ context.Context, req *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, s)
	return e.script(req, s)
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

func answer(status int, body io.Reader) *forward.Response {
	return &forward.Response{Status: status, Verified: true, Body: body, Header: make(http.Header), Close: func() {}}
}

// whole answers with three events, from the one that is asked for.
func whole(_ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	from := 1
	if s.LastEventID != "" {
		_, _ = fmt.Sscan(s.LastEventID, &from)
		from++
	}
	return answer(http.StatusOK, strings.NewReader(events(from, 3))), nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.Mark(errors.New("reset"), pool.ErrBroken) }

// Release and Wanted implement Places.
func (h *testHost) Release(_ slots.Grant, o slots.Outcome) { h.released <- o }
func (h *testHost) NotifyDemand(context.Context)           {}

// Call implements Caller over the cluster.
func (c *cluster) Call(_ context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	down, to := c.down[address], c.hosts[address]
	c.mu.Unlock()
	if down {
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

// cut says whether calls to a host fail.
func (c *cluster) cut(name string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = down
}

func member(name string, incarnation uint64) membership.Host {
	return membership.Host{Name: name, DataCentre: "dc", Region: "r", PeerAddress: name, Incarnation: incarnation}
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, store: txntest.NewStore(), hosts: make(map[string]*testHost), down: make(map[string]bool)}
	for _, name := range names {
		c.add(name, 1, names...)
	}
	return c
}

// add starts a host that sees the given hosts.
func (c *cluster) add(name string, incarnation uint64, sees ...string) *testHost {
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
	table := route.NewTable(1, route.Limits{}, []*route.Route{{
		Host: "h", Prefix: "/p/", Kind: route.Batch, MaxAttempts: 2, Targets: []route.Target{{Service: "svc", Weight: 1}},
	}}, nil)
	h := &testHost{engine: &engine{script: whole}, released: make(chan slots.Outcome, 64)}
	h.Manager = NewManager(Options{
		Store: c.store, Slots: h, Upstream: h.engine, View: view, Peers: c, Table: func() *route.Table { return table },
		StoreUnavailable: func() bool { return false }, Retention: time.Minute, Clock: clockwork.NewRealClock(), Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
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

func (h *testHost) runItem() slots.Outcome {
	h.Granted(slots.Grant{ID: slots.GrantID(time.Now().UnixNano()), Replica: replica.Replica{ID: "r", Service: "svc"}})
	return <-h.released
}

// record writes what is fresh at once.
func (h *testHost) record(t *testing.T) {
	h.writing.Lock()
	defer h.writing.Unlock()
	batch, _ := h.collect(true)
	if len(batch) > 0 {
		require.NoError(t, h.write(context.Background(), batch))
	}
}

func (c *cluster) results(host string, after int) []Result {
	page, err := c.hosts[host].Results(context.Background(), "job", after, 0)
	require.NoError(c.t, err)
	return page.Results
}

const output = "e1\ne2\ne3"

func TestJobIsRunAndReadAtEveryHost(t *testing.T) {
	c := newCluster(t, "a", "b")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	require.Equal(t, slots.Done, a.runItem())
	require.Empty(t, c.results("a", 0), "a result shows once it is recorded")
	a.record(t)
	a.runItem()
	a.record(t)
	for _, host := range []string{"a", "b"} {
		got := c.results(host, 0)
		require.Len(t, got, 2)
		require.Equal(t, output, got[0].Output)
		require.Equal(t, got[1:], c.results(host, 1))
	}
	c.cut("a", true)
	require.Len(t, c.results("b", 1), 1, "from the store while the owner is away")
	_, err := c.hosts["b"].Results(context.Background(), "other", 0, 0)
	require.Equal(t, verdict.CodeNotFound, verdict.As(err).Code)
}

func TestJobIsAcceptedOnce(t *testing.T) {
	c := newCluster(t, "a", "b")
	for _, host := range []string{"a", "b", "a"} {
		require.NoError(t, c.hosts[host].Submit(context.Background(), submission(2)))
	}
	require.Len(t, c.hosts["a"].jobs, 1)
	require.Empty(t, c.hosts["b"].jobs)
}

// Each row is what happens to the acceptance's first writes.
func TestAcceptanceUnderFaults(t *testing.T) {
	rows := []struct {
		name     string
		faults   []txntest.Fault
		accepted bool
		verdict  verdict.Verdict
	}{
		{"refused", []txntest.Fault{txntest.Refuse}, false, verdict.NotRun},
		{"answer lost", []txntest.Fault{txntest.LoseAnswer}, true, 0},
		{"request lost", []txntest.Fault{txntest.LoseRequest}, true, 0},
		{"request lost, then refused, then through", []txntest.Fault{txntest.LoseRequest, txntest.Refuse}, true, 0},
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

// A write whose answer was lost, and which takes effect after its repeat, must
// not record a result twice.
func TestLateWriteRecordsNothingTwice(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	a.runItem()
	for _, fault := range []txntest.Fault{txntest.Late, txntest.LoseAnswer} {
		first := true
		c.store.SetFault(func(call string) txntest.Fault {
			if call == "commit" && first {
				first = false
				return fault
			}
			return txntest.None
		})
		a.record(t)
		c.store.ReleaseLate()
		a.runItem()
	}
	a.record(t)
	require.Len(t, c.results("a", 0), 2)
	c.cut("a", true)
	c.add("b", 1, "a")
	require.Len(t, c.results("b", 1), 1)
}

// The stop records results beside the writer's loop. The same change must not
// become visible twice.
func TestSameChangeIsVisibleOnce(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.runItem()
	batch, _ := a.collect(true)
	require.NoError(t, a.write(context.Background(), batch))
	require.NoError(t, a.write(context.Background(), batch))
	require.Len(t, c.results("a", 0), 1)
}

func TestItemGoesOnAfterTheLastEvent(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(context.Background(), submission(1)))
	a.engine.script = func(_ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
		if s.LastEventID == "" {
			return answer(http.StatusOK, io.MultiReader(strings.NewReader(events(1, 2)+"id: 3\nda"), failing{})), nil
		}
		return whole(nil, s)
	}
	require.Equal(t, slots.Failed, a.runItem())
	require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, time.Second, time.Millisecond, "after a pause it waits again")
	require.Equal(t, slots.Done, a.runItem())
	require.Equal(t, "2", a.engine.sent[1].LastEventID)
	a.record(t)
	require.Equal(t, output, c.results("a", 0)[0].Output)
}

func TestHowRunsEnd(t *testing.T) {
	status := func(code int) func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(code, strings.NewReader("")), nil
		}
	}
	rows := []struct {
		name   string
		script func(*forward.Request, forward.SendArgs) (*forward.Response, error)
		runs   int
		// listed says that the item is given up after the runs.
		listed bool
	}{
		{"invalid", status(http.StatusUnprocessableEntity), 1, true},
		{"failed once", status(http.StatusInternalServerError), 1, false},
		{"failed as often as allowed", status(http.StatusInternalServerError), 2, true},
		{"refused", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			ans := answer(http.StatusServiceUnavailable, strings.NewReader(""))
			ans.NotRun = true
			return ans, nil
		}, 3, false},
		{"broken off", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return nil, errors.Mark(errors.New("reset"), pool.ErrBroken)
		}, 3, false},
		{"cut inside an event", func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(http.StatusOK, strings.NewReader(events(1, 3)+"id: 4\nda")), nil
		}, 1, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(context.Background(), submission(1)))
			a.engine.script = row.script
			for range row.runs {
				require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
				a.runItem()
			}
			a.record(t)
			got := c.results("a", 0)
			require.Len(t, got, map[bool]int{true: 1}[row.listed])
			if row.listed {
				require.Equal(t, Result{ID: "i0"}, got[0])
			}
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
	require.NoError(t, c.hosts["b"].End(ctx, "job"))
	require.Equal(t, slots.Unused, a.runItem(), "nothing is left to run")
	require.NoError(t, c.hosts["b"].End(ctx, "job"), "again")
	head, _, err := a.load(ctx, "job")
	require.NoError(t, err)
	require.True(t, head.Ended)
}

// An end that can't reach the owner leaves a mark, which the owner finds though
// it writes nothing.
func TestEndWithoutTheOwner(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	a := c.hosts["a"]
	require.NoError(t, a.Submit(ctx, submission(2)))
	c.cut("a", true)
	require.NoError(t, c.hosts["b"].End(ctx, "job"))
	marks, _, err := txn.List(ctx, c.store, endedPrefix)
	require.NoError(t, err)
	require.Len(t, marks, 1)
	a.HandleEndMarks(ctx, marks)
	require.Empty(t, a.Demand(false))
	_, err = c.store.Get(ctx, marks[0].Key)
	errtest.Is(t, err, txn.ErrNotFound)
}

// The owner that another host remembers may have handed the job on since.
func TestEndAsksTheOwnerThatTheStoreNames(t *testing.T) {
	c := newCluster(t, "a", "b", "d")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(2)))
	require.NoError(t, c.hosts["b"].claim(ctx, "job", "a", nil))
	go func() { _ = c.hosts["b"].Serve(ctx) }()
	c.hosts["a"].lose(c.hosts["a"].jobs["job"], "test")
	require.NoError(t, c.hosts["d"].Peer().Announce(AnnounceArgs{ID: "job", Owner: "a"}, new(None)))
	require.NoError(t, c.hosts["d"].End(ctx, "job"))
	require.Empty(t, c.hosts["b"].Demand(false))
	marks, _, err := txn.List(ctx, c.store, endedPrefix)
	require.NoError(t, err)
	require.Empty(t, marks, "the owner was reached")
}

func TestDeposedOwnerCannotRecord(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(ctx, submission(2)))
	a.runItem()
	require.NoError(t, b.claim(ctx, "job", "a", nil))
	a.record(t)
	require.Empty(t, a.jobs, "it gives the job up")
	b.runItem()
	b.runItem()
	b.record(t)
	require.Len(t, c.results("a", 0), 2)
}

func TestStopHandsJobsOverWithTheirProgress(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(context.Background(), submission(2)))
	a.runItem()
	a.engine.script = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
		return answer(http.StatusOK, io.MultiReader(strings.NewReader(events(1, 2)), failing{})), nil
	}
	a.runItem()
	a.HandOver(context.Background())
	require.Empty(t, a.jobs)
	require.Len(t, c.results("b", 0), 1)
	b.runItem()
	require.Equal(t, "2", b.engine.sent[0].LastEventID)
	b.record(t)
	require.Equal(t, output, c.results("b", 1)[0].Output)
	require.Error(t, a.Submit(context.Background(), Submission{ID: "next"}))
}

// A host that has just started sees itself alone. It must not take the jobs of
// the others for orphans.
func TestStartTakesOnlyItsOwnJobs(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(1)))
	alone := c.add("b", 2)
	require.NoError(t, alone.Recover(ctx, false))
	require.Empty(t, alone.jobs)
	again := c.add("a", 2)
	require.NoError(t, again.Recover(ctx, false))
	require.Len(t, again.jobs, 1, "the jobs of its own earlier start")
	require.NoError(t, alone.Recover(ctx, true))
	require.Len(t, alone.jobs, 1, "with a whole view the owner is gone")
	require.NoError(t, again.Recover(ctx, false))
	require.Empty(t, again.jobs, "given up to the new owner")
}

func TestItemsAreGivenUpAfterTheirRetention(t *testing.T) {
	c := newCluster(t, "a")
	s := submission(1)
	s.Retention = 0
	require.NoError(t, c.hosts["a"].Submit(context.Background(), s))
	time.Sleep(2 * time.Millisecond)
	c.hosts["a"].expire(context.Background())
	c.hosts["a"].record(t)
	require.Equal(t, []Result{{ID: "i0"}}, c.results("a", 0))
}

func TestBodies(t *testing.T) {
	c := newCluster(t, "a", "b")
	ctx := context.Background()
	require.NoError(t, c.hosts["a"].Submit(ctx, submission(3)))
	for _, down := range []bool{false, true} {
		c.cut("a", down)
		body, err := c.hosts["b"].Body(ctx, "job", "i2")
		require.NoError(t, err)
		require.Equal(t, "body 2", string(body))
	}
	_, err := c.hosts["a"].Body(ctx, "job", "none")
	require.Equal(t, verdict.CodeNotFound, verdict.As(err).Code)
}

func TestStoreAwayIsNotMistakenForAbsence(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(context.Background(), submission(1)))
	c.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	_, err := c.hosts["b"].Results(context.Background(), "unknown", 0, 0)
	require.Equal(t, verdict.CodePlatformUnavailable, verdict.As(err).Code)
}

func TestLargeJobIsRecordedInChunks(t *testing.T) {
	c := newCluster(t, "a", "b")
	s := submission(4)
	for i := range s.Items {
		s.Items[i].Body = make([]byte, chunkBytes/2+1)
	}
	require.NoError(t, c.hosts["a"].Submit(context.Background(), s))
	require.Equal(t, 4, c.hosts["a"].jobs["job"].head.ItemChunks)
	require.NoError(t, c.hosts["b"].claim(context.Background(), "job", "a", nil))
	require.Len(t, c.hosts["b"].jobs["job"].items, 4)
}
