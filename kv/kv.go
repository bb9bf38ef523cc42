// Package kv defines the interface to the platform's key-value service and its
// HTTP client. The service offers compare-and-swap on one key, keys with a time
// to live, and watches.
package kv

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Version identifies one write. Versions increase and are never reused, not even
// after a deletion. Zero means that the key does not exist.
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
	// If is the version that the key must have. Zero creates the key, and
	// fails if it exists.
	If Version
	// TTL is the time after which the key is removed unless it is written
	// again. Zero means no limit. It is rounded to milliseconds, and a positive
	// TTL is at least 1 ms.
	TTL time.Duration
}

// Event is one change that a watch reports.
type Event struct {
	Entry
	Deleted bool
}

// Watch holds the arguments of Store.Watch: which keys to watch for changes after
// which version.
type Watch struct {
	// Key is the key to watch or, if Prefix is set, the prefix of the keys.
	Key    string
	Prefix bool
	// After is the last version that the watcher has seen. Zero requests the
	// current version: the reply comes at once, with Through but without events.
	After Version
	// Wait is the longest time to wait for a first change.
	Wait time.Duration
}

// Changes is the reply to a watch.
type Changes struct {
	Events []Event
	// Through is the version up to which Events has all changes.
	Through Version
}

// Store is the interface to the platform's key-value service.
//
// Errors are marked with ErrConflict, ErrNotFound, ErrUnreachable, ErrUnknown,
// ErrLimited, ErrTooLarge or ErrCompacted. After ErrUnknown, a write may have
// taken effect or may still take effect later. After any other error it has not
// taken effect and never will.
type Store interface {
	// Get returns the entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes a key if it has the expected version, and returns the new
	// version.
	Put(ctx context.Context, put Put) (Version, error)
	// Delete removes the key if it has the given version.
	Delete(ctx context.Context, key string, version Version) error
	// Watch waits for changes. ErrCompacted means that the store no longer
	// keeps all changes after the given version, and that the watcher must read
	// the keys again.
	Watch(ctx context.Context, watch Watch) (Changes, error)
}
