// Package peer carries calls between hosts: net/rpc over TCP, inside mutual
// TLS when certificates are set.
package peer

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// ErrUnreachable means that the method has certainly not run: no byte of the
// call reached a connection to the peer.
var ErrUnreachable = errors.New("peer unreachable")

// ErrBroken means that the connection broke off during the call. The next call
// makes another one.
var ErrBroken = errors.New("connection to peer broke off")

// Invoker calls methods of peers.
type Invoker interface {
	// Call calls a method, "Name.Method", at a peer's address, an IP number
	// and port. ErrUnreachable marks an error after which the method has not
	// run; after any other error it may have run.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Option changes a Server or a Client.
type Option func(*options)

type options struct {
	metrics *Metrics
	clock   *timeline.Clock
}

// WithMetrics counts calls and bytes.
func WithMetrics(m *Metrics) Option { return func(o *options) { o.metrics = m } }

func collect(opts []Option) options {
	var o options
	for _, set := range opts {
		set(&o)
	}
	return o
}

func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrapf(err, "address %q is not an IP number and port", address)
}
