package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkState is what a proxy does with the bytes of its connections.
type LinkState struct {
	// Delay is added to each piece.
	Delay time.Duration
	// HoldUp holds what callers send and HoldDown what the server sends, until
	// the state changes: nothing is lost, as with packets that are sent again.
	HoldUp, HoldDown bool
}

// Proxy carries connections on loopback to one address, and harms them.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	target   string
	state    LinkState
	changed  chan struct{}
	// conns holds the connections, and whether each is one to a caller.
	conns  map[net.Conn]bool
	closed bool
	// silences says in which directions the bytes of each carried connection vanish.
	silences map[*silentSides]struct{}
}

// silentSides says which bytes of one connection vanish: those that its caller sends (up) or
// those that the server sends (down).
type silentSides struct{ up, down atomic.Bool }

// chunk is the size of one piece.
const chunk = 16 << 10

// NewProxy starts a proxy to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool), silences: make(map[*silentSides]struct{})}
	go p.serve(l)
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.address }

// Set changes what happens to the bytes.
func (p *Proxy) Set(s LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
}

// Refuse lets the proxy accept no further connections. Those that are there go on.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// Retarget lets the following connections lead to another address, also after Refuse.
func (p *Proxy) Retarget(target string) error {
	p.Refuse()
	l, err := net.Listen("tcp", p.Address())
	if err != nil {
		return errors.Wrap(err, "listen again for a proxy")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target, p.listener = target, l
	go p.serve(l)
	return nil
}

// Silence lets the present connections, or only one of them, fall silent for good: both ends
// stay open, and bytes vanish in the given directions.
func (p *Proxy) Silence(up, down, one bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.silences {
		s.up.Store(s.up.Load() || up)
		s.down.Store(s.down.Load() || down)
		if one {
			return
		}
	}
}

// Reset resets all connections, those to callers first: the orderly end of one to the
// server must not reach them.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, toCaller := range []bool{true, false} {
		for c, to := range p.conns {
			if to == toCaller {
				reset(c)
			}
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.Refuse()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Set(LinkState{})
	p.Reset()
}

func (p *Proxy) serve(l net.Listener) {
	for {
		down, err := l.Accept()
		if err != nil {
			return
		}
		go p.carry(down)
	}
}

// carry connects both sides. The connection to the server is made once the link
// lets the caller's bytes through.
func (p *Proxy) carry(down net.Conn) {
	if !p.track(down, true) {
		return
	}
	defer p.drop(down)
	p.pass(func(s LinkState) bool { return !s.HoldUp })
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	up, err := net.Dial("tcp", target)
	if err != nil || !p.track(up, false) {
		return
	}
	defer p.drop(up)
	silent := new(silentSides)
	p.mu.Lock()
	p.silences[silent] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(up, down, &silent.up, func(s LinkState) bool { return !s.HoldUp }) })
	both.Go(func() { p.pump(down, up, &silent.down, func(s LinkState) bool { return !s.HoldDown }) })
	both.Wait()
	p.mu.Lock()
	delete(p.silences, silent)
	p.mu.Unlock()
}

// pump carries one direction, and its end. While silent is set, neither arrives.
func (p *Proxy) pump(to, from net.Conn, silent *atomic.Bool, open func(LinkState) bool) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		delay := p.pass(open)
		time.Sleep(delay)
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			end(to, err)
			return
		}
	}
}

// end ends a connection as the one from which err was read has ended: in order or by a
// reset.
func end(c net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(c)
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// pass waits until the link lets bytes through and returns its delay.
func (p *Proxy) pass(open func(LinkState) bool) time.Duration {
	for {
		p.mu.Lock()
		state, changed, closed := p.state, p.changed, p.closed
		p.mu.Unlock()
		if closed || open(state) {
			return state.Delay
		}
		<-changed
	}
}

func (p *Proxy) track(c net.Conn, toCaller bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = toCaller
	return true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}
