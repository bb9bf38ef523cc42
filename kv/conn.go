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

// countingConn counts writes, so that a failed exchange whose request was never
// written is told from one of unknown outcome.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a write that began is counted.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func dialCounting(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// writeTrace observes the connection of one exchange.
type writeTrace struct {
	conn         atomic.Pointer[countingConn]
	writesBefore atomic.Int64
}

func (t *writeTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countingConn); ok {
			t.writesBefore.Store(c.writes.Load())
			t.conn.Store(c)
		}
	}})
}

// markOutcome says whether a failed exchange may have reached the service: without a
// connection it has not. It closes the connection first, so that no write can
// begin after the comparison.
func (t *writeTrace) markOutcome(err error) error {
	c := t.conn.Load()
	if c == nil {
		return errors.Mark(err, ErrUnreachable)
	}
	_ = c.Close()
	if c.writes.Load() == t.writesBefore.Load() {
		return errors.Mark(errors.Mark(err, errNothingWritten), ErrUnreachable)
	}
	return errors.Mark(err, ErrUnknown)
}
