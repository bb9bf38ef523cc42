package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Limits of a query to all hosts.
const (
	hostTimeout          = 3 * time.Second
	maxConcurrentHosts   = 32
	maxHostResponseBytes = 32 << 20 // bytes
	// rosterRetention is how long a host that was removed from the membership view
	// is still reported as missing.
	rosterRetention = time.Hour
)

// scopeHost is the value of the query parameter scope that restricts a response to
// the data of the host that serves the request.
const scopeHost = "host"

// roster holds the hosts that were in the membership view within rosterRetention,
// so that a response can report a host that was removed from the view as missing.
type roster struct {
	mu   sync.Mutex
	seen map[string]sighting
}

// sighting records when a host was last in the membership view.
type sighting struct {
	host membership.Host
	at   time.Time
}

// update records the hosts in the membership view and removes expired ones. It
// returns the remaining hosts, sorted by data centre and name, and the set of names
// that are in the view.
func (r *roster) update(hosts []membership.Host, now time.Time) (all []membership.Host, inView map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = make(map[string]sighting)
	}
	inView = make(map[string]bool, len(hosts))
	for _, h := range hosts {
		inView[h.Name] = true
		r.seen[h.Name] = sighting{h, now}
	}
	for name, s := range r.seen {
		if now.Sub(s.at) > rosterRetention {
			delete(r.seen, name)
			continue
		}
		all = append(all, s.host)
	}
	slices.SortFunc(all, func(a, b membership.Host) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return all, inView
}

// Serve updates the roster at each change of the membership view until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	for {
		changed := s.Hosts.Changed()
		s.hosts()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// String returns the name of the service in supervisor events.
func (s *Server) String() string { return "hosts in view" }

// hosts updates the roster from the membership view and returns its hosts and the
// names that are in the view.
func (s *Server) hosts() ([]membership.Host, map[string]bool) {
	return s.roster.update(append(s.Hosts.Local(), s.Hosts.Remote()...), s.Clock.Now())
}

// hostResult is the response of one host, or the reason why there is none.
type hostResult[T any] struct {
	host  membership.Host
	value T
	err   error
}

// queryHosts repeats the request to all other hosts with scopeHost and returns one
// result per host of the roster. The result of this host is local. A host that is
// no longer in the membership view is not queried; its result is an error.
func queryHosts[T any](c echo.Context, s *Server, query url.Values, local T) []hostResult[T] {
	hosts, inView := s.hosts()
	results := make([]hostResult[T], len(hosts))
	query.Set("scope", scopeHost)
	var group errgroup.Group
	group.SetLimit(maxConcurrentHosts)
	for i, h := range hosts {
		results[i].host = h
		if h.Name == s.Hosts.Self().Name {
			results[i].value = local
			continue
		}
		if !inView[h.Name] {
			results[i].err = errors.New("the host is gone")
			continue
		}
		group.Go(func() error {
			results[i].err = fetch(c, h, query, &results[i].value)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// fetch queries one host with the token of the operator's request and decodes the
// response into out. The error becomes the reason that operators see for a missing
// host.
func fetch(c echo.Context, h membership.Host, query url.Values, out any) error {
	if h.OperatorsAddress == "" {
		return errors.New("the host's operators' address is not known")
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), hostTimeout)
	defer cancel()
	target := "http://" + h.OperatorsAddress + c.Request().URL.Path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", c.Request().Header.Get("Authorization"))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.New("the host can't be reached")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("the host answered with status %d", res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, maxHostResponseBytes))
	if err != nil {
		return errors.New("the host's answer broke off")
	}
	return errors.Wrap(json.Unmarshal(text, out), "the host's answer can't be read")
}

// missing lists the hosts that did not respond, each with the reason.
func missing[T any](parts []hostResult[T]) []timeline.Missing {
	var out []timeline.Missing
	for i := range parts {
		if err := parts[i].err; err != nil {
			out = append(out, timeline.Missing{Host: parts[i].host.Name, Reason: fmt.Sprint(err)})
		}
	}
	return out
}
