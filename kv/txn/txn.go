// Package txn defines the interface to a key-value service that offers
// transactions over several keys, leases, and one revision counter for all
// changes.
package txn

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// MaxEntries is the maximum number of conditions, writes and removals in one
// transaction.
const MaxEntries = 32

// Errors of a Store. Callers test for them with errors.Is. After ErrUnknown, a
// write may have taken effect or may still take effect later. After any other
// error it has not taken effect and never will.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a condition of the transaction does not hold.
	ErrConflict = errors.New("a key has another revision")
	// ErrNoLease means that the lease has expired or was revoked.
	ErrNoLease = errors.New("lease has ended")
	// ErrCompacted means that the store no longer keeps the changes that a watch
	// asks for.
	ErrCompacted = errors.New("changes compacted")
	// ErrRefused means that the store refused the call, which had no effect.
	ErrRefused = errors.New("refused by the service")
	// ErrUnknown means that the outcome of the call is unknown.
	ErrUnknown = errors.New("outcome unknown")
)

// ConflictError is the error of a transaction with a condition that does not hold.
// It matches ErrConflict.
type ConflictError struct {
	// Items are the keys of the conditions as they were when the transaction failed.
	// Keys that don't exist may be missing.
	Items []Item
}

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict } //nolint:errorlint // the interface of errors.Is asks for the identity

// Item returns the state of a key. It reports false if the error does not tell it.
func (e *ConflictError) Item(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Lease is the ID of a lease. Zero means no lease.
type Lease int64

// Rev is a revision of the store. It increases with each change. As the revision
// of a key, zero means that the key does not exist.
type Rev int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Rev is the revision of the key's last change.
	Rev Rev
	// Lease is the lease that the key is bound to: the key is removed when the
	// lease ends. Zero means that the key is kept.
	Lease Lease
	// Deleted is set in Changes if the change removed the key.
	Deleted bool
}

// Page is one page of a listing in the order of the keys. The pages of a listing
// may be read at different revisions.
type Page struct {
	Items []Item
	// More reports whether there are more keys after the last one of the page.
	More bool
	// At is the store's revision when the page was read.
	At Rev
}

// Changes is the reply to a watch.
type Changes struct {
	Items []Item
	// At is the revision up to which Items has all changes.
	At Rev
}

// Condition requires a key to have a revision.
type Condition struct {
	Key string
	Rev Rev
}

// Write sets the value and the lease of a key.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Request is a transaction. If all conditions hold, all writes and removals take
// effect, or else none.
type Request struct {
	If     []Condition
	Writes []Write
	Remove []string
}

// Store is the interface to the key-value service.
type Store interface {
	// Get returns an item, or ErrNotFound. The read is linearizable.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns a page of the keys that have the prefix and come after the
	// key after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to wait for changes, after the revision after, of keys that
	// have the prefix.
	Watch(ctx context.Context, prefix string, after Rev, wait time.Duration) (Changes, error)
	// Commit executes a transaction and returns its revision, or a ConflictError.
	Commit(ctx context.Context, req Request) (Rev, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease, or returns ErrNoLease.
	Keep(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// Backoff intervals and maximum number of attempts for a refused page.
const (
	pageRetryInterval    = 150 * time.Millisecond
	maxPageRetryInterval = time.Second
	maxPageAttempts      = 6
)

// List returns all keys that have a prefix, and the revision of the first page; a
// watch after that revision misses no change. If a page after the first one is
// refused, List requests this page again: when many hosts list at the same time,
// the store refuses some calls of each host, and a listing that started over
// would never finish.
func List(ctx context.Context, s Store, prefix string) ([]Item, Rev, error) {
	page, err := s.Range(ctx, prefix, "")
	if err != nil {
		return nil, 0, err
	}
	items, at := page.Items, page.At
	for page.More {
		if len(page.Items) == 0 {
			return nil, 0, errors.Mark(errors.Newf("list %q: a page has no keys but more follow", prefix), ErrUnknown)
		}
		page, err = nextPage(ctx, s, prefix, page.Items[len(page.Items)-1].Key)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, page.Items...)
	}
	return items, at, nil
}

// nextPage requests a page, with retries as long as the store refuses the call.
func nextPage(ctx context.Context, s Store, prefix, after string) (Page, error) {
	retryDelay := &backoff.ExponentialBackOff{
		InitialInterval: pageRetryInterval, Multiplier: 2, MaxInterval: maxPageRetryInterval, RandomizationFactor: 0.5,
	}
	readPage := func() (Page, error) {
		page, err := s.Range(ctx, prefix, after)
		if err != nil && !errors.Is(err, ErrRefused) {
			err = backoff.Permanent(err)
		}
		return page, err
	}
	return backoff.Retry(ctx, readPage, backoff.WithBackOff(retryDelay), backoff.WithMaxTries(maxPageAttempts))
}
