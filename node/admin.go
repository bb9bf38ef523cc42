package node

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/routing"
)

// bindOperators binds the listener of the operators' interface. It must run before
// provisionPeers, which announces the bound address to the peers.
func (n *Node) bindOperators() error {
	l, err := net.Listen("tcp", n.settings.Listen.Operators)
	if err != nil {
		return errors.Wrap(err, n.settings.At("listen.operators"))
	}
	n.admin = newHTTPService("operators", l, nil, n.settings.Gateway)
	return nil
}

func (n *Node) provisionAdmin() error {
	n.operators = &admin.Server{
		Config: n.config.holder, Editor: n.config.editor, Hosts: n.hosts, Events: n.events,
		Metrics: n.registry, Ready: n.readiness, Clock: n.clock, Costs: n.costs, Jobs: n.batch.manager,
		Upstreams: n.upstreamStatuses, TokenSHA256: n.settings.Operators.TokenSHA256,
	}
	n.admin.server.Handler = n.operators.Handler()
	return nil
}

// upstreamStatuses returns the built-in balancer's view of the upstreams, or nil if
// the balancer was replaced.
func (n *Node) upstreamStatuses() []routing.Status {
	if n.loadAware == nil {
		return nil
	}
	return n.loadAware.Statuses()
}
