package routing

import (
	"math"
	"time"
)

// movingAverage is an exponentially weighted moving average over irregular
// intervals.
type movingAverage struct {
	value     float64
	updatedAt time.Time
}

// add moves the average towards x, the further the more time has passed since
// the last addition relative to the time constant. The first addition sets the
// average.
func (a *movingAverage) add(x float64, now time.Time, timeConstant time.Duration) {
	if a.updatedAt.IsZero() {
		a.value, a.updatedAt = x, now
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(a.updatedAt))/float64(timeConstant))
	a.value += weight * (x - a.value)
	a.updatedAt = now
}
