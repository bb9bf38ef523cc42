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
	// affinityTolerance is the fraction by which the figures of two runs of one
	// policy may differ.
	affinityTolerance = 0.02
)

// prefixedRequest returns a request with a long prompt. A quarter of all requests
// share hotPrefix; the others use one of affinityPrefixes.
func prefixedRequest(r *rand.Rand) *modelRequest {
	prefix := uint64(hotPrefix)
	if r.IntN(4) != 0 {
		prefix = uint64(2 + r.IntN(affinityPrefixes))
	}
	return &modelRequest{promptTokens: 800, answerTokens: 32 + r.IntN(64), prefix: prefix}
}

func affinityModel(seed uint64) modelSpec {
	return modelSpec{
		seed: seed, hosts: 8, engines: 18, rate: 18 * 30, duration: 4 * time.Second, reportLag: 100 * time.Millisecond,
		request: prefixedRequest, cachePrefixes: 60, balancer: loadAware,
	}
}

// pureHash chooses the engine by the prefix alone, whatever its load.
func pureHash(_ *model, r *modelRequest) int {
	return int(r.prefix * 0x9e3779b97f4a7c15 >> 33 % 18)
}

// cacheIndex is a PrefixCache filled from cache events, some of which are late or
// lost.
type cacheIndex struct {
	prefixes map[string]map[uint64]bool
}

func (c *cacheIndex) Contains(address string, prefix uint64) bool { return c.prefixes[address][prefix] }

// withCacheEvents adds a cacheIndex to a model. Events reach it after the given
// lag, and the fraction lossRate of them is lost.
func withCacheEvents(spec modelSpec, lag time.Duration, lossRate float64) modelSpec {
	index := &cacheIndex{prefixes: make(map[string]map[uint64]bool)}
	spec.balancer = loadAwareWith(func(*model) routing.PrefixCache { return index })
	spec.onCacheEvent = func(m *model, engine int, prefix uint64, dropped bool) {
		if m.choices.Float64() < lossRate {
			return
		}
		m.schedule(lag, func() {
			address := m.doc.Upstreams[engine].Address
			if index.prefixes[address] == nil {
				index.prefixes[address] = make(map[uint64]bool)
			}
			index.prefixes[address][prefix] = !dropped
		})
	}
	return spec
}

func runModel(spec modelSpec) *model {
	m := newModel(spec)
	m.run()
	return m
}

func TestAffinityBeatsNoAffinityAndPureHashing(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		affinity := runModel(affinityModel(seed))
		noAffinitySpec := affinityModel(seed)
		noAffinitySpec.hidePrefix = true
		noAffinity := runModel(noAffinitySpec)
		pureHashSpec := affinityModel(seed)
		pureHashSpec.choose = pureHash
		hashing := runModel(pureHashSpec)
		t.Logf("seed %d: hit rate and p99 first token: affinity %.3f %s, no affinity %.3f %s, pure hashing %.3f %s", seed,
			affinity.hitRate(), affinity.quantile(.99), noAffinity.hitRate(), noAffinity.quantile(.99), hashing.hitRate(), hashing.quantile(.99))
		require.Greater(t, affinity.hitRate(), noAffinity.hitRate())
		require.Less(t, affinity.quantile(0.99), noAffinity.quantile(0.99))
		require.Less(t, affinity.quantile(0.99), hashing.quantile(0.99), "pure hashing overloads the engine of the hot prefix")
	}
}

func TestLateOrLostCacheEventsDoNotDegradeAffinity(t *testing.T) {
	cases := []struct {
		name     string
		lag      time.Duration
		lossRate float64
	}{
		{"immediate and complete", 0, 0},
		{"late", 2 * time.Second, 0},
		{"half lost", 20 * time.Millisecond, 0.5},
		{"late and nearly all lost", 2 * time.Second, 0.9},
	}
	for _, seed := range []uint64{1, 2} {
		baseline := runModel(affinityModel(seed))
		for _, c := range cases {
			m := runModel(withCacheEvents(affinityModel(seed), c.lag, c.lossRate))
			t.Logf("seed %d, %s: hit rate %.3f without, %.3f with; p99 first token %s without, %s with",
				seed, c.name, baseline.hitRate(), m.hitRate(), baseline.quantile(.99), m.quantile(.99))
			require.GreaterOrEqual(t, m.hitRate(), baseline.hitRate()-affinityTolerance, c.name)
			require.LessOrEqual(t, float64(m.quantile(0.99)), float64(baseline.quantile(0.99))*(1+affinityTolerance), c.name)
		}
	}
}
