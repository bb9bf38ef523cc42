package node

import (
	"github.com/comfreyspindle/comfreyspindle/ledger"
)

// provisionLedger lets the online path record requests that may run at most
// once, and serves the claims of other hosts.
func (n *Node) provisionLedger() error {
	l := ledger.New(ledger.Options{Store: n.store, Hosts: n.hosts, Peers: n.dialer, Clock: n.clock})
	n.online.runner.Ledger = l
	return l.Register(n.peers)
}
