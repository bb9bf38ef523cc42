package orders

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// testCluster is a few fake engines and two hosts, each of which considers itself
// the candidate for the lease.
type testCluster struct {
	clock   *clockwork.FakeClock
	store   *kvtest.Store
	engines []*upstreamtest.Engine
	doc     *service.Document
	hosts   []*testHost
}

type testHost struct {
	*Issuer
	doc       *service.Document
	transport *transport
}

// transport is a RoundTripper that can pause reads and lose replies.
type transport struct {
	mu sync.Mutex
	// pause blocks the next read of an engine's state until it is closed;
	// reached is closed once a read is blocked.
	pause, reached chan struct{}
	// loseReplies drops the replies to orders.
	loseReplies bool
}

func (w *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	pause, reached, lose := w.pause, w.reached, w.loseReplies
	if r.URL.Path == upstream.PathOrders && r.Method == http.MethodGet && pause != nil {
		w.pause = nil
	}
	w.mu.Unlock()
	if r.URL.Path == upstream.PathOrders && r.Method == http.MethodGet && pause != nil {
		close(reached)
		<-pause
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && lose && r.Method == http.MethodPost {
		_ = res.Body.Close()
		return nil, errors.New("reply lost")
	}
	return res, err
}

func newTestCluster(t *testing.T, engines int, checksFencing bool) *testCluster {
	clock := clockwork.NewFakeClockAt(start)
	r := &testCluster{clock: clock, store: kvtest.NewStore(clock)}
	r.doc = document([]service.Model{{Name: "m", Version: "2"}}, engines)
	r.doc.Generation, r.doc.Orders = 1, settings(t)
	r.doc.Orders.Soak, r.doc.Orders.Floor, r.doc.Orders.ConcurrentLoads = 0, 0, engines
	for i := range r.doc.Upstreams {
		o := upstreamtest.DefaultOptions()
		o.LoadTime, o.ChecksFencing = 0, checksFencing
		e := upstreamtest.NewEngine(o)
		t.Cleanup(e.Close)
		r.engines = append(r.engines, e)
		r.doc.Upstreams[i].Address, r.doc.Upstreams[i].ChecksFencing = e.Address(), checksFencing
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range []string{"h1", "h2"} {
		h := &testHost{doc: r.doc, transport: &transport{}}
		h.Issuer = New(Options{
			Store: r.store.Host(name), Hosts: membership.NewStatic(membership.Host{Name: name, DataCentre: "a"}),
			Clock: clock, Log: logrus.NewEntry(log), Events: timeline.NewRecorder(name, timeline.NewClock(clock), 64),
			Documents: func() []*service.Document { return []*service.Document{h.doc} },
			Client:    &http.Client{Transport: h.transport},
		})
		r.hosts = append(r.hosts, h)
	}
	return r
}

// nextGeneration returns the next generation of the document, with another
// version.
func (r *testCluster) nextGeneration(version string) *service.Document {
	next := *r.doc
	next.Generation++
	next.Models = []service.Model{{Name: "m", Version: version}}
	return &next
}

// runRounds runs rounds on the hosts, one interval apart.
func (r *testCluster) runRounds(t *testing.T, rounds int, hosts ...*testHost) {
	for range rounds {
		for _, h := range hosts {
			h.Round(t.Context())
		}
		r.clock.Advance(roundInterval)
	}
}

// verifyOrders checks the orders that each engine received: fencing numbers never
// decrease, orders with the same number are equal, and the last one has the wanted
// version.
func (r *testCluster) verifyOrders(t *testing.T, version string) {
	for i, e := range r.engines {
		got := e.Orders()
		require.NotEmpty(t, got)
		for j := 1; j < len(got); j++ {
			require.GreaterOrEqual(t, got[j].Fencing, got[j-1].Fencing, "engine %d: %+v", i, got)
			if got[j].Fencing == got[j-1].Fencing {
				require.Equal(t, got[j-1], got[j], "engine %d received two different orders under one fencing number", i)
			}
		}
		require.Equal(t, version, got[len(got)-1].Version, "engine %d", i)
	}
}

func withAndWithoutFencing(t *testing.T, run func(t *testing.T, checksFencing bool)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) { run(t, checks) })
	}
}

