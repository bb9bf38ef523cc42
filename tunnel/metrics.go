package tunnel

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts tunnels. Nil counts nothing.
type Metrics struct {
	opened, served *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_tunnels_requested_total", Help: "Tunnels to replicas that this host requested from other hosts, by outcome.",
		}, []string{"outcome"}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_tunnels_served_total", Help: "Tunnels to replicas that other hosts requested from this host, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.opened, m.served)
	return m
}

func (m *Metrics) count(err error) {
	if m == nil {
		return
	}
	outcome := "failed"
	for name, of := range map[string]error{"unreachable": errUnreachable, "cut_off": errCutOff, "busy": errBusy, "unknown": errUnknown, "leaving": errLeaving, "no_reply": errNoReply} {
		if errors.Is(err, of) {
			outcome = name
		}
	}
	if err == nil {
		outcome = "connected"
	}
	m.opened.WithLabelValues(outcome).Inc()
}

func (m *Metrics) countServed(s status) {
	if m == nil {
		return
	}
	m.served.WithLabelValues(s.String()).Inc()
}
