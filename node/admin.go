package node

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/routing"
)

// bindOperators binds the operators' address, which other hosts learn with the
// host's membership.
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

// upstreamStatuses returns the upstreams as the built-in balancer sees them.
func (n *Node) upstreamStatuses() []routing.Status {
	if n.loadAware == nil {
		return nil
	}
	return n.loadAware.Statuses()
}
