package kv

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errNothingWritten marks an ErrUnreachable of a request of which nothing was
// written, because the idle connection chosen for it was already closed.
var errNothingWritten = errors.New("nothing written")

// countingConn counts writes. The count distinguishes a failed exchange whose
// request was never written from one of unknown outcome.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write increments the count before it writes, so that a write in progress is
// included.
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

// writeTrace records the connection of one exchange and the connection's write
// count before the exchange.
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

// markOutcome marks err, the error of a failed exchange, with ErrUnreachable if
// there was no connection or nothing was written, or with ErrUnknown if the
// request may have reached the store. It closes the connection before it compares
// the write counts, so that no write can begin after the comparison.
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
