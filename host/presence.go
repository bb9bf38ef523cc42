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

// Lease, renewal and ping parameters of the host records.
const (
	// leaseDuration is the lease of a host's record, unless the store only
	// grants longer ones.
	leaseDuration = 4 * time.Second
	// renewInterval is the time between renewals of the lease.
	renewInterval = 1300 * time.Millisecond
	// maxRefusedRenewals is the number of failed renewals in a row after which
	// the store counts as unavailable even if it only refused them. A few
	// refusals are no outage: with many hosts the store refuses some calls of
	// each. After any other error it counts as unavailable at once.
	maxRefusedRenewals = 3
	// renewRetryDelay is the mean delay before a failed renewal is tried
	// again.
	renewRetryDelay = 300 * time.Millisecond
	// hostBatchDelay is the delay after changes of host records, in which more
	// changes accumulate before the next read. Without it, hosts that start
	// together would cost one call for each pair of hosts.
	hostBatchDelay = 400 * time.Millisecond
	// pingInterval and pingTimeout apply to pings of a host whose record has
	// expired.
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
	// recheckDelay is the least time between two checks of the host's own record.
	recheckDelay = 150 * time.Millisecond
	// noticeTimeout is the time in which brokers see a record that has been written.
	noticeTimeout = 1500 * time.Millisecond
	// maxFailedPings is the number of failed pings in a row after which a host
	// is removed.
	maxFailedPings = 2
)

// Presence keeps this host's own record in the store and maintains the
// membership view from the records of all hosts. A host whose record expires
// stays in the view while it answers pings: the store may have rejected its
// renewals or been unavailable itself.
type Presence struct {
	store         txn.Store
	view          *membership.Static
	clock         clockwork.Clock
	log           *logrus.Entry
	leaseDuration time.Duration
	// ping checks that a host is running and not stopping, and tells it that its record
	// is gone.
	ping func(ctx context.Context, h membership.Host) error
	// onRemoved is called when a host has been removed from the view after its
	// record expired and its pings failed.
	onRemoved func(h membership.Host)
	// onChange is called when the view may have changed. onRejoin is called
	// when the host's own record has been written again after its first
	// registration.
	onChange func()
	onRejoin func()
	// onStoreUnavailable and onStoreAvailable are called after failed and
	// successful renewals.
	onStoreUnavailable, onStoreAvailable func()

	// registered says that the record was present when it was last written or read, and
	// everRegistered that it has been written since the start. recordRev is the record's
	// revision as far as this host knows, or 0. Only Serve uses them.
	registered, everRegistered bool
	recordRev                  txn.Rev
	// doubtful says that the record may be gone although its lease is renewed. Only Serve
	// uses it, which sets it when recheckRequested has received a value.
	doubtful         bool
	recheckRequested chan struct{}

	mu      sync.Mutex
	hosts   map[string]membership.Host
	expired map[string]struct{}
	leaseID txn.Lease
	leaving bool
	// listed is set once the records of all hosts have been listed, and written once that
	// of this host has been written.
	listed, written bool
	// writtenAt is when the record of this host was last written, and missing says that the
	// broker did not know this host when it was last asked.
	writtenAt time.Time
	missing   bool
}

// Serve keeps the host's own record in the store until ctx ends.
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
			p.log.WithError(err).WithField("failures", failures).Warn("can't renew the record of this host")
			if failures >= maxRefusedRenewals || !errors.Is(err, txn.ErrRefused) {
				p.onStoreUnavailable()
			}
		}
		delay := renewInterval
		if failures > 0 && failures < maxRefusedRenewals {
			delay = renewRetryDelay/2 + rand.N(renewRetryDelay)
		}
		if p.waitForRecheck(ctx, delay) {
			p.doubtful = true
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// waitForRecheck waits for a delay, or until a check of the record is requested. It reports
// whether one was.
func (p *Presence) waitForRecheck(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(delay):
		return false
	case <-p.recheckRequested:
	}
	wait.For(ctx, p.clock, recheckDelay)
	return true
}

