package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Client is an Invoker that keeps one connection to each peer and dials anew
// when it breaks.
type Client struct {
	timeout time.Duration
	conf    *tls.Config
	metrics *Metrics
	stamps  stamper

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one peer.
type link struct {
	slots chan struct{}
	// dialing lets one call dial while others wait.
	dialing chan struct{}

	mu    sync.Mutex
	rpc   *rpc.Client
	codec *clientCodec
}

var _ Invoker = (*Client)(nil)

// NewClient returns a Client. The timeout bounds connection set-up and calls.
func NewClient(timeout time.Duration, conf *tls.Config, opts ...Option) *Client {
	o := collect(opts)
	return &Client{timeout: timeout, conf: conf, metrics: o.metrics, stamps: stamper{o.clock}, links: make(map[string]*link)}
}

// Call implements Invoker. At most maxCalls calls run at one time to one peer;
// others wait for their turn, within their time.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	asked, given := ctx.Deadline()
	short := given && time.Until(asked) < c.timeout
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	l := c.link(address)
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	case <-ctx.Done():
		return unreachable(ctx.Err(), address)
	}
	conn, codec, err := c.connect(ctx, l, address)
	if err != nil {
		return unreachable(err, address)
	}
	replies := codec.replies.Load()
	err = c.call(ctx, l, conn, method, args, reply)
	// A connection without any reply for the whole timeout is dead. A caller
	// with less patience doesn't decide that for others.
	if errors.Is(err, context.DeadlineExceeded) && !short && codec.replies.Load() == replies {
		l.drop(conn)
	}
	return errors.Wrapf(err, "call %s at %s", method, address)
}

func unreachable(err error, address string) error {
	return errors.Mark(errors.Wrapf(err, "connect to peer %s", address), ErrUnreachable)
}

func (c *Client) call(ctx context.Context, l *link, conn *rpc.Client, method string, args, reply any) error {
	deadline, _ := ctx.Deadline()
	req := &request{args: args, deadline: deadline}
	// A reply that arrives after the call has ended must not touch the
	// caller's value.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, req, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return call.Error
	}
	l.drop(conn)
	broken := errors.Mark(call.Error, ErrBroken)
	// rpc.ErrShutdown alone proves nothing: it also ends calls that were sent
	// before the connection was closed.
	if !req.written.Load() {
		return errors.Mark(broken, ErrUnreachable)
	}
	return broken
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = &link{slots: make(chan struct{}, maxCalls), dialing: make(chan struct{}, 1)}
		c.links[address] = l
	}
	return l
}

// connect returns the connection to a peer; one call at a time dials.
func (c *Client) connect(ctx context.Context, l *link, address string) (*rpc.Client, *clientCodec, error) {
	if conn, codec := l.current(); conn != nil {
		return conn, codec, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	if conn, codec := l.current(); conn != nil {
		return conn, codec, nil
	}
	if err := checkAddress(address); err != nil {
		return nil, nil, err
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	codec := newClientCodec(raw, c.metrics, c.stamps)
	conn := rpc.NewClientWithCodec(codec)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rpc, l.codec = conn, codec
	return conn, codec, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: c.timeout}
	if c.conf == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: d, Config: c.conf}).DialContext(ctx, "tcp", address)
}

func (l *link) current() (*rpc.Client, *clientCodec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpc, l.codec
}

// drop closes a connection; the next call dials anew.
func (l *link) drop(conn *rpc.Client) {
	l.mu.Lock()
	if l.rpc == conn {
		l.rpc, l.codec = nil, nil
	}
	l.mu.Unlock()
	_ = conn.Close()
}

// Forget closes the connection to a peer that is gone.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	l, ok := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if !ok {
		return
	}
	if conn, _ := l.current(); conn != nil {
		l.drop(conn)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.links))
	for a := range c.links {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	for _, a := range addresses {
		c.Forget(a)
	}
}
