package host

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/route"
)

// Bounds for callers' connections while no configuration says otherwise.
const (
	// defaultIdleTimeout bounds the time between two requests.
	defaultIdleTimeout = 60 * time.Second
	// defaultHeaderTimeout bounds the time to send the headers.
	defaultHeaderTimeout = 10 * time.Second
	// maxTimerDelay is how late a timer may be in a process that runs.
	maxTimerDelay = 500 * time.Millisecond
)

// boundedListener closes connections that are idle or send headers for too long.
// The bounds are read anew for each request, since they change with the
// configuration, which those of http.Server can't.
type timeoutListener struct {
	net.Listener
	clock  clockwork.Clock
	limits func() route.Limits
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &timeoutConn{Conn: conn, clock: l.clock, limits: l.limits}
	c.enter(readingHeaders)
	return c, nil
}

// phase is what a connection is doing.
type phase uint8

const (
	// readingHeaders: headers are on their way, or due on a new connection.
	readingHeaders phase = iota
	// serving: a request is being served.
	serving
	// idle: nothing has come since the last answer.
	idle
)

// boundedConn is a connection of a boundedListener.
type timeoutConn struct {
	net.Conn
	clock  clockwork.Clock
	limits func() route.Limits

	mu    sync.Mutex
	phase phase
	timer clockwork.Timer
}

// Read implements net.Conn. The first bytes after an answer begin a request.
func (c *timeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		first := c.phase == idle
		c.mu.Unlock()
		if first {
			c.enter(readingHeaders)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *timeoutConn) Close() error {
	c.enter(serving)
	return c.Conn.Close()
}

// enter begins a phase with its bound.
func (c *timeoutConn) enter(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = next
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

// expire closes a connection that is still in the phase whose bound has passed.
// A late call shows that the process stood still: what came meanwhile is not
// read yet, so the phase begins anew.
func (c *timeoutConn) expire(timed phase, due time.Time) {
	c.mu.Lock()
	expired := c.phase == timed && c.timer != nil
	c.mu.Unlock()
	switch {
	case !expired:
	case c.clock.Since(due) > maxTimerDelay:
		c.enter(timed)
	default:
		// The peer sees the end; there is nobody else to tell.
		_ = c.Conn.Close()
	}
}

// noteState is the ConnState hook of the server of a boundedListener.
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
