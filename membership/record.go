package membership

import (
	"net/netip"
	"time"
)

// hostRecord is what a member knows of one host.
type hostRecord struct {
	hostUpdate
	// suspicionDeadline ends a suspicion; since is the time when the host was found gone.
	suspicionDeadline time.Time
	goneSince         time.Time
}

// state returns the state that other packages see.
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
// do not matter: the higher incarnation wins as a whole; within one, what the
// host says of itself only grows, and a higher refutation, or else the
// stronger doubt, wins.
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
