package host

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/versions"
)

func (h *Host) watchers() []*Watcher {
	base := Watcher{store: h.store, clock: h.clock, log: h.log, active: h.shouldWatch}
	config, hosts, replicas := base, base, base
	hosts.storeUnavailable, replicas.storeUnavailable = h.storeUnavailable, h.storeUnavailable
	config.name, config.prefix, config.watchTimeout = "configuration", platform.OperatorPrefix, h.configWatchTimeout
	config.onList = func(ctx context.Context, items []txn.Item, _ txn.Rev) { h.config.applyItems(ctx, items) }
	config.onChanges = h.config.applyItems
	config.onUnavailable, config.onAvailable = h.markStoreUnavailable, h.markStoreAvailable
	hosts.watchTimeout = func() time.Duration { return hostsWatchTimeout }
	hosts.active = func() bool { return !h.presence.wasListed() || h.shouldWatch() }
	hosts.name, hosts.prefix, hosts.batchDelay = "hosts", fleetPrefix, hostBatchDelay
	hosts.onList = func(ctx context.Context, items []txn.Item, at txn.Rev) {
		records := splitFleet(items)
		if !h.presence.wasListed() {
			h.slotClient.StartStaleTimer()
		}
		h.presence.Replace(ctx, records.hosts, at)
		h.applyFleet(ctx, records)
	}
	hosts.onChanges = func(ctx context.Context, items []txn.Item) {
		records := splitFleet(items)
		h.presence.Apply(ctx, records.hosts)
		h.applyFleet(ctx, records)
	}
	hosts.onRead = h.presence.readTo
	replicas.name, replicas.prefix = "replicas", platform.ReplicaPrefix
	replicas.watchTimeout = func() time.Duration { return changeWatchTimeout(h.settings.DrainTimeout) }
	replicas.alongList = h.versions.Refresh
	replicas.onList = func(ctx context.Context, items []txn.Item, _ txn.Rev) { h.replicas.replace(ctx, items) }
	replicas.onChanges, replicas.onRead, replicas.outdated = h.replicas.apply, h.replicas.readTo, h.replicas.isOutdated
	replicas.onUnavailable, replicas.onAvailable = h.replicas.markStoreUnavailable, func() {}
	return []*Watcher{&config, &hosts, &replicas}
}

// changeWatchTimeout returns the timeout of one watch for changes that must
// take effect by a deadline, or in no bounded time if that is zero.
func changeWatchTimeout(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return defaultWatchTimeout
	}
	return time.Duration(watchTimeoutFraction * float64(deadline))
}

// configWatchTimeout returns the timeout of the next watch for configurations.
func (h *Host) configWatchTimeout() time.Duration {
	timeout := changeWatchTimeout(h.settings.ConfigTimeout)
	if h.readsConfig() && h.confirmer.findsChangeWithin() <= timeout {
		return max(timeout, confirmedWatchTimeout)
	}
	return timeout
}

// shouldWatch reports whether this host watches the store. Brokers do, and so
// does a host that can reach the store while no broker with an available store
// sends it updates. Which host is the broker is known only once the host
// records have been listed.
func (h *Host) shouldWatch() bool {
	return h.presence.wasListed() && (h.slotClient.IsBroker() || h.slotClient.RecordsStale() && !h.storeUnavailable())
}

// fleetRecords are the records with fleetPrefix by kind.
type fleetRecords struct{ hosts, ended, quarantined, versions []txn.Item }

func splitFleet(items []txn.Item) fleetRecords {
	var r fleetRecords
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, hostPrefix):
			r.hosts = append(r.hosts, item)
		case strings.HasPrefix(item.Key, quarantinePrefix):
			r.quarantined = append(r.quarantined, item)
		case versions.IsKey(item.Key):
			r.versions = append(r.versions, item)
		default:
			r.ended = append(r.ended, item)
		}
	}
	return r
}

// applyFleet applies all records but those of the hosts.
func (h *Host) applyFleet(ctx context.Context, r fleetRecords) {
	h.versions.Apply(r.versions)
	h.jobs.HandleEndMarks(ctx, r.ended)
	h.quarantine.read(r.quarantined)
}
