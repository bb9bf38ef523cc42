package kv_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

func TestMeteredCounts(t *testing.T) {
	reg := prometheus.NewRegistry()
	inner := kvtest.NewStore(clockwork.NewRealClock())
	m := kv.NewMetered(inner.Host("h"), reg)
	ctx := kv.WithPurpose(context.Background(), kv.PurposeLedger)
	v, err := m.Put(ctx, kv.Put{Key: "k", Value: []byte("four")})
	require.NoError(t, err)
	_, err = m.Put(ctx, kv.Put{Key: "k"})
	require.Error(t, err)
	_, err = m.Get(context.Background(), "k")
	require.NoError(t, err)
	watched := make(chan error, 1)
	go func() {
		_, err := m.Watch(ctx, kv.Watch{Key: "k", After: v, Wait: time.Hour})
		watched <- err
	}()
	waiting := func(n string) bool {
		return testutil.GatherAndCompare(reg, strings.NewReader(`# HELP comfreyspindle_platform_watches_waiting Watches that wait now.
# TYPE comfreyspindle_platform_watches_waiting gauge
comfreyspindle_platform_watches_waiting `+n+"\n"), "comfreyspindle_platform_watches_waiting") == nil
	}
	require.Eventually(t, func() bool { return waiting("1") }, 5*time.Second, time.Millisecond)
	require.NoError(t, m.Delete(ctx, "k", v))
	require.NoError(t, <-watched)
	require.True(t, waiting("0"))
	require.NoError(t, testutil.GatherAndCompare(reg, strings.NewReader(
		`# HELP comfreyspindle_platform_calls_total Calls to the platform's service by purpose, operation and outcome.
# TYPE comfreyspindle_platform_calls_total counter
comfreyspindle_platform_calls_total{op="delete",outcome="ok",purpose="ledger"} 1
comfreyspindle_platform_calls_total{op="get",outcome="ok",purpose="other"} 1
comfreyspindle_platform_calls_total{op="put",outcome="conflict",purpose="ledger"} 1
comfreyspindle_platform_calls_total{op="put",outcome="ok",purpose="ledger"} 1
comfreyspindle_platform_calls_total{op="watch",outcome="ok",purpose="ledger"} 1
`), "comfreyspindle_platform_calls_total"))
}
