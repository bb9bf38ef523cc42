// Package accounting counts the cost of requests, batch items and retries by
// service, caller, kind and reason.
package accounting

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is a kind of cost.
type Kind string

// Kinds of cost.
const (
	// PromptTokens and AnswerTokens count the input and output tokens of
	// answered requests.
	PromptTokens Kind = "prompt_tokens"
	AnswerTokens Kind = "answer_tokens"
	// WastedTokens counts tokens that were generated and discarded.
	WastedTokens Kind = "wasted_tokens"
	// Requests and Items count answered requests and finished batch items.
	Requests Kind = "requests"
	Items    Kind = "items"
	// Retries counts attempts after the first, WastedRuns counts runs whose
	// result was not used.
	Retries    Kind = "retries"
	WastedRuns Kind = "wasted_runs"
	// CrossRegionBytes counts bytes sent between regions.
	CrossRegionBytes Kind = "cross_region_bytes"
	// UnspentBytes counts cross-region bytes that were reserved from a ceiling
	// and neither sent nor returned, by reason.
	UnspentBytes Kind = "unspent_bytes"
)

// Entry is the value of one counter.
type Entry struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	Kind    Kind   `json:"kind"`
	// Reason is the reason of a retry or of wasted work; it may be empty.
	Reason string `json:"reason,omitempty"`
	Count  int64  `json:"count"`
}

type entryKey struct {
	service, caller string
	kind            Kind
	reason          string
}

// Counters are the cost counters of one host. They are safe for concurrent use.
type Counters struct {
	total *prometheus.CounterVec

	mu      sync.Mutex
	entries map[entryKey]int64
}

// NewCounters returns counters that are registered as metrics with reg.
func NewCounters(reg prometheus.Registerer) *Counters {
	c := &Counters{entries: make(map[entryKey]int64), total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "comfreyspindle_cost_total", Help: "Cost by service, caller, kind and reason.",
	}, []string{"service", "caller", "kind", "reason"})}
	reg.MustRegister(c.total)
	return c
}

// Add adds n to a counter. The reason may be empty.
func (c *Counters) Add(service, caller string, kind Kind, reason string, n int64) {
	if n == 0 {
		return
	}
	c.total.WithLabelValues(service, caller, string(kind), reason).Add(float64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[entryKey{service, caller, kind, reason}] += n
}

// Entries returns all counters, sorted by service, caller, kind and reason.
func (c *Counters) Entries() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Entry, 0, len(c.entries))
	for k, n := range c.entries {
		out = append(out, Entry{Service: k.service, Caller: k.caller, Kind: k.kind, Reason: k.reason, Count: n})
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Caller, y.Caller),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Reason, y.Reason))
	})
	return out
}
