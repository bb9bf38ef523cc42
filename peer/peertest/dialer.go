package peertest

import (
	"context"
	"net"
	"sync"
)

// Dialer opens connections that can be made silent: nothing arrives on them any more in
// either direction, and they are neither closed nor reset. Connections that it opens later
// work. It is safe for concurrent use.
type Dialer struct {
	mu    sync.Mutex
	conns map[string][]*silenceable
	held  bool
	links *Links
}

// NewDialer returns a Dialer.
func NewDialer() *Dialer { return &Dialer{conns: make(map[string][]*silenceable)} }

// Dial opens a connection. It is a peer.DialFunc.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.isHeld() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links != nil {
		raw = &linked{raw, d.links, address}
	}
	conn := &silenceable{Conn: raw, silent: make(chan struct{}), closed: make(chan struct{})}
	d.conns[address] = append(d.conns[address], conn)
	return conn, nil
}

// SetLinks lets what arrives on connections that are opened later come over links.
func (d *Dialer) SetLinks(l *Links) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links = l
}

// HoldDials lets later dials wait until their context ends, as those to a host that doesn't
// accept connections.
func (d *Dialer) HoldDials() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = true
}

func (d *Dialer) isHeld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// Silence makes all present connections to an address silent.
func (d *Dialer) Silence(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns[address] {
		conn.silence()
	}
}

// SilenceOne makes one of the open connections to an address silent, by the order in which
// they were opened, and reports whether there is such a one.
func (d *Dialer) SilenceOne(address string, n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns[address] {
		if isClosed(conn.closed) {
			continue
		}
		if n == 0 {
			conn.silence()
			return true
		}
		n--
	}
	return false
}

// Dials returns the number of connections to an address that were ever opened.
func (d *Dialer) Dials(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns[address])
}

// Open returns the number of open connections to an address.
func (d *Dialer) Open(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, conn := range d.conns[address] {
		if !isClosed(conn.closed) {
			open++
		}
	}
	return open
}

// silenceable is a connection of a Dialer.
type silenceable struct {
	net.Conn
	silent, closed           chan struct{}
	silenceOnce, closingOnce sync.Once
}

func (c *silenceable) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

// Read implements net.Conn. Bytes that arrive once the connection is silent are lost.
func (c *silenceable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if isClosed(c.silent) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. Bytes that are written once the connection is silent are lost.
func (c *silenceable) Write(p []byte) (int, error) {
	if isClosed(c.silent) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silenceable) Close() error {
	c.closingOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
