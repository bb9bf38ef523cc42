package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/membership/registry"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// peerName is the net/rpc service name of Peer.
const peerName = "Host"

// Interval and timeout of state fetches from peers.
const (
	// stateFetchInterval is the time between fetches while the store is
	// unavailable and no broker sends updates, or while there is no
	// configuration.
	stateFetchInterval = 400 * time.Millisecond
	stateFetchTimeout  = 500 * time.Millisecond
)

// StateArgs are the arguments of State, Ping and Confirmation.
type StateArgs struct {
	// ConfigVersion is the version of the configuration that the requesting host has, or 0.
	// Hosts of older builds fetch the configuration by State, others by Config.
	ConfigVersion int64
	// ReadsReport reports that the requesting host reads StateReply.Report. Hosts of older
	// builds read Hosts.
	ReadsReport bool
}

// WaitLimit implements peer.Repeatable.
func (StateArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable. The methods only read what the host has, or let it look
// at its own record.
func (a StateArgs) Repeated() any { return a }

// StateReply is the reply of State.
type StateReply struct {
	// Config is empty unless it is newer than the requesting host's
	// configuration.
	Config []byte
	// Report is what the host knows of all hosts, itself included. Replies of older builds,
	// and those to them, have only the Hosts.
	Report   *registry.Report
	Hosts    []membership.Host
	Replicas []replica.Replica
	// HaveReplicas reports that Replicas comes from the replica records. If
	// false, an empty Replicas doesn't mean that there are none.
	HaveReplicas bool
	// RecordsRev is that of slots.PollReply.
	RecordsRev txn.Rev
	// ReplicasCurrent reports that the records come from the store, or from a broker
	// that the store answered, and were up to date lately.
	ReplicasCurrent bool
	// Quarantine holds what is refused since it crashes replicas.
	Quarantine quarantine.Notice
	// ConfirmedVersion and ConfirmedAge are those of slots.Notice.
	ConfirmedVersion int64
	ConfirmedAge     time.Duration
	// Current reports that the host is the broker of its data centre, has the
	// replica records, and can reach the store.
	Current bool
}

// PingReply is the empty reply of Ping.
type PingReply struct{}

// Peer serves the calls of peers to this host.
type Peer struct{ host *Host }

// State returns the membership view and the replica records that this host has and, for hosts of
// older builds, the configuration.
func (p *Peer) State(args StateArgs, reply *StateReply) error {
	if encoded, version := p.host.config.current(); version > args.ConfigVersion {
		reply.Config = encoded
	}
	if args.ReadsReport {
		report := p.host.presence.Report()
		reply.Report = &report
	} else {
		reply.Hosts = membership.All(p.host.view)
	}
	reply.HaveReplicas = p.host.replicas.haveRecords()
	reply.Replicas, reply.RecordsRev = p.host.replicas.snapshotAt()
	reply.ReplicasCurrent = p.host.replicasCurrent()
	reply.Quarantine = p.host.broker.Quarantined()
	if version, age, ok := p.host.lastConfirmed(); ok {
		reply.ConfirmedVersion, reply.ConfirmedAge = version, age
	}
	reply.Current = p.host.slotClient.IsBroker() && p.host.replicas.isCurrent() && p.host.hasStore()
	return nil
}

// Ping succeeds unless the host is stopping. Only hosts for which the record of the called
// one is gone call it.
func (p *Peer) Ping(_ StateArgs, _ *PingReply) error {
	if p.host.stopping.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.")
	}
	p.host.presence.Recheck()
	return nil
}

// stateFetcher fetches state from peers while this host gets none from the
// store, or no confirmation of its configuration.
type stateFetcher struct {
	host  *Host
	seeds []string
	clock clockwork.Clock
	rng   *rand.Rand
	log   *logrus.Entry
}

// Serve fetches state at intervals, as long as it is needed, until ctx ends.
func (f *stateFetcher) Serve(ctx context.Context) error {
	for {
		if f.host.lacksUpdates() || f.host.config.Table() == nil || f.host.lacksConfirmation() {
			f.fetchOnce(ctx)
		}
		if wait.For(ctx, f.clock, stateFetchInterval); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (f *stateFetcher) String() string { return "neighbours" }

// fetchOnce fetches the state of one peer chosen at random. A host without
// replica records chooses among the hosts that keep them, and any other host
// among the brokers of other data centres. Without such peers the seed
// addresses are used.
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
		f.fetchConfig(ctx, address)
		report, err := f.host.fetchState(ctx, address)
		if err != nil {
			// fetchState has logged the error; the next fetch may choose another peer.
			return
		}
		if f.host.presence.Merge(ctx, report.sent, report.Report) {
			// The broker's next notice may take back what a peer knew.
			f.host.hostsVersion.Store(0)
		}
	}
}