// Recheck requests that this host reads its own record and writes it again if it is gone or
// another one. Renewals of the lease don't show that.
func (p *Presence) Recheck() {
	select {
	case p.recheckRequested <- struct{}{}:
	default:
	}
}

// RecheckIfMissing calls Recheck if this host is not among the hosts of a broker whose store
// is available. Brokers see a record a little after it has been written.
func (p *Presence) RecheckIfMissing(hosts []membership.Host) {
	self := p.view.Self()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missing = !slices.ContainsFunc(hosts, func(h membership.Host) bool { return h.SameProcess(self) })
	if !p.missing || !p.written {
		return
	}
	if p.clock.Now().Sub(p.writtenAt) > noticeTimeout {
		p.Recheck()
		return
	}
	p.clock.AfterFunc(noticeTimeout, p.recheckIfStillMissing)
}

func (p *Presence) recheckIfStillMissing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.missing {
		p.Recheck()
	}
}

// String names the service in supervisor events.
func (p *Presence) String() string { return "presence" }

// renew extends the lease of the host's record, or writes the record under a
// new lease if there is none. If the record is in doubt, renew also reads it.
func (p *Presence) renew(ctx context.Context) error {
	p.mu.Lock()
	leaseID, leaving := p.leaseID, p.leaving
	p.mu.Unlock()
	if leaving {
		return nil
	}
	if p.registered {
		err := p.store.Keep(ctx, leaseID)
		switch {
		case errors.Is(err, txn.ErrNoLease):
			p.registered, leaseID = false, 0
			p.setLeaseID(0)
			p.log.Warn("the record of this host expired; writing it again")
		case err != nil || !p.doubtful:
			return err
		default:
			if err := p.checkRecord(ctx, leaseID); err != nil || p.registered {
				return err
			}
		}
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

// checkRecord reads the host's record, and clears registered if it is not the one that this
// host wrote with the lease.
func (p *Presence) checkRecord(ctx context.Context, lease txn.Lease) error {
	item, err := p.store.Get(ctx, hostPrefix+p.view.Self().Name)
	if err != nil && !errors.Is(err, txn.ErrNotFound) {
		return err
	}
	p.recordRev, p.doubtful = item.Rev, false
	if item.Lease != lease || !p.isOwn(item) {
		p.registered = false
		p.log.WithFields(logrus.Fields{"rev": item.Rev, "lease": item.Lease, "own_lease": lease}).Warn("the record of this host is gone or another one; writing it again")
	}
	return nil
}

// isOwn reports whether a record is that of this process.
func (p *Presence) isOwn(item txn.Item) bool {
	var h membership.Host
	return json.Unmarshal(item.Value, &h) == nil && h.SameProcess(p.view.Self())
}

// maxRecordWrites bounds the writes of a record that is changed concurrently.
const maxRecordWrites = 3

// writeRecord writes the host's record with a lease. Each write has the condition that the
// record hasn't changed since this host last saw it: one whose reply was lost can then not
// take effect after a later one, and bind the record to a lease that nobody renews.
func (p *Presence) writeRecord(ctx context.Context, lease txn.Lease) error {
	self := p.view.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode the record of this host")
	}
	key := hostPrefix + self.Name
	for range maxRecordWrites {
		var rev txn.Rev
		rev, err = p.store.Commit(ctx, txn.Request{
			If:     []txn.Condition{{Key: key, Rev: p.recordRev}},
			Writes: []txn.Write{{Key: key, Value: value, Lease: lease}},
		})
		if err == nil {
			p.recordRev = rev
			p.recordWritten(lease)
			return nil
		}
		if !errors.Is(err, txn.ErrConflict) {
			break
		}
		if err := p.learnRevision(ctx, key, err); err != nil {
			return err
		}
	}
	if errors.Is(err, txn.ErrNoLease) {
		p.setLeaseID(0)
	}
	return err
}

// IsRegistered reads from the store whether a host's record is there. One without a lease
// says nothing: it would outlive its host.
func (p *Presence) IsRegistered(ctx context.Context, name string) (bool, error) {
	item, err := p.store.Get(ctx, hostPrefix+name)
	if errors.Is(err, txn.ErrNotFound) {
		return false, nil
	}
	return err == nil && item.Lease != 0, err
}

// learnRevision sets the revision of the record after a conflict.
func (p *Presence) learnRevision(ctx context.Context, key string, err error) error {
	var conflict *txn.ConflictError
	if errors.As(err, &conflict) {
		if item, ok := conflict.Item(key); ok {
			p.recordRev = item.Rev
			return nil
		}
	}
	item, err := p.store.Get(ctx, key)
	if err != nil && !errors.Is(err, txn.ErrNotFound) {
		return err
	}
	p.recordRev = item.Rev
	return nil
}

// recordWritten notes that the host's record is present, bound to a lease.
func (p *Presence) recordWritten(lease txn.Lease) {
	p.registered, p.doubtful = true, false
	if p.everRegistered {
		p.onRejoin()
	}
	p.everRegistered = true
	p.mu.Lock()
	p.written, p.writtenAt = true, p.clock.Now()
	p.mu.Unlock()
	p.log.WithField("lease", lease).Info("record of this host written")
}

// Leave removes the host's record by revoking its lease. The record is not
// written again.
func (p *Presence) Leave(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	lease := p.leaseID
	p.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := p.store.Revoke(ctx, lease); err != nil {
		p.log.WithError(err).Warn("can't remove the record of this host; it expires with its lease")
	}
}

// Replace applies a complete list of the host records. Known hosts that are
// not listed are pinged.
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

// wasRegistered reports whether the hosts' records have been listed and that of this host has
// been written.
func (p *Presence) wasRegistered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed && p.written
}

