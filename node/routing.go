package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/escrow"
	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// newLoadAware returns the host's balancer. The account says whether a request
// may go to another region.
func (n *Node) newLoadAware(account escrow.Account) *routing.LoadAware {
	n.routes = routing.NewLoadAware(routing.Options{
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Hosts: n.hosts, Upstreams: n.upstreams,
		CrossRegion: func(doc *service.Document) bool { return hasRoom(account, doc) },
		Clock:       n.clock, Seed: xxhash.Sum64String(n.settings.Host) ^ uint64(n.clock.Now().UnixNano()),
	})
	n.registry.MustRegister(n.routes)
	return n.routes
}

// newFairQueue returns the host's admission.
func (n *Node) newFairQueue() *limits.FairQueue {
	queue := limits.NewFairQueue(limits.Options{
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Hosts: n.hosts, Upstreams: n.upstreams,
		Clock: n.clock, Seed: uint64(n.clock.Now().UnixNano()), Reports: n.loadReport,
	})
	n.registry.MustRegister(queue)
	return queue
}

// loadReport returns what a service's upstreams reported lately.
func (n *Node) loadReport(name string) limits.LoadReport {
	if n.routes == nil {
		return limits.LoadReport{}
	}
	running, waiting, reports := n.routes.ServiceLoad(name)
	return limits.LoadReport{Running: running, Waiting: waiting, Upstreams: reports}
}

// hasRoom asks an account for one byte and gives it back.
func hasRoom(account escrow.Account, doc *service.Document) bool {
	period, err := account.Spend(doc, 1)
	if err != nil {
		return false
	}
	account.Refund(doc, period, 1)
	return true
}

// newPoller returns the poller of quiet upstreams, or nil without the built-in
// balancer.
func (n *Node) newPoller(client *upstream.Client) *routing.Poller {
	if n.routes == nil {
		return nil
	}
	return &routing.Poller{Balancer: n.routes, Fetch: client.Load}
}

// use returns what this host sees to run under a document: its own work and
// what upstreams report.
func (n *Node) use(name string) config.Usage {
	use := config.Usage{Waiting: n.online.runner.Admission.Waiting(name)}
	for _, s := range n.upstreamStatuses() {
		if s.Service != name {
			continue
		}
		use.Running = max(use.Running, s.Online+s.Batch)
		if s.Load != nil {
			use.Running = max(use.Running, s.Load.Running)
		}
		use.BatchSlots = max(use.BatchSlots, s.Batch)
	}
	return use
}
