package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
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
	lag   configLag

	mu sync.Mutex
	// from says where the configuration in force came from, and since is when it came into
	// force.
	from  string
	since time.Time
	// raw is the encoded configuration in force, as sent to peers.
	raw []byte
	// pack returns raw, compressed; nil as long as there is no configuration.
	pack func() []byte
	// record is the configuration's record as last read from the store.
	record configRecord
}

// configRecord is what is known of the configuration's record in the store. Its version
// may differ from the one in force, which may come from a peer.
type configRecord struct {
	// rev is zero if the record was never read.
	rev     txn.Rev
	version int64
	// err is set if the record can't be decoded, so that its version is not known.
	err error
}

// Table returns the configuration in force, or nil.
func (c *Config) Table() *route.Table { return c.table.Load() }

func (c *Config) applyItems(_ context.Context, items []txn.Item) {
	for _, item := range items {
		change := platform.DecodeOperatorChange(item)
		if change.Config {
			// The error is logged; the configuration in force stays.
			_, _ = c.applyRecord(change)
		}
		if change.Retire != "" {
			c.onRetire(change.Retire)
		}
	}
}

// applyRecord puts a record of the store in force if it is newer, and returns its version.
func (c *Config) applyRecord(change platform.OperatorChange) (int64, error) {
	version, err := c.apply(change.Value, "store")
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Rev > c.record.rev {
		c.record = configRecord{rev: change.Rev, version: version, err: err}
	}
	return version, err
}

// lastRecord returns the configuration's record as last read from the store.
func (c *Config) lastRecord() configRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

// forgetRecord records that a revision of the configuration's record no longer exists and
// the present one is not known.
func (c *Config) forgetRecord(rev txn.Rev) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.rev == rev {
		c.record = configRecord{}
	}
}

// setIfNewer decodes a configuration and puts it in force if its version is
// newer than the current one. The log says where it came from.
func (c *Config) setIfNewer(value []byte, from string) {
	// The error is logged; the configuration in force stays.
	_, _ = c.apply(value, from)
}

// apply is setIfNewer. It returns the version of the decoded configuration.
func (c *Config) apply(value []byte, from string) (int64, error) {
	table, faults, err := platform.DecodeConfig(value)
	if err != nil {
		c.log.WithError(err).WithField("from", from).Error("can't decode configuration")
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.table.Load()
	if !table.Replaces(previous) {
		return table.Version, nil
	}
	c.raw, c.from, c.since = value, from, time.Now()
	c.pack = sync.OnceValue(func() []byte { return configEncoder.EncodeAll(value, nil) })
	c.table.Store(table)
	c.onVersion(table.Version)
	entry := c.log.WithFields(logrus.Fields{"version": table.Version, "from": from, "bytes": len(value), "named_ms_ago": c.lag.inForce(table.Version).Milliseconds()})
	if previous != nil {
		entry = entry.WithField("replaces", previous.Version)
	}
	entry.Info("configuration in force")
	for _, f := range faults {
		c.log.WithFields(logrus.Fields{"version": table.Version, "field": f.Field, "value": f.Value, "reason": f.Reason}).Error("fault in the configuration, part of it is left out")
	}
	return table.Version, nil
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

// packed returns a function that compresses the configuration in force, once for all callers,
// and its version. The version is 0 if there is none.
func (c *Config) packed() (pack func() []byte, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil {
		return c.pack, t.Version
	}
	return nil, 0
}

// origin returns where the configuration in force came from, and for how long it has been in
// force.
func (c *Config) origin() (from string, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return "", 0
	}
	return c.from, time.Since(c.since)
}

// receivedNotice is a broker's notice with the time at which it was received.
type receivedNotice struct {
	broker string
	slots.Notice
	at time.Time
}

// recordNotice records a broker's notice for the log and handles it.
func (h *Host) recordNotice(broker membership.Host, n slots.Notice) {
	h.config.lag.name(n.ConfigVersion)
	h.lastNotice.Store(&receivedNotice{broker: broker.Name, Notice: n, at: h.clock.Now()})
	h.handleNotice(broker, n)
}

// configSource returns fields that say how old the configuration of this host may be: where it
// came from, when the store last answered this host, the broker that it polls now, and the last
// notice with the version that it named and the time since the store had answered its broker.
func (h *Host) configSource() logrus.Fields {
	fields := logrus.Fields{"polls": h.slotClient.LocalBroker(), "store_available": h.hasStore()}
	from, age := h.config.origin()
	fields["config_from"], fields["config_age_ms"] = from, age.Milliseconds()
	fields["config_behind_ms"] = h.config.lag.behind().Milliseconds()
	if age, ok := h.storeContact.age(); ok {
		fields["store_answer_age_ms"] = age.Milliseconds()
	}
	if n := h.lastNotice.Load(); n != nil {
		fields["notice_from"], fields["notice_version"], fields["notice_age_ms"] = n.broker, n.ConfigVersion, h.clock.Since(n.at).Milliseconds()
		fields["notice_current"], fields["notice_store_age_ms"] = n.Current, n.StoreAge.Milliseconds()
	}
	return fields
}
