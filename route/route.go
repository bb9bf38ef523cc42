// Package route holds the configured routes: which service serves a request and
// what may be done with the request.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Kind determines whether requests may be repeated and how a response is
// delivered.
type Kind uint8

// The kinds.
const (
	// AtMostOnce requests run at most once.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a series of events. They may be
	// repeated only if the route is resumable.
	Stream
	// Batch routes accept jobs.
	Batch
)

// Target is one service of a route.
type Target struct {
	Service string
	// Weight is the service's share of the requests, relative to the weights of
	// the other targets; zero takes none.
	Weight int
}

// maxWeight bounds the weight of a target in either direction, so that sums don't overflow.
const maxWeight = 1 << 32

// weight returns the weight as it counts.
func (t Target) weight() int { return min(max(t.Weight, -maxWeight), maxWeight) }

// Route describes how requests with one host name and path prefix are handled.
type Route struct {
	Name string
	// Host and Prefix select the requests. Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Targets is never empty.
	Targets []Target
	// Timeout bounds the time to a complete response; zero means no bound.
	Timeout time.Duration
	// Objective is the target time to the first byte, or to the acceptance of a
	// job.
	Objective time.Duration
	// MaxGap is the longest time between two events that callers accept.
	MaxGap time.Duration
	// MaxAttempts bounds the replicas that may run one request, or the failed
	// attempts of an item of a job.
	MaxAttempts int
	// Priority orders requests that wait for a slot; 0 is the highest.
	Priority int
	// Resumable reports that a stream may be continued on another replica.
	Resumable bool
	// RunTarget is the time until a job's results are due, and Retention the
	// time for which its unfinished items are retried, both from its first
	// submission.
	RunTarget, Retention time.Duration
	// MaxWaitingTokens bounds the tokens of items that wait on a batch route, over
	// all hosts; zero means no bound.
	MaxWaitingTokens int64
	// Public reports that requests need no key, though the configuration has customers.
	Public bool
}

// Repeatable reports whether a request may be sent again even if it may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// HasOneService reports whether all requests of the route go to the same service.
func (r *Route) HasOneService() bool {
	service := ""
	for _, t := range r.Targets {
		if t.weight() <= 0 {
			continue
		}
		if service != "" && t.Service != service {
			return false
		}
		service = t.Service
	}
	return true
}

// Service returns the service for a request, chosen by the weights of the
// targets. The same ID always gets the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.weight()
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at < t.weight() {
			return t.Service
		}
		at -= t.weight()
	}
	return r.Targets[0].Service
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns bounds the connections of all hosts to one replica.
	MaxConns int
}

// Limits bounds what callers may send. Zero means no bound.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to receive the headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Table is one version of the routes and services. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	// Customers holds the customers; it is empty if requests carry no keys.
	Customers *customer.Directory
	routes    map[string][]*Route
	// services holds the services by name.
	services map[string]Service
}

// NewTable returns a table of the given routes and services.
func NewTable(version int64, limits Limits, routes []*Route, services []Service) *Table {
	t := &Table{Version: version, Limits: limits, routes: make(map[string][]*Route), services: make(map[string]Service)}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, hostRoutes := range t.routes {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Replaces reports whether the table comes into force where the other one, which may be
// nil, is in force: its version must be newer.
func (t *Table) Replaces(other *Table) bool { return other == nil || t.Version > other.Version }

// Match returns the host's route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hostRoutes(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHost reports whether there are routes for the host.
func (t *Table) HasHost(host string) bool { return len(t.hostRoutes(host)) > 0 }

// HasCustomers reports whether the configuration has customers, so that requests need
// keys. A nil table has none.
func (t *Table) HasCustomers() bool { return t != nil && !t.Customers.Empty() }

// PublicBatch reports whether a host has batch routes and all of them are public.
func (t *Table) PublicBatch(host string) bool {
	public := false
	for _, r := range t.hostRoutes(host) {
		if r.Kind != Batch {
			continue
		}
		if !r.Public {
			return false
		}
		public = true
	}
	return public
}

// hostRoutes returns the routes of a host, which may include a port.
func (t *Table) hostRoutes(host string) []*Route {
	if hostRoutes, ok := t.routes[host]; ok {
		return hostRoutes
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	return t.routes[name]
}

// ServiceOf returns the configuration of a service.
func (t *Table) ServiceOf(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
