package node

import "github.com/comfreyspindle/comfreyspindle/escrow"

// provisionEscrow creates the host's account of cross-region bytes. Online requests
// that are sent to another region are charged to it.
func (n *Node) provisionEscrow() error {
	n.escrow = escrow.New(escrow.Options{
		Store: n.store, Clock: n.clock, Costs: n.costs, Log: n.log.WithField("part", "escrow"),
	})
	return nil
}
