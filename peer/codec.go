package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errBroken ends calls on a connection that can't take another request.
var errBroken = errors.New("connection broken")

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	read, written atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// request is the body of a call with a note on whether any of it was written.
type request struct {
	args    any
	written atomic.Bool
	// deadline bounds the write.
	deadline time.Time
}

// clientCodec is the client's side of net/rpc over gob. It notes on each
// request whether its bytes may have reached the connection.
type clientCodec struct {
	conn    *countedConn
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	metrics *Metrics
	stamps  stamper

	// broken is guarded by the request lock of rpc.Client.
	broken bool
	// replies counts the replies read so far.
	replies atomic.Int64
	seen    int64
	method  string
}

func newClientCodec(conn net.Conn, m *Metrics, stamps stamper) *clientCodec {
	c := &countedConn{Conn: conn}
	buf := bufio.NewWriter(c)
	return &clientCodec{conn: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf, metrics: m, stamps: stamps}
}

// WriteRequest implements rpc.ClientCodec. The body is a *request.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	req, ok := body.(*request)
	if !ok {
		return errors.AssertionFailedf("request body is %T", body)
	}
	if c.broken {
		return errBroken
	}
	before := c.conn.written.Load()
	if err := c.write(r, req); err != nil {
		// A part of a request must not be followed by another request.
		c.broken = true
		_ = c.conn.Close()
		return err
	}
	c.metrics.sent(r.ServiceMethod, sideClient, c.conn.written.Load()-before)
	return nil
}

func (c *clientCodec) write(r *rpc.Request, req *request) error {
	if err := c.conn.SetWriteDeadline(req.deadline); err != nil {
		return err
	}
	req.written.Store(true)
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
	c.replies.Add(1)
	read := c.conn.read.Load()
	c.metrics.received(c.method, sideClient, read-c.seen)
	c.seen = read
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec is the server's side of net/rpc over gob. It bounds the calls
// that run at one time for one connection.
type serverCodec struct {
	conn    *countedConn
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	metrics *Metrics
	stamps  stamper
	timeout time.Duration
	known   func(method string) string

	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	seen   int64
	method string
}

func newServerCodec(s *Server, conn net.Conn) *serverCodec {
	c := &countedConn{Conn: conn}
	buf := bufio.NewWriter(c)
	return &serverCodec{
		conn: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf, metrics: s.metrics, known: s.label, stamps: s.stamps,
		timeout: replyTimeout, slots: make(chan struct{}, maxCalls), closed: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. Each header read takes a slot,
// which the response gives back.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.dec.Decode(&h); err != nil {
		return err
	}
	c.stamps.observe(h.Stamp)
	r.ServiceMethod, r.Seq = h.ServiceMethod, h.Seq
	c.method = c.known(r.ServiceMethod)
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	read := c.conn.read.Load()
	c.metrics.received(c.method, sideServer, read-c.seen)
	c.seen = read
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	before := c.conn.written.Load()
	err := c.write(r, body)
	if err != nil {
		_ = c.Close()
		return err
	}
	c.metrics.sent(c.known(r.ServiceMethod), sideServer, c.conn.written.Load()-before)
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
	c.once.Do(func() { close(c.closed) })
	return c.conn.Close()
}
