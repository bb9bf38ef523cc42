package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// maxLoadBytes bounds a load report.
const maxLoadBytes = 64 << 10

// Load asks an upstream for its load.
func (c *Client) Load(ctx context.Context, u *service.Upstream) (*Load, error) {
	res, err := c.Send(ctx, u, &Request{Method: http.MethodGet, Path: PathLoad, Header: http.Header{}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.Status != http.StatusOK {
		return nil, errors.Newf("upstream %s answered with status %d", u.Name, res.Status)
	}
	load := &Load{}
	return load, json.NewDecoder(io.LimitReader(res.Body, maxLoadBytes)).Decode(load)
}
