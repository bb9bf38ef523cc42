package node

import (
	"net/http"

	"github.com/comfreyspindle/comfreyspindle/orders"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// provisionOrders creates the issuer of orders to engines. It wraps the online runner's
// balancer to count failed requests, by which the issuer judges a rollout.
func (n *Node) provisionOrders() error {
	outcomes := orders.NewOutcomes()
	n.online.runner.Balancer = outcomes.Observe(n.online.runner.Balancer)
	n.orders = orders.New(orders.Options{
		Store: n.store, Hosts: n.hosts, Clock: n.clock, Events: n.events, Log: n.log.WithField("part", "orders"),
		Documents: n.documents, Client: &http.Client{Transport: &http.Transport{}}, Errors: outcomes.Count,
	})
	return nil
}

// documents returns the service documents in force.
func (n *Node) documents() []*service.Document {
	current := n.config.holder.Current()
	var out []*service.Document
	for _, name := range current.Names() {
		if doc, ok := current.Service(name); ok {
			out = append(out, doc)
		}
	}
	return out
}
