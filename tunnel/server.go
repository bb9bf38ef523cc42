package tunnel

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Times and limits of a Server.
const (
	// requestTimeout bounds the time in which a request for a tunnel arrives.
	requestTimeout = time.Second
	// idleTimeout is the time without bytes in either direction after which a tunnel ends.
	idleTimeout = 2 * time.Minute
	// replicaWriteTimeout bounds a write to a replica, which may not read, and
	// hostWriteTimeout one to the other host, whose caller may be slow.
	replicaWriteTimeout = 4 * time.Second
	hostWriteTimeout    = 30 * time.Second
	// lingerTimeout bounds the wait for the other host after the last frame. A connection
	// that is closed with unread bytes is reset, and the frame may be lost.
	lingerTimeout = time.Second
	// maxTunnels bounds the connections that a host carries. Each takes two descriptors and
	// twice maxFrameBytes.
	maxTunnels = 512
	// maxWaiting bounds the connections, beside those that are carried, whose request has not
	// arrived or whose replica has not accepted.
	maxWaiting = 64
)

// ServerOptions are what a Server needs. All fields but Metrics and MaxTunnels are
// required.
type ServerOptions struct {
	// Paths makes the connections to replicas, directly only.
	Paths *Paths
	// IsReplica reports whether this host knows a replica at an address.
	IsReplica func(address string) bool
	// MaxTunnels bounds the connections that are carried; zero is 512.
	MaxTunnels int
	Log        *logrus.Entry
	Metrics    *Metrics
}

// Server carries connections of other hosts to replicas.
type Server struct {
	ServerOptions
	listener net.Listener
	active   atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// carried holds the tunnels that carry bytes, and leaving is set once the host stops.
	carried map[*tunnelState]struct{}
	leaving bool
	// idle is closed when no tunnel carries bytes; nil if nothing waits for that.
	idle chan struct{}
}

// Listen returns a Server that listens on the address.
func Listen(address string, o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for tunnels")
	}
	if o.MaxTunnels <= 0 || o.MaxTunnels > maxTunnels {
		o.MaxTunnels = maxTunnels
	}
	return &Server{ServerOptions: o, listener: l, conns: make(map[net.Conn]struct{}), carried: make(map[*tunnelState]struct{})}, nil
}

// Active returns the number of connections that this host carries.
func (s *Server) Active() int { return int(s.active.Load()) }

// String names the service in supervisor events.
func (s *Server) String() string { return "tunnels" }

// Serve accepts tunnels until ctx ends. It then closes all of them.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept a tunnel")
		}
		client, ok := c.(*net.TCPConn)
		if !ok || !s.track(ctx, c) {
			_ = c.Close()
			continue
		}
		go func() {
			defer s.untrack(c)
			s.serve(ctx, client)
		}()
	}
}

func (s *Server) track(ctx context.Context, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || len(s.conns) >= s.MaxTunnels+maxWaiting {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// serve serves one tunnel.
func (s *Server) serve(ctx context.Context, client *net.TCPConn) {
	_ = client.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	_ = client.SetDeadline(time.Now().Add(requestTimeout))
	address, err := readRequest(client)
	if err != nil {
		s.Log.WithError(err).Debug("request for a tunnel can't be read")
		return
	}
	replica, reply := s.connect(ctx, address)
	s.Metrics.countServed(reply)
	if _, err := client.Write([]byte{byte(reply)}); err != nil || replica == nil {
		if replica != nil {
			s.active.Add(-1)
			_ = replica.Close()
		}
		return
	}
	defer s.active.Add(-1)
	t := &tunnelState{client: client, replica: replica}
	s.begin(t)
	defer s.end(t)
	t.carry()
}

// Leave lets the host refuse new tunnels and tells the hosts whose connections it carries that
// it stops. These live on.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for t := range s.carried {
		t.leave()
	}
}

// Wait returns when the host carries no connection, or when ctx ends.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	if len(s.carried) == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) begin(t *tunnelState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried[t] = struct{}{}
	if s.leaving {
		t.leave()
	}
}

func (s *Server) end(t *tunnelState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.carried, t)
	if len(s.carried) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// connect connects to the replica at an address, unless this host can't carry a connection
// to it. A connection counts as active until the caller ends it.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, status) {
	switch {
	case s.isLeaving():
		return nil, statusLeaving
	case !s.IsReplica(address):
		return nil, statusUnknown
	case s.Paths.CutOff():
		return nil, statusCutOff
	case s.active.Add(1) > int64(s.MaxTunnels):
		s.active.Add(-1)
		return nil, statusBusy
	}
	replica, err := s.Paths.Direct(ctx, address)
	if err != nil {
		s.active.Add(-1)
		s.Log.WithError(err).WithField("address", address).Debug("can't carry a connection to a replica")
		return nil, statusUnreachable
	}
	return replica, statusConnected
}

