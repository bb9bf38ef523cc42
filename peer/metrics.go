package peer

import "github.com/prometheus/client_golang/prometheus"

// Values of the side label.
const (
	sideClient = "client"
	sideServer = "server"
)

// Values of the outcome label: what became of a connection that was found silent. Nothing
// arrived on it any more, something arrived late, or no other could be opened.
const (
	outcomeSilent      = "silent"
	outcomeLate        = "late"
	outcomeNotReplaced = "not_replaced"
)

// Metrics counts the messages and bytes of calls by method, side and direction, and silent
// connections. A nil Metrics counts nothing.
type Metrics struct {
	calls  *prometheus.CounterVec
	bytes  *prometheus.CounterVec
	silent *prometheus.CounterVec
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
		silent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyspindle_peer_silent_connections_total", Help: "Connections between hosts that were found silent, by what became of them.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.calls, m.bytes, m.silent)
	return m
}

// connectionSilent counts a connection that was found silent.
func (m *Metrics) connectionSilent(outcome string) {
	if m != nil {
		m.silent.WithLabelValues(outcome).Inc()
	}
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
