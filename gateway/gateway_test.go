package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/gateway"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// startCountingUpstream starts an upstream and returns its address and the counter
// of its requests.
func startCountingUpstream(t testing.TB) (string, *atomic.Int64) {
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		_, _ = io.WriteString(w, completionResponse)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), &n
}

func call(h http.Handler, method, path, key, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := &deadlineRecorder{httptest.NewRecorder()}
	h.ServeHTTP(w, req)
	return w.ResponseRecorder
}

// deadlineRecorder is a ResponseRecorder that accepts deadlines, which the gateway
// sets on its connections.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (*deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (*deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	address, runs := startCountingUpstream(t)
	h := newGateway(t, testDocument(address)).Handler()
	const chat, text = "/v1/chat/completions", "/v1/completions"
	message := `"messages":[{"role":"user","content":"a"}]`
	rows := []struct {
		name, path, body, param string
		status                  int
		header                  []string
	}{
		{name: "empty body", path: chat, body: ``, status: 400, param: "line 1"},
		{name: "invalid JSON", path: chat, body: "{\"model\":\"m\",\n\"messages\":[}", status: 400, param: "line 2"},
		{name: "truncated JSON", path: chat, body: `{"model":"m"`, status: 400, param: "line 1"},
		{name: "two JSON values", path: chat, body: `{} {}`, status: 400, param: "line 1"},
		{name: "not an object", path: chat, body: `[1]`, status: 400},
		{name: "no model", path: chat, body: `{` + message + `}`, status: 400, param: "model"},
		{name: "model of a wrong type", path: chat, body: `{"model":5,` + message + `}`, status: 400, param: "model"},
		{name: "duplicate model", path: chat, body: `{"model":"m","model":"n",` + message + `}`, status: 400, param: "model"},
		{name: "unknown service", path: chat, body: `{"model":"other",` + message + `}`, status: 404, param: "model"},
		{name: "no messages", path: chat, body: `{"model":"m"}`, status: 400, param: "messages"},
		{name: "messages of a wrong type", path: chat, body: `{"model":"m","messages":"a"}`, status: 400, param: "messages"},
		{name: "empty messages", path: chat, body: `{"model":"m","messages":[]}`, status: 400, param: "messages"},
		{name: "stream of a wrong type", path: chat, body: `{"model":"m","stream":"yes",` + message + `}`, status: 400, param: "stream"},
		{name: "max_tokens of zero", path: chat, body: `{"model":"m","max_tokens":0,` + message + `}`, status: 400, param: "max_tokens"},
		{name: "fractional max_tokens", path: chat, body: `{"model":"m","max_tokens":1.5,` + message + `}`, status: 400, param: "max_tokens"},
		{name: "max_tokens out of range", path: chat, body: `{"model":"m","max_tokens":1e300,` + message + `}`, status: 400, param: "max_tokens"},
		{name: "no prompt", path: text, body: `{"model":"m"}`, status: 400, param: "prompt"},
		{name: "prompt of a wrong type", path: text, body: `{"model":"m","prompt":{}}`, status: 400, param: "prompt"},
		{name: "body too large", path: chat, body: `{"model":"m","x":"` + strings.Repeat("x", 2<<20) + `"}`, status: 413},
		{name: "at most once without an idempotency key", path: chat, body: `{"model":"m",` + message + `}`, status: 400, param: gateway.HeaderIdempotencyKey, header: []string{gateway.HeaderRepeat, "never"}},
		{
			name: "invalid idempotency key time", path: chat, body: `{"model":"m",` + message + `}`, status: 400, param: gateway.HeaderKeyTime,
			header: []string{gateway.HeaderRepeat, "never", gateway.HeaderIdempotencyKey, "k", gateway.HeaderKeyTime, "noon"},
		},
		{name: "unknown path", path: "/v1/nothing", body: `{}`, status: 404},
		{name: "not a plain service", path: "/s/chat/x", body: `{}`, status: 400, param: "service"},
		{name: "unknown plain service", path: "/s/other/x", body: `{}`, status: 404, param: "service"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := call(h, http.MethodPost, row.path, apiKey, row.body, row.header...)
			requireRefused(t, w, row.status)
			require.Equal(t, row.param, gjson.Get(w.Body.String(), "error.param").String())
		})
	}
	requireRefused(t, call(h, http.MethodPost, chat, "wrong", `{}`), 401)
	require.Zero(t, runs.Load())
	require.Equal(t, 200, call(h, http.MethodPost, chat, apiKey, `{"model":"m",`+message+`}`).Code)
	require.EqualValues(t, 1, runs.Load())
}

func requireRefused(t *testing.T, w *httptest.ResponseRecorder, status int) {
	t.Helper()
	require.Equal(t, status, w.Code, w.Body.String())
	require.Equal(t, "not-run", w.Header().Get(gateway.HeaderVerdict))
	require.Equal(t, "not-run", gjson.Get(w.Body.String(), "error.verdict").String())
	require.NotEmpty(t, w.Header().Get("X-Request-Id"))
	require.NotEmpty(t, gjson.Get(w.Body.String(), "error.message").String())
}

