package gateway

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

func itoa(n int) string { return strconv.Itoa(n) }

// responseSink writes an answer to the caller.
type responseSink struct {
	c echo.Context
}

// Begin implements online.Sink.
func (s *responseSink) Begin(status int, header http.Header) error {
	out := s.c.Response().Header()
	id := out.Get(upstream.HeaderRequestID)
	for k, v := range forwarded(header) {
		out[k] = v
	}
	out.Set(upstream.HeaderRequestID, id)
	out.Del(upstream.HeaderLoad)
	out.Set(HeaderVerdict, verdict.Ran.String())
	s.c.Response().WriteHeader(status)
	return nil
}

// Write implements online.Sink.
func (s *responseSink) Write(p []byte) error {
	if _, err := s.c.Response().Write(p); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCancelled, "The caller has gone.")
	}
	s.c.Response().Flush()
	return nil
}
