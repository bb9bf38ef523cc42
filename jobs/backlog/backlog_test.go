package backlog

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var hosts = []Host{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 4}}

func TestPlan(t *testing.T) {
	rows := []struct {
		name                 string
		limit, waiting, need int64
		hosts                []Host
		wantShare            int64
	}{
		{"ample room is shared", 1000, 100, 90, hosts, 270},
		{"shares leave room for two such jobs each", 1000, 430, 30, hosts, 180},
		{"little room is not shared", 1000, 800, 90, hosts, 0},
		{"a job that fills the limit leaves none", 1000, 900, 100, hosts, 0},
		{"no room after the limit was lowered", 1000, 5000, 0, hosts, 0},
		{"a job without tokens", 1000, 0, 0, hosts, 333},
		{"no known hosts", 1000, 0, 10, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			present := Record{ConfigVersion: 3, Limit: row.limit, Shares: []Share{{Host: Host{Name: "gone"}, Tokens: 500}}}
			next := plan(present, row.waiting, row.need, row.hosts)
			require.Equal(t, row.limit, next.Limit)
			require.EqualValues(t, 3, next.ConfigVersion)
			sum := row.waiting + row.need
			for _, h := range row.hosts {
				require.Equal(t, row.wantShare, next.share(h))
				sum += next.share(h)
			}
			require.Zero(t, next.share(Host{Name: "gone"}))
			require.Zero(t, next.share(Host{Name: "a", Incarnation: 2}), "another run of a host has no share")
			if row.waiting+row.need <= row.limit {
				require.LessOrEqual(t, sum, row.limit)
			}
		})
	}
}

func TestFits(t *testing.T) {
	require.True(t, fits(100, 60, 40))
	require.False(t, fits(100, 61, 40))
	require.False(t, fits(100, 0, 101), "larger than the limit")
	require.False(t, fits(100, 150, 0), "the limit was lowered below what waits")
	require.False(t, fits(100, math.MaxInt64, 40), "no overflow")
}

func TestRetryAfter(t *testing.T) {
	now := time.Unix(100, 0)
	count := Count{Waiting: 900, Finished: 200, Oldest: now.Add(-10 * time.Second)} // 20 tokens a second
	require.Equal(t, time.Second, retryAfter(count, 1000, 120, now, 0), "20 tokens too many")
	require.Equal(t, 1500*time.Millisecond, retryAfter(count, 1000, 120, now, 1), "spread")
	require.Equal(t, minRetryAfter, retryAfter(count, 1000, 101, now, 0))
	require.Equal(t, maxRetryAfter, retryAfter(count, 1000, 500, now, 0))
	require.Zero(t, retryAfter(count, 1000, 1001, now, 1), "a job larger than the limit never fits")
	require.Equal(t, maxRetryAfter, retryAfter(Count{Waiting: 900}, 1000, 200, now, 0), "nothing has finished yet")
}

func TestSum(t *testing.T) {
	old, young := time.Unix(1, 0), time.Unix(9, 0)
	require.Equal(t, Count{Waiting: 7, Finished: 3, Oldest: old}, Sum([]Job{{Waiting: 5, Created: young}, {Waiting: 2, Finished: 3, Created: old}}))
	require.Zero(t, Sum(nil))
}

// Another writer's record must not admit or refuse jobs by numbers that none can have.
func TestOddRecordsAreRefused(t *testing.T) {
	host := Host{Name: "a"}
	require.NoError(t, (&Record{Limit: 10, ConfigVersion: 1, Shares: []Share{{host, 10}}}).check())
	for name, r := range map[string]Record{
		"negative limit":   {Limit: -1},
		"negative version": {ConfigVersion: -1},
		"negative share":   {Limit: 10, Shares: []Share{{host, -1}}},
		"share too large":  {Limit: 10, Shares: []Share{{host, math.MaxInt64}}},
	} {
		require.Error(t, r.check(), name)
	}
}
