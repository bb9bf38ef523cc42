package node

import "github.com/comfreyspindle/comfreyspindle/escrow"

// provisionEscrow makes the host's account of cross-region bytes, which the
// online path spends from.
func (n *Node) provisionEscrow() error {
	n.escrow = escrow.New(escrow.Options{
		Store: n.store, Clock: n.clock, Costs: n.costs, Log: n.log.WithField("part", "escrow"),
	})
	return nil
}
