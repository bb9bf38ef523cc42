package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/routing"
)

// maxRatioToPerfect is the target for the 99th percentile of the time to the first
// token, as a multiple of that of a single host that knows the exact state.
const maxRatioToPerfect = 1.25

func mixedRequest(r *rand.Rand) *modelRequest {
	answerTokens := 32 + r.IntN(64)
	if r.IntN(10) == 0 {
		answerTokens = 512
	}
	return &modelRequest{promptTokens: 100 + r.IntN(200), answerTokens: answerTokens}
}

// perfectKnowledge chooses the engine with the fewest requests, and of those the
// one with the fewest tokens left, from the exact state of all engines.
func perfectKnowledge(m *model, _ *modelRequest) int {
	best, bestRequests, bestWork := 0, math.MaxInt, 0
	for i, e := range m.engines {
		n := e.requests()
		if n > bestRequests {
			continue
		}
		if work := e.outstandingTokens(); n < bestRequests || work < bestWork {
			best, bestRequests, bestWork = i, n, work
		}
	}
	return best
}

// roundRobin returns a policy by which each host uses the engines in turn.
func roundRobin() func(m *model, r *modelRequest) int {
	next := make(map[int]int)
	return func(m *model, r *modelRequest) int {
		next[r.host]++
		return next[r.host] % len(m.engines)
	}
}

// ownInFlight returns the number of a host's requests on an engine.
func ownInFlight(m *model, host, engine int) int {
	n := 0
	e := m.engines[engine]
	for _, list := range [][]*modelRequest{e.waiting, e.running} {
		for _, r := range list {
			if r.host == host {
				n++
			}
		}
	}
	return n
}

// randomTwo chooses from two random engines the one with fewer of the host's own
// requests.
func randomTwo(m *model, r *modelRequest) int {
	i, j := m.choices.IntN(len(m.engines)), m.choices.IntN(len(m.engines))
	if ownInFlight(m, r.host, j) < ownInFlight(m, r.host, i) {
		return j
	}
	return i
}

// Arrival rates, in requests per second and engine. With all slots of its batch
// in use, an engine spends 21.0 ms on a mean request of 199.5 prompt tokens and
// 108.35 answer tokens, and so serves 47.7 requests per second.
const (
	lowRate            = 30
	highRate           = 40
	nearSaturationRate = 47
)

// herdModel returns a model of 8 hosts and 18 engines.
func herdModel(seed uint64, rate float64, lag time.Duration) modelSpec {
	return modelSpec{
		seed: seed, hosts: 8, engines: 18, rate: 18 * rate, duration: 6 * time.Second,
		reportLag: lag, request: mixedRequest, balancer: loadAware,
	}
}

func p99(spec modelSpec) time.Duration {
	m := newModel(spec)
	m.run()
	return m.quantile(0.99)
}

// checkAgainstPerfect compares the load-aware balancer with perfectKnowledge for
// several seeds and report lags.
func checkAgainstPerfect(t *testing.T, rate float64) {
	for _, seed := range []uint64{1, 2, 3} {
		spec := herdModel(seed, rate, 0)
		spec.choose = perfectKnowledge
		perfectP99 := p99(spec)
		for _, lag := range []time.Duration{100 * time.Millisecond, time.Second} {
			loadAwareP99 := p99(herdModel(seed, rate, lag))
			t.Logf("seed %d, lag %s: p99 first token: perfect %s, load aware %s", seed, lag, perfectP99, loadAwareP99)
			assert.LessOrEqual(t, float64(loadAwareP99), maxRatioToPerfect*float64(perfectP99), "seed %d, lag %s", seed, lag)
		}
	}
}

// TestHostsDoNotHerd checks that hosts that act on the same old load reports do
// not all send their requests to the same engines.
func TestHostsDoNotHerd(t *testing.T) {
	for _, rate := range []float64{lowRate, highRate} {
		t.Run(fmt.Sprintf("rate %v", rate), func(t *testing.T) { checkAgainstPerfect(t, rate) })
	}
}

func TestHostsDoNotHerdNearSaturation(t *testing.T) { checkAgainstPerfect(t, nearSaturationRate) }

// TestLoadAwareIsNoSlowerThanSimplePolicies compares the time to the first token
// over all requests of several runs near saturation, where the choice of engine
// makes the greatest difference.
func TestLoadAwareIsNoSlowerThanSimplePolicies(t *testing.T) {
	pooledP99 := func(change func(*modelSpec)) time.Duration {
		var all []time.Duration
		for _, seed := range []uint64{1, 2, 3, 4} {
			spec := herdModel(seed, nearSaturationRate, 100*time.Millisecond)
			change(&spec)
			m := newModel(spec)
			m.run()
			all = append(all, m.firstToken...)
		}
		slices.Sort(all)
		return all[len(all)*99/100]
	}
	loadAwareP99 := pooledP99(func(*modelSpec) {})
	alternatives := map[string]time.Duration{
		"round robin": pooledP99(func(s *modelSpec) { s.choose = roundRobin() }),
		"random two":  pooledP99(func(s *modelSpec) { s.choose = randomTwo }),
		"least own requests in flight": pooledP99(func(s *modelSpec) {
			s.balancer = func(*model, int) routing.Balancer { return routing.NewLeastInFlight("dc", "r") }
		}),
	}
	t.Logf("p99 first token: load aware %s, simple policies %v", loadAwareP99, alternatives)
	for name, other := range alternatives {
		require.LessOrEqual(t, loadAwareP99, other, name)
	}
}
