package node

import "github.com/comfreyspindle/comfreyspindle/config"

// configPart holds the documents in force and brings changes in.
type configPart struct {
	holder  *config.Holder
	editor  *config.Editor
	watcher *config.Watcher
}

func (n *Node) provisionConfig() error {
	holder := config.NewHolder()
	n.config = configPart{
		holder:  holder,
		editor:  config.NewEditor(n.store, n.clock),
		watcher: config.NewWatcher(n.store, holder, n.clock, n.log.WithField("part", "config")),
	}
	return nil
}