// fetchConfig gets the configuration of a peer if it is newer than that of this host.
func (f *stateFetcher) fetchConfig(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, f.host.configFetcher.timeout)
	defer cancel()
	if err := f.host.fetchConfig(ctx, address); err != nil {
		f.log.WithError(err).WithField("address", address).Warn("can't fetch the configuration of a peer")
	}
}

// fetchedReport is a report of a peer and when it was requested, by bootTime.
type fetchedReport struct {
	registry.Report
	sent time.Duration
}

// lacksUpdates reports whether the store does not answer this host and no broker with an
// available store has replied lately, so that the records of this host may be
// stale.
func (h *Host) lacksUpdates() bool { return !h.hasStore() && h.slotClient.RecordsStale() }

// replicasCurrent reports whether the replica records of this host were up to date
// lately.
func (h *Host) replicasCurrent() bool {
	watching := h.slotClient.IsBroker() && h.replicas.isCurrent() && h.hasStore()
	return watching || h.replicas.haveRecords() && h.slotClient.ReceivesRecords()
}

// fetchState fetches a peer's state but its configuration. It takes the peer's replica records if
// this host has none, or if its own may be stale and the peer's are current. Records that are not
// up to date may name replicas that have left, so a host without any takes them only if it can't
// read the store. It returns what the peer knows of the hosts.
func (h *Host) fetchState(ctx context.Context, address string) (fetchedReport, error) {
	var reply StateReply
	sent := h.bootTime()
	callCtx, cancel := context.WithTimeout(ctx, stateFetchTimeout)
	defer cancel()
	if err := h.peerClient.Call(callCtx, address, peerName+".State", StateArgs{ConfigVersion: noConfigVersion, ReadsReport: true}, &reply); err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{"address": address, "took_ms": (h.bootTime() - sent).Milliseconds()}).Warn("can't fetch state from peer")
		return fetchedReport{}, err
	}
	if reply.ConfirmedVersion != 0 {
		h.handleConfirmation(reply.ConfirmedVersion, sent, reply.ConfirmedAge)
	}
	h.quarantine.apply(reply.Quarantine)
	usable := reply.HaveReplicas && (reply.ReplicasCurrent || h.storeUnavailable())
	if reply.Current && h.lacksUpdates() || usable && !h.replicas.haveRecords() {
		entry := h.log.WithFields(logrus.Fields{"address": address, "replicas": len(reply.Replicas), "current": reply.ReplicasCurrent, "rev": reply.RecordsRev})
		if newer := h.replicas.replaceFromPeer(reply.Replicas, reply.RecordsRev); newer != 0 {
			entry.WithField("own_rev", newer).Info("replica records of a peer are older than those of this host")
		} else {
			entry.Info("replica records taken from peer")
		}
	}
	if reply.Report == nil {
		return fetchedReport{registry.Hearsay(reply.Hosts), sent}, nil
	}
	return fetchedReport{*reply.Report, sent}, nil
}

// handleNotice lets the broker's configuration be fetched if it is newer than this host's, and
// fetches its membership view if that has changed since the last notice. This host
// follows the view only if the broker's store is available.
func (h *Host) handleNotice(broker membership.Host, n slots.Notice) {
	h.configFetcher.want(n.ConfigVersion, broker.PeerAddress)
	if h.hostsVersion.Swap(n.HostsVersion) == n.HostsVersion {
		return
	}
	go func() {
		ctx := context.Background()
		report, err := h.fetchState(ctx, broker.PeerAddress)
		if err != nil {
			h.hostsVersion.Store(0)
			return
		}
		if !n.Current {
			h.presence.Merge(ctx, report.sent, report.Report)
			return
		}
		h.presence.Follow(ctx, report.sent, report.Report)
		h.presence.RecheckIfMissing(report.Members())
	}()
}
