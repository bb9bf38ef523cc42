package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each row applies words about the rate limit of replica a; limit is what the view says
// then of the incarnation born at 5.
func TestLatestWordAboutARateLimitCounts(t *testing.T) {
	type word struct {
		born    int64
		after   time.Duration
		limit   RateLimit
		changed bool
	}
	two, three := RateLimit{Limited: true, PerSecond: 2}, RateLimit{Limited: true, PerSecond: 3}
	rows := []struct {
		name  string
		words []word
		limit RateLimit
	}{
		{"nothing said", nil, RateLimit{}},
		{"never limited", []word{{5, 0, RateLimit{}, false}}, RateLimit{}},
		{"limited", []word{{5, 0, two, true}, {5, 1, two, false}}, two},
		{"another limit", []word{{5, 0, two, true}, {5, 1, three, true}}, three},
		{"older word comes late", []word{{5, 1, two, true}, {5, 0, RateLimit{}, false}}, two},
		{"no limit any more", []word{{5, 0, two, true}, {5, 1, RateLimit{}, true}}, RateLimit{}},
		{"limited again", []word{{5, 0, two, true}, {5, 1, RateLimit{}, true}, {5, 2, two, true}}, two},
		{"former incarnation", []word{{4, 0, two, true}}, RateLimit{}},
		{"started again without limit", []word{{4, 1, two, true}, {5, 0, RateLimit{}, false}}, RateLimit{}},
		{"started again with a limit", []word{{4, 1, two, true}, {5, 0, two, true}}, two},
		{"former incarnation comes late", []word{{5, 0, two, true}, {4, 1, three, false}}, two},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			v := NewView()
			for i, w := range row.words {
				l := w.limit
				l.At = now.Add(w.after)
				require.Equal(t, w.changed, v.ObserveRateLimit(ready("a", w.born), l), "word %d", i)
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
