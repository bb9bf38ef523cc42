// Package porttest finds addresses for servers that tests start.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are taken from below the range that the system uses for outgoing
// connections, so that none of those takes one first.
const (
	firstPort = 20000
	ports     = 12000
	// stride sets processes that test at the same time apart.
	stride = 397
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * stride) }

// Free returns a free address on loopback.
func Free(t testing.TB) string {
	t.Helper()
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatalf("close %s: %v", address, err)
		}
		return address
	}
	t.Fatal("no free port")
	return ""
}
