// Package peer carries calls between hosts: net/rpc over TCP, inside mutual
// TLS when certificates are set.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnreachable means that a call did not reach the peer.
var ErrUnreachable = errors.New("peer unreachable")

// Server serves calls from peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen binds the address, with mutual TLS when conf is not nil.
func Listen(address string, conf *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	return &Server{rpc: rpc.NewServer(), listener: l, conns: make(map[net.Conn]struct{})}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register publishes the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve takes calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept peer")
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Caller calls methods of peers.
type Caller interface {
	// Call calls a method, "Name.Method", at a peer's address. ErrUnreachable
	// marks an error after which the method has not run.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Client is a Caller that keeps one connection to each peer.
type Client struct {
	timeout time.Duration
	conf    *tls.Config

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client. The timeout bounds connection set-up and calls.
func NewClient(timeout time.Duration, conf *tls.Config) *Client {
	return &Client{timeout: timeout, conf: conf, conns: make(map[string]*rpc.Client)}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to peer %s", address), ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if errors.Is(call.Error, rpc.ErrShutdown) {
			c.drop(address, conn)
			return errors.Mark(call.Error, ErrUnreachable)
		}
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			c.drop(address, conn)
		}
		return errors.Wrapf(call.Error, "call %s at %s", method, address)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "call %s at %s", method, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = raw.Close()
		return other, nil
	}
	conn = rpc.NewClient(raw)
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: c.timeout}
	if c.conf == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: d, Config: c.conf}).DialContext(ctx, "tcp", address)
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
