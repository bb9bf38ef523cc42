package host

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

const hostPrefix = fleetPrefix + "hosts/"

// Times of the hosts' records.
const (
	// leaseTime is the lease on a host's record, if the store grants one so
	// short.
	leaseDuration = 4 * time.Second
	// keepInterval is the interval of renewals.
	renewInterval = 1300 * time.Millisecond
	// lostRenewals is the number of refused renewals in a row after which the
	// store counts as away: with many hosts it refuses some calls of each.
	maxRefusedRenewals = 3
	// refusedPause is the mean pause before a refused renewal is tried again.
	renewRetryDelay = 300 * time.Millisecond
	// gatherTime lets changes of other hosts' records gather before they are
	// read, so that a joint start doesn't cost one call for each pair of hosts.
	hostBatchDelay = 400 * time.Millisecond
	// pingInterval and pingTimeout are for a host whose record has lapsed.
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
	// pingTries is the number of pings that must fail in a row.
	maxFailedPings = 2
)

// Presence keeps the host's own record in the store and the view of the others
// by theirs. A host whose record lapses stays in the view while it answers: the
// store may have turned it away, or been away itself.
type Presence struct {
	store         txn.Store
	view          *membership.Static
	clock         clockwork.Clock
	log           *logrus.Entry
	leaseDuration time.Duration
	// ping asks a host whether it serves.
	ping func(ctx context.Context, h membership.Host) error
	// gone is called when a host has left the view, and back when the host's
	// own record had lapsed.
	onRemoved func(h membership.Host)
	// changed is called when the view may have changed.
	onChange func()
	onRejoin func()
	// lost and regained tell whether the store answers.
	onStoreUnavailable, onStoreAvailable func()

	// held says that the record stood at the last renewal and before that it ever
	// did. Only Serve uses them.
	registered, everRegistered bool

	mu      sync.Mutex
	hosts   map[string]membership.Host
	expired map[string]struct{}
	leaseID txn.Lease
	leaving bool
	listed  bool
}

// Serve keeps the host's record until ctx ends.
func (p *Presence) Serve(ctx context.Context) error {
	failures := 0
	for {
		err := p.renew(ctx)
		switch {
		case err == nil:
			failures = 0
			p.onStoreAvailable()
		case ctx.Err() == nil:
			failures++
			p.log.WithError(err).WithField("failures", failures).Warn("own record not renewed")
			if failures >= maxRefusedRenewals || !errors.Is(err, txn.ErrRefused) {
				p.onStoreUnavailable()
			}
		}
		delay := renewInterval
		if failures > 0 && failures < maxRefusedRenewals {
			delay = renewRetryDelay/2 + rand.N(renewRetryDelay)
		}
		if wait.For(ctx, p.clock, delay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (p *Presence) String() string { return "presence" }

// renew renews the lease, or writes the record anew.
func (p *Presence) renew(ctx context.Context) error {
	p.mu.Lock()
	leaseID, leaving := p.leaseID, p.leaving
	p.mu.Unlock()
	if leaving {
		return nil
	}
	if p.registered {
		err := p.store.Keep(ctx, leaseID)
		if !errors.Is(err, txn.ErrNoLease) {
			return err
		}
		p.registered, leaseID = false, 0
		p.setLeaseID(0)
		p.log.Warn("own record has lapsed")
	}
	if leaseID == 0 {
		var err error
		if leaseID, err = p.store.Grant(ctx, p.leaseDuration); err != nil {
			return err
		}
		p.setLeaseID(leaseID)
	}
	return p.writeRecord(ctx, leaseID)
}

func (p *Presence) setLeaseID(lease txn.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseID = lease
}

// write writes the host's record with a lease. One that has ended meanwhile is
// not used again.
func (p *Presence) writeRecord(ctx context.Context, lease txn.Lease) error {
	self := p.view.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode own record")
	}
	_, err = p.store.Commit(ctx, txn.Request{Writes: []txn.Write{{Key: hostPrefix + self.Name, Value: value, Lease: lease}}})
	if err != nil {
		if !errors.Is(err, txn.ErrRefused) {
			p.setLeaseID(0)
		}
		return err
	}
	p.registered = true
	if p.everRegistered {
		p.onRejoin()
	}
	p.everRegistered = true
	p.log.WithField("lease", lease).Info("own record written")
	return nil
}

// Leave ends the host's record.
func (p *Presence) Leave(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	lease := p.leaseID
	p.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := p.store.Revoke(ctx, lease); err != nil {
		p.log.WithError(err).Warn("own record not removed; it lapses by itself")
	}
}

// Replace takes a complete listing of the hosts' records.
func (p *Presence) Replace(ctx context.Context, items []txn.Item) {
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, hostPrefix)] = struct{}{}
	}
	p.mu.Lock()
	p.listed = true
	var missing []string
	for name := range p.hosts {
		if _, ok := listed[name]; !ok {
			missing = append(missing, name)
		}
	}
	p.mu.Unlock()
	p.Apply(ctx, items)
	for _, name := range missing {
		p.startPinging(ctx, name)
	}
}

