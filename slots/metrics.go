package slots

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Metrics holds the metrics of a broker.
type Metrics struct {
	slotSeconds *prometheus.CounterVec
	largest     customer.Largest
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{slotSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "comfreyspindle_customer_slot_seconds_total",
		Help: "Time for which requests and batch items used slots that this host granted, by customer.",
	}, []string{"customer", "class"})}
	reg.MustRegister(m.slotSeconds)
	return m
}

// SetMetrics sets the metrics. It must be called before the broker is used.
func (b *Broker) SetMetrics(m *Metrics) { b.sched.onUse = m.countUse }

// countUse counts the slot time of a grant that has ended.
func (m *Metrics) countUse(now time.Time, name string, class Class, used time.Duration) {
	label, replaced := m.largest.Add(now, name, used.Seconds())
	if replaced != "" {
		m.slotSeconds.DeletePartialMatch(prometheus.Labels{"customer": replaced})
	}
	m.slotSeconds.WithLabelValues(label, class.label()).Add(used.Seconds())
}

// label returns the label of the class in metrics.
func (c Class) label() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}
