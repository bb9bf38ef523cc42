package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyspindle/comfreyspindle/intake"
)

// Parts of the machine's limits that connections and requests may use. With pendingWriteFraction
// and unfinishedFraction those of the memory add up to less than 0.8: the rest is for the process
// itself.
const (
	// intakeFraction is the part of the memory limit that heads and bodies may use until their
	// requests have been answered.
	intakeFraction = 0.2
	// peerIntakeFraction is the part that large messages of other hosts may use.
	peerIntakeFraction = 0.0625
	// jobsFraction is the part that the bodies of jobs may use.
	jobsFraction = 0.15
	// connectionMemoryFraction is the part of the memory limit that callers' connections may
	// use, and connectionBytes what one takes without a request.
	connectionMemoryFraction = 0.125
	connectionBytes          = 16 << 10
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// callersFraction and peersFraction are the parts of the other descriptors that
	// connections of callers and of other hosts may use, and tunnelsFraction that of tunnels,
	// which take descriptorsPerTunnel each. The rest is for connections to replicas, to the
	// store and to other hosts.
	callersFraction      = 0.4
	peersFraction        = 0.25
	tunnelsFraction      = 0.2
	descriptorsPerTunnel = 2
	// maxOperatorConnections bounds the connections of operators, and those of the load
	// balancer.
	maxOperatorConnections = 32
)

// maxCallerConnections returns how many connections callers may have open by the limits of the
// machine, or zero if it has none.
func maxCallerConnections(memoryBytes int64, descriptors int) int {
	byMemory := int(connectionMemoryFraction * float64(memoryBytes) / connectionBytes)
	byDescriptors := descriptorShare(callersFraction, descriptors)
	if byMemory == 0 || byDescriptors == 0 {
		return max(byMemory, byDescriptors)
	}
	return min(byMemory, byDescriptors)
}

// descriptorShare returns a part of the descriptors that are not reserved, at least 1, or zero if
// their number is not known.
func descriptorShare(fraction float64, descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(int(fraction*float64(descriptors-reservedDescriptors)), 1)
}

// provisionIntake bounds what callers' requests may hold while they arrive.
func (h *Host) provisionIntake() {
	h.intake = intake.NewBudget(int64(intakeFraction*float64(h.settings.MemoryBytes)), h.clock, h.log)
	h.registerGauge("comfreyspindle_intake_bytes", "Bytes of heads and bodies of callers' requests that are held.",
		nil, func() float64 { return float64(h.intake.Counts().Used) })
	h.registerCounter("comfreyspindle_intake_refused_total", "Requests that were refused since others used up the memory for heads and bodies.",
		nil, func() float64 { return float64(h.intake.Counts().Refused) })
	h.registerCounter("comfreyspindle_intake_dropped_total", "Requests that stalled and were dropped for others.",
		nil, func() float64 { return float64(h.intake.Counts().Dropped) })
}

// registerConnectionMetrics reports the connections of a listener.
func (h *Host) registerConnectionMetrics(l *listener) {
	labels := prometheus.Labels{"listener": l.name}
	h.registerGauge("comfreyspindle_connections", "Open connections of a listener.",
		labels, func() float64 { open, _, _ := l.inner.counts(); return float64(open) })
	h.registerCounter("comfreyspindle_connections_closed_for_others_total", "Connections that were closed since there were as many as there may be.",
		labels, func() float64 { _, closed, _ := l.inner.counts(); return float64(closed) })
	h.registerCounter("comfreyspindle_connections_refused_total", "Connections that were refused since there were as many as there may be.",
		labels, func() float64 { _, _, refused := l.inner.counts(); return float64(refused) })
}
