package fleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// leavingBound is the stated time within which a leaving upstream gets no new
// work on any host.
const leavingBound = 3 * time.Second

// leavingOn returns the hosts that know that an upstream leaves.
func leavingOn(t *testing.T, h *fleet.Host, name string) map[string]bool {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.Node.OperatorsAddress()+"/v1/upstreams", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorToken)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var all admin.Upstreams
	require.NoError(t, json.NewDecoder(res.Body).Decode(&all))
	out := make(map[string]bool)
	for _, row := range all.Rows {
		if row.Name == name && row.State != membership.Alive {
			out[row.Host] = true
		}
	}
	return out
}

// TestLeavingUpstreamOnEveryHost: one host alone meets an upstream that leaves,
// which the document still lists. Within 3 s no host sends it work, and it is
// not resurrected when it no longer says that it leaves.
func TestLeavingUpstreamOnEveryHost(t *testing.T) {
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	f, err := fleet.Start(fleet.Spec{
		Places:    []fleet.Place{{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 3}},
		Documents: []*service.Document{doc},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	send := func(h *fleet.Host, n int) {
		c := client(h, examples.KeyCrews)
		for range n {
			_, err := c.Chat.Completions.New(context.Background(), chatParams("where next", 2))
			require.NoError(t, err, "a leaving upstream must cost no request")
		}
	}
	for _, h := range f.Hosts {
		send(h, 1)
	}
	var name string
	for _, u := range doc.Upstreams {
		if u.DataCentre == "fukuoka-hakata" {
			name = u.Name
		}
	}
	engine := f.Engines[name]
	engine.SetLeaving(true)
	start := time.Now()
	require.Eventually(t, func() bool {
		send(f.Hosts[0], 1)
		return leavingOn(t, f.Hosts[0], name)[f.Hosts[0].Settings.Host]
	}, 20*time.Second, time.Millisecond, "the first host meets it")
	met := time.Now()
	require.Eventually(t, func() bool { return len(leavingOn(t, f.Hosts[0], name)) == 3 }, leavingBound, 5*time.Millisecond)
	t.Logf("met after %s, known on all hosts %s later", met.Sub(start), time.Since(met))
	asked := engine.Asked()
	for _, leaving := range []bool{true, false} {
		engine.SetLeaving(leaving)
		for _, h := range f.Hosts {
			send(h, 30)
		}
		require.Equal(t, asked, engine.Asked(), "asked while it says leaving is %t", leaving)
	}
}
