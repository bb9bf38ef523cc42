package capacity_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/bench/capacity"
)

func TestPlanAddsUp(t *testing.T) {
	d := capacity.TwoYears()
	s := capacity.Slopes{
		IdleCPU:    capacity.Line{Base: 0.001, Slope: 0.00001},
		IdleReads:  capacity.Line{Base: 2},
		EventCPU:   1e-6,
		ItemCalls:  0.01,
		ClaimCalls: 10,
	}
	rows := capacity.Plan(d, s)
	total := capacity.Total(rows)
	// 220 hosts a data centre; 42.3 requests a second a host with 3 events each.
	require.InDelta(t, 0.001+0.0022+42.27*3e-6, total.CPU, 1e-5)
	require.InDelta(t, 20, total.Reads, 1e-9)
	// 590 items a second, 0.72 changes a second and the swaps of 272 shards.
	require.InDelta(t, 5.9+0.72, total.Writes-shardWrites(rows), 0.01)
	require.Positive(t, shardWrites(rows))
}

func shardWrites(rows []capacity.Row) float64 {
	for _, r := range rows {
		if r.Role == "ledger writer" {
			return r.Writes
		}
	}
	return 0
}

func TestMissesNamesEachBudget(t *testing.T) {
	b := capacity.UserBudgets()
	require.Empty(t, capacity.Misses(capacity.Row{CPU: b.CPU, Bytes: b.Bytes, Traffic: b.Traffic, Writes: b.Writes, Reads: b.Reads}, b))
	over := capacity.Row{CPU: 2 * b.CPU, Bytes: 2 * b.Bytes, Traffic: 2 * b.Traffic, Writes: 2 * b.Writes, Reads: 2 * b.Reads}
	require.Len(t, capacity.Misses(over, b), 5)
}

func TestFit(t *testing.T) {
	l := capacity.Fit([]capacity.Point{{N: 1, Value: 3}, {N: 2, Value: 5}, {N: 4, Value: 9}})
	require.InDelta(t, 1, l.Base, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 21, l.At(10), 1e-9)
	require.Zero(t, capacity.Line{Base: -5}.At(1))
	falling := capacity.Fit([]capacity.Point{{N: 1, Value: 3}, {N: 2, Value: 2}})
	require.InDelta(t, 2, falling.Flat(10), 1e-9)
	require.InDelta(t, 21, l.Flat(10), 1e-9)
}
