package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

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
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// ClientOptions bound a Client.
type ClientOptions struct {
	// DialTimeout bounds the connection set-up.
	DialTimeout time.Duration
	// IdleConns bounds the idle connections to one upstream.
	IdleConns int
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: o.IdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends r to u. An error carries a verdict: NotRun only when no
// connection was handed the request or the document says that the answer's
// status is a refusal.
func (c *Client) Send(ctx context.Context, u *service.Upstream, r *Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, u, r)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The request can't be sent.")
	}
	res, err := c.http.Do(req)
	if err != nil {
		v := verdict.NotRun
		if connected.Load() {
			v = verdict.MayHaveRun
		}
		return nil, verdict.Wrap(err, v, verdict.CodeUpstreamFailed, "Upstream %s failed.", u.Name)
	}
	for _, status := range u.RefusalStatuses {
		if res.StatusCode == status {
			_ = res.Body.Close()
			return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "Upstream %s refused the request with status %d.", u.Name, status)
		}
	}
	if id := res.Header.Get(HeaderRequestID); id != "" && id != r.ID {
		_ = res.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "Upstream %s answered another request.", u.Name)
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

func newRequest(ctx context.Context, u *service.Upstream, r *Request) (*http.Request, error) {
	// The body's type is unknown to net/http, so GetBody stays unset and the
	// transport can't resend a request whose body it has begun to read.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+u.Address+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if !r.StartBy.IsZero() {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(r.StartBy.UnixMilli(), 10))
	}
	return req, nil
}
