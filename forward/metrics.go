package forward

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Metrics holds the metrics of online requests.
type Metrics struct {
	firstByte prometheus.Histogram
	retries   prometheus.Counter
	requests  *prometheus.CounterVec
	// byCustomer counts the requests of the largest customers.
	byCustomer *prometheus.CounterVec
	largest    customer.Largest
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
		byCustomer: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_customer_requests_total", Help: "Requests by customer and outcome: answered, cut, or the code of the error.",
		}, []string{"customer", "outcome"}),
	}
	reg.MustRegister(m.firstByte, m.retries, m.requests, m.byCustomer)
	return m
}

// countRequest counts a finished request by its outcome: answered, cut, or the
// verdict of its error, and by the customer that sent it, if it is known.
func (m *Metrics) countRequest(now time.Time, name string, err error) {
	outcome, code := outcomeAnswered, outcomeAnswered
	switch {
	case err == nil:
	case errors.Is(err, ErrTruncated):
		outcome, code = outcomeCut, outcomeCut
	default:
		e := verdict.As(err)
		outcome, code = e.Verdict.String(), string(e.Code)
	}
	m.requests.WithLabelValues(outcome).Inc()
	if name == "" {
		return
	}
	label, replaced := m.largest.Add(now, name, 1)
	if replaced != "" {
		m.byCustomer.DeletePartialMatch(prometheus.Labels{"customer": replaced})
	}
	m.byCustomer.WithLabelValues(label, code).Inc()
}

// Outcomes of requests that replicas answered, in whole or in part.
const (
	outcomeAnswered = "answered"
	outcomeCut      = "cut"
)
