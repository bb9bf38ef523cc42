package tunnel

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Connections that never ask for a replica took all descriptors of the host.
func TestConnectionsThatAskForNothingAreBounded(t *testing.T) {
	s, _ := startServer(t, ServerOptions{MaxTunnels: 1})
	for range 3 * maxWaiting {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		if len(s.open()) > 1+maxWaiting {
			t.Fatal("more connections than there may be")
		}
	}
	require.Eventually(t, func() bool { return len(s.open()) == 0 }, 10*time.Second, time.Millisecond, "requests that don't arrive end")
}

// open returns the open connections.
func (s *Server) open() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []net.Conn
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}
