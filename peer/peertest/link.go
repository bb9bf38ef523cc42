package peertest

import (
	"net"
	"sync"
	"time"
)

// chunkBytes is the largest number of bytes that arrive at once over a Link, so that
// connections share it.
const chunkBytes = 4 << 10

// Links are the outgoing links of hosts, each of which has a rate that all connections to the
// host share. They are safe for concurrent use.
type Links struct {
	bytesPerSecond int

	mu sync.Mutex
	// free is when all that has arrived over a link so far has been sent, by address.
	free map[string]time.Time
}

// NewLinks returns links with a rate.
func NewLinks(bytesPerSecond int) *Links {
	return &Links{bytesPerSecond: bytesPerSecond, free: make(map[string]time.Time)}
}

// wait waits until the link of an address has sent a number of bytes.
func (l *Links) wait(address string, bytes int) {
	l.mu.Lock()
	free := l.free[address]
	if now := time.Now(); free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.free[address] = free
	l.mu.Unlock()
	time.Sleep(time.Until(free))
}

// linked is a connection over a link.
type linked struct {
	net.Conn
	links   *Links
	address string
}

// Read implements net.Conn.
func (c *linked) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkBytes)])
	c.links.wait(c.address, n)
	return n, err
}
