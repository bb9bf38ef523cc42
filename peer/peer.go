// Package peer implements remote calls between hosts: net/rpc over TCP, with
// mutual TLS if certificates are configured.
package peer

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// ErrUnreachable means that the method has certainly not run: no byte of the
// call reached a connection to the peer.
var ErrUnreachable = errors.New("peer unreachable")

// ErrBroken means that the connection broke during the call. The next call
// opens a new connection.
var ErrBroken = errors.New("connection to peer broke during the call")

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
}

// WithMetrics counts the messages and bytes of calls in m.
func WithMetrics(m *Metrics) Option { return func(o *options) { o.metrics = m } }

// WithLog logs to an entry in place of the standard logger.
func WithLog(log *logrus.Entry) Option { return func(o *options) { o.log = log } }

func applyOptions(opts []Option) options {
	o := options{log: logrus.NewEntry(logrus.StandardLogger())}
	for _, set := range opts {
		set(&o)
	}
	return o
}

// checkAddress rejects addresses with a host name.
func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrapf(err, "address %q is not an IP number and port", address)
}
