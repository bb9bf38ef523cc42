package jobs

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
)

// Metrics are the metrics of batch jobs.
type Metrics struct {
	runs    *prometheus.CounterVec
	flush   prometheus.Histogram
	backlog *backlog.Metrics
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		backlog: backlog.NewMetrics(reg),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_jobs_runs_total", Help: "Runs of items by how they ended.",
		}, []string{"end"}),
		flush: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfreyspindle_jobs_record_seconds", Help: "Time to record results.",
			Buckets: []float64{.005, .01, .02, .05, .1, .3, 1, 3},
		}),
	}
	reg.MustRegister(m.runs, m.flush)
	return m
}
