package quota

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/internal/porttest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
)

// wires are services that call each other in memory.
type wires struct {
	mu       sync.Mutex
	services map[string]*Service
	down     map[string]bool
	calls    int
}

func (w *wires) Call(_ context.Context, address, method string, args, reply any) error {
	w.mu.Lock()
	w.calls++
	s, down := w.services[address], w.down[address]
	w.mu.Unlock()
	if down || method != PeerName+".Exchange" {
		return errUnreachable
	}
	return s.Peer().Exchange(args.(ExchangeArgs), reply.(*ExchangeReply))
}

func (w *wires) setDown(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[name] = true
}

func (w *wires) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// startServices starts services of two data centres. The first host of each is its broker,
// which both of its hosts poll.
func startServices(t *testing.T, enabled bool) *wires {
	w := &wires{services: make(map[string]*Service), down: make(map[string]bool)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all []membership.Host
	for _, name := range []string{"x1", "x2", "y1", "y2"} {
		all = append(all, membership.Host{Name: name, PeerAddress: name, DataCentre: name[:1]})
	}
	limit := customer.Quota{PerSecond: 40, Burst: 40}
	for i, h := range all {
		others := append(append([]membership.Host{}, all[:i]...), all[i+1:]...)
		w.services[h.Name] = NewService(Options{
			Tolerance: testTolerance, View: membership.NewStatic(h, others...), Listed: func() bool { return true }, Registered: func() bool { return true }, Peers: w,
			Enabled: func() bool { return enabled }, Limits: func(name string) (customer.Quota, int64, bool) { return limit, 1, enabled && name == "c" },
			Now: boottime.Now, Clock: clockwork.NewRealClock(), Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for name, s := range w.services {
		broker := w.services[name[:1]+"1"]
		running.Go(func() { _ = s.Serve(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				broker.Polled(name, s.PollAttachment(name[:1]+"1"))
				time.Sleep(20 * time.Millisecond)
				s.PollReplied(name[:1]+"1", broker.PollStamp())
			}
		})
	}
	return w
}

// The loops of the services don't exchange, don't wake for a request that waits, or don't
// go over to the next allocator.
func TestServicesExchangeAndReplaceTheAllocator(t *testing.T) {
	w := startServices(t, true)
	admitted := func() bool { _, ok := w.services["x1"].Take("c", 0); return ok }
	require.Eventually(t, admitted, 5*time.Second, 20*time.Millisecond)
	broker := w.services["x1"]
	broker.mu.Lock()
	allocator := broker.current.Name
	broker.mu.Unlock()
	w.setDown(allocator)
	require.Eventually(t, func() bool {
		broker.mu.Lock()
		defer broker.mu.Unlock()
		return broker.current.Name != allocator || allocator == "x1"
	}, 3*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	for range 10 {
		require.True(t, admitted())
		time.Sleep(50 * time.Millisecond)
	}
	refused := 0
	for range 300 {
		if refusal, ok := broker.Take("c", 0); !ok {
			refused++
			require.Positive(t, refusal.RetryAfter)
			require.Equal(t, int64(1), refusal.ConfigVersion)
		}
	}
	require.Greater(t, refused, 150)
}

// The method can't be called over the hosts' network, or fields get lost on the way.
func TestExchangeOverTheNetwork(t *testing.T) {
	n := settled(1)
	allocator := n.nodeOf(n.nodes[0].current.Name)
	address := porttest.Free(t)
	server, err := peer.Listen(address, nil)
	require.NoError(t, err)
	require.NoError(t, server.Register(PeerName, allocator.Peer()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	args := ExchangeArgs{Broker: "b", ConfigVersion: 1, Wants: []Want{{Customer: "c", Tokens: 3, PerSecond: 1, Burst: 1}, {Customer: "c", Tokens: 1000}}}
	reply := new(ExchangeReply)
	require.NoError(t, peer.NewClient(second, nil).Call(ctx, address, PeerName+".Exchange", args, reply))
	require.Equal(t, 3, reply.Answers[0].Tokens)
	require.Positive(t, reply.Answers[1].EmptyFor)
	require.Equal(t, Stamp{Process: allocator.allocator.brokers.process, At: n.now}, reply.Stamp)
	require.Equal(t, 60, reply.Fleet.KnownHosts)
	require.True(t, reply.Fleet.HadMajority)
}

// Without customers messages are sent or hosts are counted.
func TestWithoutCustomersNothingIsSent(t *testing.T) {
	w := startServices(t, false)
	_, ok := w.services["x1"].Take("c", 0)
	require.True(t, ok)
	time.Sleep(600 * time.Millisecond)
	require.Zero(t, w.callCount())
	require.Zero(t, w.services["x1"].PollAttachment("x1"))
	require.Zero(t, w.services["x1"].PollStamp())
}
