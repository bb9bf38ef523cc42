package pool

import (
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of close-delimited answers that ended in order.
var (
	// errResetDuringRequest means that an answer ends with a connection that was reset
	// while the request was written.
	errResetDuringRequest = errors.Mark(errors.New("connection was reset during the request"), ErrBroken)
	// errNoBody means that a success ends with its head.
	errNoBody = errors.Mark(errors.New("connection ends after the head of a success"), ErrBroken)
)

// checkedBody returns the body of an answer whose request was written with the given
// outcome. Reading it fails where an orderly end doesn't show that the body is complete:
// alive, if it is not nil, then returns an error unless the upstream still runs.
func checkedBody(res *http.Response, writeErr error, alive func() error) io.ReadCloser {
	if framingOf(res) != FramingClose || res.Body == http.NoBody {
		return res.Body
	}
	body := &closeDelimitedBody{ReadCloser: res.Body, alive: alive}
	if writeErr != nil && !isTimeout(writeErr) {
		body.endErr = errors.WithSecondaryError(errResetDuringRequest, writeErr)
	}
	// An event stream that is resumed after its last event has no further one.
	if hasBody(res.StatusCode) && !IsEventStream(res.Header) {
		body.emptyErr = errNoBody
	}
	return body
}

// IsEventStream reports whether a response is an event stream by its media type.
func IsEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// hasBody reports whether a status is that of a success that may have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices && status != http.StatusResetContent
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	// endErr replaces an orderly end: the kernel reports a reset once only, so that
	// after a failed write the read doesn't find it.
	endErr error
	// emptyErr replaces an orderly end before the first byte: an upstream that ends
	// after its head can't be told from one that has sent an empty body.
	emptyErr error
	// alive returns an error unless the upstream still runs after an orderly end; nil
	// asks nothing. checked is set once it was called, and goneErr is what it returned.
	alive   func() error
	checked bool
	goneErr error
	// received means that there was any byte.
	received bool
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received = b.received || n > 0
	switch {
	case !errors.Is(err, io.EOF):
	case b.endErr != nil:
		return n, b.endErr
	case !b.received && b.emptyErr != nil:
		return n, b.emptyErr
	case b.isGone():
		return n, b.goneErr
	}
	return n, err
}

// isGone reports whether the upstream no longer runs after the orderly end of the body.
func (b *closeDelimitedBody) isGone() bool {
	if !b.checked && b.alive != nil {
		b.checked = true
		if err := b.alive(); err != nil {
			b.goneErr = errors.Mark(errors.Wrap(err, "connection ended and the upstream is gone"), ErrBroken)
		}
	}
	return b.goneErr != nil
}
