package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Client is an Invoker that keeps one connection to each peer. It reconnects on the next
// call after the connection breaks, and replaces a connection that is silent although
// replies are due. Calls in progress on a connection that was replaced go on.
type Client struct {
	timeout time.Duration
	conf    *tls.Config
	dialer  DialFunc
	metrics *Metrics
	stamps  stamper
	log     *logrus.Entry

	mu    sync.Mutex
	links map[string]*link
}

// DialFunc opens a connection, as the DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Repeatable is implemented by the arguments of methods that may run twice for one call: a
// call whose connection is silent or breaks is sent a second time, on another connection.
// The arguments of other methods are sent once.
type Repeatable interface {
	// WaitLimit returns how long the method may wait on purpose before it replies.
	WaitLimit() time.Duration
	// Repeated returns the arguments that are sent the second time.
	Repeated() any
}

var errForgotten = errors.New("peer was removed while a call connected to it")

var _ Invoker = (*Client)(nil)

// NewClient returns a Client. The timeout bounds each call, connection set-up
// included. Connections use TLS if conf is not nil.
func NewClient(timeout time.Duration, conf *tls.Config, opts ...Option) *Client {
	o := applyOptions(opts)
	return &Client{
		timeout: timeout, conf: conf, dialer: o.dialer, metrics: o.metrics, stamps: stamper{o.clock}, log: o.log, links: make(map[string]*link),
	}
}

// Call implements Invoker. At most maxCalls calls run concurrently on one connection;
// further calls wait until one ends or their own deadline passes.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	return c.call(ctx, c.link(address), method, args, reply)
}

// CallAlone is Call over a connection of its own, which is closed afterwards. Its error says
// something about the peer even if the connection that other calls share is silent.
func (c *Client) CallAlone(ctx context.Context, address, method string, args, reply any) error {
	l := newLink(c, address)
	defer l.forget()
	return c.call(ctx, l, method, args, reply)
}

func (c *Client) call(ctx context.Context, l *link, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return newCall(ctx, l, method, args, reply).run()
}

// link returns the link to a peer and adds it on first use.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[address]
	if !ok {
		l = newLink(c, address)
		c.links[address] = l
	}
	return l
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.dialer(ctx, "tcp", address)
	if err != nil || c.conf == nil {
		return raw, err
	}
	conn := tls.Client(raw, c.tlsConfig(address))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// tlsConfig returns the configuration for connections to an address. A peer whose name is
// not configured is known by its IP number.
func (c *Client) tlsConfig(address string) *tls.Config {
	if c.conf.ServerName != "" {
		return c.conf
	}
	conf := c.conf.Clone()
	conf.ServerName, _, _ = net.SplitHostPort(address)
	return conf
}

// Retire keeps new calls from the connection to a peer. Calls in progress on it go on.
func (c *Client) Retire(address string) {
	l := c.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.retire(l.current)
	}
}

// Forget closes the connections to a peer that was removed from the membership.
// Calls in progress on them fail.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	l, ok := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if ok {
		l.forget()
	}
}

// Close closes the connections to all peers.
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
