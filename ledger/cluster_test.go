package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// hostNames are the hosts of a test cluster: two in data centre a, two in b.
var hostNames = []string{"a1", "a2", "b1", "b2"}

// cluster is a few hosts in one process that share a fake store.
type cluster struct {
	store *kvtest.Store
	hosts map[string]*ledger.Service
	net   *network
	doc   *service.Document
}

func newCluster(t testing.TB, shards int, window time.Duration) *cluster {
	clock := clockwork.NewRealClock()
	c := &cluster{
		store: kvtest.NewStore(clock), hosts: make(map[string]*ledger.Service),
		net: &network{receivers: make(map[string]*ledger.Receiver), faults: make(map[string]linkFault)},
		doc: &service.Document{Name: "s", Once: service.Once{Shards: shards, Window: window}},
	}
	var all []membership.Host
	for _, name := range hostNames {
		all = append(all, membership.Host{Name: name, DataCentre: name[:1], PeerAddress: name})
	}
	for i, self := range all {
		others := append(append([]membership.Host(nil), all[:i]...), all[i+1:]...)
		s := ledger.New(ledger.Options{
			Store: c.store.Host(self.Name), Hosts: membership.NewStatic(self, others...),
			Peers: c.net, Clock: clock, BatchesPerSecond: 1000,
		})
		require.NoError(t, s.Register(&registrar{c.net, self.Name}))
		c.hosts[self.Name] = s
	}
	// Lets the shard writers finish before the synctest bubble ends.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return c
}

// claim claims a key on a host.
func (c *cluster) claim(host, key, request string) (ledger.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return c.hosts[host].Claim(ctx, c.doc, ledger.Key{Service: "s", Caller: "c", Value: key}, request)
}

// writer returns the host in a data centre that writes shard 0.
func (c *cluster) writer(dataCentre string) string {
	var local []membership.Host
	for _, name := range hostNames {
		if name[:1] == dataCentre {
			local = append(local, membership.Host{Name: name})
		}
	}
	return membership.Rendezvous(local, "ledger/s/0", 1)[0].Name
}

// nonWriter returns the host in a data centre that does not write shard 0.
func (c *cluster) nonWriter(dataCentre string) string {
	for _, name := range hostNames {
		if name[:1] == dataCentre && name != c.writer(dataCentre) {
			return name
		}
	}
	return ""
}

// linkFault is what happens to calls to a host.
type linkFault uint8

const (
	linkUp linkFault = iota
	linkDown
	linkLosesReplies
)

// network carries the calls between the hosts of a cluster.
type network struct {
	mu        sync.Mutex
	receivers map[string]*ledger.Receiver
	faults    map[string]linkFault
	// dropSettlements makes the network drop settlements and report success.
	dropSettlements bool
}

type registrar struct {
	net  *network
	host string
}

func (r *registrar) Register(_ string, receiver any) error {
	r.net.receivers[r.host] = receiver.(*ledger.Receiver)
	return nil
}

func (n *network) setFault(host string, f linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[host] = f
}

// Call implements peer.Invoker.
func (n *network) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	f := n.faults[address]
	n.mu.Unlock()
	if f == linkDown {
		return errors.Wrap(peer.ErrUnreachable, "link down")
	}
	done := make(chan error, 1)
	var claimed ledger.ClaimReply
	go func() {
		switch a := args.(type) {
		case ledger.ClaimArgs:
			done <- n.receivers[address].Claim(a, &claimed)
		case ledger.SettleArgs:
			if n.dropSettlements {
				done <- nil
				return
			}
			done <- n.receivers[address].Settle(a, &ledger.SettleReply{})
		default:
			done <- fmt.Errorf("method %s", method)
		}
	}()
	if f == linkLosesReplies {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case err := <-done:
		if r, ok := reply.(*ledger.ClaimReply); ok {
			*r = claimed
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requireNotRun checks that a claim was refused with verdict NotRun and a delay
// for the retry.
func requireNotRun(t testing.TB, err error) {
	require.Error(t, err)
	e := verdict.As(err)
	require.Equal(t, verdict.NotRun, e.Verdict, "%v", err)
	require.Positive(t, e.RetryAfter)
}
