package node

import "github.com/comfreyspindle/comfreyspindle/batch"

// batchPart accepts and runs batch jobs.
type batchPart struct {
	manager *batch.Manager
}

func (n *Node) provisionBatch() error {
	n.batch.manager = &batch.Manager{
		Store: n.store, Config: n.config.holder, Balancer: n.online.balancer, Client: n.online.client,
		Events: n.events, Clock: n.clock, Log: n.log.WithField("part", "batch"),
		MaxLineBytes: n.settings.Gateway.MaxLineBytes,
	}
	return nil
}
