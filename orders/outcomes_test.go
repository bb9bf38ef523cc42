package orders

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

type oneUpstream struct{ ended int }

func (b *oneUpstream) Choose(routing.Request) (*routing.Choice, error) {
	return &routing.Choice{Upstream: service.Upstream{Name: "u"}, Done: func(routing.Outcome) { b.ended++ }}, nil
}

func TestOutcomesIgnoreRequestsNotRun(t *testing.T) {
	inner := &oneUpstream{}
	o := NewOutcomes()
	b := o.Observe(inner)
	ends := []error{
		nil, nil,
		verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "failed"),
		verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "refused"),
	}
	for _, err := range ends {
		c, chooseErr := b.Choose(routing.Request{Doc: &service.Document{Name: "s"}})
		require.NoError(t, chooseErr)
		c.Done(routing.Outcome{Err: err})
	}
	requests, failed := o.Count("s", "u")
	require.EqualValues(t, 3, requests)
	require.EqualValues(t, 1, failed)
	require.Equal(t, len(ends), inner.ended)
}
