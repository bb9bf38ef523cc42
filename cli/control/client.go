package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/cli"
)

// callTimeout bounds one call. A host waits up to 3 s for the others.
const callTimeout = 15 * time.Second

// client calls the operators' interface of one of a context's hosts.
type client struct {
	ctx     context.Context
	context *namedContext
	token   string
}

func (f *flags) client(ctx context.Context) (*client, error) {
	selected, err := f.selected()
	if err != nil {
		return nil, err
	}
	token, err := selected.token()
	return &client{ctx: ctx, context: selected, token: token}, err
}

// call is one call of the operators' interface.
type call struct {
	method string
	path   string
	query  url.Values
	body   string
}

func (c *client) get(path string, query url.Values, out any) error {
	text, err := c.do(call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(text, out), "the answer to %s can't be read", path)
}

// do tries the context's addresses until one is reached.
func (c *client) do(r call) ([]byte, error) {
	var tried []string
	for _, address := range c.context.Addresses {
		status, text, err := c.send(address, r)
		if err == nil {
			return text, c.check(status, text)
		}
		if c.ctx.Err() != nil {
			return nil, c.ctx.Err()
		}
		tried = append(tried, fmt.Sprintf("%s: %v", address, unwrapURL(err)))
		if r.method != http.MethodGet && !isDial(err) {
			return nil, cli.WithCode(errors.Newf(
				"the connection broke and the change may have taken effect (%s); look before you repeat it", tried[len(tried)-1]), cli.ExitUnreachable)
		}
	}
	return nil, cli.WithCode(errors.Newf("no host of context %s answers (%s); check its addresses, or name a host with --address",
		c.context.Name, strings.Join(tried, "; ")), cli.ExitUnreachable)
}

func unwrapURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// send sends a call to one host and returns the answer's status and body.
func (c *client) send(address string, r call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	target := "http://" + address + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, strings.NewReader(r.body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, text, err
}

// check returns the error that an answer carries.
func (c *client) check(status int, text []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	var problem admin.Problem
	if json.Unmarshal(text, &problem) != nil || problem.Message == "" {
		problem.Message = fmt.Sprintf("The host answered with status %d.", status)
	}
	return c.problem(status, &problem)
}

// conflictError carries the present document of a refused edit.
type conflictError struct {
	problem *admin.Problem
}

// Error implements error.
func (e *conflictError) Error() string { return e.problem.Message }

func (c *client) problem(status int, p *admin.Problem) error {
	switch {
	case status == http.StatusConflict && p.Current != nil:
		return cli.WithCode(&conflictError{p}, cli.ExitConflict)
	case status == http.StatusConflict:
		return cli.WithCode(errors.New(p.Message), cli.ExitConflict)
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return cli.WithCode(errors.Newf("%s Check %s, the token file of context %s.", p.Message, c.context.TokenFile, c.context.Name), cli.ExitDenied)
	case status == http.StatusNotFound:
		return cli.WithCode(errors.New(p.Message), cli.ExitNotFound)
	case status == http.StatusBadRequest:
		return cli.WithCode(errors.New(p.Message), cli.ExitUsage)
	case status == http.StatusServiceUnavailable:
		return cli.WithCode(errors.Newf("%s Try again when the platform's service is back.", p.Message), cli.ExitUnreachable)
	default:
		return errors.New(p.Message)
	}
}
