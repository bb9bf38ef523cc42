package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each row applies observations of the rate limit of replica a; limit is what the view says
// then of the incarnation born at 5.
func TestLatestObservationOfARateLimitCounts(t *testing.T) {
	type observation struct {
		born    int64
		after   time.Duration
		limit   RateLimit
		changed bool
	}
	two, three := RateLimit{Limited: true, PerSecond: 2}, RateLimit{Limited: true, PerSecond: 3}
	rows := []struct {
		name         string
		observations []observation
		limit        RateLimit
	}{
		{"nothing said", nil, RateLimit{}},
		{"never limited", []observation{{5, 0, RateLimit{}, false}}, RateLimit{}},
		{"limited", []observation{{5, 0, two, true}, {5, 1, two, false}}, two},
		{"another limit", []observation{{5, 0, two, true}, {5, 1, three, true}}, three},
		{"older observation comes late", []observation{{5, 1, two, true}, {5, 0, RateLimit{}, false}}, two},
		{"no limit any more", []observation{{5, 0, two, true}, {5, 1, RateLimit{}, true}}, RateLimit{}},
		{"limited again", []observation{{5, 0, two, true}, {5, 1, RateLimit{}, true}, {5, 2, two, true}}, two},
		{"former incarnation", []observation{{4, 0, two, true}}, RateLimit{}},
		{"started again without limit", []observation{{4, 1, two, true}, {5, 0, RateLimit{}, false}}, RateLimit{}},
		{"started again with a limit", []observation{{4, 1, two, true}, {5, 0, two, true}}, two},
		{"former incarnation comes late", []observation{{5, 0, two, true}, {4, 1, three, false}}, two},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			v := NewView()
			for i, o := range row.observations {
				l := o.limit
				l.At = now.Add(o.after)
				require.Equal(t, o.changed, v.ObserveRateLimit(ready("a", o.born), l), "observation %d", i)
			}
			require.True(t, row.limit.Equal(v.RateLimit(ready("a", 5))), "%+v", v.RateLimit(ready("a", 5)))
		})
	}
}

func TestRateLimitedReplicasAreCounted(t *testing.T) {
	v := NewView()
	v.ObserveRateLimit(ready("a", 1), RateLimit{Limited: true, PerSecond: 1, At: now})
	v.ObserveRateLimit(ready("b", 1), RateLimit{Limited: true, At: now})
	require.Equal(t, 2, v.CountRateLimited())
	v.ObserveRateLimit(ready("a", 1), RateLimit{At: now.Add(1)})
	require.Equal(t, 1, v.CountRateLimited())
	v.ObserveRateLimit(ready("c", 1), RateLimit{Limited: true, At: now.Add(2 * rateLimitRetention)})
	require.Equal(t, 1, v.CountRateLimited(), "the others are forgotten")
}
