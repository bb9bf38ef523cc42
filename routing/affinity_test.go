package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/routing"
)

const (
	affinityPrefixes = 400
	hotPrefix        = 1
	// affinityNoise is what two runs of one policy differ by.
	affinityNoise = 0.02
)

// prefixedRequest has a long prompt under one of many prefixes; a quarter of
// all requests share one.
func prefixedRequest(r *rand.Rand) *modelRequest {
	prefix := uint64(hotPrefix)
	if r.IntN(4) != 0 {
		prefix = uint64(2 + r.IntN(affinityPrefixes))
	}
	return &modelRequest{prompt: 800, answer: 32 + r.IntN(64), prefix: prefix}
}

func affinityModel(seed uint64) modelSpec {
	return modelSpec{
		seed: seed, hosts: 8, engines: 18, rate: 18 * 30, duration: 4 * time.Second, reportLag: 100 * time.Millisecond,
		request: prefixedRequest, cachePrefixes: 60, balancer: loadAware,
	}
}

// pureHash sends each prefix to one engine, whatever its load.
func pureHash(_ *model, r *modelRequest) int {
	return int(r.prefix * 0x9e3779b97f4a7c15 >> 33 % 18)
}

// cacheIndex is what lossy and late events say of the engines' caches.
type cacheIndex struct {
	holds map[string]map[uint64]bool
}

func (c *cacheIndex) Contains(address string, prefix uint64) bool { return c.holds[address][prefix] }

// withEvents feeds an index with events that come late; a part of them is lost.
func withEvents(spec modelSpec, lag time.Duration, lost float64) modelSpec {
	index := &cacheIndex{holds: make(map[string]map[uint64]bool)}
	spec.balancer = loadAwareWith(func(*model) routing.PrefixCache { return index })
	spec.event = func(m *model, engine int, prefix uint64, dropped bool) {
		if m.choices.Float64() < lost {
			return
		}
		m.after(lag, func() {
			address := m.doc.Upstreams[engine].Address
			if index.holds[address] == nil {
				index.holds[address] = make(map[uint64]bool)
			}
			index.holds[address][prefix] = !dropped
		})
	}
	return spec
}

func runModel(spec modelSpec) *model {
	m := newModel(spec)
	m.run()
	return m
}

func TestAffinity(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		ours := runModel(affinityModel(seed))
		none := affinityModel(seed)
		none.blind = true
		without := runModel(none)
		hash := affinityModel(seed)
		hash.choose = pureHash
		pure := runModel(hash)
		t.Logf("seed %d: hit rate and p99 first token: affinity %.3f %s, none %.3f %s, pure hashing %.3f %s", seed,
			ours.hitRate(), ours.quantile(.99), without.hitRate(), without.quantile(.99), pure.hitRate(), pure.quantile(.99))
		require.Greater(t, ours.hitRate(), without.hitRate())
		require.Less(t, ours.quantile(0.99), without.quantile(0.99))
		require.Less(t, ours.quantile(0.99), pure.quantile(0.99), "a hot prefix overloads its engine")
	}
}

func TestCacheEventsDoNoHarm(t *testing.T) {
	cases := []struct {
		name string
		lag  time.Duration
		lost float64
	}{
		{"prompt and whole", 0, 0},
		{"late", 2 * time.Second, 0},
		{"half lost", 20 * time.Millisecond, 0.5},
		{"late and nearly all lost", 2 * time.Second, 0.9},
	}
	for _, seed := range []uint64{1, 2} {
		none := runModel(affinityModel(seed))
		for _, c := range cases {
			m := runModel(withEvents(affinityModel(seed), c.lag, c.lost))
			t.Logf("seed %d, %s: hit rate %.3f without, %.3f with; p99 %s without, %s with",
				seed, c.name, none.hitRate(), m.hitRate(), none.quantile(.99), m.quantile(.99))
			require.GreaterOrEqual(t, m.hitRate(), none.hitRate()-affinityNoise, c.name)
			require.LessOrEqual(t, float64(m.quantile(0.99)), float64(none.quantile(0.99))*(1+affinityNoise), c.name)
		}
	}
}
