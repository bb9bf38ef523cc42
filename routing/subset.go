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
		return sequence(len(upstreams))
	}
	at := slices.Index(hosts, host)
	if at < 0 {
		hosts = append(slices.Clone(hosts), host)
		at = len(hosts) - 1
	}
	m := newMatching(len(hosts), len(upstreams), size)
	pairs := rankedPairs(hosts, upstreams)
	// A host that found only full upstreams shares them with one host more.
	for limit := m.limit; m.short(); limit++ {
		for _, p := range pairs {
			m.offer(p, limit)
		}
	}
	slices.Sort(m.chosen[at])
	return m.chosen[at]
}

// matching is an assignment in the making.
type matching struct {
	size, limit int
	chosen      [][]int
	hostsOf     []int
}

func newMatching(hosts, upstreams, size int) *matching {
	return &matching{
		size: size, limit: (hosts*size + upstreams - 1) / upstreams,
		chosen: make([][]int, hosts), hostsOf: make([]int, upstreams),
	}
}

// short reports whether a host has fewer upstreams than it should.
func (m *matching) short() bool {
	return slices.ContainsFunc(m.chosen, func(c []int) bool { return len(c) < m.size })
}

// offer takes a pair when both sides have room.
func (m *matching) offer(p pair, limit int) {
	if len(m.chosen[p.host]) >= m.size || m.hostsOf[p.upstream] >= limit {
		return
	}
	if slices.Contains(m.chosen[p.host], p.upstream) {
		return
	}
	m.chosen[p.host] = append(m.chosen[p.host], p.upstream)
	m.hostsOf[p.upstream]++
}

func rankedPairs(hosts, upstreams []string) []pair {
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

func sequence(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
