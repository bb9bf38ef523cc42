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
	// maxOpen bounds the open connections; zero is unbounded.
	maxOpen int

	mu sync.Mutex
	// open holds the connections that are not closed.
	open map[*timeoutConn]struct{}
	// closedForOthers counts connections that were closed to make room, and refused new ones for
	// which there was none.
	closedForOthers, refused int64
}

// Accept implements net.Listener. If the listener has as many connections as it may, it closes
// one of them for the new one, or else the new one.
func (l *timeoutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom() {
			// The caller sees the closed connection; an error of Close has no other reader.
			_ = conn.Close()
			continue
		}
		return l.add(conn), nil
	}
}

// add adds a connection that was accepted.
func (l *timeoutListener) add(conn net.Conn) *timeoutConn {
	limitSendBuffer(conn)
	c := &timeoutConn{Conn: conn, clock: l.clock, limits: l.limits, writes: l.writes, writeTimeout: l.writeTimeout, intake: l.intake, onClose: l.remove}
	l.mu.Lock()
	if l.open == nil {
		l.open = make(map[*timeoutConn]struct{})
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	c.enter(readingHeaders)
	return c
}

// makeRoom closes a connection if there are as many as there may be: the one whose head has
// been arriving for the longest time, which honest callers send at once, or one whose body has
// stalled, or the one that has been idle for the longest time. It reports false if there is none.
func (l *timeoutListener) makeRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxOpen <= 0 || len(l.open) < l.maxOpen {
		return true
	}
	victim := l.longestIn(readingHeaders)
	if victim == nil && l.intake.DropStalled() {
		l.closedForOthers++
		return true
	}
	if victim == nil {
		victim = l.longestIn(idle)
	}
	if victim == nil || !victim.closeUnlessServing() {
		l.refused++
		return false
	}
	delete(l.open, victim)
	l.closedForOthers++
	return true
}

// longestIn returns the connection that has been in a phase for the longest time, or nil. The
// lock is held.
func (l *timeoutListener) longestIn(p phase) *timeoutConn {
	var longest *timeoutConn
	var since time.Time
	for c := range l.open {
		now, at := c.phaseSince()
		if now == p && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

// counts returns the number of open connections, and of those that were closed or refused since
// there were as many as there may be.
func (l *timeoutListener) counts() (open int, closedForOthers, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.closedForOthers, l.refused
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
	// since is when the phase began.
	since time.Time
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

// closeUnlessServing closes the connection if no request of it is being served.
func (c *timeoutConn) closeUnlessServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return false
	}
	c.closed = true
	// The client sees the closed connection; an error of Close has no other reader.
	_ = c.Conn.Close()
	return true
}

// phaseSince returns the phase and when it began.
func (c *timeoutConn) phaseSince() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
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
	c.phase, c.since = next, c.clock.Now()
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
