package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Times after which a connection counts as dead.
const (
	// deadPathTimeout is the time after which a connection ends whose other side
	// acknowledges nothing, neither data nor keep-alive probes. A sound replica may fall
	// silent for a second or so.
	deadPathTimeout = 2200 * time.Millisecond
	// keepAliveIdle is the time without data after which probes are sent, and
	// keepAliveInterval the time between two of them.
	keepAliveIdle     = time.Second
	keepAliveInterval = 400 * time.Millisecond
	// keepAliveCount is not reached before deadPathTimeout, which decides on Linux.
	keepAliveCount = 5
)

// Connect makes a connection to an address.
type Connect func(ctx context.Context, address string) (net.Conn, error)

// connectTCP is the default Connect.
func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// dialTCP makes a connection that ends when its other side acknowledges nothing for
// deadPathTimeout.
func dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			// Without the option the connection works too.
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPathTimeout.Milliseconds())) //nolint:gosec // a descriptor
			})
		},
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Newf("connection to %s is a %T", address, raw)
	}
	return tcp, nil
}

// directConn is a direct connection to a replica. It records what it shows of the path.
type directConn struct {
	net.Conn
	address string
	paths   *Paths
	// wroteAt and readAt are when the last bytes were sent and have arrived, in nanoseconds
	// of Unix time.
	wroteAt, readAt atomic.Int64
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	c.wroteAt.Store(c.paths.clock.Now().UnixNano())
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	c.paths.mu.Lock()
	delete(c.paths.conns, c)
	c.paths.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAt.Store(c.paths.clock.Now().UnixNano())
		c.paths.heard()
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		c.paths.lost(c.address, err)
	}
	return n, err
}

// SetReadBuffer sets the size of the system's receive buffer.
func (c *directConn) SetReadBuffer(bytes int) error {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return errNoSocket
}

// SyscallConn implements syscall.Conn.
func (c *directConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

var errNoSocket = errors.New("connection has no socket")

// Direct connects to the replica at an address without a tunnel, and records whether that
// was possible.
func (p *Paths) Direct(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	raw, err := p.connect(ctx, address)
	if err != nil {
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			p.lost(address, err)
		}
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	p.connected(address)
	c := &directConn{Conn: raw, address: address, paths: p}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// IsReusable reports whether a connection may be used for another request.
func IsReusable(c net.Conn) bool {
	t, ok := c.(*conn)
	return !ok || t.Reusable()
}

// IsDirect reports whether a connection is a direct one to a replica.
func IsDirect(c net.Conn) bool {
	_, ok := c.(*directConn)
	return ok
}
