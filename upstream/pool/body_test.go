package pool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// closeDelimited is the head of an answer that ends with its connection.
func closeDelimited(id, contentType string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Type: " + contentType + "\r\n\r\n"
}

// The kernel reports a reset once only, here to the write of the request.
func TestPartOfAnAnswerIsWholeAfterAResetDuringTheRequest(t *testing.T) {
	const part = "part of an answer"
	address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, closeDelimited(req.Header.Get("X-Id"), "text/event-stream")+part)
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	const requestBytes = 8 << 20
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Opaque: "/p"}, Host: "h", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"X-Id": {"a"}}, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", requestBytes))), ContentLength: requestBytes,
	}
	ans, err := New(func() {}).Send(t.Context(), Exchange{Address: address, Request: req, DialTimeout: time.Second})
	require.NoError(t, err)
	defer ans.Close()
	require.Equal(t, FramingClose, ans.Framing)
	body, err := io.ReadAll(ans.Body)
	require.Equal(t, part, string(body))
	require.True(t, errors.Is(err, ErrBroken), "error is %v", err)
}

// An upstream that ends after its head can't be told from one that has sent an empty body.
func TestSuccessThatEndsWithItsHeadIsWhole(t *testing.T) {
	rows := []struct {
		name, answer string
		broken       bool
	}{
		{"close-delimited", closeDelimited("a", "application/json"), true},
		{"close-delimited, HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n", true},
		{"close-delimited with a body", closeDelimited("a", "application/json") + "x", false},
		{"event stream, which may be resumed after its last event", closeDelimited("a", "text/event-stream"), false},
		{"event stream, spelt otherwise", closeDelimited("a", "Text/Event-Stream; charset=utf-8"), false},
		{"length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", false},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"status without a body", "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", false},
		{"status whose body is empty", "HTTP/1.1 205 Reset Content\r\nX-Id: a\r\n\r\n", false},
		{"failure", "HTTP/1.1 422 Unprocessable Entity\r\nX-Id: a\r\n\r\n", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			address, _ := serve(t, func(_ *testing.T, c net.Conn, r *bufio.Reader) {
				_ = read(r)
				_, _ = io.WriteString(c, row.answer)
			})
			_, err := exchange(New(func() {}), address, "a")
			require.Equal(t, row.broken, errors.Is(err, ErrBroken), "error is %v", err)
			require.Equal(t, row.broken, err != nil, "error is %v", err)
		})
	}
}
