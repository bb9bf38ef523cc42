package host

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// Config holds the configuration in force. It never goes back to an older
// version.
type Config struct {
	log *logrus.Entry
	// onRetire is called for a storage host that is to be emptied.
	onRetire func(host string)
	// onVersion is called with each version that comes into force.
	onVersion func(version int64)

	table atomic.Pointer[route.Table]

	mu sync.Mutex
	// raw is the text of the configuration in force, for neighbours.
	raw []byte
}

// Table returns the configuration in force, or nil.
func (c *Config) Table() *route.Table { return c.table.Load() }

func (c *Config) applyItems(_ context.Context, items []txn.Item) {
	for _, item := range items {
		change := platform.DecodeOperator(item)
		if change.Config {
			c.setIfNewer(change.Value, "store")
		}
		if change.Retire != "" {
			c.onRetire(change.Retire)
		}
	}
}

// setIfNewer puts a configuration in force if it is newer.
func (c *Config) setIfNewer(value []byte, from string) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("configuration can't be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.table.Load()
	if previous != nil && table.Version <= previous.Version {
		return
	}
	c.raw = value
	c.table.Store(table)
	c.onVersion(table.Version)
	entry := c.log.WithFields(logrus.Fields{"version": table.Version, "from": from})
	if previous != nil {
		entry = entry.WithField("replaces", previous.Version)
	}
	entry.Info("configuration in force")
}

// text returns the configuration in force as it was written.
func (c *Config) current() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil {
		return c.raw, t.Version
	}
	return nil, 0
}
