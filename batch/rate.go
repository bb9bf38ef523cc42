package batch

import (
	"time"
)

// completionRate measures the rate at which this host finishes items of a
// service, in windows of rateWindow.
type completionRate struct {
	// count is the number of items finished in the window that began at since.
	since time.Time
	count int
	// perSecond is the rate in the last complete window, valid if measured is
	// set.
	perSecond float64
	measured  bool
}

// countFinished adds a finished item to the rate of its service.
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

// itemsPerSecond returns the rate at which this host finishes items of a service,
// or zero if it is not known yet.
func (d *dispatcher) itemsPerSecond(service string) float64 {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	if r, ok := d.rates[service]; ok && r.measured {
		return r.perSecond
	}
	return 0
}
