package forward

import "github.com/comfreyspindle/comfreyspindle/upstream/pool"

// Ending knows whether the end of a stream is proven. The connection of a close-delimited
// body ends in order also when its replica's process is killed between two events. The zero
// value is that of a stream of which no body has ended.
type Ending struct {
	// after is the id of the last event when a close-delimited body ended.
	after string
}

// Proves notes that a body of the stream has ended in order, after the event with the given
// id, and reports whether the stream is complete: the framing shows the end of the body, or
// an earlier close-delimited one ended after the same event, so that this one brought none.
// Two replicas that fail after the same event are not told from a stream that is complete.
func (e *Ending) Proves(framing pool.Framing, lastID string) bool {
	if framing != pool.FramingClose || e.IsUnconfirmed(lastID) {
		return true
	}
	e.after = lastID
	return false
}

// IsUnconfirmed reports whether a close-delimited body has ended after the event with the
// given id, so that only the proof of the end may be missing.
func (e *Ending) IsUnconfirmed(lastID string) bool {
	return e.after != "" && e.after == lastID
}
