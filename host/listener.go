package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyspindle/comfreyspindle/platform"
)

// listener is an HTTP server and the listener on its address.
type listener struct {
	name   string
	inner  *timeoutListener
	server *http.Server
	// closed is set by stopAccepting.
	closed atomic.Bool
}

// Serve serves until ctx ends, and then closes all connections.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.inner)
	if l.closed.Load() {
		<-ctx.Done()
		_ = l.server.Close()
		return suture.ErrDoNotRestart
	}
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// closeIdle closes the connections that wait for a request.
func (l *listener) closeIdle() { l.inner.closeIdle() }

// stopAccepting accepts no more connections. Those that are open go on.
func (l *listener) stopAccepting() {
	l.closed.Store(true)
	// Without the listener Serve ends; an error has no other effect.
	_ = l.inner.Close()
}

// String names the service in supervisor events.
func (l *listener) String() string { return l.name }

// listen listens on an address for at most a number of connections; zero is unbounded.
func (h *Host) listen(name, address string, handler http.Handler, maxOpen int) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	l := &listener{
		name: name,
		inner: &timeoutListener{
			Listener: inner, clock: h.clock, limits: h.limits, writes: h.writes, writeTimeout: callerWriteTimeout, intake: h.intake, maxOpen: maxOpen,
		},
		server: &http.Server{Handler: handler, ConnState: trackState, ConnContext: platform.ConnContext},
	}
	h.registerConnectionMetrics(l)
	return l, nil
}
