package host

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/membership/registry"
)

// Parameters of the pings of hosts whose records have expired.
const (
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
	// maxFailedPings is the number of failed pings in a row after which a host
	// is removed.
	maxFailedPings = 2
)

// Replace applies a complete list of the host records, which has all changes up to a
// revision. Known hosts that are not listed are pinged, and this host writes its record again
// if that is missing.
func (p *Presence) Replace(ctx context.Context, items []txn.Item, at txn.Rev) {
	p.update(ctx, func() registry.Changes {
		records := make([]registry.Record, 0, len(items))
		selfListed := false
		for _, item := range items {
			if r, ok := p.readRecord(item); ok {
				records = append(records, r)
				selfListed = selfListed || r.Host.Name == p.view.Self().Name
			}
		}
		p.listed = true
		if !selfListed && p.written {
			p.Recheck()
		}
		return p.table.List(at, records)
	})
}

// Apply applies changes of host records. Hosts whose record was deleted, or replaced by
// something else, are pinged.
func (p *Presence) Apply(ctx context.Context, items []txn.Item) {
	p.update(ctx, func() registry.Changes {
		var changes registry.Changes
		for _, item := range items {
			if r, ok := p.readRecord(item); ok {
				changes.Add(p.table.Write(r))
				continue
			}
			name := strings.TrimPrefix(item.Key, hostPrefix)
			p.table.Delete(name, item.Rev)
			if name == p.view.Self().Name {
				p.Recheck()
			}
		}
		return changes
	})
}

// readTo is called after the changes of host records up to a revision were applied.
func (p *Presence) readTo(at txn.Rev) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.ReadTo(at)
}

// Merge applies what a peer knows of the hosts, which was requested at a time of
// bootTime. It reports whether that changed the view.
func (p *Presence) Merge(ctx context.Context, sent time.Duration, r registry.Report) (changed bool) {
	return p.update(ctx, func() registry.Changes { return p.table.Merge(sent, &r, p.view.Self().Name) })
}

// Follow is Merge for the report of a broker that the store answers. Unless this host
// watches the records itself, it also removes the expired hosts that the broker has removed.
func (p *Presence) Follow(ctx context.Context, sent time.Duration, r registry.Report) {
	if p.watching() {
		p.Merge(ctx, sent, r)
		return
	}
	p.update(ctx, func() registry.Changes { return p.table.Follow(sent, &r, p.view.Self().Name) })
}

// Report returns what this host knows of all hosts, itself included.
func (p *Presence) Report() registry.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view.Self()
	r := p.table.Report(p.bootTime())
	own := registry.Fact{Host: self}
	for i, f := range r.Facts {
		if f.Host.Name != self.Name {
			continue
		}
		if f.Host.SameProcess(self) {
			own.Rev, own.Status = f.Rev, f.Status
		}
		r.Facts[i] = own
		return r
	}
	r.Facts = append(r.Facts, own)
	return r
}

// update applies facts to the table, and their effects to the view. It reports whether
// the view changed.
func (p *Presence) update(ctx context.Context, apply func() registry.Changes) bool {
	p.mu.Lock()
	changes := apply()
	if changes.Any() {
		p.publish()
	}
	p.mu.Unlock()
	for _, h := range changes.Added {
		p.log.WithFields(logrus.Fields{"peer": h.Name, "address": h.PeerAddress}).Info("host added or changed")
	}
	for _, h := range changes.Removed {
		p.log.WithField("peer", h.Name).Warn("host removed: its record expired and pings failed")
		p.onRemoved(h)
	}
	p.pingExpired(ctx)
	return changes.Any()
}

// readRecord returns the record of a host. It reports false if the item is none: the
// record was deleted or replaced by something else. It requires p.mu.
func (p *Presence) readRecord(item txn.Item) (registry.Record, bool) {
	if item.Deleted {
		return registry.Record{}, false
	}
	name := strings.TrimPrefix(item.Key, hostPrefix)
	h, err := decodeHost(item, name)
	if err != nil {
		p.log.WithError(err).WithField("peer", name).Warn("can't decode host record")
		return registry.Record{}, false
	}
	if self := p.view.Self(); name == self.Name && p.written && !h.SameProcess(self) {
		p.Recheck()
	}
	return registry.Record{Host: h, Rev: item.Rev}, true
}

// decodeHost decodes the record of a host with a name. A record of another host says nothing
// of this one.
func decodeHost(item txn.Item, name string) (membership.Host, error) {
	var h membership.Host
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return h, errors.Wrapf(err, "decode the record of host %q", name)
	}
	if h.Name != name || h.DataCentre == "" {
		return h, errors.Newf("decode the record of host %q: it is of host %q in data centre %q", name, h.Name, h.DataCentre)
	}
	return h, nil
}

// publish updates the membership view from the table. It requires p.mu.
func (p *Presence) publish() {
	defer p.onChange()
	self := p.view.Self().Name
	p.view.Set(slices.DeleteFunc(p.table.Members(), func(h membership.Host) bool { return h.Name == self }))
}

// pinger pings the hosts whose records have expired. Which hosts do so changes with the
// broker, so that it is looked at again each pingInterval.
type pinger struct{ presence *Presence }

// Serve starts pings until ctx ends.
func (s pinger) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		s.presence.pingExpired(ctx)
		wait.For(ctx, s.presence.clock, pingInterval)
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (pinger) String() string { return "pings" }

// pingExpired starts to ping the hosts whose records have expired, if this host watches
// the records.
func (p *Presence) pingExpired(ctx context.Context) {
	if !p.watching() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view.Self().Name
	for _, r := range p.table.Expired() {
		if _, pinging := p.pinging[r.Host.Name]; pinging || r.Host.Name == self {
			continue
		}
		p.pinging[r.Host.Name] = struct{}{}
		go func() {
			p.pingUntilDecided(ctx, r)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.pinging, r.Host.Name)
		}()
	}
}

// pingUntilDecided pings a host until it has a record again or is removed, or this host
// no longer watches the records. It removes the host after maxFailedPings failed pings in a row.
func (p *Presence) pingUntilDecided(ctx context.Context, r registry.Record) {
	failures := 0
	for ctx.Err() == nil {
		sent := p.bootTime()
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := p.ping(pingCtx, r.Host, failures > 0)
		cancel()
		if ctx.Err() != nil || !p.isExpired(r) {
			return
		}
		if err != nil {
			p.log.WithError(err).WithField("peer", r.Host.Name).Info("host without a record does not answer a ping")
			if failures++; failures >= maxFailedPings {
				p.update(ctx, func() registry.Changes { return p.table.Unanswered(r.Host.Name, r.Rev, p.bootTime()) })
				return
			}
			continue
		}
		failures = 0
		p.mu.Lock()
		p.table.Answered(r.Host.Name, r.Rev, sent)
		p.mu.Unlock()
		if wait.For(ctx, p.clock, pingInterval); !p.watching() {
			return
		}
	}
}

func (p *Presence) isExpired(r registry.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.IsExpired(r)
}
