package node

import (
	"github.com/comfreyspindle/comfreyspindle/ledger"
)

// ledgerShare is the fraction of the host's write budget for the store that batches
// of ledger claims may use. The rest is reserved for the ledger's chunks and for
// other components, whose writes would starve otherwise.
const ledgerShare = 0.5

// provisionLedger creates the ledger that records requests which may run at most
// once, gives it to the online runner and serves the claims of peers.
func (n *Node) provisionLedger() error {
	l := ledger.New(ledger.Options{
		Store: n.store, Hosts: n.hosts, Peers: n.dialer, Clock: n.clock,
		BatchesPerSecond: ledgerShare * n.settings.Platform.WritesPerSecond,
	})
	n.online.runner.Ledger = l
	return l.Register(n.peers)
}
