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
const peerName = "Host"

// Times of calls to neighbours.
const (
	// askInterval is how often a neighbour is asked while the store doesn't
	// answer.
	stateFetchInterval = 400 * time.Millisecond
	stateFetchTimeout  = 500 * time.Millisecond
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

// Peer serves the calls of other hosts.
type Peer struct{ host *Host }

// State tells what this host knows.
func (p *Peer) State(args StateArgs, reply *StateReply) error {
	if encoded, version := p.host.config.current(); version > args.ConfigVersion {
		reply.Config = encoded
	}
	reply.Hosts = membership.All(p.host.view)
	reply.Replicas, reply.HaveReplicas = p.host.replicas.snapshot(), p.host.replicas.haveRecords()
	reply.Current = p.host.slotClient.IsBroker() && p.host.replicas.isCurrent() && !p.host.storeUnavailable()
	return nil
}

// Ping answers while the host takes work.
func (p *Peer) Ping(_ StateArgs, _ *PingReply) error {
	if p.host.stopping.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.")
	}
	return nil
}

// asker asks neighbours for what the store doesn't tell.
type stateFetcher struct {
	host  *Host
	seeds []string
	clock clockwork.Clock
	rng   *rand.Rand
	log   *logrus.Entry
}

// Serve asks until ctx ends.
func (f *stateFetcher) Serve(ctx context.Context) error {
	for {
		if f.host.lacksUpdates() || f.host.config.Table() == nil {
			f.fetchOnce(ctx)
		}
		if wait.For(ctx, f.clock, stateFetchInterval); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (f *stateFetcher) String() string { return "neighbours" }

// ask asks one host, drawn by lot: one that holds the replicas' records, or a
// broker of another data centre when this host has older ones.
func (f *stateFetcher) fetchOnce(ctx context.Context) {
	view := f.host.view
	self := view.Self()
	var addresses []string
	hosts := f.host.slotClient.RecordHolders()
	if f.host.replicas.haveRecords() {
		hosts = f.host.slotClient.RemoteBrokers()
	}
	for _, h := range hosts {
		if h.Name != self.Name {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		addresses = f.seeds
	}
	if len(addresses) == 0 {
		return
	}
	if address := addresses[f.rng.IntN(len(addresses))]; address != self.PeerAddress {
		// What goes wrong is logged there; another host is asked next.
		_, _ = f.host.fetchState(ctx, address)
	}
}

// uninformed reports whether neither the store nor a broker that it answers has
// told this host of changes lately.
func (h *Host) lacksUpdates() bool { return h.storeUnavailable() && h.slotClient.RecordsStale() }

// learnFrom takes what another host knows.
func (h *Host) fetchState(ctx context.Context, address string) (StateReply, error) {
	_, version := h.config.current()
	var reply StateReply
	callCtx, cancel := context.WithTimeout(ctx, stateFetchTimeout)
	defer cancel()
	if err := h.peerClient.Call(callCtx, address, peerName+".State", StateArgs{ConfigVersion: version}, &reply); err != nil {
		h.log.WithError(err).WithField("address", address).Warn("neighbour doesn't answer")
		return reply, err
	}
	if len(reply.Config) > 0 {
		h.config.setIfNewer(reply.Config, address)
	}
	h.presence.AddFromPeer(reply.Hosts)
	if reply.Current && h.lacksUpdates() || reply.HaveReplicas && !h.replicas.haveRecords() {
		h.replicas.replaceFromPeer(reply.Replicas)
	}
	return reply, nil
}

// told fetches what a broker knows and this host doesn't.
func (h *Host) handleNotice(broker membership.Host, n slots.Notice) {
	_, version := h.config.current()
	hostsChanged := h.hostsVersion.Swap(n.HostsVersion) != n.HostsVersion
	if n.ConfigVersion <= version && !hostsChanged {
		return
	}
	go func() {
		reply, err := h.fetchState(context.Background(), broker.PeerAddress)
		if err != nil {
			h.hostsVersion.Store(0)
			return
		}
		if n.Current {
			h.presence.ReplaceFromPeer(reply.Hosts)
		}
	}()
}
