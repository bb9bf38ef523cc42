// Package peertest injects network faults between hosts in tests.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// ErrReplyLost is the error of a call that ran and whose reply did not arrive.
var ErrReplyLost = errors.New("reply to peer call lost")

// Faults is the set of network faults in effect between addresses. It is safe
// for concurrent use.
type Faults struct {
	mu     sync.Mutex
	cuts   map[direction]struct{}
	delays map[direction]time.Duration
	frozen map[string]chan struct{}
}

// direction identifies the messages from one address to another.
type direction struct{ from, to string }

// NewFaults returns a Faults without any fault.
func NewFaults() *Faults {
	return &Faults{cuts: make(map[direction]struct{}), delays: make(map[direction]time.Duration), frozen: make(map[string]chan struct{})}
}

// Cut drops all messages from one address to another. A call in this direction
// does not run; a call in the opposite direction runs, but its reply is dropped
// and it fails.
func (f *Faults) Cut(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[direction{from, to}] = struct{}{}
}

// CutBoth drops all messages between two addresses, in both directions.
func (f *Faults) CutBoth(a, b string) {
	f.Cut(a, b)
	f.Cut(b, a)
}

// Heal removes all cuts and delays. Frozen addresses stay frozen.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	clear(f.delays)
}

// Delay delays each message from one address to another by d.
func (f *Faults) Delay(from, to string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[direction{from, to}] = d
}

// Freeze blocks all messages from and to an address until Thaw.
func (f *Faults) Freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[address] == nil {
		f.frozen[address] = make(chan struct{})
	}
}

// Thaw unblocks the messages from and to a frozen address.
func (f *Faults) Thaw(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gate := f.frozen[address]; gate != nil {
		close(gate)
		delete(f.frozen, address)
	}
}

// Wrap returns an Invoker for the host at address from. It passes calls on to
// next and applies the faults to them.
func (f *Faults) Wrap(from string, next peer.Invoker) peer.Invoker {
	return &faultyInvoker{faults: f, from: from, next: next}
}

// faultyInvoker is the Invoker that Wrap returns.
type faultyInvoker struct {
	faults *Faults
	from   string
	next   peer.Invoker
}

// Call implements peer.Invoker.
func (c *faultyInvoker) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := c.faults.deliver(ctx, direction{c.from, address}); err != nil {
		return errors.Mark(err, peer.ErrUnreachable)
	}
	if err := c.next.Call(ctx, address, method, args, reply); err != nil {
		return err
	}
	if err := c.faults.deliver(ctx, direction{address, c.from}); err != nil {
		return errors.CombineErrors(ErrReplyLost, err)
	}
	return nil
}

// deliver applies the faults to one message: it waits for delays and freezes, and
// returns an error if the message is not delivered.
func (f *Faults) deliver(ctx context.Context, dir direction) error {
	f.mu.Lock()
	_, cut := f.cuts[dir]
	delay := f.delays[dir]
	gates := []chan struct{}{f.frozen[dir.from], f.frozen[dir.to]}
	f.mu.Unlock()
	if cut {
		return errors.Newf("message from %s to %s dropped by a cut", dir.from, dir.to)
	}
	for _, gate := range gates {
		if gate == nil {
			continue
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if delay == 0 {
		return nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
