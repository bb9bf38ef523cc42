package kvtest

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Fault is a row of a Store's fault table: the failure that is injected into the
// calls that match it. The first matching row applies.
type Fault struct {
	// Host, Op and Prefix select calls by calling host, kind and prefix of the
	// key. An empty field matches all calls.
	Host   string
	Op     Op
	Prefix string
	// Skip is the number of matching calls that pass before the first fault.
	Skip int
	// Times is the maximum number of calls that the fault is injected into. Zero
	// means no limit.
	Times int
	// Delay is the delay before the call takes effect.
	Delay time.Duration
	// Err, if set, is returned by the call, which does not take effect.
	Err error
	// LoseReply simulates a lost reply: the call takes effect, and returns
	// ErrUnknown for writes and ErrUnreachable for reads.
	LoseReply bool
	// LoseRequest simulates a lost request: the call does not take effect, and
	// returns the same error as with LoseReply.
	LoseRequest bool
	// Late simulates a delayed request: a write returns ErrUnknown and takes
	// effect only when ReleaseLate is called. Reads are not affected.
	Late bool
	// Gate, if set, blocks the call until the channel is closed.
	Gate     <-chan struct{}
	matched  int
	injected int
}

// AddFault adds f to the fault table and returns a function that removes it.
func (s *Store) AddFault(f Fault) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := &f
	s.faults = append(s.faults, row)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, other := range s.faults {
			if other == row {
				s.faults = append(s.faults[:i], s.faults[i+1:]...)
				return
			}
		}
	}
}

// SetOutage simulates an outage of the store: while on is true, every call of a
// host fails with ErrUnreachable.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Calls returns the number of calls of kind op by the host. An empty host or op
// matches all.
func (s *Store) Calls(host string, op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, count := range s.calls {
		if (host == "" || k.Host == host) && (op == "" || k.Op == op) {
			n += count
		}
	}
	return n
}

// BytesWritten returns the total size of all values written so far.
func (s *Store) BytesWritten() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesWritten
}

// Host returns the store as the named host uses it: calls are counted, and
// faults, outages, cuts and rate limits apply.
func (s *Store) Host(name string) kv.Store { return &hostStore{store: s, host: name} }

type hostStore struct {
	store *Store
	host  string
}

// nextFault counts a call and returns the fault to inject into it, which includes
// outages, cuts and rate limits.
func (h *hostStore) nextFault(op Op, key string) Fault {
	s := h.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[CallKey{Host: h.host, Op: op}]++
	if s.outage {
		return Fault{Err: kv.ErrUnreachable}
	}
	if s.limits.exceeded(s.clock.Now(), h.host, op) {
		return Fault{Err: kv.ErrLimited}
	}
	fault := Fault{}
	for _, f := range s.faults {
		if f.matches(h.host, op, key) {
			fault = *f
			break
		}
	}
	fault.LoseRequest = fault.LoseRequest || s.cuts[h.host] == CutRequests
	fault.LoseReply = fault.LoseReply || s.cuts[h.host] == CutReplies
	return fault
}

// matches reports whether f is to be injected into a call, and updates the
// counts of f.
func (f *Fault) matches(host string, op Op, key string) bool {
	if f.Host != "" && f.Host != host || f.Op != "" && f.Op != op || !strings.HasPrefix(key, f.Prefix) {
		return false
	}
	f.matched++
	if f.matched <= f.Skip || f.Times > 0 && f.injected >= f.Times {
		return false
	}
	f.injected++
	return true
}

// applyBefore chooses the fault of a call and applies what happens before the
// call takes effect.
func (h *hostStore) applyBefore(ctx context.Context, op Op, key string) (Fault, error) {
	f := h.nextFault(op, key)
	if f.Delay > 0 {
		select {
		case <-h.store.clock.After(f.Delay):
		case <-ctx.Done():
			return f, errors.Mark(ctx.Err(), kv.ErrUnreachable)
		}
	}
	if f.Gate != nil {
		<-f.Gate
	}
	if f.Err == nil && f.LoseRequest {
		return f, errors.Wrap(lossError(op), "request lost")
	}
	return f, f.Err
}

// lossError returns the error of a call of kind op whose request or reply was
// lost.
func lossError(op Op) error {
	if op == OpPut || op == OpDelete {
		return kv.ErrUnknown
	}
	return kv.ErrUnreachable
}

// applyAfter applies what happens after the call has taken effect. Its argument
// err is the result of the call.
func (f *Fault) applyAfter(op Op, err error) error {
	if f.LoseReply {
		return errors.Wrap(lossError(op), "reply lost")
	}
	return err
}

// Get implements kv.Store.
func (h *hostStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	f, err := h.applyBefore(ctx, OpGet, key)
	if err != nil {
		return kv.Entry{}, err
	}
	e, err := h.store.Get(ctx, key)
	if err := f.applyAfter(OpGet, err); err != nil {
		return kv.Entry{}, err
	}
	return e, nil
}

// Put implements kv.Store.
func (h *hostStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	f, err := h.applyBefore(ctx, OpPut, put.Key)
	if err != nil {
		return 0, err
	}
	if f.Late {
		h.store.deferWrite(func() { _, _ = h.store.Put(context.WithoutCancel(ctx), put) })
		return 0, errors.Wrap(kv.ErrUnknown, "write deferred until ReleaseLate")
	}
	v, err := h.store.Put(ctx, put)
	if err := f.applyAfter(OpPut, err); err != nil {
		return 0, err
	}
	return v, nil
}

// Delete implements kv.Store.
func (h *hostStore) Delete(ctx context.Context, key string, version kv.Version) error {
	f, err := h.applyBefore(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	if f.Late {
		h.store.deferWrite(func() { _ = h.store.Delete(context.WithoutCancel(ctx), key, version) })
		return errors.Wrap(kv.ErrUnknown, "write deferred until ReleaseLate")
	}
	return f.applyAfter(OpDelete, h.store.Delete(ctx, key, version))
}

// Watch implements kv.Store.
func (h *hostStore) Watch(ctx context.Context, w kv.Watch) (kv.Changes, error) {
	f, err := h.applyBefore(ctx, OpWatch, w.Key)
	if err != nil {
		return kv.Changes{}, err
	}
	c, err := h.store.Watch(ctx, w)
	if err := f.applyAfter(OpWatch, err); err != nil {
		return kv.Changes{}, err
	}
	return c, nil
}

// deferWrite stores a late write for ReleaseLate.
func (s *Store) deferWrite(effect func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrites = append(s.lateWrites, effect)
}

// ReleaseLate executes the writes that Late faults deferred and returns their
// number. A write takes effect only if its condition still holds.
func (s *Store) ReleaseLate() int {
	s.mu.Lock()
	lateWrites := s.lateWrites
	s.lateWrites = nil
	s.mu.Unlock()
	for _, effect := range lateWrites {
		effect()
	}
	return len(lateWrites)
}
