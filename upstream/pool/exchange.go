package pool

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// exchange sends the request and waits for its answer. It returns the answer and the
// number of answers to other requests that it skipped.
func (p *Pool) exchange(c *conn, x Exchange) (_ *http.Response, skipped int, _ error) {
	writeErr := c.writeRequest(x.Request)
	if err := c.awaitAnswer(x, writeErr); err != nil {
		return nil, 0, err
	}
	res, skipped, err := c.receive(x)
	if err != nil {
		return nil, skipped, err
	}
	// A request that was cut short leaves the connection unusable. After an answer to
	// another request more may follow, and an answer to HEAD that is written again is read
	// as one with a body.
	head := x.Request.Method == http.MethodHead
	res.Close = res.Close || writeErr != nil || skipped > 0 || head
	if head {
		res.Body = http.NoBody
	}
	res.Body = checkedBody(res, writeErr, x.Alive)
	return res, skipped, nil
}

func (c *conn) writeRequest(req *http.Request) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := bufio.NewWriterSize(c, bufferBytes)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// awaitAnswer waits for the first byte of an answer. An upstream may answer before it
// has read the whole request, and the rest of the request can't be written then.
func (c *conn) awaitAnswer(x Exchange, writeErr error) error {
	if writeErr == nil {
		return c.awaitFirst(x)
	}
	if !c.written.Load() || c.first(wakeTimeout) != nil {
		return errors.Mark(errors.Wrap(writeErr, "write request"), ErrBroken)
	}
	return nil
}

// maxStatus is the last status that HTTP defines a class for (RFC 9110, section 15). What an
// upstream sends with another one is no answer that a caller could read.
const maxStatus = 599

// receive reads answers up to the request's own, after the first byte has arrived. It
// returns the number of answers to other requests that it skipped.
func (c *conn) receive(x Exchange) (_ *http.Response, skipped int, _ error) {
	for interim := 0; ; {
		res, err := c.readHead(x)
		switch {
		case err != nil:
			return nil, skipped, errors.Mark(errors.Wrap(err, "read answer"), ErrBroken)
		case res.StatusCode < http.StatusContinue, res.StatusCode > maxStatus:
			return nil, skipped, errors.Mark(errors.Newf("the status %q is none of HTTP", res.Status), ErrBroken)
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, skipped, errors.Mark(errors.New("the upstream changes the protocol unasked"), ErrBroken)
		case res.StatusCode < http.StatusOK:
			interim++
		case x.Mine == nil || x.Mine(res, c.carried.Len()):
			return res, skipped, nil
		default:
			skipped++
		}
		if interim > maxInterim || skipped > maxStrays {
			return nil, skipped, errors.Mark(errors.Newf("%d interim responses and %d answers to other requests arrived", interim, skipped), ErrBroken)
		}
		if err := skip(c, res, x); err != nil {
			return nil, skipped, err
		}
	}
}

// skip reads over an answer that isn't the request's and waits for the next, within the
// bounds of the wait for the first byte.
func skip(c *conn, res *http.Response, x Exchange) error {
	c.gap, c.giveUp = x.FirstByte, x.GiveUp
	defer c.unboundReads()
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
	last := recheck
	if !c.quiet() {
		last = wakeTimeout
	}
	select {
	case err := <-c.arrived:
		return c.ended(err)
	case <-time.After(last):
		return errors.Mark(errors.Newf("no answer in %v", timeout), ErrSilent)
	}
}

func (c *conn) ended(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(err, "wait for the answer"), ErrBroken)
}
