package host

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/intake"
)

// Sizes of heads.
const (
	// smallHeadBytes is the size up to which heads are not counted: each connection has a
	// buffer of this size anyway.
	smallHeadBytes = 4 << 10
	// headSlackBytes is what a head may have beyond the limit on its header fields: the request
	// line, and what was read of the body with it.
	headSlackBytes = 32 << 10
	// headCopies is how many times the bytes of a head are held: as they arrive, and decoded.
	headCopies = 3
	// refusalWriteTimeout bounds the write of a refusal.
	refusalWriteTimeout = 100 * time.Millisecond
)

// errHeadRefused ends the reading of a connection whose head was refused.
var errHeadRefused = errors.New("the head of the request was refused")

// head is what is held of the head of a connection's request.
type head struct {
	hold  *intake.Hold
	bytes int64
}

// begin begins a new head.
func (h *head) begin(budget *intake.Budget, drop func()) {
	h.end()
	h.hold = budget.Begin(drop)
}

// grow counts bytes that have arrived. It returns the status with which the request is refused, or
// 0.
func (h *head) grow(n int, limit int64) (refusal int) {
	counted := max(h.bytes-smallHeadBytes, 0)
	h.bytes += int64(n)
	if limit > 0 && h.bytes > limit+headSlackBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if more := max(h.bytes-smallHeadBytes, 0) - counted; more > 0 && h.hold.Grow(headCopies*more) != nil {
		return http.StatusServiceUnavailable
	}
	return 0
}

// arrived records that the head is complete. It is held until end.
func (h *head) arrived() { h.hold.Arrived() }

// end counts nothing of the head any more.
func (h *head) end() {
	h.hold.End()
	*h = head{}
}

// refuseHead answers a request whose head has not arrived as a whole with a status, and ends the
// reading of the connection. The lock is held.
func (c *timeoutConn) refuseHead(status int) error {
	c.closed = true
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		answer += "Retry-After: 1\r\n"
	}
	// The caller sees the closed connection if it does not get the answer.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Conn.Write([]byte(answer + "\r\n"))
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadRefused}
}

// closeLater closes the connection without waiting for that.
func (c *timeoutConn) closeLater() {
	go func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.phase == readingHeaders {
			c.closed = true
			// The client sees the closed connection; an error of Close has no other reader.
			_ = c.Conn.Close()
		}
	}()
}
