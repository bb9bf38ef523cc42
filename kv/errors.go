package kv

import "github.com/cockroachdb/errors"

// Errors of a Store. Callers test for them with errors.Is.
var (
	// ErrConflict means that the key does not have the expected version.
	ErrConflict = errors.New("key has another version")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnreachable means that the call did not take effect because the store
	// could not be reached.
	ErrUnreachable = errors.New("platform unreachable")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
	// ErrSuperseded means that a write of unknown outcome either did not take
	// effect because another write came first, or took effect and was then
	// overwritten.
	ErrSuperseded = errors.New("superseded by another write")
	// ErrLimited means that a rate limit refused the call.
	ErrLimited = errors.New("rate limit reached")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted means that the store no longer keeps the changes that a watch
	// asks for.
	ErrCompacted = errors.New("changes compacted")
)
