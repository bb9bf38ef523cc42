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

// newLoadAware creates the built-in balancer and registers its metrics. The balancer
// considers upstreams in other regions only if the account has bytes left.
func (n *Node) newLoadAware(account escrow.Account) *routing.LoadAware {
	n.loadAware = routing.NewLoadAware(routing.Options{
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Hosts: n.hosts, Upstreams: n.upstreams,
		CrossRegion: func(doc *service.Document) bool { return hasCrossRegionBudget(account, doc) },
		Clock:       n.clock, Seed: xxhash.Sum64String(n.settings.Host) ^ uint64(n.clock.Now().UnixNano()),
	})
	n.registry.MustRegister(n.loadAware)
	return n.loadAware
}

// newFairQueue creates the built-in admission control and registers its metrics.
func (n *Node) newFairQueue() *limits.FairQueue {
	queue := limits.NewFairQueue(limits.Options{
		DataCentre: n.settings.DataCentre, Region: n.settings.Region, Hosts: n.hosts, Upstreams: n.upstreams,
		Clock: n.clock, Seed: uint64(n.clock.Now().UnixNano()), Reports: n.loadReport,
	})
	n.registry.MustRegister(queue)
	return queue
}

// loadReport returns the load that a service's upstreams have reported recently, or
// the zero value without the built-in balancer.
func (n *Node) loadReport(name string) limits.LoadReport {
	if n.loadAware == nil {
		return limits.LoadReport{}
	}
	running, waiting, reports := n.loadAware.ServiceLoad(name)
	return limits.LoadReport{Running: running, Waiting: waiting, Upstreams: reports}
}

// hasCrossRegionBudget reports whether the account has bytes left for a request to
// another region. It spends one byte and refunds it. An account that has run out
// requests a larger allotment, if the document's ceiling allows it.
func hasCrossRegionBudget(account escrow.Account, doc *service.Document) bool {
	period, err := account.Spend(doc, 1)
	if err != nil {
		return false
	}
	account.Refund(doc, period, 1)
	return true
}

// newPoller returns the poller of upstreams that have sent no recent load report, or
// nil without the built-in balancer.
func (n *Node) newPoller(client *upstream.Client) *routing.Poller {
	if n.loadAware == nil {
		return nil
	}
	return &routing.Poller{Balancer: n.loadAware, Fetch: client.Load}
}

// usage returns the current load of a service as far as this host knows it: its own
// requests and batch items, and the load that upstreams report.
func (n *Node) usage(name string) config.Usage {
	usage := config.Usage{Waiting: n.online.runner.Admission.Waiting(name)}
	for _, s := range n.upstreamStatuses() {
		if s.Service != name {
			continue
		}
		usage.Running = max(usage.Running, s.Online+s.Batch)
		if s.Load != nil {
			usage.Running = max(usage.Running, s.Load.Running)
		}
		usage.BatchSlots = max(usage.BatchSlots, s.Batch)
	}
	return usage
}
