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

// maxDocumentBytes bounds a service document.
const maxDocumentBytes = 1 << 20

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
	// Generation is the new generation; after a check, the one that it would be.
	Generation uint64 `json:"generation"`
	// DryRun says that nothing was changed.
	DryRun bool `json:"dry_run,omitempty"`
	// Diff is the difference to what was in force.
	Diff string `json:"diff,omitempty"`
	// Warnings say what the edit takes away.
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

// edit checks an edit, and makes it unless it is a dry run.
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

// generation reads a generation from the query; none is zero.
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

// Generation is one accepted edit of a document.
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
