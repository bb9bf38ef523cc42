package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pair is a possible connection of a host to an upstream, both as indices.
type pair struct {
	weight         uint64
	host, upstream int
}

// Subset returns the upstreams that host connects to, as ascending indices into
// upstreams, where each of the hosts connects to size of them. The result
// depends on the names alone, so all hosts with the same view agree on it. Pairs
// are assigned in descending order of rendezvous weight while the host has fewer
// than size upstreams and the upstream no more than its even share of hosts.
// Since a pair has the same weight for both sides, this is the stable matching,
// in which adding or removing one host or upstream changes few other pairs.
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
	// Hosts that are still short of upstreams, because those left are full, get
	// them from a further pass that allows one more host per upstream.
	for maxHosts := m.maxHosts; m.incomplete(); maxHosts++ {
		for _, p := range pairs {
			m.assignIfFree(p, maxHosts)
		}
	}
	slices.Sort(m.assigned[hostIndex])
	return m.assigned[hostIndex]
}

// matching is a partial assignment of upstreams to hosts.
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

// incomplete reports whether any host has fewer than size upstreams.
func (m *matching) incomplete() bool {
	return slices.ContainsFunc(m.assigned, func(c []int) bool { return len(c) < m.size })
}

// assignIfFree assigns a pair if the host has fewer than size upstreams, the
// upstream fewer than maxHosts hosts, and the pair is not assigned yet.
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
