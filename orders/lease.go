package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// clockMargin bounds how far the clocks of two hosts drift apart during one
// lease.
const clockMargin = 2 * time.Second

// leaseRecord is the record of an issuer's lease. It is never removed, so that the
// fencing number only grows. It carries out one generation of the document.
type leaseRecord struct {
	Holder      string
	Incarnation uint64
	Fencing     uint64
	Generation  uint64
	// Lease is how long the term lasts after each write of the record.
	Lease time.Duration
	// Renewals counts the writes of the term.
	Renewals uint64
}

// candidate is who wants the lease, and for what.
type candidate struct {
	Holder      string
	Incarnation uint64
	Generation  uint64
	// Quiet is the time that no order may be under way across a change of
	// issuer: an order's timeout and the clock margin.
	Quiet time.Duration
}

// leaseDuration returns how long a term lasts after each write.
func (c candidate) leaseDuration() time.Duration { return 3 * c.Quiet }

// lease is one host's view of a term. Times are of the host's own monotonic
// clock. It is not safe for concurrent use.
type lease struct {
	store kv.Store
	key   string

	record  leaseRecord
	version kv.Version
	// firstReadAt is when the record was first read at its version.
	firstReadAt time.Time
	// held says that the term is this host's, at least until the time until.
	held      bool
	expiresAt time.Time
	// quietUntil is the end of the wait of a new term.
	quietUntil time.Time
}

// acquireOrRenew takes, renews or begins a term, as far as the record allows it. The
// times of a term count from before the write that made it, and a candidate
// counts from after its read, so that two hosts never hold it at one time. A
// term of which more than two thirds are left needs no call.
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
		return errors.Wrap(err, "encode term")
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

// release ends a held term, so that another host need not wait for it to lapse.
// An order that is still under way is covered by the quiet of the next term.
func (l *lease) release(ctx context.Context) error {
	if !l.held {
		return nil
	}
	l.held = false
	payload, err := cbor.Marshal(leaseRecord{Fencing: l.record.Fencing, Generation: l.record.Generation})
	if err != nil {
		return errors.Wrap(err, "encode term")
	}
	_, err = kv.Swap(ctx, l.store, kv.Put{Key: l.key, Value: payload, If: l.version})
	return err
}

// readRecord reads the record.
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

// nextRecord returns the record that a candidate writes, if it may. A record of a
// later generation means that the candidate's document is old. It is pure.
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

// maySend reports whether an order may go out now, and until when it has to
// have ended. An engine that checks fencing numbers needs no more than the
// term; for others an order has to end inside the lease, and a new term is
// quiet first.
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
