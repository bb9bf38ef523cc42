package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/gateway"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// startFleet starts a fleet of three hosts in two data centres with the Kyushu document.
func startFleet(t *testing.T, change func(doc *service.Document)) *fleet.Fleet {
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	change(doc)
	f, err := fleet.Start(fleet.Spec{
		Places: []fleet.Place{
			{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 2},
			{DataCentre: "kumamoto-kita", Region: "kumamoto", Hosts: 1},
		},
		Documents: []*service.Document{doc},
		Engine: func(u *service.Upstream) upstreamtest.Options {
			o := upstreamtest.DefaultOptions()
			o.ChecksFencing = u.ChecksFencing
			return o
		},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// sendAtMostOnce sends a request that may run at most once and returns the response.
func sendAtMostOnce(t *testing.T, h *fleet.Host, key string) *http.Response {
	body := `{"model":"dispatch","max_tokens":4,"messages":[{"role":"user","content":"send the quote"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+h.Node.CallersAddress()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+examples.KeyCrews)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(gateway.HeaderIdempotencyKey, key)
	req.Header.Set(gateway.HeaderRepeat, string(service.RepeatNever))
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res
}

// totalRuns returns the number of requests that all engines have run.
func totalRuns(f *fleet.Fleet) (n int) {
	for _, e := range f.Engines {
		n += e.TotalRuns()
	}
	return n
}

// TestRequestRunsAtMostOnceAcrossHosts sends the same request to every host: the
// ledger lets only the first run. A request sent while the store is unavailable is
// rejected as not run, and can be repeated later.
func TestRequestRunsAtMostOnceAcrossHosts(t *testing.T) {
	f := startFleet(t, func(*service.Document) {})
	require.Equal(t, http.StatusOK, sendAtMostOnce(t, f.Hosts[0], "q1").StatusCode)
	for _, h := range f.Hosts {
		res := sendAtMostOnce(t, h, "q1")
		require.Equal(t, http.StatusConflict, res.StatusCode)
		require.NotEqual(t, verdict.NotRun.String(), res.Header.Get(gateway.HeaderVerdict))
	}
	require.Equal(t, 1, totalRuns(f))
	f.Store.SetOutage(true)
	res := sendAtMostOnce(t, f.Hosts[1], "q2")
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, verdict.NotRun.String(), res.Header.Get(gateway.HeaderVerdict))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.Equal(t, 1, totalRuns(f))
	f.Store.SetOutage(false)
	require.Eventually(t, func() bool { return sendAtMostOnce(t, f.Hosts[1], "q2").StatusCode == http.StatusOK },
		20*time.Second, 100*time.Millisecond, "a request that was not run can be repeated")
	require.Equal(t, 2, totalRuns(f))
}

// TestEnginesReceiveRolloutOrders checks that all engines receive an order for the
// model version that the document names.
func TestEnginesReceiveRolloutOrders(t *testing.T) {
	f := startFleet(t, func(doc *service.Document) {
		doc.Upstreams = doc.Upstreams[:2]
		for i := range doc.Upstreams {
			doc.Upstreams[i].ChecksFencing = true
		}
		doc.Models[0].Version = "2"
		doc.Orders.Enabled, doc.Orders.Floor, doc.Orders.Soak = true, 0, 0
	})
	require.Eventually(t, func() bool {
		for _, e := range f.Engines {
			orders := e.Orders()
			if len(orders) == 0 || orders[len(orders)-1].Version != "2" {
				return false
			}
		}
		return true
	}, 30*time.Second, 50*time.Millisecond)
}

// TestCrossRegionRequestsRequireByteCeiling checks that a request runs on an upstream
// in another region only if the document's ceiling of cross-region bytes allows it.
func TestCrossRegionRequestsRequireByteCeiling(t *testing.T) {
	for _, ceiling := range []int64{0, 1 << 30} {
		t.Run(fmt.Sprint(ceiling), func(t *testing.T) {
			f := startFleet(t, func(doc *service.Document) {
				doc.Routing.Scope = service.ScopeAny
				doc.Upstreams = doc.Upstreams[:1]
				doc.Ceilings.CrossRegionBytes = ceiling
			})
			far := f.In("kumamoto-kita")[0]
			key := 0
			ok := func() bool {
				key++
				return sendAtMostOnce(t, far, fmt.Sprint(key)).StatusCode == http.StatusOK
			}
			if ceiling == 0 {
				require.False(t, ok())
				require.Zero(t, totalRuns(f))
				return
			}
			require.Eventually(t, ok, 20*time.Second, 50*time.Millisecond)
			e, err := f.Store.Get(context.Background(), "escrow/dispatch-llm")
			require.NoError(t, err)
			require.NotEmpty(t, e.Value)
		})
	}
}
