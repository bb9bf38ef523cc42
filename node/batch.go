package node

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/routing"
)

// batchPart holds the component that accepts and runs batch jobs.
type batchPart struct {
	manager *batch.Manager
}

func (n *Node) provisionBatch() error {
	limits := run.DefaultLimits()
	if n.settings.DataFolder != "" {
		limits.SpillFolder = filepath.Join(n.settings.DataFolder, "batch")
		if err := os.MkdirAll(limits.SpillFolder, 0o700); err != nil {
			return errors.Wrap(err, "data_folder")
		}
	}
	self := n.hosts.Self()
	n.batch.manager = batch.NewManager(batch.Options{
		KV: n.store, Config: n.config.holder, Client: n.online.client, ActivityReader: n.activityReader(),
		Guard: n.online.runner.Guard, Hosts: n.hosts, Upstreams: n.upstreams, Peers: n.dialer,
		Events: n.events, Costs: n.costs, Clock: n.clock, Log: n.log.WithField("part", "batch"),
		Owner:  store.Owner{Host: self.Name, Address: self.PeerAddress, Incarnation: self.Incarnation},
		Timing: run.DefaultTiming(), Limits: limits, MaxLineBytes: n.settings.Gateway.MaxLineBytes,
	})
	return n.batch.manager.Register(n.peers)
}

// activityReader returns the source of the online activity on replicas: the balancer,
// if it implements routing.ActivityReader, or else a tracker that wraps the balancer
// and takes its place.
func (n *Node) activityReader() routing.ActivityReader {
	if o, ok := n.online.balancer.(routing.ActivityReader); ok {
		return o
	}
	t := batch.NewActivityTracker(n.online.balancer, n.clock)
	n.online.balancer, n.online.runner.Balancer = t, t
	return t
}

// drainBatch stops batch work on this host and hands its segments over to peers.
func (n *Node) drainBatch(ctx context.Context) { n.batch.manager.Drain(ctx) }
