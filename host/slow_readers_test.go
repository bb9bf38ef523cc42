package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/route"
)

// largeResponse is more than the buffers of a connection hold.
const largeResponse = 4 << 20

// bodyServer answers each request with a large response and reports how each ended.
type bodyServer struct {
	t       *testing.T
	address string
	writes  *pendingWrites
	ended   chan error
}

func newBodyServer(t *testing.T, memoryBytes int64, timeout time.Duration) *bodyServer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &bodyServer{t: t, writes: newPendingWrites(memoryBytes, logrus.NewEntry(log)), ended: make(chan error, 10)}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = inner.Addr().String()
	body := []byte(strings.Repeat("x", largeResponse))
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for at := 0; at < len(body); at += 16 << 10 {
				if _, err := w.Write(body[at : at+16<<10]); err != nil {
					s.ended <- err
					return
				}
			}
			s.ended <- nil
		}),
		ConnState: trackState, ReadHeaderTimeout: time.Minute,
	}
	limits := func() route.Limits { return route.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute} }
	l := &timeoutListener{Listener: inner, clock: clockwork.NewRealClock(), limits: limits, writes: s.writes, writeTimeout: timeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// request sends a request and returns its connection with a small receive buffer.
func (s *bodyServer) request() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(s.t, err)
	return conn
}

func (s *bodyServer) awaitEnd() error {
	select {
	case err := <-s.ended:
		return err
	case <-time.After(testTimeout):
		require.Fail(s.t, "the response has not ended")
		return nil
	}
}

// The response of a caller that stops to read must end: it holds a slot of a replica.
func TestCallerThatDoesNotReadIsDropped(t *testing.T) {
	s := newBodyServer(t, 0, 100*time.Millisecond)
	s.request()
	require.Error(t, s.awaitEnd())
	bytes, dropped := s.writes.count()
	require.Zero(t, bytes)
	require.EqualValues(t, 1, dropped)
}

// pipe returns the host's and the caller's side of a connection without buffers.
func pipe(t *testing.T, writes *pendingWrites, timeout time.Duration) (*timeoutConn, net.Conn) {
	inner, caller := net.Pipe()
	t.Cleanup(func() { _, _ = inner.Close(), caller.Close() })
	return &timeoutConn{Conn: inner, writes: writes, writeTimeout: timeout}, caller
}

func TestSlowCallerThatGoesOnReadingGetsAll(t *testing.T) {
	const timeout, size = 200 * time.Millisecond, 64 << 10
	conn, caller := pipe(t, newPendingWrites(0, logrus.NewEntry(logrus.New())), timeout)
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		ended <- err
	}()
	for range 8 {
		time.Sleep(timeout / 4)
		_, err := io.CopyN(io.Discard, caller, size/8)
		require.NoError(t, err)
	}
	require.NoError(t, <-ended, "8 KiB in 50 ms are more than the slowest rate")
}

// A host must not fill its memory with what callers don't accept. The one that has kept
// its piece waiting for the longest time goes first.
func TestSlowestCallerIsDroppedFirst(t *testing.T) {
	const piece = 16 << 10
	log := logrus.New()
	log.SetOutput(io.Discard)
	writes := newPendingWrites(int64(2.5*piece/pendingWriteFraction), logrus.NewEntry(log))
	ended := make(chan int, 3)
	write := func(i int) {
		conn, _ := pipe(t, writes, time.Minute)
		go func() {
			_, _ = conn.Write(make([]byte, piece))
			ended <- i
		}()
		require.Eventually(t, func() bool { bytes, _ := writes.count(); return bytes == int64(min(i, 2)*piece) }, testTimeout, time.Millisecond)
	}
	write(1)
	write(2)
	require.Empty(t, ended)
	write(3)
	require.Equal(t, 1, <-ended)
	bytes, dropped := writes.count()
	require.EqualValues(t, 2*piece, bytes)
	require.EqualValues(t, 1, dropped)
}
