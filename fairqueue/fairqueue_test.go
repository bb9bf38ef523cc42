package fairqueue_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/fairqueue"
)

// serve serves n requests of backlogged flows and returns the service of each.
func serve(c *fairqueue.Clock, flows []*fairqueue.Flow, costs []float64, n int) []float64 {
	served := make([]float64, len(flows))
	for range n {
		next := 0
		for i, f := range flows {
			if f.Start(c) < flows[next].Start(c) {
				next = i
			}
		}
		start, _ := flows[next].Tag(c, costs[next])
		c.Advance(start)
		served[next] += costs[next]
	}
	return served
}

// Guards against shares by the number of requests: service, not requests, is in
// proportion to the weights.
func TestServiceIsInProportionToWeights(t *testing.T) {
	flows := []*fairqueue.Flow{{Weight: 1}, {Weight: 2}, {Weight: 1}}
	served := serve(new(fairqueue.Clock), flows, []float64{1, 1, 4}, 9000)
	require.InDelta(t, 2, served[1]/served[0], 0.01)
	require.InDelta(t, 1, served[2]/served[0], 0.01)
}

// Guards against claims saved up while a flow was idle: it would shut out the others.
func TestIdleFlowSavesNoClaim(t *testing.T) {
	var c fairqueue.Clock
	busy, idle := &fairqueue.Flow{Weight: 1}, &fairqueue.Flow{Weight: 1}
	serve(&c, []*fairqueue.Flow{busy}, []float64{1}, 1000)
	served := serve(&c, []*fairqueue.Flow{busy, idle}, []float64{1, 1}, 10)
	require.InDelta(t, 5, served[1], 1)
}

// Guards against costs that stay estimates, and against debts without bound.
func TestCorrectionAndLimitOfLead(t *testing.T) {
	var c fairqueue.Clock
	f := &fairqueue.Flow{Weight: 2}
	_, finish := f.Tag(&c, 4)
	require.InDelta(t, 2, finish, 0)
	f.Correct(6)
	require.InDelta(t, 5, f.Finish(), 0)
	f.LimitLead(&c, 3)
	require.InDelta(t, 3, f.Finish(), 0)
	require.False(t, f.Settled(&c))
	c.Advance(3)
	require.True(t, f.Settled(&c))
}