func TestTwoIssuersNeverSendConflictingOrders(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		r := newTestCluster(t, 3, checks)
		r.runRounds(t, 12, r.hosts...)
		r.verifyOrders(t, "2")
		r.doc = r.nextGeneration("3")
		r.hosts[1].doc = r.doc
		r.runRounds(t, 6, r.hosts...)
		r.hosts[0].doc = r.doc
		r.runRounds(t, 40, r.hosts...)
		r.verifyOrders(t, "3")
	})
}

// TestPausedIssuerDoesNotOverrideItsSuccessor pauses an issuer between reading the
// engines' states and sending its orders. Meanwhile its lease expires and another
// issuer carries out a newer document; the paused one must not undo that.
func TestPausedIssuerDoesNotOverrideItsSuccessor(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		r := newTestCluster(t, 3, checks)
		paused, other := r.hosts[0], r.hosts[1]
		r.runRounds(t, 12, paused)
		r.verifyOrders(t, "2")
		paused.doc = r.nextGeneration("3")
		r.runRounds(t, 1, paused)
		pause, reached := make(chan struct{}), make(chan struct{})
		paused.transport.mu.Lock()
		paused.transport.pause, paused.transport.reached = pause, reached
		paused.transport.mu.Unlock()
		r.clock.Advance(15 * time.Second)
		woken := make(chan struct{})
		go func() {
			defer close(woken)
			paused.Round(t.Context())
		}()
		<-reached
		r.doc = r.nextGeneration("4")
		r.doc.Generation++
		other.doc = r.doc
		r.runRounds(t, 30, other)
		r.verifyOrders(t, "4")
		close(pause)
		<-woken
		r.runRounds(t, 3, r.hosts...)
		r.verifyOrders(t, "4")
	})
}

func TestLostReplyToOrderDoesNotBlockRollout(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		r := newTestCluster(t, 2, checks)
		r.hosts[0].transport.loseReplies = true
		r.runRounds(t, 12, r.hosts[0])
		r.verifyOrders(t, "2")
	})
}

// TestRestartedEngineIsOrderedAgain restarts an engine, which loses its state. The
// issuer must order it again. It also bounds the store calls of an idle issuer.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	r := newTestCluster(t, 2, true)
	r.runRounds(t, 12, r.hosts[0])
	r.verifyOrders(t, "2")
	calls := r.store.Calls("", "")
	r.runRounds(t, 10, r.hosts[0])
	renewals := int(10*roundInterval/(r.doc.Orders.Timeout+clockMargin)) + 1
	require.LessOrEqual(t, r.store.Calls("", "")-calls, 2*renewals)
	r.engines[0].Kill()
	r.runRounds(t, 2, r.hosts[0])
	r.engines[0].Revive()
	r.runRounds(t, 2, r.hosts[0])
	r.verifyOrders(t, "2")
}

// TestPlannedStopReleasesLease checks that after a planned stop the next issuer
// waits only for its own quiet period, not until the lease expires.
func TestPlannedStopReleasesLease(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		r := newTestCluster(t, 2, checks)
		r.runRounds(t, 12, r.hosts[0])
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		errtest.Is(t, r.hosts[0].Serve(ctx), context.Canceled)
		r.doc = r.nextGeneration("3")
		r.hosts[1].doc = r.doc
		quiet := r.doc.Orders.Timeout + clockMargin
		r.runRounds(t, int(quiet/roundInterval)+2, r.hosts[1])
		r.verifyOrders(t, "3")
	})
}

func TestUnavailableStoreSendsNothing(t *testing.T) {
	r := newTestCluster(t, 2, false)
	r.runRounds(t, 12, r.hosts[0])
	r.store.SetOutage(true)
	r.hosts[0].doc = r.nextGeneration("3")
	r.runRounds(t, 20, r.hosts[0])
	r.verifyOrders(t, "2")
	r.store.SetOutage(false)
	r.runRounds(t, 30, r.hosts[0])
	r.verifyOrders(t, "3")
}
