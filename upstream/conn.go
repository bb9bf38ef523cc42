package upstream

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/idset"
)

var errSealed = errors.New("connection sealed: the request was given up")

// countedConn counts the bytes that were handed to a connection. Seal closes
// the race between the reading of the count and a write under way.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	writing bool
	sealed  bool
	// carried holds the ID of each request.
	carried idset.Set
}

// carry records that the connection is to carry the request with an ID. It returns false if
// it must not: an answer that an upstream writes again can't be told from one to a later
// sending of the same request.
func (c *countedConn) carry(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.carried.Has(id) || c.carried.IsFull() {
		return false
	}
	c.carried.Add(id)
	return true
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether no byte was written since the count was base. If so, no
// byte will be: later writes fail.
func (c *countedConn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written != base {
		return false
	}
	c.sealed = true
	return true
}
