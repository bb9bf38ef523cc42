// Package node assembles the components of one host in a supervisor tree. A program
// that embeds a host calls New, Serve and Stop.
package node

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/escrow"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/orders"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/settings"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Options hold the components that an embedding program can replace or wrap. The
// zero value is usable.
type Options struct {
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
	// Log is the logger; nil means a new one with the format and level of the settings.
	Log *logrus.Logger
	// Store replaces the platform's store; nil means the HTTP client of the store.
	Store kv.Store
	// Balancer replaces the balancer that chooses upstreams; nil means the built-in one.
	Balancer routing.Balancer
	// WrapBalancer wraps the balancer, built in or replaced; nil means no wrapper.
	WrapBalancer func(routing.Balancer) routing.Balancer
	// Admission replaces the admission control of requests; nil means the built-in one.
	Admission limits.Admission
	// WrapPeers wraps the client that the host at an address uses for calls to its
	// peers; nil means no wrapper.
	WrapPeers func(address string, next peer.Invoker) peer.Invoker
}

// Node is one host of the system.
type Node struct {
	settings *settings.Settings
	options  Options
	clock    clockwork.Clock
	log      *logrus.Entry
	registry *prometheus.Registry
	events   *timeline.Recorder
	store    kv.Store
	costs    *accounting.Counters

	peers  *peer.Server
	dialer peer.Invoker
	// closePeers closes the connections of this host to its peers.
	closePeers func()
	hosts      *membership.Gossip
	// upstreams is this host's view of the states of upstreams.
	upstreams *membership.GossipUpstreams
	// loadAware is the built-in balancer; nil if Options.Balancer replaces it.
	loadAware *routing.LoadAware
	config    configPart
	online    onlinePart
	escrow    *escrow.Local
	orders    *orders.Issuer
	batch     batchPart
	gateway   *httpService
	admin     *httpService
	// operators handles the requests of the operators' interface; admin is the HTTP
	// server in front of it.
	operators *admin.Server

	tree     *suture.Supervisor
	stopping atomic.Bool
	cancel   context.CancelFunc
	served   chan struct{}
}

// New creates a node and binds all its addresses. The node does nothing until Serve
// is called.
func New(s *settings.Settings, o Options) (*Node, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = NewLogger(s.Log)
	}
	n := &Node{
		settings: s, options: o, clock: o.Clock, registry: prometheus.NewRegistry(), served: make(chan struct{}),
		log: o.Log.WithFields(logrus.Fields{"host": s.Host, "data_centre": s.DataCentre}),
	}
	n.costs = accounting.NewCounters(n.registry)
	n.events = timeline.NewRecorder(s.Host, timeline.NewClock(o.Clock), s.Timeline.Events)
	n.store = newStore(o.Store, s, n.clock, n.registry)
	if err := n.provision(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// provision creates the components in the order of their dependencies.
func (n *Node) provision() error {
	steps := []func() error{
		n.bindOperators, n.provisionPeers, n.provisionConfig, n.provisionEscrow, n.provisionOnline, n.provisionLedger, n.provisionOrders, n.provisionBatch, n.provisionGateway, n.provisionAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	n.tree = n.newTree()
	return nil
}

// readiness reports whether the load balancer in front of the hosts may send requests
// to this one, with the reasons if not.
func (n *Node) readiness() admin.Readiness {
	lacks := n.hosts.Lacks()
	if n.stopping.Load() {
		lacks = append(lacks, "the host is stopping")
	}
	lacks = append(lacks, n.config.distributor.Lacks()...)
	if len(n.config.holder.Current().Names()) == 0 {
		lacks = append(lacks, "no service document is in force")
	}
	return admin.Readiness{Ready: len(lacks) == 0, Lacks: lacks, Warnings: n.config.distributor.Warnings()}
}

// Readiness reports whether the load balancer in front of the hosts may send requests
// to this one, with the reasons if not, and the warnings for operators.
func (n *Node) Readiness() admin.Readiness { return n.readiness() }

// Ready reports whether the load balancer in front of the hosts may send requests to
// this one.
func (n *Node) Ready() bool { return n.readiness().Ready }

// Metrics returns the registry of the node's metrics.
func (n *Node) Metrics() prometheus.Gatherer { return n.registry }

// Events returns the node's time line.
func (n *Node) Events() *timeline.Recorder { return n.events }

// Config returns the holder of the service documents in force.
func (n *Node) Config() *config.Holder { return n.config.holder }

// Costs returns the node's cost counters.
func (n *Node) Costs() *accounting.Counters { return n.costs }

// CallersAddress returns the bound address of the callers' interface.
func (n *Node) CallersAddress() string { return n.gateway.address() }

// OperatorsAddress returns the bound address of the operators' interface.
func (n *Node) OperatorsAddress() string { return n.admin.address() }

// PeersAddress returns the bound address for traffic between hosts.
func (n *Node) PeersAddress() string { return n.peers.Address() }

// close closes the listeners that provision bound, when New fails.
func (n *Node) close() {
	if n.peers != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.peers.Serve(ctx)
	}
	for _, s := range []*httpService{n.gateway, n.admin} {
		if s != nil {
			_ = s.listener.Close()
		}
	}
}
