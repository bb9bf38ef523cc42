package accounting_test

import (
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/accounting"
)

func TestConcurrentAddsAreSummed(t *testing.T) {
	reg := prometheus.NewRegistry()
	counters := accounting.NewCounters(reg)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				counters.Add("s", "c", accounting.CrossRegionBytes, "request", 3)
				counters.Add("s", "b", accounting.Retries, "", 1)
				counters.Add("s", "b", accounting.Items, "", 0)
			}
		})
	}
	wg.Wait()
	require.Equal(t, []accounting.Entry{
		{Service: "s", Caller: "b", Kind: accounting.Retries, Count: 800},
		{Service: "s", Caller: "c", Kind: accounting.CrossRegionBytes, Reason: "request", Count: 2400},
	}, counters.Entries())
	families, err := reg.Gather()
	require.NoError(t, err)
	sum := 0.0
	for _, m := range families[0].GetMetric() {
		sum += m.GetCounter().GetValue()
	}
	require.EqualValues(t, 3200, sum)
}
