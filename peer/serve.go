package peer

import (
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// errPanicked is the reply to a call whose method panicked.
var errPanicked = errors.New("the method panicked")

// serveConn serves the calls of one connection until it breaks off, each in a goroutine
// of its own. net/rpc would let a panic of a method end the process.
func (s *Server) serveConn(conn *countingConn) {
	codec := newServerCodec(s, conn)
	var calls sync.WaitGroup
	for {
		call := &callCodec{serverCodec: codec, bodyRead: make(chan struct{})}
		if err := codec.ReadRequestHeader(&call.header); err != nil {
			break
		}
		calls.Go(func() { s.serveCall(call) })
		<-call.bodyRead
	}
	calls.Wait()
	if err := codec.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.WithError(err).Debug("can't close the connection of a peer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveCall runs one call. A panic of the method is the error of that call alone.
func (s *Server) serveCall(call *callCodec) {
	defer call.endBody()
	defer func() {
		if cause := recover(); cause != nil {
			s.log.WithFields(logrus.Fields{
				"method": call.header.ServiceMethod, "panic": cause, "stack": string(debug.Stack()),
			}).Error("method called by a peer panicked")
			call.fail(s.log)
		}
	}()
	if err := s.rpc.ServeRequest(call); err != nil {
		s.log.WithError(err).WithField("method", call.header.ServiceMethod).Debug("call of a peer not served")
	}
}

// callCodec is the codec of one call whose header has been read. Until endBody is called
// the body is the next message of the connection.
type callCodec struct {
	*serverCodec
	header    rpc.Request
	bodyRead  chan struct{}
	bodyOnce  sync.Once
	responded bool
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *callCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.header.ServiceMethod, c.header.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *callCodec) ReadRequestBody(body any) error {
	defer c.endBody()
	return c.serverCodec.ReadRequestBody(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *callCodec) WriteResponse(r *rpc.Response, body any) error {
	c.responded = true
	return c.serverCodec.WriteResponse(r, body)
}

// Close implements rpc.ServerCodec. The connection stays open for other calls.
func (c *callCodec) Close() error { return nil }

func (c *callCodec) endBody() { c.bodyOnce.Do(func() { close(c.bodyRead) }) }

// fail answers a call that panicked. If the panic came while the response was written,
// the connection can't be used any more.
func (c *callCodec) fail(log *logrus.Entry) {
	var err error
	if c.responded {
		err = c.serverCodec.Close()
	} else {
		response := &rpc.Response{ServiceMethod: c.header.ServiceMethod, Seq: c.header.Seq, Error: errPanicked.Error()}
		err = c.WriteResponse(response, struct{}{})
	}
	if err != nil {
		log.WithError(err).WithField("method", c.header.ServiceMethod).Debug("can't answer a call that panicked")
	}
}
