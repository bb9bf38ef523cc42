package peer

import "github.com/prometheus/client_golang/prometheus"

// Values of the side label.
const (
	sideClient = "client"
	sideServer = "server"
)

// Metrics counts the messages and bytes of calls by method, side and direction.
// A nil Metrics counts nothing.
type Metrics struct {
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

// NewMetrics registers the metrics of calls between hosts.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_peer_calls_total", Help: "Messages of calls between hosts.",
		}, []string{"method", "side", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_peer_bytes_total", Help: "Bytes of calls between hosts, before encryption.",
		}, []string{"method", "side", "direction"}),
	}
	r.MustRegister(m.calls, m.bytes)
	return m
}

func (m *Metrics) sent(method, side string, bytes int64) { m.count(method, side, "sent", bytes) }

func (m *Metrics) received(method, side string, bytes int64) {
	m.count(method, side, "received", bytes)
}

func (m *Metrics) count(method, side, direction string, bytes int64) {
	if m == nil {
		return
	}
	m.calls.WithLabelValues(method, side, direction).Inc()
	m.bytes.WithLabelValues(method, side, direction).Add(float64(bytes))
}
