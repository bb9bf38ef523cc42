package host

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// Timeouts of callers' connections where the configuration in force sets none.
const (
	// defaultIdleTimeout bounds the time between a response and the next
	// request.
	defaultIdleTimeout = 60 * time.Second
	// defaultHeaderTimeout bounds the time to receive a request's headers.
	defaultHeaderTimeout = 10 * time.Second
	// maxTimerDelay is the largest delay of a timer in a process that is not
	// suspended.
	maxTimerDelay = 500 * time.Millisecond
)

// timeoutListener closes connections that are idle or take too long to send
// headers, or whose callers read too slowly. The timeouts are read at the start of each phase, since they change
// with the configuration; those of http.Server are fixed once it serves.
type timeoutListener struct {
	net.Listener
	clock  clockwork.Clock
	limits func() route.Limits
	// writes bounds what is kept for slow callers, and writeTimeout the time that a
	// caller may take to accept a piece; nil bounds neither.
	writes       *pendingWrites
	writeTimeout time.Duration
	// intake bounds the heads and bodies of all requests together; nil bounds neither.
	intake *intake.Budget

	mu sync.Mutex
	// open holds the connections that are not closed.
	open map[*timeoutConn]struct{}
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limitSendBuffer(conn)
	c := &timeoutConn{Conn: conn, clock: l.clock, limits: l.limits, writes: l.writes, writeTimeout: l.writeTimeout, intake: l.intake, onClose: l.remove}
	l.mu.Lock()
	if l.open == nil {
		l.open = make(map[*timeoutConn]struct{})
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	c.enter(readingHeaders)
	return c, nil
}

func (l *timeoutListener) remove(c *timeoutConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// closeIdle closes the connections on which no byte of a next request has arrived.
// http.Server also closes those on which it is reading a request, and runs that request.
func (l *timeoutListener) closeIdle() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.closeIfIdle()
	}
}

// phase is the state of a connection, which decides the timeout that applies.
type phase uint8

const (
	// readingHeaders: the connection is new, or a request's headers have begun
	// to arrive.
	readingHeaders phase = iota
	// serving: a request is being served.
	serving
	// idle: the last response is complete and no byte of a next request has
	// arrived.
	idle
)

// timeoutConn is a connection accepted by a timeoutListener.
type timeoutConn struct {
	net.Conn
	clock  clockwork.Clock
	limits func() route.Limits
	writes *pendingWrites
	// writeTimeout is that of the listener.
	writeTimeout time.Duration

	// intake bounds the heads of all requests together; nil bounds none.
	intake *intake.Budget

	mu    sync.Mutex
	phase phase
	timer clockwork.Timer
	// head is what is held of the head that is arriving, or of the request that is served.
	head head
	// closed means that the host has closed the connection.
	closed bool
	// onClose is called when the connection is closed; it may be nil.
	onClose func(*timeoutConn)
}

// Read implements net.Conn. The first bytes after a response begin the next
// request's header phase. Bytes that arrive while the host closes the connection are
// discarded: a request that can't be answered must not run.
func (c *timeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.phase == idle {
		c.enterLocked(readingHeaders)
	}
	if c.phase == readingHeaders {
		if refusal := c.head.grow(n, c.limits().HeaderBytes); refusal != 0 {
			return 0, c.refuseHead(refusal)
		}
	}
	return n, err
}

// Close implements net.Conn. It also stops the timer.
func (c *timeoutConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.enterLocked(serving)
	c.mu.Unlock()
	if c.onClose != nil {
		c.onClose(c)
	}
	return c.Conn.Close()
}

// closeIfIdle closes the connection if no byte of a next request has been read.
func (c *timeoutConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.closed {
		return
	}
	c.closed = true
	// The client sees the closed connection; an error of Close has no other reader.
	_ = c.Conn.Close()
}

// SetLinger sets how closing treats data that was not sent, as net.TCPConn does. It has no
// effect on other connections.
func (c *timeoutConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// enter changes the phase and starts its timer, if the phase has a timeout.
func (c *timeoutConn) enter(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterLocked(next)
}

// enterLocked is enter with the lock held.
func (c *timeoutConn) enterLocked(next phase) {
	c.phase = next
	switch {
	case c.closed || next == idle:
		c.head.end()
	case next == readingHeaders:
		c.head.begin(c.intake, c.closeLater)
	case next == serving:
		c.head.arrived()
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	var timeout time.Duration
	switch next {
	case readingHeaders:
		timeout = c.limits().HeaderTimeout
	case idle:
		timeout = c.limits().IdleTimeout
	case serving:
	}
	if timeout > 0 {
		due := c.clock.Now().Add(timeout)
		c.timer = c.clock.AfterFunc(timeout, func() { c.expire(next, due) })
	}
}

// expire closes a connection that is still in the phase whose timeout has
// passed. A timer that fires more than maxTimerDelay late shows that the
// process was suspended. Data that arrived meanwhile has not been read yet, so
// the phase starts again with its whole timeout.
func (c *timeoutConn) expire(timed phase, due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != timed || c.timer == nil:
	case c.clock.Since(due) > maxTimerDelay:
		c.enterLocked(timed)
	default:
		c.closed = true
		// The client sees the closed connection; an error of Close has no
		// other reader.
		_ = c.Conn.Close()
	}
}

// trackState is the ConnState hook of the server that uses a timeoutListener.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*timeoutConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
