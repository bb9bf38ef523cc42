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

// boundedServer is an HTTP server whose listener bounds heads.
type boundedServer struct {
	t       *testing.T
	address string
}

func newBoundedServer(t *testing.T, headerBytes, memoryBytes int64) *boundedServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &boundedServer{t: t, address: inner.Addr().String()}
	clock := clockwork.NewRealClock()
	l := &timeoutListener{
		Listener: inner, clock: clock, intake: intake.NewBudget(memoryBytes, clock, quietLog().WithField("host", "h")),
		limits: func() route.Limits {
			return route.Limits{HeaderBytes: headerBytes, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	server := &http.Server{ConnState: trackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
			s := newBoundedServer(t, headerBytes, row.memory)
			require.Equal(t, row.status, status(t, s.send(row.text)))
		})
	}
}
