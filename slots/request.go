package slots

import (
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// AcquireArgs is the argument of Acquire, a request for a slot for an online
// request.
type AcquireArgs struct {
	// Request is the ID of the request, for logs.
	Request string
	Host    string
	Service string
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
	// Priority orders waiting requests, lower values first; 0 is the highest
	// priority of a route.
	Priority int
	// Avoid holds the IDs of replicas that the request must not be sent to.
	Avoid []string
	// Leaving holds the replicas that the host has found to be leaving.
	Leaving []replica.Incarnation
	// Pinned restricts the request to replicas of SoftwareVersion, since it resumes
	// a stream that such a replica began.
	Pinned          bool
	SoftwareVersion string
	// Stream is the ID of the request that begins the stream, if its caller may
	// resume it; empty otherwise.
	Stream string
}

// matchesVersion reports whether the replica's software may run the request.
func (a *AcquireArgs) matchesVersion(r *replicaState) bool {
	return !a.Pinned || r.SoftwareVersion == a.SoftwareVersion
}

// allows reports whether the request may be sent to the replica.
func (a *AcquireArgs) allows(r *replicaState) bool {
	return a.matchesVersion(r) && !slices.Contains(a.Avoid, r.ID) && !a.isLeaving(r)
}

func (a *AcquireArgs) isLeaving(r *replicaState) bool {
	return slices.ContainsFunc(a.Leaving, func(l replica.Incarnation) bool { return l.ID == r.ID && r.Born <= l.Born })
}