// Apply applies changes of host records. Hosts whose record was deleted are
// pinged.
func (p *Presence) Apply(ctx context.Context, items []txn.Item) {
	var deleted []string
	p.mu.Lock()
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, hostPrefix)
		if item.Deleted {
			deleted = append(deleted, name)
			continue
		}
		h, err := decodeHost(item, name)
		if err != nil {
			p.log.WithError(err).WithField("peer", name).Warn("can't decode host record")
			continue
		}
		delete(p.expired, name)
		if p.hosts[name] != h {
			p.log.WithFields(logrus.Fields{"peer": name, "address": h.PeerAddress, "rev": item.Rev}).Info("host added or changed")
		}
		p.hosts[name] = h
	}
	p.publish()
	p.mu.Unlock()
	for _, name := range deleted {
		p.startPinging(ctx, name)
	}
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

// AddFromPeer adds the alive hosts of a peer's view that this host doesn't
// know. It removes none.
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

// ReplaceFromPeer replaces the known hosts by those of a broker whose store is
// available.
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

// publish updates the membership view from the known hosts. It requires p.mu.
func (p *Presence) publish() {
	defer p.onChange()
	self := p.view.Self().Name
	others := slices.Collect(maps.Values(p.hosts))
	p.view.Set(slices.DeleteFunc(others, func(h membership.Host) bool { return h.Name == self }))
}

// startPinging starts to ping a host whose record has expired or was deleted.
func (p *Presence) startPinging(ctx context.Context, name string) {
	if name == p.view.Self().Name {
		p.Recheck()
		return
	}
	p.mu.Lock()
	h, known := p.hosts[name]
	_, pinging := p.expired[name]
	if !known || pinging {
		p.mu.Unlock()
		return
	}
	p.expired[name] = struct{}{}
	p.mu.Unlock()
	go p.pingExpired(ctx, h)
}

// pingExpired pings a host until its record is present again. It removes the
// host after maxFailedPings failed pings in a row.
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
			p.log.WithError(err).WithField("peer", h.Name).Warn("host removed: record expired and pings failed")
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
