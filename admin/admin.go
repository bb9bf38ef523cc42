// Package admin is the operators' HTTP interface of one host: metrics, health,
// service documents, hosts and the time line.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// maxDocumentBytes bounds a service document.
const maxDocumentBytes = 1 << 20

// Readiness says whether a host may get requests.
type Readiness struct {
	Ready bool `json:"ready"`
	// Lacks names what the host still waits for.
	Lacks []string `json:"lacks,omitempty"`
	// Warnings name what keeps no request away but should be known.
	Warnings []string `json:"warnings,omitempty"`
}

// Server is the operators' interface. All fields but TokenSHA256 are required.
type Server struct {
	Config  *config.Holder
	Editor  *config.Editor
	Hosts   membership.View
	Events  *timeline.Recorder
	Metrics prometheus.Gatherer
	Book    *accounting.Book
	Jobs    batch.API
	// Upstreams returns the upstreams as this host sees them.
	Upstreams func() []routing.Status
	// Ready returns the host's readiness.
	Ready func() Readiness
	Clock clockwork.Clock
	// TokenSHA256 is the hexadecimal digest of the operators' token; while it
	// is empty every operator call is refused.
	TokenSHA256 string

	roster roster
}

// Handler returns the HTTP handler.
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

// Problem is the body of an error.
type Problem struct {
	Message string `json:"message"`
	// Current is the present document when an edit was based on an old one.
	Current *config.Stored `json:"current,omitempty"`
}

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

// ServiceSummary is one row of the list of services.
type ServiceSummary struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	Upstreams  int    `json:"upstreams"`
	Callers    int    `json:"callers"`
}

func (s *Server) listServices(c echo.Context) error {
	snapshot := s.Config.Current()
	out := []ServiceSummary{}
	for _, name := range snapshot.Names() {
		d, _ := snapshot.Service(name)
		out = append(out, ServiceSummary{Name: name, Generation: d.Generation, Upstreams: len(d.Upstreams), Callers: len(d.Callers)})
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) getService(c echo.Context) error {
	d, ok := s.Config.Current().Service(c.Param("name"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "There is no service "+c.Param("name")+".")
	}
	text, err := service.Marshal(d)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/yaml", text)
}

// Applied is the answer to an accepted edit, or to one that was only checked.
type Applied struct {
	Name string `json:"name"`
	// Generation is the new generation, or the present one after a check.
	Generation uint64 `json:"generation"`
	// DryRun says that nothing was changed.
	DryRun bool `json:"dry_run,omitempty"`
	// Warnings say what the edit takes away.
	Warnings []string `json:"warnings,omitempty"`
}

func (s *Server) putService(c echo.Context) error {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	return s.edit(c, config.Edit{Text: string(text)})
}

func (s *Server) deleteService(c echo.Context) error { return s.edit(c, config.Edit{Deleted: true}) }

func (s *Server) edit(c echo.Context, edit config.Edit) error {
	var err error
	edit.Name = c.Param("name")
	edit.By = c.QueryParam("by")
	if text := c.QueryParam("based_on"); text != "" {
		if edit.BasedOn, err = strconv.ParseUint(text, 10, 64); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "based_on is not a generation.")
		}
	}
	applied := Applied{Name: edit.Name}
	if !edit.Deleted {
		next, err := service.Parse(edit.Name, []byte(edit.Text))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		current, _ := s.Config.Current().Service(edit.Name)
		applied.Warnings = Warnings(current, next)
	}
	if c.QueryParam("dry_run") == "true" {
		applied.DryRun, applied.Generation = true, s.Config.Current().Generation(edit.Name)
		return c.JSON(http.StatusOK, applied)
	}
	if applied.Generation, err = s.Editor.Apply(c.Request().Context(), edit); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, applied)
}
