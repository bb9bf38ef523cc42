package ledger_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// TestClaimOverPeerConnections makes claims over real connections between two
// hosts. Either host is the writer of some shards. Only the first claim of a
// key wins.
func TestClaimOverPeerConnections(t *testing.T) {
	ctx := t.Context()
	store := kvtest.NewStore(clockwork.NewRealClock())
	doc := &service.Document{Name: "s", Once: service.Once{Shards: 4, Window: day}}
	var hosts []membership.Host
	var servers []*peer.Server
	for _, name := range []string{"a1", "a2"} {
		srv, err := peer.Listen("127.0.0.1:0", nil)
		require.NoError(t, err)
		servers = append(servers, srv)
		hosts = append(hosts, membership.Host{Name: name, DataCentre: "a", PeerAddress: srv.Address()})
	}
	var services []*ledger.Service
	for i, self := range hosts {
		client := peer.NewClient(5*time.Second, nil)
		t.Cleanup(client.Close)
		s := ledger.New(ledger.Options{
			Store: store.Host(self.Name), Hosts: membership.NewStatic(self, hosts[1-i]),
			Peers: client, Clock: clockwork.NewRealClock(), BatchesPerSecond: 1000,
		})
		require.NoError(t, s.Register(servers[i]))
		services = append(services, s)
		go func() { _ = servers[i].Serve(ctx) }()
	}
	for _, value := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		key := ledger.Key{Service: "s", Caller: "c", Value: value, Made: time.Now()}
		first, err := services[0].Claim(ctx, doc, key, "first")
		require.NoError(t, err)
		require.True(t, first.Won)
		repeat, err := services[1].Claim(ctx, doc, key, "repeat")
		require.NoError(t, err)
		require.False(t, repeat.Won)
		require.Equal(t, "first", repeat.RequestID)
		services[0].Settle(doc, first, verdict.Ran)
	}
	require.Eventually(t, func() bool {
		c, err := services[1].Claim(context.Background(), doc, ledger.Key{Service: "s", Caller: "c", Value: "k1"}, "later")
		return err == nil && c.Ran
	}, 30*time.Second, 50*time.Millisecond)
	require.Zero(t, store.Calls("a1", kvtest.OpDelete))
}
