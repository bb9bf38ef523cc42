package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/gateway"
	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/online"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/retry"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Limits of the connections to upstreams.
const (
	upstreamDialTimeout = 2 * time.Second
	upstreamIdleConns   = 64
)

// onlinePart holds the components that serve online requests.
type onlinePart struct {
	balancer routing.Balancer
	client   *upstream.Client
	guard    *quarantine.Detector
	runner   *online.Runner
	gateway  *gateway.Gateway
}

func (n *Node) provisionOnline() error {
	client := upstream.NewClient(upstream.ClientOptions{DialTimeout: upstreamDialTimeout, IdleConns: upstreamIdleConns})
	balancer := n.newBalancer()
	if n.options.WrapBalancer != nil {
		balancer = n.options.WrapBalancer(balancer)
	}
	guard, err := n.newGuard(client)
	if err != nil {
		return err
	}
	n.online = onlinePart{balancer: balancer, client: client, guard: guard, runner: &online.Runner{
		Admission: n.newAdmission(), Balancer: balancer, Guard: guard, Ledger: ledger.Unavailable{},
		Budgets: retry.NewBudgets(n.clock), Escrow: n.escrow, Costs: n.costs, Region: n.settings.Region,
		Client: client, Events: n.events, Clock: n.clock, Log: n.log.WithField("part", "online"),
		Metrics: online.NewMetrics(n.registry),
	}}
	return nil
}

// newGuard returns the detector of requests that crash upstreams.
func (n *Node) newGuard(client *upstream.Client) (*quarantine.Detector, error) {
	guard := quarantine.NewDetector(quarantine.Options{
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, View: n.hosts, Peers: n.dialer, Alive: client.Alive,
		Document: func(name string) (*service.Document, bool) { return n.config.holder.Current().Service(name) },
		Services: func() []string { return n.config.holder.Current().Names() },
		Store:    n.store, Events: n.events, Clock: n.clock, Log: n.log.WithField("part", "quarantine"),
	})
	return guard, n.peers.Register(quarantine.PeerName, guard.Peer())
}

// newBalancer returns the balancer of the options, or else the built-in one.
func (n *Node) newBalancer() routing.Balancer {
	if n.options.Balancer != nil {
		return n.options.Balancer
	}
	return n.newLoadAware(n.escrow)
}

// newAdmission returns the admission control of the options, or else the built-in one.
func (n *Node) newAdmission() limits.Admission {
	if n.options.Admission != nil {
		return n.options.Admission
	}
	return n.newFairQueue()
}

func (n *Node) provisionGateway() error {
	l, err := net.Listen("tcp", n.settings.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, n.settings.At("listen.callers"))
	}
	n.online.gateway = &gateway.Gateway{
		Config: n.config.holder, Runner: n.online.runner, Batches: n.batch.manager,
		Limits: n.settings.Gateway, Log: n.log.WithField("part", "gateway"),
		Intake:   intake.NewBudget(n.settings.Gateway.MaxHeldBytes, n.clock, n.log.WithField("part", "gateway")),
		Requests: shutdown.NewRequests(n.clock, n.log.WithField("part", "gateway")),
	}
	n.gateway = newHTTPService("callers", l, n.online.gateway.Handler(), n.settings.Gateway)
	return nil
}
