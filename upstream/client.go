package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// idleTimeout ends idle connections to upstreams.
const idleTimeout = 30 * time.Second

// Request is one request to an upstream.
type Request struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// StartBy is the time after which the upstream must not start the
	// request; zero sets none.
	StartBy time.Time
}

// Response is an upstream's answer. The caller closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 when it is not declared.
	Length int64
	// Delimited says that the end of the body is marked: by its length or by
	// chunks. Without a mark a cut body looks like a whole one.
	Delimited bool
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// probes uses a new connection each time.
	probes *http.Client
}

// ClientOptions bound a Client.
type ClientOptions struct {
	// DialTimeout bounds the connection set-up.
	DialTimeout time.Duration
	// IdleConns bounds the idle connections to one upstream.
	IdleConns int
}

// NewClient returns a Client. It speaks HTTP/1.1 only: a connection then
// carries one request at a time, so that the bytes written to it belong to
// that request.
func NewClient(o ClientOptions) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         countedDial(&net.Dialer{Timeout: o.DialTimeout}),
		MaxIdleConnsPerHost: o.IdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols,
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, probes: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: o.DialTimeout}).DialContext, DisableKeepAlives: true, Protocols: protocols,
	}}}
}

// Alive reports whether an upstream answers at all, with any status, over a
// new connection.
func (c *Client) Alive(ctx context.Context, u *service.Upstream) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+PathLoad, http.NoBody)
	if err != nil {
		return false
	}
	res, err := c.probes.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return true
}

func countedDial(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends r to u at most once. An error carries a verdict: NotRun only when
// no byte of the request reached a connection or the document says that the
// answer's status is a refusal. The cause of an answered error is a
// *StatusError.
func (c *Client) Send(ctx context.Context, u *service.Upstream, r *Request) (*Response, error) {
	for {
		sent := &attempt{id: r.ID}
		res, err := c.send(ctx, u, r, sent)
		if err == nil {
			return checked(res, u, r, sent)
		}
		if !sent.none() {
			return nil, failed(err, verdict.MayHaveRun, u)
		}
		// An idle connection that the upstream had closed took no byte.
		if !sent.reused || ctx.Err() != nil {
			return nil, failed(err, verdict.NotRun, u)
		}
	}
}

func failed(err error, v verdict.Verdict, u *service.Upstream) error {
	return verdict.Wrap(err, v, verdict.CodeUpstreamFailed, "Upstream %s failed.", u.Name)
}

// attempt notes which connections the transport gave one request.
type attempt struct {
	id string

	mu     sync.Mutex
	conns  []usedConn
	reused bool
}

type usedConn struct {
	conn *countedConn
	base int64
}

func (a *attempt) got(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reused = info.Reused
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		a.conns = append(a.conns, usedConn{})
		return
	}
	a.conns = append(a.conns, usedConn{conn: conn, base: conn.count()})
	if !conn.carry(a.id) {
		_ = conn.Close()
	}
}

// close closes the connections.
func (a *attempt) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, used := range a.conns {
		if used.conn != nil {
			_ = used.conn.Close()
		}
	}
}

// none reports whether no byte of the request was or will be written.
func (a *attempt) none() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, used := range a.conns {
		if used.conn == nil || !used.conn.seal(used.base) {
			return false
		}
	}
	return true
}

func (c *Client) send(ctx context.Context, u *service.Upstream, r *Request, a *attempt) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.got})
	req, err := newRequest(ctx, u, r)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// checked rules out refusals and answers to other requests. After one of these the
// request's own may follow, so that the connection isn't used again.
func checked(res *http.Response, u *service.Upstream, r *Request, sent *attempt) (*Response, error) {
	if id := res.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		_ = res.Body.Close()
		sent.close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered another request.", u.Name)
	}
	if slices.Contains(u.RefusalStatuses, res.StatusCode) {
		_ = res.Body.Close()
		cause := &StatusError{Upstream: u.Name, Status: res.StatusCode, Refusal: true, Header: res.Header}
		return nil, verdict.Wrap(cause, verdict.NotRun, verdict.CodeUpstreamFailed,
			"Upstream %s refused the request with status %d.", u.Name, res.StatusCode)
	}
	return &Response{
		Status: res.StatusCode, Header: res.Header, Body: res.Body, Length: res.ContentLength,
		Delimited: res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked"),
	}, nil
}

// newRequest returns a request that the transport can't send twice. The body's
// type is unknown to net/http, so GetBody stays unset; and it is never
// http.NoBody, also without content, because net/http resends requests without
// a body that are idempotent by method or carry an Idempotency-Key.
func newRequest(ctx context.Context, u *service.Upstream, r *Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(r.Body))
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+u.Address+r.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for k, v := range r.Header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if !r.StartBy.IsZero() {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(r.StartBy.UnixMilli(), 10))
	}
	return req, nil
}
