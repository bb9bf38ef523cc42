// Package kvtest provides an in-memory simulation of the platform's key-value
// service with fault injection, and the contract test that every kv.Store must
// pass.
package kvtest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// minKeptEvents is the number of latest changes that automatic compaction keeps
// for watches. It begins when twice as many are stored.
const minKeptEvents = 4096

// Store is an in-memory key-value service. Its own methods implement kv.Store
// without faults or limits; Host returns a kv.Store with both for one host.
type Store struct {
	clock clockwork.Clock

	mu           sync.Mutex
	version      kv.Version
	entries      map[string]entry
	events       []kv.Event
	compacted    kv.Version
	changed      chan struct{}
	calls        map[CallKey]int
	bytesWritten int64
	faults       []*Fault
	outage       bool
	cuts         map[string]Cut
	lateWrites   []func()
	limits       limits
	// expiring holds the expiry times of the keys with a time to live.
	expiring map[string]time.Time
}

type entry struct {
	value   []byte
	version kv.Version
}

// CallKey is the key by which calls are counted.
type CallKey struct {
	Host string
	Op   Op
}

// Op is the kind of a call.
type Op string

// Kinds of call.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

var _ kv.Store = (*Store)(nil)

// NewStore returns an empty store that uses clock.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		version: 1,
		entries: make(map[string]entry),
		changed: make(chan struct{}),
		calls:   make(map[CallKey]int),
		cuts:    make(map[string]Cut),

		expiring: make(map[string]time.Time),
	}
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, errors.Wrapf(kv.ErrNotFound, "get %q", key)
	}
	return kv.Entry{Key: key, Value: append([]byte(nil), e.value...), Version: e.version}, nil
}

// Put implements kv.Store.
func (s *Store) Put(_ context.Context, put kv.Put) (kv.Version, error) {
	if len(put.Value) > kv.MaxValueBytes {
		return 0, errors.Wrapf(kv.ErrTooLarge, "put %q", put.Key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.entries[put.Key].version != put.If {
		return 0, errors.Wrapf(kv.ErrConflict, "put %q", put.Key)
	}
	s.version++
	e := entry{value: append([]byte(nil), put.Value...), version: s.version}
	delete(s.expiring, put.Key)
	if put.TTL > 0 {
		s.expiring[put.Key] = s.clock.Now().Add(put.TTL)
	}
	s.entries[put.Key] = e
	s.bytesWritten += int64(len(put.Value))
	s.record(kv.Event{Entry: kv.Entry{Key: put.Key, Value: e.value, Version: e.version}})
	return e.version, nil
}

// Delete implements kv.Store.
func (s *Store) Delete(_ context.Context, key string, version kv.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return errors.Wrapf(kv.ErrNotFound, "delete %q", key)
	}
	if e.version != version {
		return errors.Wrapf(kv.ErrConflict, "delete %q", key)
	}
	s.remove(key)
	return nil
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, w kv.Watch) (kv.Changes, error) {
	timeout := s.clock.After(w.Wait)
	for {
		changes, changed, expiry, err := s.changesSince(w)
		if err != nil || w.After == 0 || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-expiry:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return kv.Changes{}, errors.Mark(ctx.Err(), kv.ErrUnreachable)
		}
	}
}

// changesSince returns the changes that w asks for, a channel that is closed at
// the next change, and one that receives when the next key expires.
func (s *Store) changesSince(w kv.Watch) (kv.Changes, <-chan struct{}, <-chan time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if w.After == 0 {
		return kv.Changes{Through: s.version}, nil, nil, nil
	}
	if w.After < s.compacted {
		return kv.Changes{}, nil, nil, errors.Wrapf(kv.ErrCompacted, "watch %q", w.Key)
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > w.After })
	changes := kv.Changes{Through: max(s.version, w.After)}
	for _, e := range s.events[first:] {
		if e.Key == w.Key || w.Prefix && strings.HasPrefix(e.Key, w.Key) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, s.changed, s.nextExpiry(), nil
}

// nextExpiry returns a channel that receives when the next key expires, or nil if
// no key has a time to live. The caller holds the lock.
func (s *Store) nextExpiry() <-chan time.Time {
	if len(s.expiring) == 0 {
		return nil
	}
	var next time.Time
	for _, at := range s.expiring {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return s.clock.After(next.Sub(s.clock.Now()))
}

// record appends an event and notifies the watches. The caller holds the lock.
func (s *Store) record(e kv.Event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*minKeptEvents {
		s.compact(len(s.events) - minKeptEvents)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) compact(n int) {
	if n == 0 {
		return
	}
	s.compacted = s.events[n-1].Version
	s.events = append([]kv.Event(nil), s.events[n:]...)
}

// Compact discards all changes so far, as a real store does with old ones. A
// watch from an earlier version then fails with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(len(s.events))
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	delete(s.expiring, key)
	s.version++
	s.record(kv.Event{Entry: kv.Entry{Key: key, Version: s.version}, Deleted: true})
}

// expire removes the expired keys. The caller holds the lock.
func (s *Store) expire() {
	now := s.clock.Now()
	for key, at := range s.expiring {
		if !now.Before(at) {
			s.remove(key)
		}
	}
}

// Expire removes key at once. It simulates an overloaded store that expires keys
// too early.
func (s *Store) Expire(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		s.remove(key)
	}
}

// Extend adds d to the time to live of key. It simulates a slow store that
// expires keys too late.
func (s *Store) Extend(key string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.expiring[key]; ok {
		s.expiring[key] = at.Add(d)
	}
}

// Snapshot returns a copy of all keys and values, for use with Restore.
func (s *Store) Snapshot() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]byte, len(s.entries))
	for k, e := range s.entries {
		out[k] = append([]byte(nil), e.value...)
	}
	return out
}

// Restore replaces all entries with those of a snapshot. Versions continue to
// increase, and restored keys have no time to live.
func (s *Store) Restore(snapshot map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if _, kept := snapshot[key]; !kept {
			s.remove(key)
		}
	}
	for key, value := range snapshot {
		s.version++
		delete(s.expiring, key)
		s.entries[key] = entry{value: value, version: s.version}
		s.record(kv.Event{Entry: kv.Entry{Key: key, Value: value, Version: s.version}})
	}
}

// Keys returns the keys with the given prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
