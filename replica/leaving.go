package replica

import "time"

// Source is where a host has it from that a replica is leaving.
type Source string

// Values of Source.
const (
	// FromRecord is the replica's record, read from the store or from a peer.
	FromRecord Source = "record"
	// FromResponse is a response of the replica to this host.
	FromResponse Source = "response"
	// FromPeer is another host that had such a response.
	FromPeer Source = "peer"
)

// Sources returns all values of Source.
func Sources() []Source { return []Source{FromRecord, FromResponse, FromPeer} }

const (
	// leavingRetention is how long a replica is remembered as leaving. It is longer
	// than any replica goes on serving after it said so.
	leavingRetention = time.Hour
	// recentLeaving is the age up to which a replica counts as one that others may
	// not yet know to be leaving.
	recentLeaving = 30 * time.Second
)

// leavingMark says that an incarnation of a replica is leaving.
type leavingMark struct {
	service string
	born    int64
	source  Source
	since   time.Time
}

// MarkLeaving records that a replica is leaving and reports whether that is new. The
// replica needs no record: a host that doesn't keep them learns it from responses.
// Only a later incarnation ends it; a response or a record that says nothing of
// leaving may be older.
func (v *View) MarkLeaving(now time.Time, r Replica, source Source) bool {
	if v.IsLeaving(r) {
		return false
	}
	for id, mark := range v.leaving {
		if now.Sub(mark.since) > leavingRetention {
			delete(v.leaving, id)
		}
	}
	v.leaving[r.ID] = leavingMark{service: r.Service, born: r.Born, source: source, since: now}
	if known, ok := v.replicas[r.ID]; ok && known.Born <= r.Born {
		known.Ready = false
		v.replicas[r.ID] = known
	}
	return true
}

// IsLeaving reports whether this incarnation of a replica, or a later one, is known
// to be leaving.
func (v *View) IsLeaving(r Replica) bool {
	mark, ok := v.leaving[r.ID]
	return ok && r.Born <= mark.born
}

// Incarnation is one run of a replica. Later ones have a later start time.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the run that the record belongs to.
func (r Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// RecentlyLeaving returns the replicas of a service that were lately found to be
// leaving.
func (v *View) RecentlyLeaving(now time.Time, service string) []Incarnation {
	var leaving []Incarnation
	for id, mark := range v.leaving {
		if mark.service == service && now.Sub(mark.since) < recentLeaving {
			leaving = append(leaving, Incarnation{id, mark.born})
		}
	}
	return leaving
}

// CountLeaving returns the number of replicas in the view that are leaving, by
// source.
func (v *View) CountLeaving() map[Source]int {
	counts := make(map[Source]int)
	for id, mark := range v.leaving {
		if r, ok := v.replicas[id]; ok && r.Born <= mark.born {
			counts[mark.source]++
		}
	}
	return counts
}
