package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pair is one possible connection of a host to an upstream.
type pair struct {
	weight         uint64
	host, upstream int
}

// Subset returns the upstreams, as indices into upstreams in ascending order,
// that host connects to, out of an assignment of size upstreams to each of the
// hosts. It is a function of the names alone, so all hosts with the same view
// agree. Pairs are taken by falling rendezvous weight while the host has fewer
// than size upstreams and the upstream has not more than its even share of
// hosts; since both sides rank a pair alike, this is the stable matching, in
// which a change of one host or upstream moves few of the others' pairs.
func Subset(host string, hosts, upstreams []string, size int) []int {
	if size >= len(upstreams) {
		return indices(len(upstreams))
	}
	hostIndex := slices.Index(hosts, host)
	if hostIndex < 0 {
		hosts = append(slices.Clone(hosts), host)
		hostIndex = len(hosts) - 1
	}
	m := newMatching(len(hosts), len(upstreams), size)
	pairs := pairsByWeight(hosts, upstreams)
	// A host that found only full upstreams shares them with one host more.
	for maxHosts := m.maxHosts; m.incomplete(); maxHosts++ {
		for _, p := range pairs {
			m.assignIfFree(p, maxHosts)
		}
	}
	slices.Sort(m.assigned[hostIndex])
	return m.assigned[hostIndex]
}

// matching is an assignment in the making.
type matching struct {
	size, maxHosts int
	assigned       [][]int
	hostCounts     []int
}

func newMatching(hosts, upstreams, size int) *matching {
	return &matching{
		size: size, maxHosts: (hosts*size + upstreams - 1) / upstreams,
		assigned: make([][]int, hosts), hostCounts: make([]int, upstreams),
	}
}

// incomplete reports whether a host has fewer upstreams than it should.
func (m *matching) incomplete() bool {
	return slices.ContainsFunc(m.assigned, func(c []int) bool { return len(c) < m.size })
}

// assignIfFree takes a pair when both sides have room.
func (m *matching) assignIfFree(p pair, maxHosts int) {
	if len(m.assigned[p.host]) >= m.size || m.hostCounts[p.upstream] >= maxHosts {
		return
	}
	if slices.Contains(m.assigned[p.host], p.upstream) {
		return
	}
	m.assigned[p.host] = append(m.assigned[p.host], p.upstream)
	m.hostCounts[p.upstream]++
}

func pairsByWeight(hosts, upstreams []string) []pair {
	pairs := make([]pair, 0, len(hosts)*len(upstreams))
	for u, name := range upstreams {
		key := xxhash.Sum64String(name)
		for h, host := range hosts {
			pairs = append(pairs, pair{weight(key, xxhash.Sum64String(host)), h, u})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.weight, a.weight) })
	return pairs
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
