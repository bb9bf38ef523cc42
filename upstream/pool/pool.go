// Package pool keeps connections to upstreams and makes exchanges over them. An
// exchange is sent once only, and a failure tells whether any byte of it left,
// which the transport of net/http doesn't: it sends some requests again by
// itself.
package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of connections.
const (
	bufferBytes = 4 << 10
	// receiveBufferBytes bounds what the system keeps of an answer that is not read yet, as
	// when its receiver is slow. Answers are read as they arrive otherwise.
	receiveBufferBytes = 256 << 10
	// keepAlivePeriod is the interval of TCP keep-alive probes.
	keepAlivePeriod = 2 * time.Second
	// writeTimeout bounds the write of one request.
	writeTimeout = 2 * time.Second
	// wakeTimeout bounds the wait for the goroutine that reads what the kernel has received.
	// On a busy host it ran up to 160 ms later.
	wakeTimeout = 500 * time.Millisecond
	// defaultIdle is how long an idle connection is used when the upstream
	// doesn't say how long it keeps it.
	defaultIdle = 30 * time.Second
	// maxIdleSeconds bounds the idle timeout that an upstream may state.
	maxIdleSeconds = 24 * 60 * 60
	// idleMargin is how much earlier than the upstream's idle timeout a
	// connection is given up.
	idleMargin = 500 * time.Millisecond
	// maxStrays bounds the answers to other requests that one exchange skips, and
	// maxStrayBytes the body of each.
	maxStrays     = 3
	maxStrayBytes = 1 << 20
	// maxInterim bounds the interim responses (status 1xx) before one answer.
	maxInterim = 16
	// maxHeadBytes bounds the status line and the headers of an answer.
	maxHeadBytes = 64 << 10
)

// Errors of an exchange, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request left the host.
	ErrNotSent = errors.New("request not sent")
	// ErrConnect means that no connection could be made; ErrNotSent holds too.
	ErrConnect = errors.New("no connection")
	// ErrSilent means that nothing arrived in time.
	ErrSilent = errors.New("upstream is silent")
	// ErrCarrier means that what carried the connection has ended, which says nothing about
	// the upstream.
	ErrCarrier = errors.New("carrier of the connection ended")
	// ErrBroken means that the connection ended or carried something else than
	// an answer.
	ErrBroken = errors.New("exchange broken off")
)

// Exchange is one request to an upstream.
type Exchange struct {
	Address string
	// Upstream names what answers at the address. A connection to an earlier one may look
	// open after that has failed, so that it isn't used for another.
	Upstream string
	// ID is that of the request. An upstream may write an answer again, which can't be
	// told from one to a later sending of the same request, so that a connection carries
	// only one request with an ID. A request without one gets a new connection.
	ID      string
	Request *http.Request
	// DialTimeout bounds the set-up of a connection and FirstByte the wait for
	// an answer; zero is unbounded.
	DialTimeout, FirstByte time.Duration
	// HeadTimeout bounds the time from the first byte of an answer to the end of its
	// headers; zero is unbounded.
	HeadTimeout time.Duration
	// Gap bounds the wait for each further piece; zero is unbounded.
	Gap time.Duration
	// GiveUp is called each time that FirstByte or Gap has passed without data, and
	// reports whether to end the exchange. Nil ends it the first time.
	GiveUp func() bool
	// Mine reports whether an answer belongs to the request, from the answer and the number
	// of exchanges that were begun on the connection, with this one. Others are skipped. Nil
	// takes the first answer.
	Mine func(res *http.Response, exchanges int) bool
	// Alive returns an error unless the upstream still runs. It is called when a
	// close-delimited body has ended in order, which is also how the connections of a
	// process that is killed end. Nil takes each orderly end for the end of the body.
	Alive func() error
	// Seen, if it is not nil, is set to what was used.
	Seen *Connection
}

// Framing is how an answer shows where its body ends.
type Framing string

// Values of Framing.
const (
	// FramingLength is a Content-Length header.
	FramingLength Framing = "length"
	// FramingChunked is the chunked transfer coding.
	FramingChunked Framing = "chunked"
	// FramingClose is the end of the connection: a body that was cut short by an
	// orderly close can't be told from a complete one.
	FramingClose Framing = "close"
)

// Answer is an upstream's answer. The caller closes it.
type Answer struct {
	Status int
	Header http.Header
	// Framing is how the end of the body is shown.
	Framing Framing
	// Length is the length of the body, or -1 when it isn't stated.
	Length int64
	Body   io.Reader
	// Exchanges is the number of exchanges that were begun on the connection, with this one.
	Exchanges int
	// Skipped is the number of answers to other requests that arrived before this one.
	Skipped int

	pool *Pool
	conn *conn
	res  *http.Response
	stop func() bool
}