// tunnelState is a tunnel while it carries bytes.
type tunnelState struct {
	client  *net.TCPConn
	replica net.Conn
	// stopped is set when no more is to be written to the replica.
	stopped atomic.Bool
	// requested is when bytes for the replica last arrived.
	requested atomic.Int64
	// leaving is set when the other host is to be told that this one stops.
	leaving atomic.Bool
}

// leave lets copyFrames tell the other host that this one stops.
func (t *tunnelState) leave() {
	t.leaving.Store(true)
	_ = t.replica.SetReadDeadline(time.Unix(1, 0))
}

// carry carries bytes between another host and a replica until one of them ends.
func (t *tunnelState) carry() {
	client, replica := t.client, t.replica
	_ = client.SetDeadline(time.Time{})
	written := make(chan error, 1)
	go func() { written <- t.copyToReplica() }()
	end, err := t.copyFrames()
	if err != nil {
		_ = client.Close()
		_ = replica.Close()
	}
	t.stopWriting()
	if writeErr := <-written; writeErr != nil {
		// The kernel reports a reset once only, here to the write.
		end = frameReset
	}
	if err == nil {
		t.finish(end)
	}
	_ = replica.Close()
}

// copyToReplica copies what the other host sends until it ends. It returns the error of
// writing to the replica.
func (t *tunnelState) copyToReplica() error {
	buf := make([]byte, maxFrameBytes)
	for {
		n, err := t.client.Read(buf)
		if n > 0 {
			t.requested.Store(time.Now().UnixNano())
			if writeErr := t.writeToReplica(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == nil:
		case t.stopped.Load():
			return nil
		default:
			// The other host no longer wants the response.
			_ = t.replica.Close()
			return nil
		}
	}
}

// writeToReplica writes to the replica. If that doesn't read, the connection to it is ended.
func (t *tunnelState) writeToReplica(p []byte) error {
	_ = t.replica.SetWriteDeadline(time.Now().Add(replicaWriteTimeout))
	if t.stopped.Load() {
		return nil
	}
	_, err := t.replica.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if t.stopped.Load() {
		return nil
	}
	_ = t.replica.Close()
	return err
}

// stopWriting ends copyToReplica. The bytes from the other host stay unread.
func (t *tunnelState) stopWriting() {
	t.stopped.Store(true)
	_ = t.replica.SetWriteDeadline(time.Unix(1, 0))
	_ = t.client.SetReadDeadline(time.Unix(1, 0))
}

// copyFrames copies what the replica sends until its connection ends, and returns how that
// ended. An error means that the other host can't be written to.
func (t *tunnelState) copyFrames() (frameKind, error) {
	buf := make([]byte, frameHeadBytes+maxFrameBytes)
	told := false
	for {
		deadline := time.Now().Add(idleTimeout)
		_ = t.replica.SetReadDeadline(deadline)
		// leave sets the flag before it ends the read.
		if t.leaving.Load() && !told {
			told = true
			if err := t.writeFrame(buf, frameLeaving, 0); err != nil {
				return 0, err
			}
		}
		n, err := t.replica.Read(buf[frameHeadBytes:])
		if n > 0 {
			if err := t.writeFrame(buf, frameData, n); err != nil {
				return 0, err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return frameEnd, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && (time.Now().Before(deadline) || time.Since(time.Unix(0, t.requested.Load())) < idleTimeout):
		default:
			return frameReset, nil
		}
	}
}

// writeFrame writes a frame whose data is in buf behind the room for the head.
func (t *tunnelState) writeFrame(buf []byte, kind frameKind, length int) error {
	putFrameHead(buf, kind, length)
	_ = t.client.SetWriteDeadline(time.Now().Add(hostWriteTimeout))
	_, err := t.client.Write(buf[:frameHeadBytes+length])
	return err
}

// finish sends the last frame and waits until the other host has closed the tunnel.
func (t *tunnelState) finish(end frameKind) {
	var last [frameHeadBytes]byte
	putFrameHead(last[:], end, 0)
	deadline := time.Now().Add(lingerTimeout)
	_ = t.client.SetDeadline(deadline)
	if _, err := t.client.Write(last[:]); err != nil {
		return
	}
	if err := t.client.CloseWrite(); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, t.client)
}
