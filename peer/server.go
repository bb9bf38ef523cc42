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
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/intake"
)

// Limits of a server.
const (
	// maxCalls is the maximum number of concurrent calls on one connection; both
	// sides enforce it.
	maxCalls = 64
	// replyTimeout bounds the time to write one reply.
	replyTimeout = 5 * time.Second
	// serverIdleTimeout is the time without a request after which a connection is closed: its
	// other end may be gone without a word. Clients don't use a connection that has been idle
	// for half of it.
	serverIdleTimeout = 10 * time.Minute
)

// Server serves calls from peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	metrics  *Metrics
	stamps   stamper
	log      *logrus.Entry
	// idleTimeout is serverIdleTimeout, except in tests.
	idleTimeout time.Duration

	// intake bounds the large messages of all connections together; nil bounds each alone.
	intake *intake.Budget
	// maxConns bounds the open connections; zero is unbounded.
	maxConns int

	mu      sync.Mutex
	conns   map[*countingConn]struct{}
	methods map[string]struct{}
}

// Listen returns a Server that listens on the address, with TLS as configured in
// conf if it is not nil.
func Listen(address string, conf *tls.Config, opts ...Option) (*Server, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections from peers")
	}
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	o := applyOptions(opts)
	return &Server{
		rpc: rpc.NewServer(), listener: l, metrics: o.metrics, stamps: stamper{o.clock}, log: o.log, idleTimeout: serverIdleTimeout,
		intake: o.intake, maxConns: o.maxConns, conns: make(map[*countingConn]struct{}), methods: make(map[string]struct{}),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register makes the methods of receiver callable as "name.Method".
func (s *Server) Register(name string, receiver any) error {
	s.mu.Lock()
	for m := range reflect.TypeOf(receiver).Methods() {
		s.methods[name+"."+m.Name] = struct{}{}
	}
	s.mu.Unlock()
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register methods of %s", name)
}

// methodLabel returns the metrics label of a method. Unregistered methods share
// one label, so that peers can't create label values.
func (s *Server) methodLabel(method string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.methods[method]; ok {
		return method
	}
	return "unknown"
}

// Serve accepts connections and serves their calls until ctx ends. It then
// closes the listener and all connections.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept connection from peer")
		}
		counting := newCountingConn(conn)
		if !s.track(ctx, counting) {
			return ctx.Err()
		}
		go s.serveConn(counting)
	}
}

// track adds a connection to those that close closes. If ctx has ended, it closes
// the connection and returns false.
func (s *Server) track(ctx context.Context, conn *countingConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	if s.maxConns > 0 && len(s.conns) >= s.maxConns {
		s.closeQuietest()
	}
	s.conns[conn] = struct{}{}
	return true
}

// closeQuietest closes the connection on which nothing has arrived for the longest time. Its
// peer opens another one for its next call. The lock is held.
func (s *Server) closeQuietest() {
	var quietest *countingConn
	for conn := range s.conns {
		if quietest == nil || conn.lastHeard() < quietest.lastHeard() {
			quietest = conn
		}
	}
	delete(s.conns, quietest)
	s.log.WithFields(logrus.Fields{"remote": quietest.RemoteAddr().String(), "connection": quietest.describe(0)}).Warn("connection of a peer closed: there are as many as there may be")
	_ = quietest.Close()
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
