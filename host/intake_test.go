package host

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/route"
)

// boundedServer is an HTTP server whose listener bounds connections and heads. Requests for /wait
// are answered once release is closed.
type boundedServer struct {
	t       *testing.T
	address string
	release chan struct{}
}

func newBoundedServer(t *testing.T, maxOpen int, headerBytes, memoryBytes int64) *boundedServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &boundedServer{t: t, address: inner.Addr().String(), release: make(chan struct{})}
	clock := clockwork.NewRealClock()
	l := &timeoutListener{
		Listener: inner, clock: clock, maxOpen: maxOpen, intake: intake.NewBudget(memoryBytes, clock, quietLog().WithField("host", "h")),
		limits: func() route.Limits {
			return route.Limits{HeaderBytes: headerBytes, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	server := &http.Server{ConnState: trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-s.release
		}
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send opens a connection and sends a text.
func (s *boundedServer) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn
}

func status(t *testing.T, conn net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res.StatusCode
}

const wholeHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Connections whose heads never end kept all others from the host.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	for _, text := range []string{"GET /", "", wholeHead} {
		s := newBoundedServer(t, 4, 0, 0)
		waiting := s.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		for range 20 {
			conn := s.send(text)
			if text == wholeHead {
				require.Equal(t, http.StatusNoContent, status(t, conn))
			}
		}
		require.Equal(t, http.StatusNoContent, status(t, s.send(wholeHead)))
		close(s.release)
		require.Equal(t, http.StatusNoContent, status(t, waiting), "a request that is served is not ended")
	}
}

func TestConnectionIsRefusedWhileAllServe(t *testing.T) {
	s := newBoundedServer(t, 2, 0, 0)
	for range 2 {
		s.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	time.Sleep(50 * time.Millisecond)
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	close(s.release)
}

func TestHeadsAreBounded(t *testing.T) {
	const limit = 16 << 10
	head := func(bytes int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX-More: " + strings.Repeat("a", bytes) + "\r\n\r\n"
	}
	for _, row := range []struct {
		name   string
		memory int64
		text   string
		status int
	}{
		{"within the limit", 1 << 20, head(limit - 100), http.StatusNoContent},
		{"over the limit, left to the handler", 1 << 20, head(2 * limit), http.StatusNoContent},
		{"without end", 1 << 20, head(8 * limit)[:6*limit], http.StatusRequestHeaderFieldsTooLarge},
		{"no memory for it", 16 << 10, head(limit - 100), http.StatusServiceUnavailable},
		{"no limit", 0, head(limit), http.StatusNoContent},
	} {
		t.Run(row.name, func(t *testing.T) {
			headerBytes := int64(limit)
			if row.memory == 0 {
				headerBytes = 0
			}
			s := newBoundedServer(t, 0, headerBytes, row.memory)
			require.Equal(t, row.status, status(t, s.send(row.text)))
		})
	}
}

func TestConnectionsFollowFromTheMachine(t *testing.T) {
	for _, row := range []struct {
		memory      int64
		descriptors int
		want        int
	}{
		{0, 0, 0},
		{144 << 20, 0, 1152},
		{0, 3075, 1150},
		{144 << 20, 3075, 1150},
		{64 << 20, 10250, 512},
		{144 << 20, 100, 1},
	} {
		require.Equal(t, row.want, maxCallerConnections(row.memory, row.descriptors))
	}
}
