// Package porttest finds addresses for servers that tests start.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
)

// Ports are taken from below the range that the system uses for outgoing
// connections, so that none of those takes one first.
const (
	firstPort = 20000
	// blockPorts is the size of the block that each test process has for itself:
	// a server that a test stops for a while must find its port free again.
	blockPorts = 1000
	blocks     = 12
)

// guard listens on the first port of this process's block for as long as the process
// lives, which keeps other processes out of the block.
var guard = sync.OnceValues(func() (l net.Listener, err error) {
	for i := range blocks {
		n := (os.Getpid() + i) % blocks
		if l, err = net.Listen("tcp", address(firstPort+n*blockPorts)); err == nil {
			return l, nil
		}
	}
	return nil, err
})

var next atomic.Int64

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Free returns a free address on loopback.
func Free(t testing.TB) string {
	t.Helper()
	l, err := guard()
	if err != nil {
		t.Fatalf("no free block of ports: %v", err)
	}
	first := l.Addr().(*net.TCPAddr).Port
	for range blockPorts {
		address := address(first + 1 + int(next.Add(1)%(blockPorts-1)))
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
