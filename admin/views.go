package admin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// HostStatus is the status of a host as reported by the host itself.
type HostStatus struct {
	membership.Host
	Readiness
	// Generations maps each service to the generation in force on the host.
	Generations map[string]uint64 `json:"generations,omitempty"`
	// Missing is the reason why the host did not respond. If it is set, the
	// readiness and the generations are unknown.
	Missing string `json:"missing,omitempty"`
}

func (s *Server) ownStatus() HostStatus {
	st := HostStatus{Host: s.Hosts.Self(), Readiness: s.Ready(), Generations: make(map[string]uint64)}
	snapshot := s.Config.Current()
	for _, name := range snapshot.Names() {
		st.Generations[name] = snapshot.Generation(name)
	}
	return st
}

func (s *Server) listHosts(c echo.Context) error {
	own := s.ownStatus()
	if c.QueryParam("scope") == scopeHost {
		return c.JSON(http.StatusOK, own)
	}
	out := []HostStatus{}
	for _, p := range queryHosts(c, s, url.Values{}, own) {
		if p.err != nil {
			p.value = HostStatus{Host: p.host, Missing: p.err.Error()}
		}
		out = append(out, p.value)
	}
	return c.JSON(http.StatusOK, out)
}

// Limits of the number of events in a time line.
const (
	defaultEvents = 1000
	maxEvents     = 100_000
)

// timelineQuery holds the parameters of a request for a time line.
type timelineQuery struct {
	filter timeline.Filter
	// positions maps the name of a host to the position from which its events are
	// requested, which is Next of an earlier response.
	positions map[string]uint64
	limit     int
}

func parseQuery(c echo.Context) (*timelineQuery, error) {
	q := &timelineQuery{limit: defaultEvents, filter: timeline.Filter{
		Request: c.QueryParam("request"), Job: c.QueryParam("job"), Host: c.QueryParam("host"),
	}}
	var err error
	if text := c.QueryParam("since"); text != "" {
		if q.filter.Since, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return nil, echo.NewHTTPError(http.StatusBadRequest, "since is not a time as in RFC 3339.")
		}
	}
	if text := c.QueryParam("limit"); text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil || q.limit < 1 || q.limit > maxEvents {
			return nil, echo.NewHTTPError(http.StatusBadRequest, "limit is not a number from 1 to "+strconv.Itoa(maxEvents)+".")
		}
	}
	if text := c.QueryParam("places"); text != "" {
		if err := json.Unmarshal([]byte(text), &q.positions); err != nil {
			return nil, echo.NewHTTPError(http.StatusBadRequest, "places can't be read.")
		}
	}
	return q, nil
}

// page returns the matching events of this host. If they exceed the limit, it
// returns the newest ones.
func (s *Server) page(q *timelineQuery) timeline.Page {
	page := s.Events.After(q.positions[s.Hosts.Self().Name], q.filter.Match)
	if n := len(page.Events); n > q.limit {
		page.Events = page.Events[n-q.limit:]
	}
	return page
}

func (s *Server) getTimeline(c echo.Context) error {
	q, err := parseQuery(c)
	if err != nil {
		return err
	}
	if c.QueryParam("scope") == scopeHost {
		return c.JSON(http.StatusOK, s.page(q))
	}
	return c.JSON(http.StatusOK, s.mergeTimelines(c, q))
}

// mergeTimelines queries all hosts and merges their events.
func (s *Server) mergeTimelines(c echo.Context, q *timelineQuery) *timeline.MergedTimeline {
	parts := queryHosts(c, s, c.QueryParams(), s.page(q))
	merged := &timeline.MergedTimeline{Missing: missing(parts), Next: make(map[string]uint64), Lost: make(map[string]uint64)}
	eventsByHost := make([][]timeline.Event, 0, len(parts))
	for _, p := range parts {
		if p.err != nil {
			// Keep the position of a host that did not respond, so that the next
			// query continues after the last event received from it.
			if position, ok := q.positions[p.host.Name]; ok {
				merged.Next[p.host.Name] = position
			}
			continue
		}
		merged.Next[p.host.Name] = p.value.Next
		if p.value.Lost > 0 {
			merged.Lost[p.host.Name] = p.value.Lost
		}
		eventsByHost = append(eventsByHost, p.value.Events)
	}
	merged.Events, merged.Cut = timeline.Merge(eventsByHost, q.limit)
	return merged
}

