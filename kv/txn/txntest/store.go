// Package txntest provides an in-memory txn.Store with fault injection, and the
// contract test that every txn.Store must pass.
package txntest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Fault is the failure that is injected into a call.
type Fault uint8

// Faults that can be injected.
const (
	// None executes the call and returns its result.
	None Fault = iota
	// Refuse does not execute the call and returns txn.ErrRefused.
	Refuse
	// LoseRequest does not execute the call and returns txn.ErrUnknown.
	LoseRequest
	// LoseReply executes a Commit and returns txn.ErrUnknown. Other calls are
	// treated as with LoseRequest.
	LoseReply
	// Late returns txn.ErrUnknown and executes a Commit only when ReleaseLate is
	// called. Other calls are treated as with LoseRequest.
	Late
)

// Store is an in-memory txn.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rev     txn.Rev
	items   map[string]txn.Item
	history []txn.Item
	// compacted is the revision up to which changes were discarded.
	compacted    txn.Rev
	leases       map[txn.Lease]struct{}
	nextLease    txn.Lease
	lateRequests []txn.Request
	changed      chan struct{}
	// fault returns the fault of each call by the call's name: get, range, watch,
	// commit, grant, keep or revoke. It may be nil.
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

// SetFault sets the function that chooses the fault of each later call by the
// call's name. Nil means no faults.
func (s *Store) SetFault(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls with the given name.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Compact discards all changes so far, so that a watch from an earlier revision
// fails with txn.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.rev
	s.history = nil
}

// ReleaseLate executes the transactions that Late deferred, if their conditions
// still hold.
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

// nextFault counts a call and returns its fault. The caller holds the lock.
func (s *Store) nextFault(call string) Fault {
	s.calls[call]++
	if s.fault == nil {
		return None
	}
	return s.fault(call)
}

// faultError returns the error that a call with fault f returns.
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

// maxPageItems is the maximum number of items in one page.
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

// check returns an error if a transaction can't be executed. The caller holds the
// lock.
func (s *Store) check(req txn.Request) error {
	for _, w := range req.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return txn.ErrNoLease
		}
	}
	if !s.conditionsHold(req) {
		conflict := &txn.ConflictError{}
		for _, c := range req.If {
			if item, ok := s.items[c.Key]; ok {
				conflict.Items = append(conflict.Items, item)
			}
		}
		return conflict
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

// apply executes a transaction without checks and returns its revision. The
// caller holds the lock.
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

// Expire ends a lease as if its time to live were over.
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
