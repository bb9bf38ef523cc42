// Package membership maintains each host's view of the other hosts and of the
// upstreams, which are alive, leaving or gone (failed, or left on purpose). Hosts
// exchange the state with a gossip protocol based on SWIM.
package membership

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// State is the state of a host or an upstream.
type State uint8

// States, in order of precedence within one incarnation.
const (
	Alive State = iota
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "leaving", "gone"}[min(s, Gone)]
}

// MarshalText encodes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for _, known := range []State{Alive, Leaving, Gone} {
		if string(text) == known.String() {
			*s = known
			return nil
		}
	}
	return errors.Newf("unknown state %q", text)
}

// Host describes one host as the membership shows it.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// PeerAddress accepts the calls of other hosts; OperatorsAddress serves the
	// operators' interface.
	PeerAddress      string `json:"peer_address"`
	OperatorsAddress string `json:"operators_address"`
	// TunnelAddress accepts connections that the host carries to replicas for other hosts.
	// It is empty for a host that carries none.
	TunnelAddress string `json:"tunnel_address,omitempty"`
	// CPU is the processor time that the host has, in cores. It is zero if that is not known, as
	// for hosts of older builds.
	CPU float64 `json:"cpu,omitempty"`
	// Incarnation increases with each start of the host.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// SameProcess reports whether two records are of the same process of a host.
func (h Host) SameProcess(other Host) bool {
	return h.Name == other.Name && h.Incarnation == other.Incarnation && h.PeerAddress == other.PeerAddress
}

// View is what one host knows of all hosts, itself included.
type View interface {
	// Self returns the host itself.
	Self() Host
	// Local returns the hosts of the own data centre that are alive or
	// leaving, the host itself included, sorted by name.
	Local() []Host
	// Remote returns the hosts of other data centres that are alive or leaving.
	Remote() []Host
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// All returns the hosts of all data centres that are alive or leaving, the host
// itself included.
func All(v View) []Host { return append(v.Local(), v.Remote()...) }

// Rendezvous returns the n hosts with the highest weights for key (Thaler and
// Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996), highest
// first. Hosts that are not alive are left out.
func Rendezvous(hosts []Host, key string, n int) []Host {
	type weighted struct {
		host   Host
		weight uint64
	}
	ranked := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		if h.State == Alive {
			ranked = append(ranked, weighted{h, xxhash.Sum64String(h.Name + "\x00" + key)})
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].weight > ranked[j].weight })
	out := make([]Host, 0, n)
	for i := range min(n, len(ranked)) {
		out = append(out, ranked[i].host)
	}
	return out
}

// MostCPUFirst sorts ranked hosts by their processor time, the most first, in classes that are
// bounded by powers of two. The hosts of a class keep their order, and so do all hosts if the
// processor time of any is not known: hosts of older builds don't sort, and all must agree.
func MostCPUFirst(ranked []Host) {
	if slices.ContainsFunc(ranked, func(h Host) bool { return h.CPU <= 0 }) {
		return
	}
	class := func(h Host) float64 { return math.Floor(math.Log2(h.CPU)) }
	slices.SortStableFunc(ranked, func(a, b Host) int { return cmp.Compare(class(b), class(a)) })
}

// Static is a View that changes only through Set and SetState.
type Static struct {
	mu      sync.Mutex
	self    Host
	hosts   []Host
	changed chan struct{}
}

var _ View = (*Static)(nil)

// NewStatic returns a view of self and the given other hosts.
func NewStatic(self Host, others ...Host) *Static {
	s := &Static{self: self, changed: make(chan struct{})}
	s.Set(others)
	return s
}

// Set replaces the other hosts.
func (s *Static) Set(others []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append([]Host{s.self}, others...)
	sort.Slice(s.hosts, func(i, j int) bool { return s.hosts[i].Name < s.hosts[j].Name })
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetState changes the state of the host itself.
func (s *Static) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.State = state
	for i := range s.hosts {
		if s.hosts[i].Name == s.self.Name {
			s.hosts[i].State = state
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Self implements View.
func (s *Static) Self() Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Local implements View.
func (s *Static) Local() []Host { return s.filter(true) }

// Remote implements View.
func (s *Static) Remote() []Host { return s.filter(false) }

func (s *Static) filter(local bool) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Host
	for _, h := range s.hosts {
		if (h.DataCentre == s.self.DataCentre) == local && h.State != Gone {
			out = append(out, h)
		}
	}
	return out
}

// Changed implements View.
func (s *Static) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