// Explanation describes why the attempts of a request were routed to their
// upstreams.
type Explanation struct {
	Request string `json:"request"`
	// Choices lists the choices of an upstream for the request, in order.
	Choices []ExplainedChoice `json:"choices"`
	// Story is the time line of the request over all hosts.
	Story *timeline.MergedTimeline `json:"story"`
}

// ExplainedChoice is one choice of an upstream, with the cause and the scores of
// the candidates.
type ExplainedChoice struct {
	At       time.Time        `json:"at"`
	Host     string           `json:"host"`
	Upstream string           `json:"upstream"`
	Cause    string           `json:"cause"`
	Scores   []timeline.Score `json:"scores,omitempty"`
}

func (s *Server) explain(c echo.Context) error {
	request := c.Param("request")
	q := &timelineQuery{limit: maxEvents, filter: timeline.Filter{Request: request}}
	if c.QueryParam("scope") == scopeHost {
		return c.JSON(http.StatusOK, s.page(q))
	}
	out := Explanation{Request: request, Story: s.mergeTimelines(c, q), Choices: []ExplainedChoice{}}
	if len(out.Story.Events) == 0 && len(out.Story.Missing) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "No host knows request "+request+"; its events may have been overwritten.")
	}
	for _, e := range out.Story.Events {
		if len(e.Scores) > 0 {
			out.Choices = append(out.Choices, ExplainedChoice{e.Stamp.Time(), e.Host, e.Upstream, e.Cause, e.Scores})
		}
	}
	return c.JSON(http.StatusOK, out)
}

// CostRow is a cost counter summed over the hosts of a data centre.
type CostRow struct {
	DataCentre string `json:"data_centre"`
	accounting.Entry
	// Ceiling is the limit of cross-region bytes in the service document. It is zero
	// for other counters and if there is no limit.
	Ceiling int64 `json:"ceiling,omitempty"`
}

// Cost is the cost of the fleet, as counted by each host since its start.
type Cost struct {
	Rows    []CostRow          `json:"rows"`
	Missing []timeline.Missing `json:"missing,omitempty"`
}

func (s *Server) getCost(c echo.Context) error {
	own := s.Costs.Entries()
	if c.QueryParam("scope") == scopeHost {
		return c.JSON(http.StatusOK, own)
	}
	parts := queryHosts(c, s, url.Values{}, own)
	sum := make(map[CostRow]int64)
	for _, p := range parts {
		for _, e := range p.value {
			key := CostRow{DataCentre: p.host.DataCentre, Entry: e, Ceiling: s.ceiling(&e)}
			key.Count = 0
			sum[key] += e.Count
		}
	}
	out := Cost{Rows: make([]CostRow, 0, len(sum)), Missing: missing(parts)}
	for row, n := range sum {
		row.Count = n
		out.Rows = append(out.Rows, row)
	}
	slices.SortFunc(out.Rows, func(x, y CostRow) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Caller, y.Caller), cmp.Compare(x.DataCentre, y.DataCentre),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Reason, y.Reason))
	})
	return c.JSON(http.StatusOK, out)
}

// ceiling returns the limit in the service document for a counter, or zero.
func (s *Server) ceiling(e *accounting.Entry) int64 {
	doc, ok := s.Config.Current().Service(e.Service)
	if !ok || e.Kind != accounting.CrossRegionBytes {
		return 0
	}
	return doc.Ceilings.CrossRegionBytes
}

// UpstreamRow is the status of an upstream as observed by one host.
type UpstreamRow struct {
	Host string `json:"host"`
	routing.Status
}

// Upstreams is the status of the upstreams as observed by each host.
type Upstreams struct {
	Rows    []UpstreamRow      `json:"rows"`
	Missing []timeline.Missing `json:"missing,omitempty"`
}

func (s *Server) listUpstreams(c echo.Context) error {
	own := s.Upstreams()
	if c.QueryParam("scope") == scopeHost {
		return c.JSON(http.StatusOK, own)
	}
	parts := queryHosts(c, s, url.Values{}, own)
	out := Upstreams{Rows: []UpstreamRow{}, Missing: missing(parts)}
	for _, p := range parts {
		for _, st := range p.value {
			if name := c.QueryParam("service"); name == "" || name == st.Service {
				out.Rows = append(out.Rows, UpstreamRow{p.host.Name, st})
			}
		}
	}
	slices.SortFunc(out.Rows, func(x, y UpstreamRow) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Host, y.Host))
	})
	return c.JSON(http.StatusOK, out)
}
