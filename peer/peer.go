// Package peer implements remote calls between hosts: net/rpc over TCP, with
// mutual TLS if certificates are configured.
package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// ErrUnreachable means that the method has certainly not run: no byte of the
// call reached a connection to the peer.
var ErrUnreachable = errors.New("peer unreachable")

// ErrBroken means that the connection broke during the call. The next call
// opens a new connection.
var ErrBroken = errors.New("connection to peer broke during the call")

// ErrSilent means that the time of the call is up and nothing arrived on its connection,
// although a reply was due for a while. The method may have run. The next call uses a new
// connection, so the error says little about the peer. A call during which no new connection
// could be opened fails with another error.
var ErrSilent = errors.New("connection to peer is silent")

// Invoker calls methods of peers.
type Invoker interface {
	// Call calls a method, "Name.Method", of the peer at address, an IP number
	// and port, and stores the result in reply. An error marked with
	// ErrUnreachable means that the method has not run; after any other error
	// it may have run.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Option configures a Server or a Client.
type Option func(*options)

type options struct {
	metrics *Metrics
	clock   *timeline.Clock
	log     *logrus.Entry
	dialer  DialFunc
	// intake and maxConns are those of Server.
	intake   *intake.Budget
	maxConns int
}

// WithMetrics counts the messages and bytes of calls in m.
func WithMetrics(m *Metrics) Option { return func(o *options) { o.metrics = m } }

// WithDialer opens a Client's connections with dial in place of a net.Dialer.
func WithDialer(dial DialFunc) Option { return func(o *options) { o.dialer = dial } }

// WithIntake bounds the large messages of all connections to a Server together.
func WithIntake(budget *intake.Budget) Option { return func(o *options) { o.intake = budget } }

// WithMaxConns bounds the open connections to a Server; zero is unbounded. For one more, that is
// closed on which nothing has arrived for the longest time.
func WithMaxConns(n int) Option { return func(o *options) { o.maxConns = n } }

// WithLog logs to an entry in place of the standard logger.
func WithLog(log *logrus.Entry) Option { return func(o *options) { o.log = log } }

func applyOptions(opts []Option) options {
	o := options{log: logrus.NewEntry(logrus.StandardLogger()), dialer: (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext}
	for _, set := range opts {
		set(&o)
	}
	return o
}

// keepAlive finds connections whose other end is gone within half a minute.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// checkAddress rejects addresses with a host name.
func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrapf(err, "address %q is not an IP number and port", address)
}
