package kv

import "github.com/cockroachdb/errors"

// Errors of a Store, to be tested with errors.Is.
var (
	// ErrConflict means that the key had another version.
	ErrConflict = errors.New("key has another version")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnreachable means that the call did not reach the service.
	ErrUnreachable = errors.New("platform unreachable")
	// ErrUnknown means that the outcome of a write is unknown.
	ErrUnknown = errors.New("outcome unknown")
	// ErrSuperseded means that a write of unknown outcome either lost the race
	// or took effect and was then overwritten.
	ErrSuperseded = errors.New("superseded by another write")
	// ErrLimited means that the call was refused by a rate limit.
	ErrLimited = errors.New("rate limit reached")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted means that a watch asks for changes no longer known.
	ErrCompacted = errors.New("changes compacted")
)
