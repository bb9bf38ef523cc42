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
	// retire is called for a storage host that is to be emptied.
	retire func(host string)
	// inForce is called with each version that comes into force.
	inForce func(version int64)

	table atomic.Pointer[route.Table]

	mu sync.Mutex
	// value is the text of the configuration in force, for neighbours.
	value []byte
}

// Table returns the configuration in force, or nil.
func (c *Config) Table() *route.Table { return c.table.Load() }

func (c *Config) apply(_ context.Context, items []txn.Item) {
	for _, item := range items {
		change := platform.DecodeOperatorChange(item)
		if change.Config {
			c.offer(change.Value, "store")
		}
		if change.Retire != "" {
			c.retire(change.Retire)
		}
	}
}

// offer puts a configuration in force if it is newer.
func (c *Config) offer(value []byte, from string) {
	table, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("configuration can't be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && table.Version <= old.Version {
		return
	}
	c.value = value
	c.table.Store(table)
	c.inForce(table.Version)
	entry := c.log.WithFields(logrus.Fields{"version": table.Version, "from": from})
	if old != nil {
		entry = entry.WithField("replaces", old.Version)
	}
	entry.Info("configuration in force")
}

// text returns the configuration in force as it was written.
func (c *Config) text() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil {
		return c.value, t.Version
	}
	return nil, 0
}
