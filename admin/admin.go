// Package admin implements the operators' HTTP API of a host: metrics, health and
// readiness, service documents, hosts, upstreams, batch jobs, costs, and the time
// line of events. A request for data of the whole fleet may be sent to any host,
// which queries the others and merges their responses.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Readiness reports whether a host is ready to receive requests.
type Readiness struct {
	Ready bool `json:"ready"`
	// Lacks lists the reasons why the host is not ready.
	Lacks []string `json:"lacks,omitempty"`
	// Warnings lists problems that do not make the host unready.
	Warnings []string `json:"warnings,omitempty"`
}

// Server serves the operators' API of one host. All exported fields except
// TokenSHA256 are required.
type Server struct {
	Config  *config.Holder
	Editor  *config.Editor
	Hosts   membership.View
	Events  *timeline.Recorder
	Metrics prometheus.Gatherer
	Costs   *accounting.Counters
	Jobs    batch.API
	// Upstreams returns the status of the upstreams as observed by this host.
	Upstreams func() []routing.Status
	// Ready returns the host's readiness.
	Ready func() Readiness
	Clock clockwork.Clock
	// TokenSHA256 is the SHA-256 digest of the operators' token in hexadecimal. If
	// it is empty, every request under /v1 is refused.
	TokenSHA256 string

	roster roster
}

// Handler returns the HTTP handler of the operators' API. Requests under /v1 need
// the operators' token; metrics, health and readiness do not.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(s.Metrics, promhttp.HandlerOpts{})))
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	v1 := e.Group("/v1", s.authenticate)
	v1.GET("/services", s.listServices)
	v1.GET("/services/:name", s.getService)
	v1.PUT("/services/:name", s.putService)
	v1.DELETE("/services/:name", s.deleteService)
	v1.GET("/services/:name/history", s.serviceHistory)
	v1.POST("/services/:name/rollback", s.rollbackService)
	v1.GET("/hosts", s.listHosts)
	v1.GET("/timeline", s.getTimeline)
	v1.GET("/explain/:request", s.explain)
	v1.GET("/cost", s.getCost)
	v1.GET("/upstreams", s.listUpstreams)
	v1.GET("/jobs", s.listJobs)
	v1.GET("/jobs/:id", s.getJob)
	v1.POST("/jobs/:id/cancel", s.cancelJob)
	return e
}

// authenticate rejects requests without the operators' token. The digests are
// compared in constant time.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(token))
		want, err := hex.DecodeString(s.TokenSHA256)
		if err != nil || len(want) == 0 || subtle.ConstantTimeCompare(want, digest[:]) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "The operators' token is missing or wrong.")
		}
		return next(c)
	}
}

// Problem is the body of an error response.
type Problem struct {
	Message string `json:"message"`
	// Current is the document in force if an edit was refused because it is based
	// on an older generation.
	Current *config.StoredDocument `json:"current,omitempty"`
}

// handleError writes err as a Problem with the matching HTTP status.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, p := http.StatusInternalServerError, Problem{Message: err.Error()}
	var he *echo.HTTPError
	var conflict *config.ConflictError
	var failed *verdict.Error
	switch {
	case errors.As(err, &he):
		status = he.Code
		if text, ok := he.Message.(string); ok {
			p.Message = text
		}
	case errors.Is(err, config.ErrGenerationNotFound):
		status = http.StatusNotFound
	case errors.Is(err, kv.ErrUnknown):
		status, p.Message = http.StatusServiceUnavailable, "The edit may have been accepted; look before you repeat it: "+p.Message
	case errors.As(err, &failed):
		status = failed.Status()
	case errors.As(err, &conflict):
		status, p.Current = http.StatusConflict, &conflict.Current
	}
	_ = c.JSON(status, p)
}

func (s *Server) readyz(c echo.Context) error {
	r := s.Ready()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, r)
}
