// Package replica keeps the set of replicas of all services that a host knows,
// from the records that the replicas keep in the platform's store.
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
	// SoftwareVersion is the version of its software. Replicas of several versions
	// may serve in one service; their outputs can't be joined.
	SoftwareVersion string
}

// Change is a new record of a replica. A nil Replica means that the record was
// removed.
type Change struct {
	ID      string
	Replica *Replica
}

// reappearTimeout is how long after an outage of the store a record that
// expired meanwhile may take to be written again.
const reappearTimeout = 2 * time.Second

// View is a set of replicas by ID. A replica whose record expired while the
// store was unavailable stays in the set until its record had time to be
// written again. A View is not safe for concurrent use.
type View struct {
	replicas map[string]Replica
	// missingUntil holds the time at which a replica without a record is
	// removed.
	missingUntil map[string]time.Time
	// leaving holds the replicas that announced to leave, by ID. The store may
	// return an older record afterwards.
	leaving map[string]leavingMark
	// rateLimits holds the replicas that have ever named a rate limit, by ID.
	rateLimits map[string]rateLimitMark
	// loads holds the last load of each replica that states how slow it is, by ID.
	loads map[string]ObservedLoad
	// outageEnd is when the store was last found available again.
	outageEnd time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		replicas: make(map[string]Replica), missingUntil: make(map[string]time.Time),
		leaving: make(map[string]leavingMark), rateLimits: make(map[string]rateLimitMark), loads: make(map[string]ObservedLoad),
	}
}

// SetOutageEnd records that the store was unavailable until the given time. An earlier time than
// before changes nothing.
func (v *View) SetOutageEnd(end time.Time) {
	if end.After(v.outageEnd) {
		v.outageEnd = end
	}
}

// Replace applies a complete listing from the store.
func (v *View) Replace(now time.Time, listed []Replica) {
	seen := make(map[string]struct{}, len(listed))
	for _, r := range listed {
		seen[r.ID] = struct{}{}
		v.put(now, r)
	}
	for id := range v.replicas {
		if _, ok := seen[id]; !ok {
			v.remove(now, id)
		}
	}
}

// ReplaceFromPeer replaces the view by the listing of a peer whose view is up
// to date. Replicas that it leaves out are removed at once.
func (v *View) ReplaceFromPeer(now time.Time, listed []Replica) {
	clear(v.replicas)
	clear(v.missingUntil)
	for _, r := range listed {
		v.put(now, r)
	}
}

// Apply applies changes in order.
func (v *View) Apply(now time.Time, changes []Change) {
	for _, c := range changes {
		if c.Replica == nil {
			v.remove(now, c.ID)
			continue
		}
		v.put(now, *c.Replica)
	}
}

// put applies a record. A replica that is leaving stays so until it starts
// again, and a record of an earlier start is ignored.
func (v *View) put(now time.Time, r Replica) {
	if r.Born < v.replicas[r.ID].Born {
		return
	}
	if !r.Ready {
		v.MarkLeaving(now, r, FromRecord)
	}
	r.Ready = !v.IsLeaving(r)
	v.replicas[r.ID] = r
	delete(v.missingUntil, r.ID)
}

// remove applies the removal of a record. Within reappearTimeout after an
// outage the replica itself is removed only later, by Expire.
func (v *View) remove(now time.Time, id string) {
	if _, ok := v.replicas[id]; !ok {
		return
	}
	until := v.outageEnd.Add(reappearTimeout)
	if !now.Before(until) {
		delete(v.replicas, id)
		delete(v.missingUntil, id)
		return
	}
	if _, scheduled := v.missingUntil[id]; !scheduled {
		v.missingUntil[id] = until
	}
}

// Expire removes the replicas whose records were not written again in time. It
// reports whether any was removed and when the next one is due; zero means
// never.
func (v *View) Expire(now time.Time) (removed bool, next time.Time) {
	for id, until := range v.missingUntil {
		if now.Before(until) {
			if next.IsZero() || until.Before(next) {
				next = until
			}
			continue
		}
		delete(v.replicas, id)
		delete(v.missingUntil, id)
		removed = true
	}
	return removed, next
}

// HasAddress reports whether a replica is known at an address.
func (v *View) HasAddress(address string) bool {
	for _, r := range v.replicas {
		if r.Address == address {
			return true
		}
	}
	return false
}

// Snapshot returns a copy of the replicas by ID.
func (v *View) Snapshot() map[string]Replica { return maps.Clone(v.replicas) }
