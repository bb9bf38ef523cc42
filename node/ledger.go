package node

import (
	"github.com/comfreyspindle/comfreyspindle/ledger"
)

// ledgerShare is the part of the host's budget for writes that batches of the
// ledger may take. The rest is left to its chunks and to other purposes, which
// would starve behind it.
const ledgerShare = 0.5

// provisionLedger lets the online path record requests that may run at most
// once, and serves the claims of other hosts.
func (n *Node) provisionLedger() error {
	l := ledger.New(ledger.Options{
		Store: n.store, Hosts: n.hosts, Peers: n.dialer, Clock: n.clock,
		BatchesPerSecond: ledgerShare * n.settings.Platform.WritesPerSecond,
	})
	n.online.runner.Ledger = l
	return l.Register(n.peers)
}
