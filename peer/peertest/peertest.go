// Package peertest causes faults of the network between hosts in tests.
package peertest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// ErrReplyLost ends a call that ran and whose reply was cut off.
var ErrReplyLost = errors.New("reply lost")

// Faults is a table of faults between named addresses. It is safe for
// concurrent use.
type Faults struct {
	mu     sync.Mutex
	cuts   map[way]struct{}
	delays map[way]time.Duration
	frozen map[string]chan struct{}
}

// way is one direction between two addresses.
type way struct{ from, to string }

// NewFaults returns an empty table.
func NewFaults() *Faults {
	return &Faults{cuts: make(map[way]struct{}), delays: make(map[way]time.Duration), frozen: make(map[string]chan struct{})}
}

// Cut loses all messages from one address to another. A call against the cut
// does not run; a call whose reply goes against it runs and fails.
func (f *Faults) Cut(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[way{from, to}] = struct{}{}
}

// CutBoth cuts both ways.
func (f *Faults) CutBoth(a, b string) {
	f.Cut(a, b)
	f.Cut(b, a)
}

// Heal removes all cuts and delays.
func (f *Faults) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	clear(f.delays)
}

// Delay holds back messages from one address to another.
func (f *Faults) Delay(from, to string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[way{from, to}] = d
}

// Freeze stops all calls from and to an address until Thaw.
func (f *Faults) Freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[address] == nil {
		f.frozen[address] = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (f *Faults) Thaw(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gate := f.frozen[address]; gate != nil {
		close(gate)
		delete(f.frozen, address)
	}
}

// Wrap returns an Invoker for the host at the given address, under the faults.
func (f *Faults) Wrap(from string, next peer.Invoker) peer.Invoker {
	return &caller{faults: f, from: from, next: next}
}

type caller struct {
	faults *Faults
	from   string
	next   peer.Invoker
}

// Call implements peer.Invoker.
func (c *caller) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := c.faults.pass(ctx, way{c.from, address}); err != nil {
		return errors.Mark(err, peer.ErrUnreachable)
	}
	if err := c.next.Call(ctx, address, method, args, reply); err != nil {
		return err
	}
	if err := c.faults.pass(ctx, way{address, c.from}); err != nil {
		return errors.CombineErrors(ErrReplyLost, err)
	}
	return nil
}

// pass lets a message through, or returns why it is lost.
func (f *Faults) pass(ctx context.Context, w way) error {
	f.mu.Lock()
	_, cut := f.cuts[w]
	delay := f.delays[w]
	gates := []chan struct{}{f.frozen[w.from], f.frozen[w.to]}
	f.mu.Unlock()
	if cut {
		return errors.Newf("cut from %s to %s", w.from, w.to)
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
