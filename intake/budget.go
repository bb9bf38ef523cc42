// Package intake bounds what a process holds of requests while they arrive: the bytes of all of
// them together, and their connections.
package intake

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// stallTime is the time without a byte after which a request may be dropped for others.
	stallTime = 250 * time.Millisecond
	// smallBytes bounds the requests for which reservedFraction of a budget is kept, so that
	// large ones don't use up all of it.
	smallBytes       = 64 << 10
	reservedFraction = 0.25
	// minBuffer is the size of the first buffer for a body.
	minBuffer = 16 << 10
)

// ErrFull means that requests that are arriving use up the budget, and none of them has stalled.
var ErrFull = errors.New("requests that are arriving use up the memory for them")

// ErrDropped means that a request stalled and was dropped for the sake of others.
var ErrDropped = errors.New("the request stalled while the memory for requests was used up")

// ErrTooLarge means that a body has more bytes than it may.
var ErrTooLarge = errors.New("the body is too large")

// Budget bounds the bytes that a process holds of all requests that arrive or are served. A nil
// Budget bounds nothing. It is safe for concurrent use.
type Budget struct {
	// limit is the largest number of bytes, and largeLimit that up to which requests of more
	// than smallBytes may grow.
	limit, largeLimit int64
	clock             clockwork.Clock
	log               *logrus.Entry

	mu       sync.Mutex
	used     int64
	arriving map[*Hold]struct{}
	counts   Counts
}

// Counts says what a budget holds, in bytes, and how many requests it has refused and dropped.
type Counts struct {
	Used             int64
	Refused, Dropped int64
}

// NewBudget returns a budget of a number of bytes, or nil if that isn't positive.
func NewBudget(limit int64, clock clockwork.Clock, log *logrus.Entry) *Budget {
	if limit <= 0 {
		return nil
	}
	large := int64((1 - reservedFraction) * float64(limit))
	return &Budget{limit: limit, largeLimit: large, clock: clock, log: log, arriving: make(map[*Hold]struct{})}
}

// Hold is what is held of one request. A nil Hold is that of a nil Budget.
type Hold struct {
	budget *Budget
	// drop ends the request. It must not block.
	drop func()

	// bytes, progressAt, when the request last grew, and dropped are guarded by budget.mu.
	bytes      int64
	progressAt time.Time
	dropped    bool
}

// Begin begins a request that holds nothing yet. End must be called. The request is dropped by a
// call of drop, which must not block, if it stalls while others need its bytes.
func (b *Budget) Begin(drop func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, drop: drop, progressAt: b.clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[h] = struct{}{}
	return h
}

// Grow counts further bytes, for which stalled requests are dropped if need be. It returns
// ErrFull if that is not enough.
func (h *Hold) Grow(bytes int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.dropped {
		return ErrDropped
	}
	limit := b.limit
	if h.bytes+bytes > smallBytes {
		limit = b.largeLimit
	}
	for b.used+bytes > limit {
		if !b.dropStalled(h) {
			b.counts.Refused++
			b.log.WithFields(logrus.Fields{"held_bytes": b.used, "wanted_bytes": bytes, "limit_bytes": limit}).Warn("request refused: those that are arriving use up the memory for them")
			return ErrFull
		}
	}
	b.used += bytes
	h.bytes += bytes
	h.progressAt = b.clock.Now()
	return nil
}

// Progress records that bytes have arrived for which Grow was called before.
func (h *Hold) Progress() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = h.budget.clock.Now()
}

// Shrink counts fewer bytes.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.budget.used -= bytes
}

// Arrived records that the request has arrived as a whole, so that it is no longer dropped.
func (h *Hold) Arrived() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.arriving, h)
}

// End counts none of the request any more.
func (h *Hold) End() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h)
}

// release counts none of a request any more. The lock is held.
func (b *Budget) release(h *Hold) {
	delete(b.arriving, h)
	b.used -= h.bytes
	h.bytes = 0
}

// DropStalled drops the request that has stalled for the longest time, and reports whether there
// is one.
func (b *Budget) DropStalled() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropStalled(nil)
}

// dropStalled is DropStalled with the lock held. It spares one request, and those that hold
// nothing.
func (b *Budget) dropStalled(spared *Hold) bool {
	var victim *Hold
	for h := range b.arriving {
		if h != spared && h.bytes > 0 && (victim == nil || h.progressAt.Before(victim.progressAt)) {
			victim = h
		}
	}
	if victim == nil || b.clock.Since(victim.progressAt) < stallTime {
		return false
	}
	b.log.WithFields(logrus.Fields{"bytes": victim.bytes, "stalled_ms": b.clock.Since(victim.progressAt).Milliseconds()}).Warn("request dropped: it stalled while the memory or the connections for requests were used up")
	b.counts.Dropped++
	victim.dropped = true
	b.release(victim)
	victim.drop()
	return true
}

// Counts returns what the budget holds and what it did.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Used = b.used
	return c
}

// ReadBody reads a body of at most a number of bytes; zero is unbounded. The length is that which
// the request states, or negative. Buffers grow with what has arrived, so that a body that was
// only announced holds little. The error is ErrTooLarge, ErrFull, ErrDropped or that of the
// reader.
func (h *Hold) ReadBody(r io.Reader, length, limit int64) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, ErrTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, err := h.enlarge(body, length, limit)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			h.Arrived()
			return body, nil
		case err != nil && h.isDropped():
			return nil, errors.Mark(err, ErrDropped)
		case err != nil:
			return nil, err
		}
		h.Progress()
	}
}

// enlarge returns a copy of a body in a buffer of twice the size, but not more than a body of
// the stated length, or of the largest allowed one, needs.
func (h *Hold) enlarge(body []byte, length, limit int64) ([]byte, error) {
	size := max(2*int64(cap(body)), minBuffer)
	for _, bound := range []int64{length, limit} {
		if bound > 0 && bound >= int64(len(body)) {
			// The last byte lets the reader say that there is no more.
			size = min(size, bound+1)
		}
	}
	if err := h.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	h.Shrink(int64(cap(body)))
	return larger, nil
}

func (h *Hold) isDropped() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.dropped
}
