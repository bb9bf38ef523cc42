package suite

import (
	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/fleet"
)

// cost sums a kind of cost over all hosts.
func (s *system) cost(kind accounting.Kind) int64 {
	var n int64
	for _, h := range s.Hosts {
		n += costOf(h, kind)
	}
	return n
}

func costOf(h *fleet.Host, kind accounting.Kind) int64 {
	var n int64
	for _, e := range h.Node.Costs().Entries() {
		if e.Kind == kind {
			n += e.Count
		}
	}
	return n
}

// wastedTokens are generated tokens that were thrown away.
func (s *system) wastedTokens() int64 { return s.cost(accounting.WastedTokens) }

// metricPeerBytes counts the bytes of calls between hosts.
const metricPeerBytes = "comfreyspindle_peer_bytes_total"

// peerBytes returns the bytes that all hosts have sent to peers.
func (s *system) peerBytes() float64 {
	sum := 0.0
	for _, h := range s.Hosts {
		sum += sentBytes(h)
	}
	return sum
}

// sentBytes returns the bytes that one host has sent to peers.
func sentBytes(h *fleet.Host) float64 {
	families, err := h.Node.Metrics().Gather()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() != metricPeerBytes {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == "sent" {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}
