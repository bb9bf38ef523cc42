package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// clockMargin is the most that the clocks of two hosts may drift apart during
// one lease.
const clockMargin = 2 * time.Second

// leaseRecord is the stored record of an issuer's lease. It is never deleted, so
// that fencing numbers only grow. A lease with one fencing number carries out one
// generation of the document.
type leaseRecord struct {
	Holder      string
	Incarnation uint64
	Fencing     uint64
	Generation  uint64
	// Lease is the lease duration, counted from each write of the record.
	Lease time.Duration
	// Renewals counts the renewals under one fencing number.
	Renewals uint64
}

// candidate describes a host that wants the lease, and for which generation.
type candidate struct {
	Holder      string
	Incarnation uint64
	Generation  uint64
	// Quiet is how long no order may be in progress when the issuer changes:
	// the timeout of an order plus the clock margin.
	Quiet time.Duration
}

// leaseDuration returns how long the lease lasts after each write.
func (c candidate) leaseDuration() time.Duration { return 3 * c.Quiet }

// lease is one host's view of the lease record. Times are of the host's own
// monotonic clock. It is not safe for concurrent use.
type lease struct {
	store kv.Store
	key   string

	record  leaseRecord
	version kv.Version
	// firstReadAt is when the record was first read at its version.
	firstReadAt time.Time
	// held means that this host holds the lease, until expiresAt at the
	// latest.
	held      bool
	expiresAt time.Time
	// quietUntil is when a lease with a new fencing number may first be used
	// for engines that ignore fencing numbers.
	quietUntil time.Time
}

// acquireOrRenew acquires or renews the lease if the record allows it. The holder
// counts the lease duration from before its write, and a candidate counts from
// after its read, so that two hosts never hold the lease at the same time. No
// call is made while more than two thirds of the duration are left.
func (l *lease) acquireOrRenew(ctx context.Context, c candidate, now func() time.Time) error {
	if l.held && l.record.Generation == c.Generation && l.expiresAt.Sub(now()) > 2*c.Quiet {
		return nil
	}
	if err := l.readRecord(ctx, now); err != nil {
		return err
	}
	next, ok := nextRecord(l.record, c, l.held, now().Sub(l.firstReadAt))
	if !ok {
		l.held = false
		return nil
	}
	payload, err := cbor.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	writeStart := now()
	v, err := kv.Swap(ctx, l.store, kv.Put{Key: l.key, Value: payload, If: l.version})
	if err != nil {
		return err
	}
	if next.Fencing != l.record.Fencing {
		l.quietUntil = now().Add(c.Quiet)
	}
	l.record, l.version, l.firstReadAt = next, v, now()
	l.held, l.expiresAt = true, writeStart.Add(next.Lease)
	return nil
}

// release ends a held lease, so that the next holder need not wait until it
// expires. The quiet period of the next lease covers an order that is still in
// progress.
func (l *lease) release(ctx context.Context) error {
	if !l.held {
		return nil
	}
	l.held = false
	payload, err := cbor.Marshal(leaseRecord{Fencing: l.record.Fencing, Generation: l.record.Generation})
	if err != nil {
		return errors.Wrap(err, "encode lease record")
	}
	_, err = kv.Swap(ctx, l.store, kv.Put{Key: l.key, Value: payload, If: l.version})
	return err
}

// readRecord reads the lease record. If the record has changed or is missing, the
// lease is no longer held.
func (l *lease) readRecord(ctx context.Context, now func() time.Time) error {
	r, err := kv.Read(ctx, l.store, l.key)
	if errors.Is(err, kv.ErrNotFound) {
		l.record, l.version, l.held = leaseRecord{}, 0, false
		return nil
	}
	if err != nil || r.Version == l.version {
		return err
	}
	l.held = false
	var stored leaseRecord
	if err := cbor.Unmarshal(r.Payload, &stored); err != nil {
		return errors.Wrapf(err, "decode %q", l.key)
	}
	l.record, l.version, l.firstReadAt = stored, r.Version, now()
	return nil
}

// nextRecord returns the record that a candidate may write, if any. A record of a
// later generation means that the candidate's document is outdated. It has no side
// effects.
func nextRecord(last leaseRecord, c candidate, held bool, unchanged time.Duration) (leaseRecord, bool) {
	next := leaseRecord{
		Holder: c.Holder, Incarnation: c.Incarnation, Fencing: last.Fencing + 1,
		Generation: c.Generation, Lease: c.leaseDuration(),
	}
	switch {
	case last.Generation > c.Generation:
		return leaseRecord{}, false
	case held && last.Generation == c.Generation:
		next.Fencing, next.Renewals = last.Fencing, last.Renewals+1
		return next, true
	case held, last.Holder == "":
		return next, true
	default:
		return next, unchanged > last.Lease+clockMargin
	}
}

// maySend reports whether an order may be sent now, and by when it has to end. For
// an engine that checks fencing numbers it is enough that the lease is held. For
// others the order has to end before the lease expires, and a lease with a new
// fencing number begins with a quiet period.
func (l *lease) maySend(now time.Time, checksFencing bool, quietPeriod time.Duration) (time.Time, bool) {
	end := now.Add(quietPeriod - clockMargin)
	if !l.held || !now.Before(l.expiresAt) {
		return end, false
	}
	if checksFencing {
		return end, true
	}
	return end, !now.Before(l.quietUntil) && l.expiresAt.Sub(now) >= quietPeriod
}
