// Package kv is the port to the platform's key-value service:
// compare-and-swap on one key, keys with a time to live, and watches.
package kv

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Version identifies one write. Versions grow and are never used twice, also
// not after a deletion. Zero means that the key does not exist.
type Version uint64

// Entry is a key with its value at one version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Put is a conditional write.
type Put struct {
	Key   string
	Value []byte
	// If is the version that the key must have; zero creates the key and
	// fails if it exists.
	If Version
	// TTL removes the key after this time unless it is written again; zero
	// keeps it. The service rounds up to a millisecond.
	TTL time.Duration
}

// Event is a change seen by a watch.
type Event struct {
	Entry
	Deleted bool
}

// Watch asks for changes after a version.
type Watch struct {
	// Key is the key, or the prefix of the keys, to watch.
	Key    string
	Prefix bool
	// After is the last version that the watcher has seen. Zero asks where
	// to begin: the reply comes at once, with Through but without events.
	After Version
	// Wait bounds the wait for a first change.
	Wait time.Duration
}

// Changes is the reply to a watch.
type Changes struct {
	Events []Event
	// Through is the version up to which Events is complete.
	Through Version
}

// Store is the platform's key-value service.
//
// Errors are marked with ErrConflict, ErrNotFound, ErrUnreachable,
// ErrUnknown, ErrLimited, ErrTooLarge or ErrCompacted. After ErrUnknown a
// write may have taken effect or may yet take effect; after every other error
// it has not and will not.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes conditionally and returns the new version.
	Put(ctx context.Context, put Put) (Version, error)
	// Delete removes the key if it has the given version.
	Delete(ctx context.Context, key string, version Version) error
	// Watch waits for changes. ErrCompacted means that changes after the
	// given version are no longer known and that the watcher must read anew.
	Watch(ctx context.Context, watch Watch) (Changes, error)
}
