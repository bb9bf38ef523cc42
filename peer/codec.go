package peer

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errWriteFailed ends calls on a connection on which an earlier request failed to
// be written in full.
var errWriteFailed = errors.New("connection unusable: an earlier request was not written in full")

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	read, written atomic.Int64
	// openedAt and lastRead are when the connection was opened and when bytes last arrived
	// on it, by sinceStart.
	openedAt time.Duration
	lastRead atomic.Int64
	// dueSince is the earliest time since which a reply is due and nothing has arrived, or 0.
	dueSince atomic.Int64
}

func newCountingConn(conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn, openedAt: sinceStart()}
	c.lastRead.Store(int64(c.openedAt))
	return c
}

var processStart = time.Now()

// sinceStart returns the time since the start of the process by the steady clock.
func sinceStart() time.Duration { return time.Since(processStart) }

// lastHeard returns when bytes last arrived, or when the connection was opened.
func (c *countingConn) lastHeard() time.Duration { return time.Duration(c.lastRead.Load()) }

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Add(int64(n))
		c.lastRead.Store(int64(sinceStart()))
		c.dueSince.Store(0)
	}
	return n, err
}

// expectReply records that a reply is due from a time on.
func (c *countingConn) expectReply(due time.Duration) {
	for {
		earliest := c.dueSince.Load()
		if earliest != 0 && earliest <= int64(due) || c.dueSince.CompareAndSwap(earliest, int64(due)) {
			return
		}
	}
}

// quietSince returns the time since which nothing has arrived although a reply is due. One is
// due since the given time.
func (c *countingConn) quietSince(due time.Duration) time.Duration {
	if earliest := time.Duration(c.dueSince.Load()); earliest != 0 {
		due = min(due, earliest)
	}
	return max(due, c.lastHeard())
}

// describe says what errors and logs tell of a connection to a peer: its age, when anything
// last arrived on it, and how many calls wait for it.
func (c *countingConn) describe(calls int) string {
	now := sinceStart()
	age, heard := now-c.openedAt, now-c.lastHeard()
	return fmt.Sprintf("connection open for %s, last heard from %s ago, %d calls", age.Round(time.Millisecond), heard.Round(time.Millisecond), calls)
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// request is the body of a call, as passed to WriteRequest.
type request struct {
	args  any
	state atomic.Int32
	// timeout bounds the write. It is that of the client: a call with a shorter deadline must
	// not end the connection that other calls share.
	timeout time.Duration
}

// States of a request. While it is neither written nor abandoned, it waits for a connection.
const (
	requestWaiting int32 = iota
	// requestWritten: bytes of it may have reached the connection.
	requestWritten
	// requestAbandoned: it is never written, so the method certainly doesn't run.
	requestAbandoned
)

// abandon keeps a request from being written, and reports whether none of it has been.
func (r *request) abandon() bool {
	return r.state.CompareAndSwap(requestWaiting, requestAbandoned) || r.state.Load() == requestAbandoned
}

// errAbandoned ends a request that was abandoned before it was written.
var errAbandoned = errors.New("call ended before it was sent")

// clientCodec is the client's side of net/rpc over gob. It records on each
// request whether any of its bytes may have reached the connection.
type clientCodec struct {
	conn    *countingConn
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	metrics *Metrics
	stamps  stamper

	// writeFailed is set when a request failed to be written in full. It is
	// guarded by the request lock of rpc.Client.
	writeFailed bool
	// bytesCounted is the number of bytes read that the metrics include.
	bytesCounted int64
	// method is the method of the header read last.
	method string
}

func newClientCodec(conn net.Conn, m *Metrics, stamps stamper) *clientCodec {
	c := newCountingConn(conn)
	buf := bufio.NewWriter(c)
	return &clientCodec{conn: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf, metrics: m, stamps: stamps}
}

// WriteRequest implements rpc.ClientCodec. The body is a *request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	req, ok := body.(*request)
	if !ok {
		return errors.AssertionFailedf("write request: body is %T, want *request", body)
	}
	if c.writeFailed {
		return errWriteFailed
	}
	if !req.state.CompareAndSwap(requestWaiting, requestWritten) {
		return errAbandoned
	}
	before := c.conn.written.Load()
	if err := c.write(r, req); err != nil {
		// After part of a request, the peer can't decode another one.
		c.writeFailed = true
		_ = c.conn.Close()
		return err
	}
	c.metrics.sent(r.ServiceMethod, sideClient, c.conn.written.Load()-before)
	return nil
}

func (c *clientCodec) write(r *rpc.Request, req *request) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(req.timeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(c.stamps.request(r)); err != nil {
		return err
	}
	if err := c.enc.Encode(req.args); err != nil {
		return err
	}
	return c.buf.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	c.stamps.observe(h.Stamp)
	r.ServiceMethod, r.Seq, r.Error = h.ServiceMethod, h.Seq, h.Error
	c.method = r.ServiceMethod
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.dec.Decode(body)
	read := c.conn.read.Load()
	c.metrics.received(c.method, sideClient, read-c.bytesCounted)
	c.bytesCounted = read
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec is the server's side of net/rpc over gob. It bounds the
// concurrent calls of one connection.
type serverCodec struct {
	conn    *countingConn
	in      *messageReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	metrics *Metrics
	stamps  stamper
	// timeout bounds the time to write one reply, idleTimeout that without a request.
	timeout, idleTimeout time.Duration
	// methodLabel returns the metrics label of a method.
	methodLabel func(method string) string

	// writing is held while a response is written.
	writing   sync.Mutex
	inFlight  chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// bytesCounted is the number of bytes read that the metrics include.
	bytesCounted int64
	// method is the method of the header read last.
	method string
}

func newServerCodec(s *Server, c *countingConn) *serverCodec {
	buf, in := bufio.NewWriter(c), newMessageReader(c, s.intake)
	return &serverCodec{
		conn: c, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(buf), buf: buf, metrics: s.metrics, methodLabel: s.methodLabel, stamps: s.stamps,
		timeout: replyTimeout, idleTimeout: s.idleTimeout, inFlight: make(chan struct{}, maxCalls), closed: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It blocks while maxCalls calls
// of the connection are running; WriteResponse ends a call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return err
	}
	var h requestHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	c.stamps.observe(h.Stamp)
	r.ServiceMethod, r.Seq = h.ServiceMethod, h.Seq
	c.method = c.methodLabel(r.ServiceMethod)
	select {
	case c.inFlight <- struct{}{}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	read := c.conn.read.Load()
	c.metrics.received(c.method, sideServer, read-c.bytesCounted)
	c.bytesCounted = read
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.inFlight }()
	c.writing.Lock()
	defer c.writing.Unlock()
	before := c.conn.written.Load()
	err := c.write(r, body)
	if err != nil {
		_ = c.Close()
		return err
	}
	c.metrics.sent(c.methodLabel(r.ServiceMethod), sideServer, c.conn.written.Load()-before)
	return nil
}

func (c *serverCodec) write(r *rpc.Response, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(c.stamps.response(r)); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.in.end()
	})
	return c.conn.Close()
}
