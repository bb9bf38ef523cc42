package membership

import (
	"net/netip"
	"time"
)

// hostRecord is a member's record of one host.
type hostRecord struct {
	hostUpdate
	// suspicionDeadline is when a suspected host is declared failed. goneSince is
	// when this member recorded that the host failed or left.
	suspicionDeadline time.Time
	goneSince         time.Time
}

// state returns the state that a View shows.
func (r *hostRecord) state() State {
	switch {
	case r.Doubt == doubtFailed || r.Flags&flagLeft != 0:
		return Gone
	case r.Flags&flagLeaving != 0:
		return Leaving
	default:
		return Alive
	}
}

func (r *hostRecord) host() Host {
	return Host{
		Name: r.Name, DataCentre: r.DataCentre, Region: r.Region, PeerAddress: formatAddress(r.Peer),
		OperatorsAddress: formatAddress(r.Operators), Incarnation: r.Incarnation, State: r.state(),
	}
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// merge returns the join of two updates about one host. It is commutative,
// associative and idempotent, so that the order and the number of deliveries
// do not matter. The update with the higher incarnation wins as a whole. Within
// one incarnation the flags are united, and of the failure states the one with
// the higher refutation wins or, at the same refutation, the more severe one.
func merge(a, b hostUpdate) hostUpdate {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	out.Flags |= b.Flags
	if b.Refutation > a.Refutation || b.Refutation == a.Refutation && b.Doubt > a.Doubt {
		out.Refutation, out.Doubt = b.Refutation, b.Doubt
	}
	if b.Peer.Compare(a.Peer) > 0 {
		out.Peer, out.Operators, out.Region = b.Peer, b.Operators, b.Region
	}
	return out
}
