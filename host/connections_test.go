package host

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/route"
)

const (
	testIdle   = 15 * time.Second
	testHeader = 3 * time.Second
)

// bounded is a server over a boundedListener with a clock of its own.
type bounded struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	idle    atomic.Int64
	address string
	// accepted are the server's sides of the connections.
	accepted chan *boundedConn
}

// noting is a listener that hands on what it accepts.
type noting struct {
	net.Listener
	accepted chan *boundedConn
}

func (l noting) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn.(*boundedConn)
	}
	return conn, err
}

func newBounded(t *testing.T) *bounded {
	b := &bounded{t: t, clock: clockwork.NewFakeClock(), accepted: make(chan *boundedConn, 1)}
	b.idle.Store(int64(testIdle))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = inner.Addr().String()
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: noteState, ReadHeaderTimeout: time.Minute,
	}
	l := &boundedListener{Listener: inner, clock: b.clock, limits: func() route.Limits {
		return route.Limits{HeaderTimeout: testHeader, IdleTimeout: time.Duration(b.idle.Load())}
	}}
	go func() { _ = server.Serve(noting{l, b.accepted}) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

func (b *bounded) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", b.address)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(b.t, conn.SetDeadline(time.Now().Add(patience)))
	return conn, bufio.NewReader(conn)
}

// wait returns once a number of bounds are running.
func (b *bounded) wait(n int) {
	require.NoError(b.t, b.clock.BlockUntilContext(b.t.Context(), n))
}

func (b *bounded) request(conn net.Conn, r *bufio.Reader) {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(b.t, err)
	res, err := http.ReadResponse(r, nil)
	require.NoError(b.t, err)
	require.Equal(b.t, http.StatusNoContent, res.StatusCode)
}

func (b *bounded) ended(r *bufio.Reader) {
	_, err := r.ReadByte()
	require.Error(b.t, err)
	require.NotErrorIs(b.t, err, os.ErrDeadlineExceeded)
}

func TestIdleConnectionsAreClosedByTheBoundInForce(t *testing.T) {
	b := newBounded(t)
	conn, r := b.dial()
	b.request(conn, r)
	b.wait(1)
	b.clock.Advance(testIdle - 1)
	b.request(conn, r)
	b.idle.Store(int64(2 * testIdle))
	b.request(conn, r)
	b.wait(1)
	b.clock.Advance(testIdle + 1)
	b.request(conn, r)
	b.wait(1)
	b.clock.Advance(2 * testIdle)
	b.ended(r)
}

func TestHeadersMustArriveInTime(t *testing.T) {
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHo"} {
		b := newBounded(t)
		conn, r := b.dial()
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		b.wait(1)
		b.clock.Advance(testHeader)
		b.ended(r)
	}
}

// The time before a request counts as idle, and its headers have theirs.
func TestHeadersOfALaterRequestHaveTheirOwnBound(t *testing.T) {
	b := newBounded(t)
	conn, r := b.dial()
	b.request(conn, r)
	b.wait(1)
	b.clock.Advance(testIdle - 1)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	side := <-b.accepted
	require.Eventually(t, func() bool {
		side.mu.Lock()
		defer side.mu.Unlock()
		return side.phase == readingHeaders
	}, patience, time.Millisecond)
	b.clock.Advance(testHeader - 1)
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	require.NoError(t, err)
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, res.StatusCode)
}

// A request that came while the process stood still is served after it.
func TestConnectionOutlivesAStandstill(t *testing.T) {
	b := newBounded(t)
	conn, r := b.dial()
	b.request(conn, r)
	b.wait(1)
	b.clock.Advance(testIdle + 2*maxTimerDelay)
	b.wait(1)
	b.request(conn, r)
}
