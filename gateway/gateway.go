// Package gateway implements the OpenAI-style HTTP API for callers.
package gateway

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/online"
	"github.com/comfreyspindle/comfreyspindle/settings"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Headers of the callers' API.
const (
	HeaderVerdict        = "Comfreyspindle-Verdict"
	HeaderRepeat         = "Comfreyspindle-Repeat"
	HeaderKeyTime        = "Comfreyspindle-Key-Time"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// identityContextKey is the echo context key that holds the authenticated
// config.Identity.
const identityContextKey = "identity"

// holdContextKey is the echo context key that holds the *intake.Hold of a request.
const holdContextKey = "hold"

// Gateway serves the callers' API. All exported fields but Intake are required.
type Gateway struct {
	Config  *config.Holder
	Runner  *online.Runner
	Batches batch.API
	Limits  settings.Gateway
	// Intake bounds the bodies of all requests together; nil bounds each alone.
	Intake *intake.Budget
	Log    *logrus.Entry
	// Requests tracks the requests, so that a stop cuts none.
	Requests *shutdown.Requests

	leaving     atomic.Bool
	lastArrival atomic.Int64 // in Unix nanoseconds
	draining    atomic.Bool
}

// Leave makes the gateway close each connection after its next response, so that
// callers send further requests to other hosts. Idle connections stay open, since
// closing one could race with a request that is already being sent on it.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Quiet returns the time since the last request arrived.
func (g *Gateway) Quiet() time.Duration { return time.Since(time.Unix(0, g.lastArrival.Load())) }

// Drain calls Leave and makes the gateway refuse new requests with the verdict
// not run.
func (g *Gateway) Drain() {
	g.Leave()
	g.draining.Store(true)
}

// Handler returns the HTTP handler of the callers' API.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = g.handleError
	e.Use(requestID, g.track, g.refuseWhileDraining, g.authenticate, g.holdBody)
	v1 := e.Group("/v1")
	v1.POST("/chat/completions", g.complete)
	v1.POST("/completions", g.complete)
	v1.GET("/models", g.listModels)
	v1.POST("/files", g.createFile)
	v1.GET("/files/:id", g.getFile)
	v1.GET("/files/:id/content", g.getFileContent)
	v1.POST("/batches", g.createBatch)
	v1.GET("/batches", g.listBatches)
	v1.GET("/batches/:id", g.getBatch)
	v1.POST("/batches/:id/cancel", g.cancelBatch)
	e.Any("/s/:service/*", g.proxyPlain)
	return e
}

// requestID assigns each request a new ID, which replaces one sent by the caller.
func requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := ulid.Make().String()
		c.Request().Header.Set(upstream.HeaderRequestID, id)
		c.Response().Header().Set(upstream.HeaderRequestID, id)
		return next(c)
	}
}

// trackedContextKey is the echo context key that holds the *shutdown.Request.
const trackedContextKey = "tracked"

// track tracks a request. Its context ends when the host can't wait for it any longer.
func (g *Gateway) track(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, tracked := g.Requests.Begin(c.Request().Context(), c.Response().Header().Get(upstream.HeaderRequestID))
		answered := false
		defer func() { tracked.End(answered) }()
		c.SetRequest(c.Request().WithContext(ctx))
		c.Set(trackedContextKey, tracked)
		if err := next(c); err != nil {
			g.handleError(endOfHost(ctx, err), c)
		}
		answered = true
		return nil
	}
}

// endOfHost returns the error of a request, also if the end of the host has cancelled it: its
// caller is still there, and its upstream has not failed.
func endOfHost(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), shutdown.ErrHostEnds) {
		return err
	}
	if verdict.Of(err) == verdict.NotRun {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeDraining, "The host ended before the request was run.")
	}
	return verdict.Wrap(err, verdict.Of(err), verdict.CodeTimeout, "The host ended before the request was answered.")
}

// refuseWhileDraining records the arrival of each request, asks for its connection
// to be closed after Leave, and refuses it after Drain.
func (g *Gateway) refuseWhileDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		g.lastArrival.Store(time.Now().UnixNano())
		c.Response().Before(func() {
			if g.leaving.Load() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		if g.draining.Load() {
			return verdict.New(verdict.NotRun, verdict.CodeDraining, "This host is stopping; send the request again.")
		}
		return next(c)
	}
}

func (g *Gateway) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok {
			return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "The request has no API key.").WithParam("Authorization")
		}
		id, ok := g.Config.Current().Authenticate(key)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "The API key is unknown.").WithParam("Authorization")
		}
		c.Set(identityContextKey, id)
		return next(c)
	}
}

func identityOf(c echo.Context) config.Identity {
	id, _ := c.Get(identityContextKey).(config.Identity)
	return id
}

// handleError writes err as a response in the error format of the callers' API.
// It does nothing if the response has already begun.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = routeError(he)
	}
	e := verdict.As(err)
	h := c.Response().Header()
	h.Set(HeaderVerdict, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	if e.Code == verdict.CodeInternal {
		g.Log.WithError(err).WithField("request", h.Get(upstream.HeaderRequestID)).Error("request failed with an internal error")
	}
	h.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(e.Status())
	if err := json.NewEncoder(c.Response()).Encode(online.NewErrorBody(e)); err != nil {
		g.Log.WithError(err).Debug("could not write error response to caller")
	}
}

// routeError converts an error of the echo router to a verdict error.
func routeError(he *echo.HTTPError) error {
	code := verdict.CodeInvalidRequest
	if he.Code == http.StatusNotFound {
		code = verdict.CodeNotFound
	}
	return verdict.New(verdict.NotRun, code, "%v.", he.Message)
}
