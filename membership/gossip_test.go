package membership

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/peer"
)

type liveMember struct {
	*Gossip
	registry *prometheus.Registry
	stop     context.CancelFunc
}

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func startMember(t *testing.T, dc, name string, seeds ...*liveMember) *liveMember {
	s, err := peer.Listen("127.0.0.1:0", nil)
	require.NoError(t, err)
	reg := prometheus.NewRegistry()
	c := peer.NewClient(2*time.Second, nil, peer.WithMetrics(peer.NewMetrics(reg)))
	var addresses []string
	for _, m := range seeds {
		addresses = append(addresses, m.Self().PeerAddress)
	}
	g, err := NewGossip(Options{
		Self: Host{
			Name: name, DataCentre: dc, Region: "r", PeerAddress: s.Address(),
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: addresses, Peers: c, Clock: clockwork.NewRealClock(), Log: discardLogger(), OnAddressRemoved: c.Forget,
	})
	require.NoError(t, err)
	require.NoError(t, g.Register(s))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(ctx) }()
	go func() { _ = g.Serve(ctx) }()
	stop := func() {
		cancel()
		c.Close()
	}
	t.Cleanup(stop)
	return &liveMember{Gossip: g, registry: reg, stop: stop}
}

func TestMembersJoinAndLeaveOverRPC(t *testing.T) {
	a := startMember(t, "a", "one")
	b := startMember(t, "a", "two", a)
	c := startMember(t, "b", "one", a)
	sees := func(m *liveMember, local, remote int) func() bool {
		return func() bool { return len(m.Local()) == local && len(m.Remote()) == remote }
	}
	require.Eventually(t, sees(a, 2, 1), 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, sees(b, 2, 1), 20*time.Second, 5*time.Millisecond)
	require.Eventually(t, sees(c, 1, 2), 20*time.Second, 5*time.Millisecond)

	duplicate := startMember(t, "a", "two", a)
	require.Eventually(t, func() bool {
		lacks := duplicate.Lacks()
		return len(lacks) == 1 && lacks[0] == fmt.Sprintf("the host at %s has the same name, two", b.Self().PeerAddress)
	}, 20*time.Second, 5*time.Millisecond)
	duplicate.stop()

	b.AnnounceLeaving()
	require.Eventually(t, func() bool { return a.Local()[1].State == Leaving }, 20*time.Second, 5*time.Millisecond)
	b.Leave(t.Context())
	b.stop()
	require.Eventually(t, sees(a, 1, 1), 20*time.Second, 5*time.Millisecond)
	require.Empty(t, a.Lacks())
}

// The framing sizes that the simulation assumes must be at least what net/rpc adds
// to a payload, or the traffic tests would measure too little.
func TestSimulatedFramingCoversRPCOverhead(t *testing.T) {
	a := startMember(t, "a", "one")
	b := startMember(t, "a", "two", a)
	require.Eventually(t, func() bool { return len(b.Local()) == 2 }, 20*time.Second, 5*time.Millisecond)
	counts := func() (sent, received, bytesSent, bytesReceived float64) {
		families, err := b.registry.Gather()
		require.NoError(t, err)
		for _, f := range families {
			for _, m := range f.Metric {
				v, direction := m.GetCounter().GetValue(), m.Label[0].GetValue()
				switch {
				case f.GetName() == "comfreyspindle_peer_calls_total" && direction == "sent":
					sent += v
				case f.GetName() == "comfreyspindle_peer_calls_total":
					received += v
				case direction == "sent":
					bytesSent += v
				default:
					bytesReceived += v
				}
			}
		}
		return sent, received, bytesSent, bytesReceived
	}
	news, err := encode(&message{Kind: kindUpdates, From: "two", Incarnation: b.Self().Incarnation})
	require.NoError(t, err)
	s0, r0, bs0, br0 := counts()
	const calls = 200
	for range calls {
		var reply []byte
		require.NoError(t, b.options.Peers.Call(t.Context(), a.Self().PeerAddress, methodDeliver, news, &reply))
	}
	s1, r1, bs1, br1 := counts()
	// The averages include a few probes that the members send themselves.
	request := (bs1-bs0)/(s1-s0) - float64(len(news))
	reply := (br1 - br0) / (r1 - r0)
	t.Logf("framing: request %.1f bytes, reply %.1f bytes", request, reply)
	require.LessOrEqual(t, request, float64(requestFramingBytes))
	require.LessOrEqual(t, reply, float64(replyFramingBytes))
}

