package routing

import (
	"math"
	"time"
)

// average is an exponentially weighted mean over time.
type average struct {
	value float64
	at    time.Time
}

// add moves the mean towards x; the time since the last addition and the time
// constant give the weight. The first addition sets the mean.
func (a *average) add(x float64, now time.Time, constant time.Duration) {
	if a.at.IsZero() {
		a.value, a.at = x, now
		return
	}
	gain := 1 - math.Exp(-float64(now.Sub(a.at))/float64(constant))
	a.value += gain * (x - a.value)
	a.at = now
}
