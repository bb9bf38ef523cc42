package host

import "github.com/comfreyspindle/comfreyspindle/intake"

// intakeFraction is the part of the memory limit that heads and bodies may use until their
// requests have been answered.
const intakeFraction = 0.25

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
