package tunnel

import "time"

// Times and numbers by which a host judges its paths to replicas.
const (
	// minLost is the number of replicas that other hosts must reach while this host
	// doesn't, before it counts as cut off from all. Less is enough if it uses fewer.
	minLost = 2
	// evidenceLifetime is the time for which a failure to reach a replica counts.
	evidenceLifetime = 30 * time.Second
	// refusalLifetime is the time for which no tunnel is tried to a replica that the other
	// hosts didn't reach either.
	refusalLifetime = time.Second
	// maxKnownReplicas bounds the replicas that a view knows. Those whose last event is
	// oldest are forgotten.
	maxKnownReplicas = 4096
)

// plan is how to connect to a replica.
type plan int

// Values of plan.
const (
	// directFirst means to connect directly, and through another host if that fails or
	// takes long.
	directFirst plan = iota
	// tunnelFirst means to connect through another host, and directly if that fails.
	tunnelFirst
	// directOnly means that the other hosts don't reach the replica either.
	directOnly
)

// view is what a host knows of its paths to replicas. It decides from the events that it
// is told, and has no clock.
type view struct {
	replicas map[string]*pathState
	// connected is when a direct connection to any replica was last made.
	connected time.Time
}

// pathState is what is known of the path to one replica. The times are those of the last
// event of each kind.
type pathState struct {
	connected, lost time.Time
	// silent says that the last loss was a time-out, not a refusal.
	silent bool
	// tunnelled is when another host reached the replica, and refused when others didn't.
	tunnelled, refused time.Time
}

func newView() *view { return &view{replicas: make(map[string]*pathState)} }

// state returns the state of a replica, which it creates.
func (v *view) state(address string) *pathState {
	s, ok := v.replicas[address]
	if !ok {
		if len(v.replicas) >= maxKnownReplicas {
			v.forgetOldest()
		}
		s = &pathState{}
		v.replicas[address] = s
	}
	return s
}

func (v *view) forgetOldest() {
	oldest := ""
	for address, s := range v.replicas {
		if oldest == "" || s.last().Before(v.replicas[oldest].last()) {
			oldest = address
		}
	}
	delete(v.replicas, oldest)
}

// last returns the time of the last event.
func (s *pathState) last() time.Time {
	last := s.connected
	for _, t := range []time.Time{s.lost, s.tunnelled, s.refused} {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// Connected records that a direct connection to a replica was made. If the host was cut off
// from all replicas, the paths to the others count as sound too.
func (v *view) Connected(now time.Time, address string) {
	if v.CutOff(now) {
		for _, s := range v.replicas {
			s.lost = time.Time{}
		}
	}
	s := v.state(address)
	s.connected, s.refused = now, time.Time{}
	v.connected = now
}

// Lost records that a replica could not be connected to directly, or that a direct
// connection to it has died.
func (v *view) Lost(now time.Time, address string, silent bool) {
	s := v.state(address)
	s.lost, s.silent = now, silent
}

// Tunnelled records that another host has connected to a replica.
func (v *view) Tunnelled(now time.Time, address string) {
	s := v.state(address)
	s.tunnelled, s.refused = now, time.Time{}
}

// Refused records that no other host that was asked could connect to a replica.
func (v *view) Refused(now time.Time, address string) { v.state(address).refused = now }

// isLost reports whether other hosts reach the replica and this one doesn't.
func (s *pathState) isLost(now time.Time) bool {
	return s.lost.After(s.connected) && s.tunnelled.After(s.connected) &&
		now.Sub(s.lost) < evidenceLifetime && now.Sub(s.tunnelled) < evidenceLifetime
}

// CutOff reports whether this host reaches no replica directly while others do.
func (v *view) CutOff(now time.Time) bool {
	cut, _ := v.cut(now)
	return cut
}

// cut also reports whether the paths are silent, so that open connections are dead too.
func (v *view) cut(now time.Time) (cutOff, silent bool) {
	lost := 0
	for _, s := range v.replicas {
		if s.lost.After(v.connected) && s.isLost(now) {
			lost++
			silent = silent || s.silent
		}
	}
	cutOff = lost > 0 && lost >= min(minLost, len(v.replicas))
	return cutOff, cutOff && silent
}

// LostReplicas returns the addresses of the replicas that other hosts reach and this one
// doesn't.
func (v *view) LostReplicas(now time.Time) []string {
	var lost []string
	for address, s := range v.replicas {
		if s.isLost(now) {
			lost = append(lost, address)
		}
	}
	return lost
}

// Plan returns how to connect to a replica.
func (v *view) Plan(now time.Time, address string) plan {
	s, known := v.replicas[address]
	switch {
	case known && now.Sub(s.refused) < refusalLifetime:
		return directOnly
	case known && s.isLost(now), v.CutOff(now):
		return tunnelFirst
	}
	return directFirst
}
