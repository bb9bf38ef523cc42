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
	leaseTime = 4 * time.Second
	// keepInterval is the interval of renewals.
	keepInterval = 1300 * time.Millisecond
	// lostRenewals is the number of refused renewals in a row after which the
	// store counts as away: with many hosts it refuses some calls of each.
	lostRenewals = 3
	// refusedPause is the mean pause before a refused renewal is tried again.
	refusedPause = 300 * time.Millisecond
	// gatherTime lets changes of other hosts' records gather before they are
	// read, so that a joint start doesn't cost one call for each pair of hosts.
	gatherTime = 400 * time.Millisecond
	// pingInterval and pingTimeout are for a host whose record has lapsed.
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
	// pingTries is the number of pings that must fail in a row.
	pingTries = 2
)

// Presence keeps the host's own record in the store and the view of the others
// by theirs. A host whose record lapses stays in the view while it answers: the
// store may have turned it away, or been away itself.
type Presence struct {
	store txn.Store
	view  *membership.Static
	clock clockwork.Clock
	log   *logrus.Entry
	lease time.Duration
	// ping asks a host whether it serves.
	ping func(ctx context.Context, h membership.Host) error
	// gone is called when a host has left the view, and back when the host's
	// own record had lapsed.
	gone func(h membership.Host)
	// changed is called when the view may have changed.
	changed func()
	back    func()
	// lost and regained tell whether the store answers.
	lost, regained func()

	// held says that the record stood at the last renewal and before that it ever
	// did. Only Serve uses them.
	held, before bool

	mu      sync.Mutex
	known   map[string]membership.Host
	lapsed  map[string]struct{}
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
			p.regained()
		case ctx.Err() == nil:
			failures++
			p.log.WithError(err).WithField("failures", failures).Warn("own record not renewed")
			if failures >= lostRenewals || !errors.Is(err, txn.ErrRefused) {
				p.lost()
			}
		}
		pause := keepInterval
		if failures > 0 && failures < lostRenewals {
			pause = refusedPause/2 + rand.N(refusedPause)
		}
		if wait.For(ctx, p.clock, pause); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (p *Presence) String() string { return "presence" }

// renew renews the lease, or writes the record anew.
func (p *Presence) renew(ctx context.Context) error {
	p.mu.Lock()
	lease, leaving := p.leaseID, p.leaving
	p.mu.Unlock()
	if leaving {
		return nil
	}
	if p.held {
		err := p.store.Keep(ctx, lease)
		if !errors.Is(err, txn.ErrNoLease) {
			return err
		}
		p.held, lease = false, 0
		p.setLease(0)
		p.log.Warn("own record has lapsed")
	}
	if lease == 0 {
		var err error
		if lease, err = p.store.Grant(ctx, p.lease); err != nil {
			return err
		}
		p.setLease(lease)
	}
	return p.write(ctx, lease)
}

func (p *Presence) setLease(lease txn.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseID = lease
}

// write writes the host's record with a lease. One that has ended meanwhile is
// not used again.
func (p *Presence) write(ctx context.Context, lease txn.Lease) error {
	self := p.view.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode own record")
	}
	_, err = p.store.Commit(ctx, txn.Request{Writes: []txn.Write{{Key: hostPrefix + self.Name, Value: value, Lease: lease}}})
	if err != nil {
		if !errors.Is(err, txn.ErrRefused) {
			p.setLease(0)
		}
		return err
	}
	p.held = true
	if p.before {
		p.back()
	}
	p.before = true
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
	for name := range p.known {
		if _, ok := listed[name]; !ok {
			missing = append(missing, name)
		}
	}
	p.mu.Unlock()
	p.Apply(ctx, items)
	for _, name := range missing {
		p.lapse(ctx, name)
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
	var lapsed []string
	p.mu.Lock()
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, hostPrefix)
		if item.Deleted {
			lapsed = append(lapsed, name)
			continue
		}
		var h membership.Host
		if err := json.Unmarshal(item.Value, &h); err != nil {
			p.log.WithError(err).WithField("peer", name).Warn("unreadable record of a host")
			continue
		}
		delete(p.lapsed, name)
		if p.known[name] != h {
			p.log.WithFields(logrus.Fields{"peer": name, "address": h.PeerAddress, "rev": item.Rev}).Info("host is present")
		}
		p.known[name] = h
	}
	p.publish()
	p.mu.Unlock()
	for _, name := range lapsed {
		p.lapse(ctx, name)
	}
}

// Learn takes hosts that a neighbour knows, while the store can't be read.
func (p *Presence) Learn(hosts []membership.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		if _, ok := p.known[h.Name]; !ok && h.State == membership.Alive {
			p.known[h.Name] = h
		}
	}
	p.publish()
}

// Adopt takes the hosts that the broker knows.
func (p *Presence) Adopt(hosts []membership.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.known)
	clear(p.lapsed)
	for _, h := range hosts {
		p.known[h.Name] = h
	}
	p.publish()
}

// publish sets the view. The lock is held.
func (p *Presence) publish() {
	defer p.changed()
	self := p.view.Self().Name
	others := slices.Collect(maps.Values(p.known))
	p.view.Set(slices.DeleteFunc(others, func(h membership.Host) bool { return h.Name == self }))
}

// lapse begins to ping a host whose record is gone.
func (p *Presence) lapse(ctx context.Context, name string) {
	p.mu.Lock()
	h, known := p.known[name]
	_, pinging := p.lapsed[name]
	if !known || pinging || name == p.view.Self().Name {
		p.mu.Unlock()
		return
	}
	p.lapsed[name] = struct{}{}
	p.mu.Unlock()
	go p.watchLapsed(ctx, h)
}

// watchLapsed pings a host until its record is back or it doesn't answer.
func (p *Presence) watchLapsed(ctx context.Context, h membership.Host) {
	failed := 0
	for ctx.Err() == nil {
		bound, cancel := context.WithTimeout(ctx, pingTimeout)
		err := p.ping(bound, h)
		cancel()
		p.mu.Lock()
		if _, still := p.lapsed[h.Name]; !still {
			p.mu.Unlock()
			return
		}
		if err == nil {
			failed = 0
		} else if failed++; failed >= pingTries {
			delete(p.lapsed, h.Name)
			delete(p.known, h.Name)
			p.publish()
			p.mu.Unlock()
			p.log.WithError(err).WithField("peer", h.Name).Warn("host is gone")
			p.gone(h)
			return
		}
		p.mu.Unlock()
		if failed > 0 {
			continue
		}
		wait.For(ctx, p.clock, pingInterval)
	}
}
