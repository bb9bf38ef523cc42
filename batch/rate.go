package batch

import (
	"time"
)

// rate counts the finished items of a service.
type rate struct {
	since    time.Time
	count    int
	perSec   float64
	measured bool
}

// count notes a finished item for the rate.
func (d *dispatcher) count(service string) {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	r, ok := d.rates[service]
	now := d.manager.o.Clock.Now()
	if !ok {
		r = &rate{since: now}
		d.rates[service] = r
	}
	r.count++
	if elapsed := now.Sub(r.since); elapsed >= rateTime {
		r.perSec, r.measured = float64(r.count)/elapsed.Seconds(), true
		r.since, r.count = now, 0
	}
}

// rate returns the items a second that this host finishes; zero is unknown.
func (d *dispatcher) rate(service string) float64 {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	if r, ok := d.rates[service]; ok && r.measured {
		return r.perSec
	}
	return 0
}
