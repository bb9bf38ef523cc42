//go:build !race

package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// simulateRateLimits runs bursts of requests beside batch jobs on 12 replicas, of which
// the first ones name a rate limit all the while.
func simulateRateLimits(seed uint64, limited int, perSecond, onlineRate, jobRate float64) *loadModel {
	l := &loadModel{s: newScheduler(12, 8), rng: rand.New(rand.NewPCG(seed, 4)), now: start, active: make(map[GrantID]*activeRun)}
	for _, r := range l.s.pool(service).replicas[:limited] {
		l.s.ObserveRateLimit(start, r.Replica, replica.RateLimit{Limited: true, PerSecond: perSecond, At: start})
	}
	l.run(onlineRate, jobRate)
	return l
}

// Eight of twelve replicas take 2.4 requests a second each, so that the bursts bring
// more than there is room for. Items get what the rate limits leave of slots: they are
// done when due, and nearly as many requests start in time as without any items.
func TestRateLimitedReplicasServeItemsBetweenBursts(t *testing.T) {
	const limited, perSecond, onlineRate = 8, 2.4, 55
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			alone := simulateRateLimits(seed, limited, perSecond, onlineRate, 0)
			l := simulateRateLimits(seed, limited, perSecond, onlineRate, 0.69)
			require.GreaterOrEqual(t, l.startedFraction(), 0.95*alone.startedFraction(), "online requests that start in time")
			require.GreaterOrEqual(t, float64(l.onTime)/float64(l.finished+len(l.items)), 0.95, "batch items done when due")
		})
	}
}

func (l *loadModel) startedFraction() float64 { return float64(l.started) / float64(l.requests) }
