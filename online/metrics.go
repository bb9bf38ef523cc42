package online

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Metrics holds the metrics of online requests.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_requests_total", Help: "Requests by service, caller, class and outcome.",
		}, []string{"service", "caller", "class", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyspindle_request_seconds", Help: "Time to the end of a request.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 16),
		}, []string{"service", "class"}),
	}
	reg.MustRegister(m.requests, m.duration)
	return m
}

func (m *Metrics) observe(req *Request, d time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(verdict.As(err).Code)
	}
	m.requests.WithLabelValues(req.Doc.Name, req.Caller, req.Class.Name, outcome).Inc()
	m.duration.WithLabelValues(req.Doc.Name, req.Class.Name).Observe(d.Seconds())
}
