package replica

import (
	"math"
	"time"
)

const (
	// loadRetention is how long an observed load is kept without another one.
	loadRetention = time.Minute
	// minSlowness and maxSlowness bound the slowness that a replica may have. Figures
	// beyond them are faults of the replica.
	minSlowness, maxSlowness = 0.1, 50
	// maxLoadRequests bounds the number of requests that a replica may hold.
	maxLoadRequests = 1 << 16
)

// Load is what a response of a replica says about how busy the replica is.
type Load struct {
	// Running and Waiting are the numbers of requests that it runs and that wait there.
	Running, Waiting int
	// Slowness is how long work takes there at this moment; 1 is normal.
	Slowness float64
	// HeadAfter is the time from the request to the headers of its response.
	HeadAfter time.Duration
	// At is when the response arrived.
	At time.Time
}

// Plausible reports whether a replica can have this load.
func (l Load) Plausible() bool {
	return !math.IsNaN(l.Slowness) && l.Slowness >= minSlowness && l.Slowness <= maxSlowness &&
		l.Running >= 0 && l.Running <= maxLoadRequests && l.Waiting >= 0 && l.Waiting <= maxLoadRequests && l.HeadAfter >= 0
}

// ObservedLoad is the load of one incarnation of a replica.
type ObservedLoad struct {
	Replica Replica
	Load    Load
}

// ObserveLoad records what a response of a replica says about its load. The latest
// incarnation and the latest observation count; implausible ones change nothing.
func (v *View) ObserveLoad(r Replica, l Load) {
	known, ok := v.loads[r.ID]
	if !l.Plausible() || ok && (r.Born < known.Replica.Born || r.Born == known.Replica.Born && l.At.Before(known.Load.At)) {
		return
	}
	for id, other := range v.loads {
		if l.At.Sub(other.Load.At) > loadRetention {
			delete(v.loads, id)
		}
	}
	v.loads[r.ID] = ObservedLoad{r, l}
}

// LoadsSince returns the loads of the replicas of a data centre that were observed after
// the given time.
func (v *View) LoadsSince(since time.Time, dataCentre string) []ObservedLoad {
	var loads []ObservedLoad
	for _, l := range v.loads {
		if l.Replica.DataCentre == dataCentre && l.Load.At.After(since) {
			loads = append(loads, l)
		}
	}
	return loads
}
