package pool

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// errResetDuringRequest means that an answer ends with a connection that was reset while
// the request was written.
var errResetDuringRequest = errors.Mark(errors.New("connection was reset during the request"), ErrBroken)

// checkedBody returns the body of an answer whose request was written with the given
// outcome. Reading it fails where an orderly end doesn't show that the body is complete.
func checkedBody(res *http.Response, writeErr error) io.ReadCloser {
	if framingOf(res) != FramingClose || res.Body == http.NoBody {
		return res.Body
	}
	body := &closeDelimitedBody{ReadCloser: res.Body}
	if writeErr != nil && !isTimeout(writeErr) {
		body.endErr = errors.WithSecondaryError(errResetDuringRequest, writeErr)
	}
	return body
}

// closeDelimitedBody is a body that ends with its connection.
type closeDelimitedBody struct {
	io.ReadCloser
	// endErr replaces an orderly end: the kernel reports a reset once only, so that
	// after a failed write the read doesn't find it.
	endErr error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.endErr != nil {
		return n, b.endErr
	}
	return n, err
}
