package forward

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Metrics holds the metrics of online requests.
type Metrics struct {
	firstByte prometheus.Histogram
	retries   prometheus.Counter
	requests  *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfreyspindle_forward_first_byte_seconds", Help: "Time to the first byte of an answer.",
			Buckets: []float64{.01, .02, .04, .08, .15, .3, .6, 1.2, 2.5, 5},
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfreyspindle_forward_repeats_total", Help: "Further attempts of requests.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_forward_requests_total", Help: "Requests by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.firstByte, m.retries, m.requests)
	return m
}

// countRequest counts a finished request by its outcome: answered, cut, or the
// verdict of its error.
func (m *Metrics) countRequest(err error) {
	outcome := "answered"
	switch {
	case err == nil:
	case errors.Is(err, ErrTruncated):
		outcome = "cut"
	default:
		outcome = verdict.Of(err).String()
	}
	m.requests.WithLabelValues(outcome).Inc()
}
