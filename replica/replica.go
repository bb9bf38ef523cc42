// Package replica holds what a host knows of the replicas of services, from the
// records that the replicas keep in the platform's store.
package replica

import (
	"maps"
	"time"
)

// Replica is one incarnation of a replica.
type Replica struct {
	ID      string
	Service string
	// Address is its IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at one time.
	Slots int
	// Ready is false while the replica is leaving.
	Ready bool
	// Born is when it started, in milliseconds of Unix time.
	Born int64
}

// Change is a new record of a replica; a nil Replica is its removal.
type Change struct {
	ID      string
	Replica *Replica
}

// reappearTime is how long after an outage of the store a record that lapsed
// meanwhile may take to come back.
const reappearTime = 2 * time.Second

// View is a set of replicas by id. It keeps a replica whose record lapsed while
// the store was away until its record had time to come back. It is not safe
// for concurrent use.
type View struct {
	known map[string]Replica
	// missing holds when the replicas without a record are given up.
	missing map[string]time.Time
	// left holds the starts of the replicas that said that they leave. The
	// store may show an older record again.
	left map[string]int64
	// outageEnd is when the store was last seen to be back.
	outageEnd time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{known: make(map[string]Replica), missing: make(map[string]time.Time), left: make(map[string]int64)}
}

// SetOutageEnd says that the store was away until now.
func (v *View) SetOutageEnd(now time.Time) { v.outageEnd = now }

// Replace takes a complete listing.
func (v *View) Replace(now time.Time, listed []Replica) {
	seen := make(map[string]struct{}, len(listed))
	for _, r := range listed {
		seen[r.ID] = struct{}{}
		v.put(r)
	}
	for id := range v.known {
		if _, ok := seen[id]; !ok {
			v.remove(now, id)
		}
	}
}

// ReplaceFromPeer takes a listing of a neighbour whose view is up to date: what it leaves
// out is gone.
func (v *View) ReplaceFromPeer(listed []Replica) {
	clear(v.known)
	clear(v.missing)
	for _, r := range listed {
		v.put(r)
	}
}

// Apply takes changes in order.
func (v *View) Apply(now time.Time, changes []Change) {
	for _, c := range changes {
		if c.Replica == nil {
			v.remove(now, c.ID)
			continue
		}
		v.put(*c.Replica)
	}
}

// put takes a record. Leaving holds until the replica starts again, and a
// record of an earlier start is out of date.
func (v *View) put(r Replica) {
	if r.Born < v.known[r.ID].Born {
		return
	}
	born, leaving := v.left[r.ID]
	switch {
	case !r.Ready:
		v.left[r.ID] = r.Born
	case leaving && r.Born <= born:
		r.Ready = false
	case leaving:
		delete(v.left, r.ID)
	}
	v.known[r.ID] = r
	delete(v.missing, r.ID)
}

func (v *View) remove(now time.Time, id string) {
	if _, ok := v.known[id]; !ok {
		return
	}
	until := v.outageEnd.Add(reappearTime)
	if !now.Before(until) {
		delete(v.known, id)
		delete(v.missing, id)
		return
	}
	if _, waits := v.missing[id]; !waits {
		v.missing[id] = until
	}
}

// Expire removes the replicas whose records did not come back in time. It
// reports whether any was removed and when the next is due; zero is never.
func (v *View) Expire(now time.Time) (removed bool, next time.Time) {
	for id, until := range v.missing {
		if now.Before(until) {
			if next.IsZero() || until.Before(next) {
				next = until
			}
			continue
		}
		delete(v.known, id)
		delete(v.missing, id)
		removed = true
	}
	return removed, next
}

// Snapshot returns a copy of the replicas by id.
func (v *View) Snapshot() map[string]Replica { return maps.Clone(v.known) }
