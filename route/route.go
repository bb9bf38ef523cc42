// Package route holds the routes in force: which service a request goes to and
// what may be done with it.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated and how an answer is delivered.
type Kind uint8

// Kinds.
const (
	// AtMostOnce requests run once at most.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They may be repeated
	// only where the route is resumable.
	Stream
	// Batch routes take jobs.
	Batch
)

// Target is one service of a route.
type Target struct {
	Service string
	// Weight is the service's part of the requests; zero takes none.
	Weight int
}

// Route says how requests of one host name and path prefix are handled.
type Route struct {
	Name string
	// Host and Prefix select the requests; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Targets are never empty.
	Targets []Target
	// Timeout bounds the time to a complete answer; zero is unbounded.
	Timeout time.Duration
	// Objective is the time to the first byte, or to the acceptance of a job.
	Objective time.Duration
	// MaxGap is the longest pause between events that callers accept.
	MaxGap time.Duration
	// MaxAttempts bounds the replicas that may run one request, or the failed
	// attempts of an item of a job.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Resumable streams may be continued on another replica.
	Resumable bool
	// RunTarget is when a job's results are due and Retention how long its
	// items are kept trying, both after its first submission.
	RunTarget, Retention time.Duration
}

// Repeatable reports whether a request may be sent again although it may have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, by the weights of the targets.
// One id always gets the same service.
func (r *Route) Service(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns bounds the connections to one replica, of all hosts.
	MaxConns int
}

// Limits bound what a caller may send. Zero is unbounded.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	routes  map[string][]*Route
	// services are by name.
	services map[string]Service
}

// NewTable returns a table of the given routes and services.
func NewTable(version int64, limits Limits, routes []*Route, services []Service) *Table {
	t := &Table{Version: version, Limits: limits, routes: make(map[string][]*Route), services: make(map[string]Service)}
	for _, r := range routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, of := range t.routes {
		slices.SortStableFunc(of, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.of(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHost reports whether any route has the host.
func (t *Table) HasHost(host string) bool { return len(t.of(host)) > 0 }

// of returns the routes of a host, which may be given with its port.
func (t *Table) of(host string) []*Route {
	if of, ok := t.routes[host]; ok {
		return of
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	return t.routes[name]
}

// ServiceOf returns what the configuration says of a service.
func (t *Table) ServiceOf(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