// A request whose body does not arrive within ReadTimeout gets an error response
// and does not reach the upstream.
func TestSlowBodyIsRefusedAsNotRun(t *testing.T) {
	address, runs := startCountingUpstream(t)
	g := newGateway(t, testDocument(address))
	g.Limits.ReadTimeout = 100 * time.Millisecond
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{\"model\"", apiKey)
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(t, http.StatusBadRequest, res.StatusCode)
	require.Equal(t, "not-run", res.Header.Get(gateway.HeaderVerdict))
	require.Zero(t, runs.Load())
}

// A caller that does not read its response is disconnected after the request
// timeout, so that the stream of the upstream ends as well.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	ended := make(chan struct{})
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		event := "data: {\"id\":\"x\",\"pad\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n"
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
		}
	}))
	defer up.Close()
	doc := testDocument(up.Listener.Addr().String())
	doc.Routing.RequestTimeout = 200 * time.Millisecond
	srv := httptest.NewServer(newGateway(t, doc).Handler())
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	require.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream's stream has not ended")
	}
}

func TestRequestIDsAreUnique(t *testing.T) {
	address, _ := startCountingUpstream(t)
	seen := make(map[string]bool)
	for range 2 {
		h := newGateway(t, testDocument(address)).Handler()
		for range 2000 {
			id := call(h, http.MethodGet, "/v1/models", apiKey, "", "X-Request-Id", "mine").Header().Get("X-Request-Id")
			require.False(t, seen[id])
			seen[id] = true
		}
	}
}

// FuzzChatBody checks that a body is either forwarded or refused with a 4xx status
// and the verdict not run, without a panic.
func FuzzChatBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a"}]}`, `{"model":"m","messages":[]}`, `{`, ``, `null`, `[]`, `"`, `{"model":"m","model":"m"}`,
		`{"model":"\u006d","messages":[1]}`, `{"model":"m","messages":[{}],"max_tokens":-1}`, "{\"model\":\"m\",\"messages\":[{}]}\x00", `{"model":"m","messages":[{}],"stream":true}`,
		`{"":{"":{"":[[[[[]]]]]}}}`, `{"model":"m","messages":[{}],"max_tokens":9223372036854775808}`,
	} {
		f.Add(seed)
	}
	address, runs := startCountingUpstream(f)
	h := newGateway(f, testDocument(address)).Handler()
	f.Fuzz(func(t *testing.T, body string) {
		before := runs.Load()
		w := call(h, http.MethodPost, "/v1/chat/completions", apiKey, body)
		if w.Code == http.StatusOK {
			require.True(t, json.Valid([]byte(body)))
			return
		}
		require.GreaterOrEqual(t, w.Code, 400)
		require.Less(t, w.Code, 500)
		require.Equal(t, "not-run", w.Header().Get(gateway.HeaderVerdict))
		require.Equal(t, before, runs.Load())
	})
}

func TestHeadersNamedInAnyConnectionLineAreNotForwarded(t *testing.T) {
	var got http.Header
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
	defer up.Close()
	doc := testDocument(up.Listener.Addr().String())
	doc.Kind = service.KindPlain
	h := newGateway(t, doc).Handler()
	r := httptest.NewRequest(http.MethodPost, "/s/chat/a", strings.NewReader("body"))
	r.Header = http.Header{
		"Authorization": {"Bearer " + apiKey}, "Connection": {"X-First", "X-Second, X-Third"},
		"X-First": {"1"}, "X-Second": {"2"}, "X-Third": {"3"}, "X-Kept": {"4"},
	}
	w := &deadlineRecorder{httptest.NewRecorder()}
	h.ServeHTTP(w, r)
	require.Equal(t, 200, w.Code, w.Body.String())
	require.Equal(t, "4", got.Get("X-Kept"))
	for _, name := range []string{"X-First", "X-Second", "X-Third"} {
		require.Empty(t, got.Get(name), name)
	}
}

func TestListOfModelsHasAVerdict(t *testing.T) {
	address, _ := startCountingUpstream(t)
	w := call(newGateway(t, testDocument(address)).Handler(), http.MethodGet, "/v1/models", apiKey, "")
	require.Equal(t, 200, w.Code)
	require.Equal(t, "ran", w.Header().Get(gateway.HeaderVerdict))
}

func TestPlainServiceRequestIsForwarded(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s auth=%q", r.Method, r.URL, body, r.Header.Get("Authorization"))
	}))
	defer up.Close()
	doc := testDocument(up.Listener.Addr().String())
	doc.Kind = service.KindPlain
	h := newGateway(t, doc).Handler()
	w := call(h, http.MethodPut, "/s/chat/a/b?c=d", apiKey, "body")
	require.Equal(t, 200, w.Code)
	require.Equal(t, `PUT /a/b?c=d body auth=""`, w.Body.String())
	require.Equal(t, "ran", w.Header().Get(gateway.HeaderVerdict))
}

// Guards against a truncated response that an HTTP/1.0 caller, for whom the end of the
// connection ends the response, takes for a complete one.
func TestTruncatedResponseToAnHTTP10CallerIsReset(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond) // the caller must have the piece before the reset drops it
		panic(http.ErrAbortHandler)
	}))
	defer up.Close()
	doc := testDocument(up.Listener.Addr().String())
	doc.Kind = service.KindPlain
	srv := httptest.NewServer(newGateway(t, doc).Handler())
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "GET /s/chat/a HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", apiKey)
	require.NoError(t, err)
	text, err := io.ReadAll(conn)
	require.Contains(t, string(text), "data: a\n\n")
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
