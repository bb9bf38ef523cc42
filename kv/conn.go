package kv

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errNothingWritten marks an ErrUnreachable after which no byte of the request
// has left the host, because an idle connection was closed under it.
var errNothingWritten = errors.New("nothing written")

// countedConn counts writes, so that a failed exchange whose request was never
// written is told from one of unknown outcome.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a write that began is counted.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func dialCounted(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// sentTrace observes the connection of one exchange.
type sentTrace struct {
	conn   atomic.Pointer[countedConn]
	before atomic.Int64
}

func (t *sentTrace) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			t.before.Store(c.writes.Load())
			t.conn.Store(c)
		}
	}})
}

// mark says whether a failed exchange may have reached the service: without a
// connection it has not. It closes the connection first, so that no write can
// begin after the comparison.
func (t *sentTrace) mark(err error) error {
	c := t.conn.Load()
	if c == nil {
		return errors.Mark(err, ErrUnreachable)
	}
	_ = c.Close()
	if c.writes.Load() == t.before.Load() {
		return errors.Mark(errors.Mark(err, errNothingWritten), ErrUnreachable)
	}
	return errors.Mark(err, ErrUnknown)
}
