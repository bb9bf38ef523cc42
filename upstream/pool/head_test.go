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

// The kernel reports a reset once only, here to the write of the request; the read then
// finds an orderly end, and a part of an answer counts as whole.
func TestCloseDelimitedAnswerResetDuringTheRequestIsBroken(t *testing.T) {
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
