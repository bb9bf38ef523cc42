package backlog

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of the limits of waiting tokens.
type Metrics struct {
	waiting, limit *prometheus.GaugeVec
	refused        prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "comfreyspindle_jobs_waiting_tokens", Help: "Tokens of batch items that waited on a route at this host's last count.",
		}, []string{"route"}),
		limit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "comfreyspindle_jobs_waiting_tokens_limit", Help: "Limit of the tokens that may wait on a route.",
		}, []string{"route"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfreyspindle_jobs_over_limit_total", Help: "Jobs refused because too many tokens waited on their route.",
		}),
	}
	reg.MustRegister(m.waiting, m.limit, m.refused)
	return m
}

// observe sets the gauges of a route. Queues of customers have none: there may be thousands.
func (m *Metrics) observe(req Request, waiting, limit int64) {
	if req.Customer != "" {
		return
	}
	route := req.route()
	m.waiting.WithLabelValues(route).Set(float64(waiting))
	m.limit.WithLabelValues(route).Set(float64(limit))
}
