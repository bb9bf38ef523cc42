package pool

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/idset"
)

// conn is one connection to an upstream. At any time at most one goroutine
// waits for the next byte: it tells an idle connection that the upstream closes
// from one that can be used, and the first byte of an answer when it comes.
type conn struct {
	raw     net.Conn
	address string
	// upstream names what answers at the address.
	upstream string
	reader   *bufio.Reader
	// control gives access to the socket of a TCP connection while a goroutine reads.
	control syscall.RawConn
	// arrived gets the outcome of the wait for the next byte.
	arrived chan error
	// carried holds the ID of each exchange that was begun.
	carried idset.Set
	// written says whether any byte of the present request was taken.
	written atomic.Bool
	// expires is when an idle connection is no longer used.
	expires time.Time
	// gap bounds the wait of each read; zero is unbounded. It is set while no
	// goroutine reads.
	gap time.Duration
	// giveUp decides whether a read that found nothing within the gap fails; nil
	// always lets it fail. It is set with gap.
	giveUp func() bool
	// limited bounds the bytes that may still be read by left.
	limited bool
	left    int
}

// DialFunc connects to the address of an upstream. The connection may give access to its
// socket as *net.TCPConn does, and may name what carries it by a method Via. Reads
// that fail only since this has ended are marked with ErrCarrier. The connection is
// used for one exchange after the other unless it has a method Reusable that returns false.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the default DialFunc.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: keepAlivePeriod}).DialContext(ctx, "tcp", address)
}

func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	raw, err := p.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c := &conn{raw: raw, address: address}
	// Without the bound and the access the connection works too.
	if socket, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(receiveBufferBytes)
	}
	if socket, ok := raw.(syscall.Conn); ok {
		c.control, _ = socket.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(readFunc(c.read), bufferBytes)
	return c, nil
}

// via returns what carries the connection, or an empty string if it is direct.
func (c *conn) via() string {
	if named, ok := c.raw.(interface{ Via() string }); ok {
		return named.Via()
	}
	return ""
}

// reusable reports whether the connection may be used for another exchange.
func (c *conn) reusable() bool {
	limited, ok := c.raw.(interface{ Reusable() bool })
	return !ok || limited.Reusable()
}

// readFunc is an io.Reader.
type readFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// errHeadTooLong means that the bound of an answer's headers was reached.
var errHeadTooLong = errors.Newf("no end of the headers within %d bytes", maxHeadBytes)

// read reads at most as much as the limit allows.
func (c *conn) read(p []byte) (int, error) {
	if !c.limited {
		return c.readPiece(p)
	}
	if c.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.readPiece(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readPiece reads within the gap, or longer as long as giveUp returns false.
func (c *conn) readPiece(p []byte) (int, error) {
	if c.gap <= 0 {
		return c.raw.Read(p)
	}
	for {
		n, err := c.readWithinGap(p)
		if !errors.Is(err, ErrSilent) || c.giveUp == nil || c.giveUp() {
			return n, err
		}
	}
}

// unboundReads removes the bound of each read. No goroutine may be reading.
func (c *conn) unboundReads() {
	c.gap, c.giveUp = 0, nil
	_ = c.raw.SetReadDeadline(time.Time{})
}

// readWithinGap reads within the gap. When that is up it looks once more: a process
// that was suspended finds both its timer and the data due.
func (c *conn) readWithinGap(p []byte) (int, error) {
	_ = c.raw.SetReadDeadline(time.Now().Add(c.gap))
	n, err := c.raw.Read(p)
	if n > 0 || !isTimeout(err) {
		return n, err
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(recheck))
	n, err = c.raw.Read(p)
	if n == 0 && isTimeout(err) {
		return 0, errors.Mark(errors.Wrapf(err, "no data in %v", c.gap), ErrSilent)
	}
	return n, err
}

// isTimeout reports whether a deadline has passed. The time-out that the kernel reports of a
// connection whose other side acknowledges nothing is none: it reports that once, and the end
// of the connection from then on.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Write implements io.Writer and notes that bytes left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// await begins to wait for the next byte. After it or the end has arrived, it calls
// after with the channel of this wait, by which a later wait can be told from it.
func (c *conn) await(after func(arrived chan error)) {
	arrived := make(chan error, 1)
	c.arrived = arrived
	go func() {
		_, err := c.reader.Peek(1)
		arrived <- err
		after(arrived)
	}()
}

// quiet reports whether nothing has arrived, neither bytes nor the end. The goroutine
// that waits for them may not have run since, so that the kernel is asked too.
func (c *conn) quiet() bool {
	if len(c.arrived) > 0 {
		return false
	}
	if c.control == nil {
		return true
	}
	quiet := true
	err := c.control.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && quiet
}
