package node

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/config"
)

// configPart holds the service documents in force, their editor and the distributor
// of changes.
type configPart struct {
	holder      *config.Holder
	editor      *config.Editor
	distributor *config.Distributor
}

func (n *Node) provisionConfig() error {
	log := n.log.WithField("part", "config")
	holder := config.NewHolder()
	set := config.NewSet(holder, n.clock, log)
	n.config = configPart{
		holder: holder,
		editor: config.NewEditor(n.store, n.clock, config.WithLocalSet(set), config.WithUsage(n.usage)),
		distributor: config.NewDistributor(config.Options{
			Store: n.store, Set: set, Hosts: n.hosts, Peers: n.dialer, Seeds: n.settings.Peers,
			DataFolder: n.settings.DataFolder, Clock: n.clock, Log: log, Seed: xxhash.Sum64String(n.settings.Host),
		}),
	}
	return n.config.distributor.Register(n.peers)
}

// InForce calls all known hosts and reports on which of them the given generation of
// a document, or a higher one, is in force.
func (n *Node) InForce(ctx context.Context, name string, generation uint64) config.InForce {
	return n.config.distributor.InForce(ctx, name, generation)
}

// Editor returns the editor of service documents.
func (n *Node) Editor() *config.Editor { return n.config.editor }
