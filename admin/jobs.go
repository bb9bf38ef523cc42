package admin

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Limits of a list of jobs. maxListCallers bounds the load on the store, because
// the jobs of each caller are read from it separately.
const (
	defaultJobs    = 50 // per caller
	maxListCallers = 20
)

// Jobs is the response to a request for the jobs of a service.
type Jobs struct {
	Jobs []batch.Job `json:"jobs"`
	// More is true if a caller has older jobs that are not in the list.
	More bool `json:"more,omitempty"`
}

// operator returns the identity of an operator, who may access the jobs of every
// caller.
func operator() config.Identity { return config.Identity{Operator: true} }

// callersToList returns the callers whose jobs are requested: the one named by the
// query parameter caller or, without it, all callers of the service.
func (s *Server) callersToList(c echo.Context) ([]string, error) {
	name := c.QueryParam("service")
	doc, ok := s.Config.Current().Service(name)
	if !ok {
		return nil, echo.NewHTTPError(http.StatusNotFound, "There is no service "+strconv.Quote(name)+"; name one with service.")
	}
	if caller := c.QueryParam("caller"); caller != "" {
		if _, ok := doc.CallerNamed(caller); !ok {
			return nil, echo.NewHTTPError(http.StatusNotFound, "Service "+name+" has no caller "+caller+".")
		}
		return []string{caller}, nil
	}
	if len(doc.Callers) > maxListCallers {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "Service "+name+" has too many callers to list; name one with caller.")
	}
	var out []string
	for _, caller := range doc.Callers {
		out = append(out, caller.Name)
	}
	return out, nil
}

func (s *Server) listJobs(c echo.Context) error {
	callers, err := s.callersToList(c)
	if err != nil {
		return err
	}
	out := Jobs{Jobs: []batch.Job{}}
	ctx := kv.WithPurpose(c.Request().Context(), kv.PurposeBatch)
	for _, caller := range callers {
		who := config.Identity{Callers: map[string]string{c.QueryParam("service"): caller}}
		jobs, more, err := s.Jobs.List(ctx, who, "", defaultJobs)
		if err != nil {
			return err
		}
		out.Jobs = append(out.Jobs, jobs...)
		out.More = out.More || more
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) getJob(c echo.Context) error {
	job, err := s.Jobs.Job(c.Request().Context(), operator(), c.Param("id"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}

func (s *Server) cancelJob(c echo.Context) error {
	job, err := s.Jobs.Cancel(c.Request().Context(), operator(), c.Param("id"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, job)
}