// Connection is what an exchange shows of the connection that it used.
type Connection struct {
	// New means that it was made for the exchange, also if that failed.
	New bool
	// Via names what carries the connection; empty is a direct one.
	Via string
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	idle    map[string][]*conn
	dials   func()
	connect DialFunc
}

// Option sets an option of a Pool.
type Option func(*Pool)

// WithDial sets the function that connects to upstreams.
func WithDial(connect DialFunc) Option { return func(p *Pool) { p.connect = connect } }

// New returns an empty pool. It calls dialed for each new connection.
func New(dialed func(), opts ...Option) *Pool {
	p := &Pool{idle: make(map[string][]*conn), dials: dialed, connect: dialTCP}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// DropIdle closes the idle connections that are selected by their address and connection.
func (p *Pool) DropIdle(selects func(address string, c net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, of := range p.idle {
		kept := slices.DeleteFunc(of, func(c *conn) bool {
			if !selects(address, c.raw) {
				return false
			}
			_ = c.raw.Close()
			return true
		})
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Send makes an exchange. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, x Exchange) (*Answer, error) {
	if x.Seen == nil {
		x.Seen = &Connection{}
	}
	var c *conn
	if x.ID != "" {
		c = p.take(x)
	}
	if c == nil {
		var err error
		x.Seen.New = true
		if c, err = p.dial(ctx, x.Address, x.DialTimeout); err != nil {
			return nil, errors.Mark(errors.Mark(err, ErrConnect), ErrNotSent)
		}
		p.dials()
		c.upstream = x.Upstream
		c.await(func(arrived chan error) { p.lost(c, arrived) })
	}
	x.Seen.Via = c.via()
	c.written.Store(false)
	c.carried.Add(x.ID)
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	res, skipped, err := p.exchange(c, x) //nolint:bodyclose // Answer.Close ends its use
	if err != nil {
		stop()
		_ = c.raw.Close()
		if !c.written.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	c.gap, c.giveUp = x.Gap, x.GiveUp
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Framing: framingOf(res), Length: res.ContentLength, Body: res.Body,
		Exchanges: c.carried.Len(), Skipped: skipped,
		pool: p, conn: c, res: res, stop: stop,
	}, nil
}

func framingOf(res *http.Response) Framing {
	switch {
	case res.ContentLength >= 0:
		return FramingLength
	case len(res.TransferEncoding) > 0:
		return FramingChunked
	}
	return FramingClose
}

// Close ends the use of an answer. The connection is kept when the answer was
// read to its end and the upstream keeps it too.
func (a *Answer) Close() {
	c := a.conn
	open := a.stop()
	if !open || a.res.Close || !a.drained() || c.reader.Buffered() > 0 || c.carried.IsFull() || !c.reusable() {
		_ = c.raw.Close()
		return
	}
	c.unboundReads()
	c.expires = time.Now().Add(idleTime(a.Header))
	a.pool.put(c)
}

// Bounds of the rest of a body that is read when an answer is closed: the wait for each
// piece and the size. The texts of refusals are shorter.
const (
	drainTimeout = time.Millisecond
	maxRestBytes = 4 << 10
)

// drained reports whether the body has been read to its end, after a short rest of it
// that has arrived.
func (a *Answer) drained() bool {
	if a.Framing == FramingClose {
		return false
	}
	a.conn.gap, a.conn.giveUp = drainTimeout, nil
	_, err := io.CopyN(io.Discard, a.res.Body, maxRestBytes+1)
	return errors.Is(err, io.EOF)
}

// idleTime returns how long an idle connection may be used.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(min(n, maxIdleSeconds))*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// take returns the connection to an exchange's upstream that was used last of those that
// have not carried a request with its ID, or nil.
func (p *Pool) take(x Exchange) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle[x.Address]) - 1; i >= 0; i-- {
		c := p.idle[x.Address][i]
		usable := c.upstream == x.Upstream && now.Before(c.expires) && c.reusable()
		if usable && c.carried.Has(x.ID) {
			continue
		}
		p.remove(x.Address, i)
		if usable && c.quiet() {
			return c
		}
		_ = c.raw.Close()
	}
	return nil
}

// remove takes the idle connection at a position out of the pool. p.mu must be held.
func (p *Pool) remove(address string, i int) {
	of := slices.Delete(p.idle[address], i, i+1)
	if len(of) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = of
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.await(func(arrived chan error) { p.lost(c, arrived) })
	p.idle[c.address] = append(p.idle[c.address], c)
}

// lost drops an idle connection on which something arrived. A wait that ended with
// the answer of an exchange says nothing about the connection once it is idle again.
func (p *Pool) lost(c *conn, arrived chan error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle[c.address], c)
	if i < 0 || c.arrived != arrived {
		return
	}
	p.remove(c.address, i)
	_ = c.raw.Close()
}
