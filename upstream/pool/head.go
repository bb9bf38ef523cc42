package pool

import (
	"net/http"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// readHead reads the status line and the headers of an answer, within the bounds of
// their size and time: an upstream in trouble may send bytes without end. Which request
// the answer belongs to is not known yet, so that its body is framed as that of any
// request but HEAD.
func (c *conn) readHead(x Exchange) (*http.Response, error) {
	if x.HeadTimeout > 0 {
		timer := time.AfterFunc(x.HeadTimeout, func() { _ = c.raw.Close() })
		defer timer.Stop()
	}
	c.limited, c.left = true, maxHeadBytes
	defer func() { c.limited = false }()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	return res, checkHead(res)
}

// statusLine matches the beginning of a head.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// checkHead returns an error if a head has another one within a line: what an upstream
// had begun to write was cut off, and the head of the next answer runs together with it.
func checkHead(res *http.Response) error {
	if statusLine.MatchString(res.Status) {
		return errors.Newf("the status %q holds a second status line", res.Status)
	}
	for name, values := range res.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return errors.Newf("the header %s holds a status line: %q", name, values)
		}
	}
	return nil
}
