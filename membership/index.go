package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// hostIndex holds the local hosts that have neither failed nor left, in the
// orders that the protocol needs.
type hostIndex struct {
	// byName is ordered by name, ring by the hash of the name.
	byName, ring []*hostRecord
	suspects     []*hostRecord
}

// index returns the index of the local hosts, built again after a change.
func (m *stateMachine) index() *hostIndex {
	if m.cachedIndex != nil {
		return m.cachedIndex
	}
	r := &hostIndex{}
	for _, host := range m.local {
		if host.state() != Gone {
			r.byName = append(r.byName, host)
		}
	}
	sort.Slice(r.byName, func(i, j int) bool { return r.byName[i].Name < r.byName[j].Name })
	r.ring = slices.Clone(r.byName)
	sort.Slice(r.ring, func(i, j int) bool { return ringPosition(r.ring[i].Name) < ringPosition(r.ring[j].Name) })
	for _, host := range r.byName {
		if host.Doubt == doubtSuspect {
			r.suspects = append(r.suspects, host)
		}
	}
	m.cachedIndex = r
	return r
}

func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

// sample returns up to n random members for which match is true; a nil match
// accepts all.
func (m *stateMachine) sample(n int, match func(*hostRecord) bool) []*hostRecord {
	hosts := m.index().byName
	var out []*hostRecord
	for _, i := range m.rnd.Perm(len(hosts)) {
		if len(out) == n {
			break
		}
		if match == nil || match(hosts[i]) {
			out = append(out, hosts[i])
		}
	}
	return out
}
