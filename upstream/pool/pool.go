// Package pool keeps connections to upstreams and makes exchanges over them. An
// exchange is sent once only, and a failure tells whether any byte of it left,
// which the transport of net/http doesn't: it sends some requests again by
// itself.
package pool

import (
	"bufio"
	"context"
	"io"
	"net/http"
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
	// ErrBroken means that the connection ended or carried something else than
	// an answer.
	ErrBroken = errors.New("exchange broken off")
)

// Exchange is one request to an upstream.
type Exchange struct {
	Address string
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
	// Mine reports whether an answer belongs to the request. Others are
	// skipped.
	Mine func(*http.Response) bool
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

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	dials func()
}

// New returns an empty pool. It calls dialed for each new connection.
func New(dialed func()) *Pool {
	return &Pool{idle: make(map[string][]*conn), dials: dialed}
}

// Send makes an exchange. When ctx ends, the connection is closed.
func (p *Pool) Send(ctx context.Context, x Exchange) (*Answer, error) {
	c := p.take(x.Address)
	if c == nil {
		var err error
		if c, err = dial(ctx, x.Address, x.DialTimeout); err != nil {
			return nil, errors.Mark(errors.Mark(err, ErrConnect), ErrNotSent)
		}
		p.dials()
		c.await(func(arrived chan error) { p.lost(c, arrived) })
	}
	c.written.Store(false)
	c.exchanges++
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
		Exchanges: c.exchanges, Skipped: skipped,
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

// exchange sends the request and waits for its answer. It returns the answer and the
// number of answers to other requests that it skipped.
func (p *Pool) exchange(c *conn, x Exchange) (_ *http.Response, skipped int, _ error) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := bufio.NewWriterSize(c, bufferBytes)
	writeErr := x.Request.Write(w)
	if writeErr == nil {
		writeErr = w.Flush()
	}
	if writeErr != nil && c.quiet() {
		return nil, skipped, errors.Mark(errors.Wrap(writeErr, "write request"), ErrBroken)
	}
	if err := c.awaitFirst(x); err != nil {
		return nil, skipped, err
	}
	for skipped = range maxStrays {
		res, err := c.readHead(x)
		if err != nil {
			return nil, skipped, errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
		}
		if res.StatusCode >= http.StatusOK && (x.Mine == nil || x.Mine(res)) {
			// A request that was cut short leaves the connection unusable.
			res.Close = res.Close || writeErr != nil
			res.Body = checkedBody(res, writeErr)
			return res, skipped, nil
		}
		if err := skip(c, res, x.FirstByte); err != nil {
			return nil, skipped, err
		}
	}
	return nil, skipped, errors.Mark(errors.New("only answers to other requests arrived"), ErrBroken)
}

// readHead reads the status line and the headers of an answer, within the bounds of
// their size and time: an upstream in trouble may send bytes without end.
func (c *conn) readHead(x Exchange) (*http.Response, error) {
	if x.HeadTimeout > 0 {
		timer := time.AfterFunc(x.HeadTimeout, func() { _ = c.raw.Close() })
		defer timer.Stop()
	}
	c.limited, c.left = true, maxHeadBytes
	defer func() { c.limited = false }()
	return http.ReadResponse(c.reader, x.Request)
}

// skip reads over an answer that isn't the request's and waits for the next.
func skip(c *conn, res *http.Response, timeout time.Duration) error {
	c.gap = timeout
	n, err := io.CopyN(io.Discard, res.Body, maxStrayBytes)
	if n == maxStrayBytes {
		return errors.Mark(errors.Newf("an answer to another request has more than %d bytes", maxStrayBytes), ErrBroken)
	}
	if !errors.Is(err, io.EOF) {
		return errors.Mark(errors.Wrap(err, "skip an answer to another request"), ErrBroken)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Mark(errors.Wrap(err, "wait after an answer to another request"), ErrBroken)
	}
	return nil
}

// awaitFirst waits for the first byte of an answer until it is given up.
func (c *conn) awaitFirst(x Exchange) error {
	for {
		err := c.first(x.FirstByte)
		if !errors.Is(err, ErrSilent) || x.GiveUp == nil || x.GiveUp() {
			return err
		}
	}
}

// recheck is how long a wait that has timed out looks for data that arrived
// while the process was suspended.
const recheck = 10 * time.Millisecond

// first waits for the first byte of an answer.
func (c *conn) first(timeout time.Duration) error {
	var expired <-chan time.Time
	if timeout > 0 {
		t := time.NewTimer(timeout)
		defer t.Stop()
		expired = t.C
	}
	select {
	case err := <-c.arrived:
		return c.ended(err)
	case <-expired:
	}
	select {
	case err := <-c.arrived:
		return c.ended(err)
	case <-time.After(recheck):
		return errors.Mark(errors.Newf("no answer in %v", timeout), ErrSilent)
	}
}

func (c *conn) ended(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "wait for the answer"), ErrBroken)
}

// Close ends the use of an answer. The connection is kept when the answer was
// read to its end and the upstream keeps it too.
func (a *Answer) Close() {
	c := a.conn
	open := a.stop()
	if !open || a.res.Close || !a.drained() || c.reader.Buffered() > 0 {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	c.gap, c.giveUp = 0, nil
	c.expires = time.Now().Add(idleTime(a.Header))
	a.pool.put(c)
}

// drainTimeout bounds the wait for the end of a body that was read.
const drainTimeout = time.Millisecond

// drained reports whether the body has been read to its end.
func (a *Answer) drained() bool {
	if a.Framing == FramingClose {
		return false
	}
	a.conn.gap = drainTimeout
	n, err := a.res.Body.Read(make([]byte, 1))
	return n == 0 && err == io.EOF
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

// take returns the connection to an address that was used last, or nil.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		of := p.idle[address]
		if len(of) == 0 {
			delete(p.idle, address)
			return nil
		}
		c := of[len(of)-1]
		p.idle[address] = of[:len(of)-1]
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.raw.Close()
	}
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
	of := p.idle[c.address]
	for i, other := range of {
		if other == c && c.arrived == arrived {
			p.idle[c.address] = append(of[:i:i], of[i+1:]...)
			_ = c.raw.Close()
			return
		}
	}
}
