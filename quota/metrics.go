package quota

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxLabels bounds the customers that the metrics name.
const maxLabels = 10

// otherCustomers is the label of all customers that the metrics don't name.
const otherCustomers = "other"

// Metrics holds the metrics of quotas.
type Metrics struct {
	requests  *prometheus.CounterVec
	exchanges *prometheus.CounterVec
	changes   prometheus.Counter
	share     prometheus.Gauge

	mu sync.Mutex
	// labelled holds the largest customers that sent requests, with their rates.
	labelled map[string]float64
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_quota_requests_total", Help: "Requests that needed a token, by customer and whether they were admitted or refused.",
		}, []string{"customer", "outcome"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_quota_exchanges_total", Help: "Exchanges with allocators, by outcome.",
		}, []string{"outcome"}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfreyspindle_quota_allocator_changes_total", Help: "Changes of the allocator that this broker uses.",
		}),
		share: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "comfreyspindle_quota_allocator_share", Help: "The part of the limits that this host grants as allocator.",
		}),
		labelled: make(map[string]float64),
	}
	reg.MustRegister(m.requests, m.exchanges, m.changes, m.share)
	return m
}

// count counts a request of a customer with a rate.
func (m *Metrics) count(name string, rate float64, admitted bool) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	m.requests.WithLabelValues(m.label(name, rate), outcome).Inc()
}

// label returns the label of a customer. A customer that is larger than one of those
// with a label of their own takes its place.
func (m *Metrics) label(name string, rate float64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.labelled[name]; ok {
		return name
	}
	if len(m.labelled) < maxLabels {
		m.labelled[name] = rate
		return name
	}
	smallest := name
	for other, r := range m.labelled {
		if r < rate && (smallest == name || r < m.labelled[smallest]) {
			smallest = other
		}
	}
	if smallest == name {
		return otherCustomers
	}
	delete(m.labelled, smallest)
	m.requests.DeletePartialMatch(prometheus.Labels{"customer": smallest})
	m.labelled[name] = rate
	return name
}
