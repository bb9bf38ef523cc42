package routing

import (
	"math"
	"time"
)

// movingAverage is an exponentially weighted mean over time.
type movingAverage struct {
	value     float64
	updatedAt time.Time
}

// add moves the mean towards x; the time since the last addition and the time
// constant give the weight. The first addition sets the mean.
func (a *movingAverage) add(x float64, now time.Time, timeConstant time.Duration) {
	if a.updatedAt.IsZero() {
		a.value, a.updatedAt = x, now
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(a.updatedAt))/float64(timeConstant))
	a.value += weight * (x - a.value)
	a.updatedAt = now
}
