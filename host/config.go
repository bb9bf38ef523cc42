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

// Config holds the configuration in force. A received configuration only comes
// into force if its version is newer.
type Config struct {
	log *logrus.Entry
	// onRetire is called with the name of a storage host that is to be emptied.
	onRetire func(host string)
	// onVersion is called with each version that comes into force.
	onVersion func(version int64)

	table atomic.Pointer[route.Table]

	mu sync.Mutex
	// raw is the encoded configuration in force, as sent to peers.
	raw []byte
}

// Table returns the configuration in force, or nil.
func (c *Config) Table() *route.Table { return c.table.Load() }

func (c *Config) applyItems(_ context.Context, items []txn.Item) {
	for _, item := range items {
		change := platform.DecodeOperatorChange(item)
		if change.Config {
			c.setIfNewer(change.Value, "store")
		}
		if change.Retire != "" {
			c.onRetire(change.Retire)
		}
	}
}

// setIfNewer decodes a configuration and puts it in force if its version is
// newer than the current one. The log says where it came from.
func (c *Config) setIfNewer(value []byte, from string) {
	table, faults, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("can't decode configuration")
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
	for _, f := range faults {
		c.log.WithFields(logrus.Fields{"version": table.Version, "field": f.Field, "value": f.Value, "reason": f.Reason}).Error("fault in the configuration, part of it is left out")
	}
}

// current returns the encoded configuration in force and its version, or nil
// and 0 if there is none.
func (c *Config) current() ([]byte, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil {
		return c.raw, t.Version
	}
	return nil, 0
}
