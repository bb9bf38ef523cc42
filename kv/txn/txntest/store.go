// Package txntest is an in-memory txn.Store with faults, and the contract test
// that every txn.Store passes.
package txntest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Fault is what happens to a call.
type Fault uint8

// Faults.
const (
	// None lets the call run.
	None Fault = iota
	// Refuse answers that nothing was done.
	Refuse
	// LoseRequest loses the call before it runs.
	LoseRequest
	// LoseReply runs the call and loses the answer.
	LoseReply
	// Late loses the answer and runs a transaction only at ReleaseLate.
	Late
)

// Store is a txn.Store in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     txn.Rev
	items   map[string]txn.Item
	history []txn.Item
	// compacted is the revision up to which changes are forgotten.
	compacted    txn.Rev
	leases       map[txn.Lease]struct{}
	nextLease    txn.Lease
	lateRequests []txn.Request
	changed      chan struct{}
	// Fault decides on each call by its name: get, range, watch, commit, grant,
	// keep or revoke. It may be nil.
	fault func(call string) Fault
	calls map[string]int
}

var _ txn.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rev: 1, items: make(map[string]txn.Item), leases: make(map[txn.Lease]struct{}),
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetFault sets what happens to calls from now on; nil is no fault.
func (s *Store) SetFault(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how often a call was made.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Compact forgets all changes so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.rev
	s.history = nil
}

// ReleaseLate runs the transactions whose answers were lost by Late, if their
// conditions still hold.
func (s *Store) ReleaseLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, req := range s.lateRequests {
		if s.conditionsHold(req) {
			s.apply(req)
		}
	}
	s.lateRequests = nil
}

// nextFault counts a call and returns its fault. The lock is held.
func (s *Store) nextFault(call string) Fault {
	s.calls[call]++
	if s.fault == nil {
		return None
	}
	return s.fault(call)
}

// faultError returns the error of a fault for a call that has run or not.
func faultError(f Fault) error {
	switch f {
	case None:
		return nil
	case Refuse:
		return txn.ErrRefused
	default:
		return txn.ErrUnknown
	}
}

// Get implements txn.Store.
func (s *Store) Get(_ context.Context, key string) (txn.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := faultError(s.nextFault("get")); err != nil {
		return txn.Item{}, err
	}
	item, ok := s.items[key]
	if !ok {
		return txn.Item{}, txn.ErrNotFound
	}
	return item, nil
}

// maxPageItems bounds the items of one page.
const maxPageItems = 100

// Range implements txn.Store.
func (s *Store) Range(_ context.Context, prefix, after string) (txn.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := faultError(s.nextFault("range")); err != nil {
		return txn.Page{}, err
	}
	page := txn.Page{At: s.rev}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b txn.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > maxPageItems {
		page.Items, page.More = page.Items[:maxPageItems], true
	}
	return page, nil
}

// Watch implements txn.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			if err := faultError(s.nextFault("watch")); err != nil {
				s.mu.Unlock()
				return txn.Changes{}, err
			}
		}
		if after < s.compacted {
			s.mu.Unlock()
			return txn.Changes{}, txn.ErrCompacted
		}
		out := txn.Changes{At: s.rev}
		for _, item := range s.history {
			if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
				out.Items = append(out.Items, item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Items) > 0 {
			return out, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out, nil
		}
	}
}

// Commit implements txn.Store.
func (s *Store) Commit(_ context.Context, req txn.Request) (txn.Rev, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := s.nextFault("commit"); f {
	case None:
		if err := s.check(req); err != nil {
			return 0, err
		}
		return s.apply(req), nil
	case LoseReply:
		if s.check(req) == nil {
			s.apply(req)
		}
		return 0, txn.ErrUnknown
	case Late:
		s.lateRequests = append(s.lateRequests, req)
		return 0, txn.ErrUnknown
	default:
		return 0, faultError(f)
	}
}

// check returns why a transaction can't run. The lock is held.
func (s *Store) check(req txn.Request) error {
	for _, w := range req.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return txn.ErrNoLease
		}
	}
	if !s.conditionsHold(req) {
		return txn.ErrConflict
	}
	return nil
}

func (s *Store) conditionsHold(req txn.Request) bool {
	for _, c := range req.If {
		if s.items[c.Key].Rev != c.Rev {
			return false
		}
	}
	return true
}

// apply runs a transaction. The lock is held.
func (s *Store) apply(req txn.Request) txn.Rev {
	s.rev++
	for _, w := range req.Writes {
		item := txn.Item{Key: w.Key, Value: slices.Clone(w.Value), Rev: s.rev, Lease: w.Lease}
		s.items[w.Key] = item
		s.history = append(s.history, item)
	}
	for _, key := range req.Remove {
		s.remove(key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, txn.Item{Key: key, Rev: s.rev, Deleted: true})
}

// Grant implements txn.Store.
func (s *Store) Grant(context.Context, time.Duration) (txn.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := faultError(s.nextFault("grant")); err != nil {
		return 0, err
	}
	s.nextLease++
	s.leases[s.nextLease] = struct{}{}
	return s.nextLease, nil
}

// Keep implements txn.Store.
func (s *Store) Keep(_ context.Context, lease txn.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := faultError(s.nextFault("keep")); err != nil {
		return err
	}
	if _, ok := s.leases[lease]; !ok {
		return txn.ErrNoLease
	}
	return nil
}

// Revoke implements txn.Store.
func (s *Store) Revoke(_ context.Context, lease txn.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := faultError(s.nextFault("revoke")); err != nil {
		return err
	}
	return s.endLease(lease)
}

// Expire ends a lease as its time does.
func (s *Store) Expire(lease txn.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endLease(lease)
}

func (s *Store) endLease(lease txn.Lease) error {
	if _, ok := s.leases[lease]; !ok {
		return txn.ErrNoLease
	}
	delete(s.leases, lease)
	var leasedKeys []string
	for key, item := range s.items {
		if item.Lease == lease {
			leasedKeys = append(leasedKeys, key)
		}
	}
	s.apply(txn.Request{Remove: leasedKeys})
	return nil
}
