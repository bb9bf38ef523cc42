package admin

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// maxDocumentBytes limits the size of a service document in a request.
const maxDocumentBytes = 1 << 20

// ServiceSummary describes a service in the list of services. Upstreams and Callers
// are the numbers of each.
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

// Applied is the response to an accepted edit or a dry run.
type Applied struct {
	Name string `json:"name"`
	// Generation is the generation that the edit created or, for a dry run, the one
	// that it would create.
	Generation uint64 `json:"generation"`
	// DryRun is true if the edit was only checked, not applied.
	DryRun bool `json:"dry_run,omitempty"`
	// Diff is the difference between the document in force and the edited one.
	Diff string `json:"diff,omitempty"`
	// Warnings lists effects of the edit that interrupt or refuse requests, such as
	// the loss of the last upstream.
	Warnings []config.Warning `json:"warnings,omitempty"`
}

func (s *Server) putService(c echo.Context) error {
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	return s.edit(c, config.Edit{Text: string(text)})
}

func (s *Server) deleteService(c echo.Context) error { return s.edit(c, config.Edit{Deleted: true}) }

// edit validates an edit and applies it unless the request is a dry run.
func (s *Server) edit(c echo.Context, edit config.Edit) error {
	var err error
	edit.Name, edit.By = c.Param("name"), c.QueryParam("by")
	if edit.BasedOn, err = generation(c, "based_on"); err != nil {
		return err
	}
	if !edit.Deleted {
		if _, err := service.Parse(edit.Name, []byte(edit.Text)); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
	}
	ctx := c.Request().Context()
	preview, err := s.Editor.DryRun(ctx, edit)
	if err != nil {
		return err
	}
	applied := Applied{Name: edit.Name, Generation: preview.Generation, Diff: preview.Diff, Warnings: preview.Warnings}
	if applied.DryRun = c.QueryParam("dry_run") == "true"; applied.DryRun {
		return c.JSON(http.StatusOK, applied)
	}
	if applied.Generation, err = s.Editor.Apply(ctx, edit); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, applied)
}

// generation parses the generation in the named query parameter. It returns zero if
// the parameter is absent.
func generation(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" is not a generation.")
	}
	return n, nil
}

// Generation is an accepted edit of a service document.
type Generation struct {
	Generation uint64    `json:"generation"`
	By         string    `json:"by,omitempty"`
	At         time.Time `json:"at"`
	Deleted    bool      `json:"deleted,omitempty"`
	Text       string    `json:"text,omitempty"`
}

func (s *Server) serviceHistory(c echo.Context) error {
	stored, err := s.Editor.History(c.Request().Context(), c.Param("name"))
	if err != nil {
		return err
	}
	if len(stored) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "There is no service "+c.Param("name")+".")
	}
	out := make([]Generation, 0, len(stored))
	for _, g := range stored {
		out = append(out, Generation{Generation: g.Generation, By: g.By, At: g.At, Deleted: g.Deleted, Text: g.Text})
	}
	return c.JSON(http.StatusOK, out)
}

// rollbackService creates a new generation with the content of an earlier one.
func (s *Server) rollbackService(c echo.Context) error {
	to, err := generation(c, "to")
	if err != nil {
		return err
	}
	basedOn, err := generation(c, "based_on")
	if err != nil {
		return err
	}
	name := c.Param("name")
	applied := Applied{Name: name}
	applied.Generation, err = s.Editor.Rollback(c.Request().Context(), name, to, basedOn, c.QueryParam("by"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, applied)
}
