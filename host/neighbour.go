package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// neighbourName is the name under which hosts tell each other what they know.
const neighbourName = "Host"

// Times of calls to neighbours.
const (
	// askInterval is how often a neighbour is asked while the store doesn't
	// answer.
	askInterval = 400 * time.Millisecond
	askTimeout  = 500 * time.Millisecond
)

// StateArgs say what the asking host has.
type StateArgs struct{ ConfigVersion int64 }

// StateReply is what a host knows.
type StateReply struct {
	// Config is empty when it is no newer than the asking host's.
	Config   []byte
	Hosts    []membership.Host
	Replicas []replica.Replica
	// HaveReplicas says that Replicas are records, not their absence.
	HaveReplicas bool
	// Current says that the host reads them from the store and that the store
	// answers it.
	Current bool
}

// PingReply is empty.
type PingReply struct{}

// Neighbour serves the calls of other hosts.
type Neighbour struct{ host *Host }

// State tells what this host knows.
func (n *Neighbour) State(args StateArgs, reply *StateReply) error {
	if text, version := n.host.config.text(); version > args.ConfigVersion {
		reply.Config = text
	}
	reply.Hosts = membership.All(n.host.view)
	reply.Replicas, reply.HaveReplicas = n.host.replicas.snapshot(), n.host.replicas.haveRecords()
	reply.Current = n.host.places.IsBroker() && n.host.replicas.current() && !n.host.storeAway()
	return nil
}

// Ping answers while the host takes work.
func (n *Neighbour) Ping(_ StateArgs, _ *PingReply) error {
	if n.host.stopping.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.")
	}
	return nil
}

// asker asks neighbours for what the store doesn't tell.
type asker struct {
	host  *Host
	seeds []string
	clock clockwork.Clock
	rng   *rand.Rand
	log   *logrus.Entry
}

// Serve asks until ctx ends.
func (a *asker) Serve(ctx context.Context) error {
	for {
		if a.host.uninformed() || a.host.config.Table() == nil {
			a.ask(ctx)
		}
		if wait.For(ctx, a.clock, askInterval); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (a *asker) String() string { return "neighbours" }

// ask asks one host, drawn by lot: one that holds the replicas' records, or a
// broker of another data centre when this host has older ones.
func (a *asker) ask(ctx context.Context) {
	view := a.host.view
	self := view.Self()
	var addresses []string
	hosts := a.host.places.RecordHolders()
	if a.host.replicas.haveRecords() {
		hosts = a.host.places.RemoteBrokers()
	}
	for _, h := range hosts {
		if h.Name != self.Name {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = a.seeds
	}
	if len(addresses) == 0 {
		return
	}
	if address := addresses[a.rng.IntN(len(addresses))]; address != self.PeerAddress {
		// What goes wrong is logged there; another host is asked next.
		_, _ = a.host.learnFrom(ctx, address)
	}
}

// uninformed reports whether neither the store nor a broker that it answers has
// told this host of changes lately.
func (h *Host) uninformed() bool { return h.storeAway() && h.places.RecordsStale() }

// learnFrom takes what another host knows.
func (h *Host) learnFrom(ctx context.Context, address string) (StateReply, error) {
	_, version := h.config.text()
	var reply StateReply
	bound, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if err := h.calls.Call(bound, address, neighbourName+".State", StateArgs{ConfigVersion: version}, &reply); err != nil {
		h.log.WithError(err).WithField("address", address).Warn("neighbour doesn't answer")
		return reply, err
	}
	if len(reply.Config) > 0 {
		h.config.offer(reply.Config, address)
	}
	h.presence.Learn(reply.Hosts)
	if reply.Current && h.uninformed() || reply.HaveReplicas && !h.replicas.haveRecords() {
		h.replicas.learned(reply.Replicas)
	}
	return reply, nil
}

// told fetches what a broker knows and this host doesn't.
func (h *Host) told(broker membership.Host, n slots.Notice) {
	_, own := h.config.text()
	hosts := h.hostsSeen.Swap(n.HostsVersion) != n.HostsVersion
	if n.ConfigVersion <= own && !hosts {
		return
	}
	go func() {
		reply, err := h.learnFrom(context.Background(), broker.PeerAddress)
		if err != nil {
			h.hostsSeen.Store(0)
			return
		}
		if n.Current {
			h.presence.Adopt(reply.Hosts)
		}
	}()
}
