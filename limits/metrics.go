package limits

import "github.com/prometheus/client_golang/prometheus"

// Descriptors of the admission metrics, each labelled with the service.
var (
	runningDesc = prometheus.NewDesc("comfreyspindle_admission_running", "Admitted requests that run.", []string{"service"}, nil)
	limitDesc   = prometheus.NewDesc("comfreyspindle_admission_limit", "Requests that may run.", []string{"service"}, nil)
	waitingDesc = prometheus.NewDesc("comfreyspindle_admission_waiting", "Requests that wait.", []string{"service"}, nil)
)

var _ prometheus.Collector = (*FairQueue)(nil)

// Describe implements prometheus.Collector.
func (f *FairQueue) Describe(out chan<- *prometheus.Desc) {
	out <- runningDesc
	out <- limitDesc
	out <- waitingDesc
}

// Collect implements prometheus.Collector.
func (f *FairQueue) Collect(out chan<- prometheus.Metric) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, q := range f.queues {
		q.mu.Lock()
		running, limit, waiting := q.running, q.limit, q.waiting
		q.mu.Unlock()
		out <- prometheus.MustNewConstMetric(runningDesc, prometheus.GaugeValue, float64(running), name)
		out <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(limit), name)
		out <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(waiting), name)
	}
}
