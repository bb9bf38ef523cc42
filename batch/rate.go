package batch

import (
	"time"
)

// completionRate counts the finished items of a service.
type completionRate struct {
	since     time.Time
	count     int
	perSecond float64
	measured  bool
}

// countFinished notes a finished item for the rate.
func (d *dispatcher) countFinished(service string) {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	r, ok := d.rates[service]
	now := d.manager.o.Clock.Now()
	if !ok {
		r = &completionRate{since: now}
		d.rates[service] = r
	}
	r.count++
	if elapsed := now.Sub(r.since); elapsed >= rateWindow {
		r.perSecond, r.measured = float64(r.count)/elapsed.Seconds(), true
		r.since, r.count = now, 0
	}
}

// itemsPerSecond returns the items a second that this host finishes; zero is unknown.
func (d *dispatcher) itemsPerSecond(service string) float64 {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	if r, ok := d.rates[service]; ok && r.measured {
		return r.perSecond
	}
	return 0
}
