package gateway

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models of the services that the caller may use.
func (g *Gateway) listModels(c echo.Context) error {
	s := g.Config.Current()
	id := identityOf(c)
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range s.Names() {
		if _, ok := id.Callers[name]; !ok {
			continue
		}
		doc, _ := s.Service(name)
		for _, m := range doc.Models {
			list.Data = append(list.Data, model{ID: m.Name, Object: "model", OwnedBy: name})
		}
	}
	c.Response().Header().Set(HeaderVerdict, verdict.Ran.String())
	return c.JSON(http.StatusOK, list)
}
