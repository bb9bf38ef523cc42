// Package accounting counts what each service and caller costs, with the
// reason.
package accounting

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is what is counted.
type Kind string

// Kinds of cost.
const (
	// PromptTokens and AnswerTokens count tokens of answered requests.
	PromptTokens Kind = "prompt_tokens"
	AnswerTokens Kind = "answer_tokens"
	// WastedTokens count tokens that were generated and thrown away.
	WastedTokens Kind = "wasted_tokens"
	// Requests and Items count answered requests and finished batch items.
	Requests Kind = "requests"
	Items    Kind = "items"
	// Retries count tries after the first; WastedRuns count runs whose result
	// was not used.
	Retries    Kind = "retries"
	WastedRuns Kind = "wasted_runs"
	// CrossRegionBytes count bytes sent between regions.
	CrossRegionBytes Kind = "cross_region_bytes"
	// UnspentBytes count cross-region bytes that were taken from a ceiling and
	// were neither sent nor given back, with the reason.
	UnspentBytes Kind = "unspent_bytes"
)

// Entry is one counter.
type Entry struct {
	Service string `json:"service"`
	Caller  string `json:"caller"`
	Kind    Kind   `json:"kind"`
	// Reason says why, for retries and waste; it may be empty.
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
	b := &Counters{entries: make(map[entryKey]int64), total: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "comfreyspindle_cost_total", Help: "Cost by service, caller, kind and reason.",
	}, []string{"service", "caller", "kind", "reason"})}
	reg.MustRegister(b.total)
	return b
}

// Add counts n under a reason, which may be empty.
func (b *Counters) Add(service, caller string, kind Kind, reason string, n int64) {
	if n == 0 {
		return
	}
	b.total.WithLabelValues(service, caller, string(kind), reason).Add(float64(n))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[entryKey{service, caller, kind, reason}] += n
}

// Entries returns all counters, sorted.
func (b *Counters) Entries() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Entry, 0, len(b.entries))
	for k, n := range b.entries {
		out = append(out, Entry{Service: k.service, Caller: k.caller, Kind: k.kind, Reason: k.reason, Count: n})
	}
	slices.SortFunc(out, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Caller, y.Caller),
			cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Reason, y.Reason))
	})
	return out
}
