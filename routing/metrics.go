package routing

import "github.com/prometheus/client_golang/prometheus"

// inFlightDesc describes the host's own requests in flight per upstream, with
// batch items counted separately.
var inFlightDesc = prometheus.NewDesc("comfreyspindle_upstream_in_flight",
	"The host's own requests in flight.", []string{"service", "upstream", "kind"}, nil)

var _ prometheus.Collector = (*LoadAware)(nil)

// Describe implements prometheus.Collector.
func (b *LoadAware) Describe(out chan<- *prometheus.Desc) { out <- inFlightDesc }

// Collect implements prometheus.Collector.
func (b *LoadAware) Collect(out chan<- prometheus.Metric) {
	for _, s := range b.Statuses() {
		if !s.Subset {
			continue
		}
		out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.Online), s.Service, s.Name, "online")
		out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.Batch), s.Service, s.Name, "batch")
	}
}