// wasListed reports whether the hosts' records have been listed.
func (p *Presence) wasListed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// Apply takes changes of the hosts' records.
func (p *Presence) Apply(ctx context.Context, items []txn.Item) {
	var deleted []string
	p.mu.Lock()
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, hostPrefix)
		if item.Deleted {
			deleted = append(deleted, name)
			continue
		}
		var h membership.Host
		if err := json.Unmarshal(item.Value, &h); err != nil {
			p.log.WithError(err).WithField("peer", name).Warn("unreadable record of a host")
			continue
		}
		delete(p.expired, name)
		if p.hosts[name] != h {
			p.log.WithFields(logrus.Fields{"peer": name, "address": h.PeerAddress, "rev": item.Rev}).Info("host is present")
		}
		p.hosts[name] = h
	}
	p.publish()
	p.mu.Unlock()
	for _, name := range deleted {
		p.startPinging(ctx, name)
	}
}

// AddFromPeer takes hosts that a neighbour knows, while the store can't be read.
func (p *Presence) AddFromPeer(hosts []membership.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if _, ok := p.hosts[h.Name]; !ok && h.State == membership.Alive {
			p.hosts[h.Name] = h
		}
	}
	p.publish()
}

// ReplaceFromPeer takes the hosts that the broker knows.
func (p *Presence) ReplaceFromPeer(hosts []membership.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.hosts)
	clear(p.expired)
	for _, h := range hosts {
		p.hosts[h.Name] = h
	}
	p.publish()
}

// publish sets the view. The lock is held.
func (p *Presence) publish() {
	defer p.onChange()
	self := p.view.Self().Name
	others := slices.Collect(maps.Values(p.hosts))
	p.view.Set(slices.DeleteFunc(others, func(h membership.Host) bool { return h.Name == self }))
}

// lapse begins to ping a host whose record is gone.
func (p *Presence) startPinging(ctx context.Context, name string) {
	p.mu.Lock()
	h, known := p.hosts[name]
	_, pinging := p.expired[name]
	if !known || pinging || name == p.view.Self().Name {
		p.mu.Unlock()
		return
	}
	p.expired[name] = struct{}{}
	p.mu.Unlock()
	go p.pingExpired(ctx, h)
}

// watchLapsed pings a host until its record is back or it doesn't answer.
func (p *Presence) pingExpired(ctx context.Context, h membership.Host) {
	failures := 0
	for ctx.Err() == nil {
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := p.ping(pingCtx, h)
		cancel()
		p.mu.Lock()
		if _, expired := p.expired[h.Name]; !expired {
			p.mu.Unlock()
			return
		}
		if err == nil {
			failures = 0
		} else if failures++; failures >= maxFailedPings {
			delete(p.expired, h.Name)
			delete(p.hosts, h.Name)
			p.publish()
			p.mu.Unlock()
			p.log.WithError(err).WithField("peer", h.Name).Warn("host is gone")
			p.onRemoved(h)
			return
		}
		p.mu.Unlock()
		if failures > 0 {
			continue
		}
		wait.For(ctx, p.clock, pingInterval)
	}
}
