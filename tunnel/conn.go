package tunnel

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// Errors of reading from a tunnel.
var (
	// errEndedEarly means that the tunnel ended without the end of the replica's connection.
	errEndedEarly = errors.Mark(errors.New("the tunnel has ended before the replica's connection"), pool.ErrCarrier)
	// errReplicaReset means that the replica's connection has broken at the carrying host.
	errReplicaReset = errors.New("connection to the replica was reset")
)

// conn is a connection to a replica that another host carries. At any time one goroutine
// may read and one may write.
type conn struct {
	raw *net.TCPConn
	via string
	// head holds the first have bytes of the next frame's head, and left is the number of
	// bytes of the present frame that are not read yet.
	head [frameHeadBytes]byte
	have int
	left int
	// end is the error of all reads after the last frame.
	end error
	// address is that of the replica, and paths are those of this host.
	address string
	paths   *Paths
	// leaving is set when the carrying host has said that it stops.
	leaving atomic.Bool
}

var _ net.Conn = (*conn)(nil)

// Via returns the name of the host that carries the connection.
func (c *conn) Via() string { return c.via }

// Reusable reports whether another request may be sent: the carrying host doesn't stop, and
// this host still reaches the replica through others only.
func (c *conn) Reusable() bool { return !c.leaving.Load() && c.paths.IsLost(c.address) }

// Read implements net.Conn. It returns io.EOF only if the replica has ended the connection
// in order.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for c.left == 0 {
		if c.end != nil {
			return 0, c.end
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.raw.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, endedEarly(err)
}

// readHead reads the head of a frame. A head that is cut by a deadline is read on later.
func (c *conn) readHead() error {
	for c.have < len(c.head) {
		n, err := c.raw.Read(c.head[c.have:])
		if c.have += n; err != nil {
			return endedEarly(err)
		}
	}
	c.have = 0
	length := int(binary.BigEndian.Uint16(c.head[1:]))
	switch frameKind(c.head[0]) {
	case frameData:
		c.left = length
	case frameEnd:
		c.end = io.EOF
	case frameLeaving:
		c.leaving.Store(true)
		c.paths.onChange()
	case frameReset:
		c.end = errReplicaReset
	default:
		c.end = errors.Newf("frame of a tunnel has kind %d", c.head[0])
	}
	return nil
}

// endedEarly replaces the end of the tunnel by an error, and marks the others by which it
// ends.
func endedEarly(err error) error {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return err
	case errors.Is(err, io.EOF):
		return errEndedEarly
	}
	return errors.Mark(err, pool.ErrCarrier)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.raw.Write(p) }

// Close implements net.Conn.
func (c *conn) Close() error { return c.raw.Close() }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn. It returns the address of the carrying host.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.raw.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error { return c.raw.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the system's receive buffer.
func (c *conn) SetReadBuffer(bytes int) error { return c.raw.SetReadBuffer(bytes) }

// SyscallConn implements syscall.Conn. The socket is readable when a frame has arrived.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// open sets up a tunnel through a host to the address of a replica. When ctx ends first, it
// fails.
func (p *Paths) open(ctx context.Context, host, hostAddress, address string) (net.Conn, error) {
	raw, err := dialTCP(ctx, hostAddress)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to host %s", host), errNoReply)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	reply, err := requestTunnel(raw, address)
	if !stop() {
		_ = raw.Close()
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "request a tunnel from host %s", host), errNoReply)
	}
	if err == nil {
		err = reply.err()
	} else {
		err = errors.Mark(err, errNoReply)
	}
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "request a tunnel from host %s", host)
	}
	return &conn{raw: raw, via: host, address: address, paths: p}, nil
}

// requestTunnel sends the request for a tunnel and returns the status in the reply.
func requestTunnel(raw net.Conn, address string) (status, error) {
	request, err := encodeRequest(address)
	if err != nil {
		return 0, err
	}
	if _, err := raw.Write(request); err != nil {
		return 0, err
	}
	var reply [1]byte
	_, err = io.ReadFull(raw, reply[:])
	return status(reply[0]), err
}
