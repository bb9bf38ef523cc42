package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/internal/connreset"
	"github.com/comfreyspindle/comfreyspindle/online"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// writeGracePeriod is added to the request timeout so that the end of the
// response can still be written.
const writeGracePeriod = 5 * time.Second

func itoa(n int) string { return strconv.Itoa(n) }

// responseSink is the online.Sink that relays a response to the caller.
type responseSink struct {
	c       echo.Context
	aborted bool
	// hasLength reports that the response has a Content-Length; other responses
	// are flushed after each write.
	hasLength bool
}

// Begin implements online.Sink.
func (s *responseSink) Begin(status int, header http.Header) error {
	out := s.c.Response().Header()
	id := out.Get(upstream.HeaderRequestID)
	for k, v := range forwardedHeaders(header) {
		out[k] = v
	}
	if length := header.Get(echo.HeaderContentLength); length != "" {
		out.Set(echo.HeaderContentLength, length)
		s.hasLength = true
	}
	out.Set(upstream.HeaderRequestID, id)
	out.Del(upstream.HeaderLoad)
	v := verdict.Ran
	if status >= http.StatusBadRequest {
		v = verdict.MayHaveRun
	}
	out.Set(HeaderVerdict, v.String())
	s.c.Response().WriteHeader(status)
	return nil
}

// Write implements online.Sink.
func (s *responseSink) Write(p []byte) error {
	if _, err := s.c.Response().Write(p); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCancelled, "The caller has gone.")
	}
	if !s.hasLength {
		s.c.Response().Flush()
	}
	return nil
}

// Abort implements online.Sink.
func (s *responseSink) Abort() { s.aborted = true }

// run runs a request and relays its response to the caller.
func (g *Gateway) run(c echo.Context, req *online.Request) error {
	sink := &responseSink{c: c}
	deadline := time.Now().Add(req.Doc.Routing.RequestTimeout)
	tracked, _ := c.Get(trackedContextKey).(*shutdown.Request)
	if err := tracked.Admit(req.Doc.Name, deadline); err != nil {
		return err
	}
	// Without a deadline, a caller that does not read its response would keep
	// the request running indefinitely.
	if err := http.NewResponseController(c.Response()).SetWriteDeadline(deadline.Add(writeGracePeriod)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	err := g.Runner.Run(c.Request().Context(), req, sink)
	if err == nil || verdict.Of(err) != verdict.NotRun {
		tracked.SetRan()
	}
	if sink.aborted {
		g.abort(c)
	}
	return err
}

// abort breaks the connection after part of a response was sent: only that shows the caller
// that the response is incomplete. An HTTP/1.0 caller takes an orderly end of the connection
// for the end of the response, so its connection is reset.
func (g *Gateway) abort(c echo.Context) {
	if !c.Request().ProtoAtLeast(1, 1) {
		if err := connreset.Reset(c.Response()); err != nil {
			g.Log.WithError(err).Warn("can't reset the connection of a truncated response")
		}
	}
	panic(http.ErrAbortHandler)
}
