package kv

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestFailedExchangeOutcomeDependsOnWrites(t *testing.T) {
	rows := []struct {
		name   string
		before int
		during int
		want   error
	}{
		{"nothing written", 0, 0, errNothingWritten},
		{"only earlier requests written", 2, 0, errNothingWritten},
		{"written", 0, 1, ErrUnknown},
		{"written after earlier requests", 2, 1, ErrUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			c := &countingConn{Conn: near}
			write := func(n int) {
				for range n {
					_, err := c.Write([]byte("x"))
					require.NoError(t, err)
				}
			}
			write(row.before)
			trace := &writeTrace{}
			httptrace.ContextClientTrace(trace.withTrace(t.Context())).GotConn(httptrace.GotConnInfo{Conn: c})
			write(row.during)
			err := trace.markOutcome(io.EOF)
			require.True(t, errors.Is(err, row.want), "%v", err)
			require.Equal(t, row.want != ErrUnknown, errors.Is(err, ErrUnreachable))
			_, err = c.Write([]byte("x"))
			require.Error(t, err, "connection is still open after the write counts were compared")
		})
	}
}