func TestUpstreamReportsReachPeersByIncarnation(t *testing.T) {
	a := startMember(t, "a", "one")
	b := startMember(t, "a", "two", a)
	since := uint64(3)
	key := UpstreamKey{Service: "svc", Name: "u"}
	ua := NewGossipUpstreams(a.Gossip, func(UpstreamKey) uint64 { return since })
	ub := NewGossipUpstreams(b.Gossip, func(UpstreamKey) uint64 { return 3 })
	require.Equal(t, Alive, ua.State(key))
	ua.Report(key, Leaving, "header")
	require.Eventually(t, func() bool { return ub.State(key) == Leaving }, 3*time.Second, time.Millisecond)
	ub.Report(key, Alive, "old list")
	ub.Hint(key, Alive)
	require.Equal(t, Leaving, ub.State(key), "a report of alive is not a new incarnation")
	ua.Restarted(key, 7)
	require.Eventually(t, func() bool { return ub.State(key) == Alive }, 3*time.Second, time.Millisecond)
	ub.Hint(key, Leaving)
	require.Equal(t, Alive, ub.State(key), "the upstream's own report of a start outranks a hint")
	ub.Report(key, Gone, "connection refused")
	require.Eventually(t, func() bool { return ua.State(key) == Gone }, 3*time.Second, time.Millisecond)
	ua.Restarted(key, 7)
	require.Equal(t, Gone, ua.State(key), "a start number that is already known changes nothing")
	since = 4
	require.Equal(t, Alive, ua.State(key), "the document gave it a new address")
}

func TestClaimsAreBounded(t *testing.T) {
	c := newClaimTable()
	for i := range maxClaims + 100 {
		c.apply(upstreamClaim{Service: "svc", Name: fmt.Sprint(i), State: Leaving})
	}
	require.Len(t, c.all(), maxClaims)
}

func hintPut(list string, version kv.Version) kv.Put {
	return kv.Put{Key: HintKeys + "svc", Value: []byte(list), If: version}
}

func TestHintsAreReadByFewHosts(t *testing.T) {
	store := kvtest.NewStore(clockwork.NewRealClock())
	key := UpstreamKey{Service: "svc", Name: "u"}
	var all []*liveMember
	var views []*GossipUpstreams
	for i := range 4 {
		m := startMember(t, "a", fmt.Sprintf("host-%d", i), all...)
		all = append(all, m)
		views = append(views, NewGossipUpstreams(m.Gossip, func(UpstreamKey) uint64 { return 1 }))
	}
	for _, m := range all {
		require.Eventually(t, func() bool { return len(m.Local()) == 4 }, 20*time.Second, time.Millisecond)
	}
	for i, m := range all {
		r := &HintReader{
			Store: store.Host(m.Self().Name), Hosts: m, Upstreams: views[i],
			Services: func() []string { return []string{"svc"} }, Clock: clockwork.NewRealClock(), Log: discardLogger(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = r.Serve(ctx) }()
	}
	s := store.Host("platform")
	v, err := s.Put(t.Context(), hintPut(`[{"name":"u","state":"alive"}]`, 0))
	require.NoError(t, err)
	v, err = s.Put(t.Context(), hintPut(`[{"name":"u","state":"leaving"}]`, v))
	require.NoError(t, err)
	for _, view := range views {
		require.Eventually(t, func() bool { return view.State(key) == Leaving }, 3*time.Second, time.Millisecond)
	}
	_, err = s.Put(t.Context(), hintPut(`[{"name":"u","state":"alive"}]`, v))
	require.NoError(t, err)
	readers := 0
	for i, m := range all {
		require.Equal(t, Leaving, views[i].State(key))
		if store.Calls(m.Self().Name, "") > 0 {
			readers++
		}
	}
	require.LessOrEqual(t, readers, hintReadersPerDataCentre)
}
