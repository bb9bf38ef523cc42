package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/membership/registry"
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
	// recheckDelay is the delay before a check of the host's own record, in which several
	// requests for one accumulate.
	recheckDelay = 150 * time.Millisecond
	// noticeTimeout is the time in which brokers see a record that has been written.
	noticeTimeout = 1500 * time.Millisecond
)

// Presence keeps this host's own record in the store and maintains the
// membership view from the records of all hosts and what peers know of them. A host
// whose record expires stays in the view while it answers pings: the store may have
// rejected its renewals or been unavailable itself.
type Presence struct {
	store         txn.Store
	view          *membership.Static
	clock         clockwork.Clock
	log           *logrus.Entry
	leaseDuration time.Duration
	// ping checks that a host is running and not stopping, and tells it that its record
	// is gone. If alone is set, it uses a connection of its own: the shared one may be silent.
	ping func(ctx context.Context, h membership.Host, alone bool) error
	// watching reports whether this host watches the records, and so pings the hosts whose
	// records have expired. The others follow those that do.
	watching func() bool
	// bootTime is the clock by which signs of other hosts are aged.
	bootTime boottime.Clock
	// onRemoved is called when a host has been removed from the view after its
	// record expired and the pings of this host or of a peer failed.
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

	mu    sync.Mutex
	table *registry.Table
	// pinging holds the names of the hosts that are being pinged.
	pinging map[string]struct{}
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
	var lastRecheck time.Time
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
		// A host whose renewals fail knows that its record may be gone.
		prompt := failures == 0 && p.clock.Now().Sub(lastRecheck) >= renewInterval
		if p.waitForRecheck(ctx, delay, prompt) {
			p.doubtful, lastRecheck = true, p.clock.Now()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (p *Presence) String() string { return "presence" }

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
