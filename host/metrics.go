package host

import "github.com/prometheus/client_golang/prometheus"

// registerGauge registers a gauge whose value is determined when the metrics are read.
func (h *Host) registerGauge(name, help string, labels prometheus.Labels, value func() float64) {
	h.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, value))
}

// registerCounter registers a counter whose value is determined when the metrics are read.
func (h *Host) registerCounter(name, help string, labels prometheus.Labels, value func() float64) {
	h.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value))
}
