package host

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

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

// waitForRecheck waits for a delay. If prompt is set, a request to check the record ends it
// early. It reports whether there was one.
func (p *Presence) waitForRecheck(ctx context.Context, delay time.Duration, prompt bool) bool {
	requested := p.recheckRequested
	if !prompt {
		wait.For(ctx, p.clock, delay)
		select {
		case <-requested:
			return true
		default:
			return false
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(delay):
		return false
	case <-requested:
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
