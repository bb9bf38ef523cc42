package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// callWithKey sends a request with a key to a host.
func callWithKey(t *testing.T, h *Host, key, id string) platformtest.Response {
	caller := platformtest.NewCaller()
	caller.Key = key
	res, err := caller.Call(h.settings.Callers, http.MethodPost, "/s/x", id, "body")
	require.NoError(t, err)
	return res
}

// A request with a removed key that still runs on some host, or a key that an edit left in
// place and that is refused.
func TestRemovedKeyIsRefusedByAllHosts(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.put(platformtest.ConfigOfCustomers(2, "svc", platformtest.Customer{Name: "acme", Keys: []string{"old", "kept"}}))
	hosts := []*Host{f.serve(f.settingsAt("a", "dc", f.address)), f.serve(f.settingsAt("b", "dc", f.address)), f.serve(f.settingsAt("c", "other", f.address))}
	for _, h := range hosts {
		for _, key := range []string{"old", "kept"} {
			require.Equal(t, http.StatusOK, callWithKey(t, h, key, "before-"+h.settings.Host+key).Status)
		}
	}
	f.put(platformtest.ConfigOfCustomers(3, "svc", platformtest.Customer{Name: "acme", Keys: []string{"kept"}}))
	time.Sleep(revocationInTests)
	for _, h := range hosts {
		require.Equal(t, http.StatusUnauthorized, callWithKey(t, h, "old", "after-"+h.settings.Host).Status, h.settings.Host)
		require.Equal(t, http.StatusOK, callWithKey(t, h, "kept", "kept-"+h.settings.Host).Status, h.settings.Host)
		for _, r := range f.replicas {
			begun, _ := r.RunCounts("after-" + h.settings.Host)
			require.Zero(t, begun, h.settings.Host)
		}
	}
}

// A customer over its quota whose requests run, are refused without a time to come back,
// or keep another customer from being served.
func TestCustomerOverItsQuotaGets429(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.put(platformtest.ConfigOfCustomers(2, "svc",
		platformtest.Customer{Name: "hot", Keys: []string{"hot"}, RatePerS: 2, Burst: 2}, platformtest.Customer{Name: "other", Keys: []string{"other"}}))
	s := f.newSettings("a", "dc", f.address)
	s.QuotaWindow, s.QuotaExcess, s.QuotaSlack = 5*time.Second, 0.1, 4
	h := f.serve(s)
	const most = (2*5+2)*1.1 + 4
	served, refused := 0, 0
	for end, n := time.Now().Add(5*time.Second), 0; time.Now().Before(end); n++ {
		res := callWithKey(t, h, "hot", fmt.Sprint("hot-", n))
		if res.Status == http.StatusOK {
			served++
			continue
		}
		refused++
		require.Equal(t, http.StatusTooManyRequests, res.Status)
		require.NotEmpty(t, res.RetryAfter)
		require.Equal(t, http.StatusOK, callWithKey(t, h, "other", fmt.Sprint("other-", n)).Status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Positive(t, served)
	require.Positive(t, refused)
	require.LessOrEqual(t, float64(served), most)
}
