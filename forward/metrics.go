package forward

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Metrics are the metrics of online requests.
type Metrics struct {
	firstByte prometheus.Histogram
	retried   prometheus.Counter
	ended     *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfreyspindle_forward_first_byte_seconds", Help: "Time to the first byte of an answer.",
			Buckets: []float64{.01, .02, .04, .08, .15, .3, .6, 1.2, 2.5, 5},
		}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfreyspindle_forward_repeats_total", Help: "Further attempts of requests.",
		}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_forward_requests_total", Help: "Requests by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.firstByte, m.retried, m.ended)
	return m
}

// count counts the end of a request: answered, cut, or failed with a verdict.
func (m *Metrics) count(err error) {
	outcome := "answered"
	switch {
	case err == nil:
	case errors.Is(err, ErrTruncated):
		outcome = "cut"
	default:
		outcome = verdict.Of(err).String()
	}
	m.ended.WithLabelValues(outcome).Inc()
}
