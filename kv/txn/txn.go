// Package txn is the port to a key-value service with transactions over several
// keys, leases and one revision counter for all changes.
package txn

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// MaxEntries bounds the conditions, writes and removals of one transaction.
const MaxEntries = 32

// Errors of a Store, to be tested with errors.Is. After ErrUnknown a write may
// have taken effect or may yet take effect; after every other error it has not
// and will not.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a condition of a transaction doesn't hold.
	ErrConflict = errors.New("a key has another revision")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrCompacted means that a watch asks for changes no longer known.
	ErrCompacted = errors.New("changes compacted")
	// ErrRefused means that the service refused the call and did nothing.
	ErrRefused = errors.New("refused by the service")
	// ErrUnknown means that the outcome of the call is unknown.
	ErrUnknown = errors.New("outcome unknown")
)

// Lease identifies a lease; zero is none.
type Lease int64

// Rev is a revision of the service. It grows with each change; zero stands for
// a key that does not exist.
type Rev int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Rev is the revision of the last change.
	Rev Rev
	// Lease removes the key when it ends; zero keeps it.
	Lease Lease
	// Deleted marks the removal of the key, in changes.
	Deleted bool
}

// Page is a part of a listing, in order of keys. Pages are no snapshot.
type Page struct {
	Items []Item
	// More says that another page begins after the last key.
	More bool
	// At is the service's revision when the page was read.
	At Rev
}

// Changes are what a watch saw.
type Changes struct {
	Items []Item
	// At is the revision up to which Items is complete.
	At Rev
}

// Condition is the revision that a key must have.
type Condition struct {
	Key string
	Rev Rev
}

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Request is a transaction: all or nothing.
type Request struct {
	If     []Condition
	Writes []Write
	Remove []string
}

// Store is the service.
type Store interface {
	// Get returns an item, or ErrNotFound. The read is linearizable.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns a page of the keys with a prefix, after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes of keys with a prefix after a revision.
	Watch(ctx context.Context, prefix string, after Rev, wait time.Duration) (Changes, error)
	// Commit runs a transaction and returns its revision.
	Commit(ctx context.Context, req Request) (Rev, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease, or returns ErrNoLease.
	Keep(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// Pauses before a page that was refused is asked for again.
const (
	pageRetryInterval    = 150 * time.Millisecond
	maxPageRetryInterval = time.Second
	maxPageAttempts      = 6
)

// List returns all keys with a prefix, page by page, and the revision of the
// first page, from which a watch misses nothing. A later page that is refused is
// asked for again: with many hosts that list at one time, the service refuses
// some calls of each, and a listing that began anew would never end.
func List(ctx context.Context, s Store, prefix string) ([]Item, Rev, error) {
	page, err := s.Range(ctx, prefix, "")
	if err != nil {
		return nil, 0, err
	}
	items, at := page.Items, page.At
	for page.More && len(page.Items) > 0 {
		page, err = nextPage(ctx, s, prefix, page.Items[len(page.Items)-1].Key)
		if err != nil {
			return nil, 0, err
		}
		items = append(items, page.Items...)
	}
	return items, at, nil
}

// nextPage asks for a page until it isn't refused.
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
