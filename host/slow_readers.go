package host

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Bounds of what is kept for callers that read slowly.
const (
	// callerWriteTimeout bounds the time in which a caller accepts a piece of a response,
	// in addition to the time for its length at minCallerRate. It is shorter than the time after
	// which replicas cut off a response that stays unread.
	callerWriteTimeout = 2 * time.Second
	// minCallerRate, in bytes a second, is the slowest rate at which callers may read.
	minCallerRate = 64 << 10
	// writeRecheck is how long a write that has timed out looks whether the caller accepts
	// more: the process may have been suspended meanwhile.
	writeRecheck = 10 * time.Millisecond
	// socketBufferBytes bounds what the system keeps of a response that a caller hasn't
	// accepted.
	socketBufferBytes = 256 << 10
	// pendingWriteFraction is the part of the process's memory limit that pieces of
	// responses may use while callers don't accept them.
	pendingWriteFraction = 0.125
)

// errCallerTooSlow means that a caller did not accept a piece of a response in time.
var errCallerTooSlow = errors.New("caller reads too slowly")

// pendingWrites bounds the bytes of all pieces of responses that callers have not
// accepted yet. It is safe for concurrent use.
type pendingWrites struct {
	// limit is the greatest number of bytes; zero is unbounded.
	limit int64
	log   *logrus.Entry

	mu      sync.Mutex
	bytes   int64
	pending map[*timeoutConn]pendingWrite
	dropped int64
}

// pendingWrite is a piece that is being written.
type pendingWrite struct {
	bytes int64
	since time.Time
}

func newPendingWrites(memoryBytes int64, log *logrus.Entry) *pendingWrites {
	return &pendingWrites{limit: int64(pendingWriteFraction * float64(memoryBytes)), log: log, pending: make(map[*timeoutConn]pendingWrite)}
}

// begin counts a piece. If that exceeds the limit, the connections that have waited for
// their callers for the longest time are closed.
func (w *pendingWrites) begin(c *timeoutConn, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[c] = pendingWrite{bytes: int64(n), since: time.Now()}
	w.bytes += int64(n)
	for w.limit > 0 && w.bytes > w.limit && len(w.pending) > 1 {
		slowest := w.slowest()
		waited := time.Since(w.pending[slowest].since)
		w.remove(slowest)
		w.dropped++
		// The write that is in progress returns the error of the closed connection.
		_ = slowest.Conn.Close()
		w.log.WithFields(logrus.Fields{"caller": slowest.RemoteAddr().String(), "waited_ms": waited.Milliseconds(), "pending_bytes": w.bytes}).Warn("response dropped: callers read too slowly")
	}
}

// slowest returns the connection whose piece has waited for the longest time. The lock
// is held.
func (w *pendingWrites) slowest() *timeoutConn {
	var slowest *timeoutConn
	for c, p := range w.pending {
		if slowest == nil || p.since.Before(w.pending[slowest].since) {
			slowest = c
		}
	}
	return slowest
}

func (w *pendingWrites) end(c *timeoutConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(c)
}

// remove stops counting a piece. The lock is held.
func (w *pendingWrites) remove(c *timeoutConn) {
	w.bytes -= w.pending[c].bytes
	delete(w.pending, c)
}

func (w *pendingWrites) count() (bytes, dropped int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes, w.dropped
}

func (w *pendingWrites) countTooSlow(c *timeoutConn) {
	w.mu.Lock()
	w.dropped++
	w.mu.Unlock()
	w.log.WithField("caller", c.RemoteAddr().String()).Info("response dropped: the caller reads too slowly")
}

// Write implements net.Conn. It fails if the caller does not accept p in time.
func (c *timeoutConn) Write(p []byte) (int, error) {
	if c.writes == nil {
		return c.Conn.Write(p)
	}
	c.writes.begin(c, len(p))
	defer c.writes.end(c)
	n, err := c.writeWithin(p, c.writeTimeout)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	more, err := c.writeWithin(p[n:], writeRecheck)
	n += more
	if more > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		more, err = c.writeWithin(p[n:], c.writeTimeout)
		n += more
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writes.countTooSlow(c)
		return n, errors.Mark(err, errCallerTooSlow)
	}
	return n, err
}

// writeWithin writes within a time and the time that p takes at minCallerRate.
func (c *timeoutConn) writeWithin(p []byte, timeout time.Duration) (int, error) {
	transfer := time.Duration(len(p)) * time.Second / minCallerRate
	if err := c.SetWriteDeadline(time.Now().Add(timeout + transfer)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// limitSendBuffer bounds what the system keeps of a response that was written and not yet
// accepted.
func limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without the bound the connection works too.
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

// registerSlowReaderMetrics registers what is kept for callers, and what was dropped.
func (h *Host) registerSlowReaderMetrics() {
	h.registerGauge("comfreyspindle_pending_response_bytes", "Bytes of responses that callers have not accepted yet.",
		nil, func() float64 { bytes, _ := h.writes.count(); return float64(bytes) })
	h.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "comfreyspindle_slow_callers_total", Help: "Responses that were dropped since their callers read too slowly.",
	}, func() float64 { _, dropped := h.writes.count(); return float64(dropped) }))
}
