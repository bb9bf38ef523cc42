package forward

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// freeUnfinishedBytes is what each response may hold without being counted: more than an event
// or a short body of a sound replica has.
const freeUnfinishedBytes = relayBufferBytes

// errTooManyUnfinished means that the responses that are not finished hold too many bytes
// together.
var errTooManyUnfinished = errors.New("unfinished responses hold too many bytes together")

// Unfinished bounds the bytes that all responses of a process hold together before they are passed
// on: parts of events, and the beginnings of bodies. Each is bounded by itself, but a faulty replica
// can send hundreds at once that never end. A nil Unfinished bounds nothing. It is safe for concurrent
// use.
type Unfinished struct {
	limit int64

	mu    sync.Mutex
	bytes int64
}

// NewUnfinished returns an Unfinished with a limit in bytes; zero is none.
func NewUnfinished(limit int64) *Unfinished { return &Unfinished{limit: limit} }

// Bytes returns the bytes that are counted now.
func (u *Unfinished) Bytes() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bytes
}

// unfinishedShare is the part of an Unfinished that one response has.
type unfinishedShare struct {
	of      *Unfinished
	counted int64
}

// resize counts a response that holds n bytes now. It returns an error if it holds more than
// before and that exceeds the limit.
func (s *unfinishedShare) resize(n int) error {
	counted := max(int64(n)-freeUnfinishedBytes, 0)
	if s.of == nil || s.of.limit <= 0 || counted == s.counted {
		return nil
	}
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	more := counted - s.counted
	if more > 0 && s.of.bytes+more > s.of.limit {
		return errTooManyUnfinished
	}
	s.of.bytes += more
	s.counted = counted
	return nil
}

// release counts nothing any more.
func (s *unfinishedShare) release() {
	// A response that holds less is never refused.
	_ = s.resize(0)
}

// readFirst reads a body to its end, or up to a limit in bytes, while its share allows.
func (s *unfinishedShare) readFirst(body io.Reader, limit int) ([]byte, error) {
	var first []byte
	buf := make([]byte, relayBufferBytes)
	for len(first) < limit {
		n, err := body.Read(buf[:min(len(buf), limit-len(first))])
		first = append(first, buf[:n]...)
		if err := s.resize(len(first)); err != nil {
			return first, err
		}
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return first, err
		}
	}
	return first, nil
}
