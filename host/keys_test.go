package host

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Keys must appear in no log line of a host and in no request to a replica, online or of a
// job, while replicas learn the customer's name.
func TestKeysStayOnTheHost(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	logs := &lockedBuffer{}
	f.logs = logs
	var mu sync.Mutex
	var received, customers []string
	for _, r := range f.replicas {
		r.SetCrash(func(h http.Header, body string) bool {
			mu.Lock()
			defer mu.Unlock()
			received = append(received, fmt.Sprint(h, body))
			customers = append(customers, platformtest.CustomerIn(h)...)
			return false
		}, nil)
	}
	f.put(platformtest.ConfigOfCustomers(2, "svc",
		platformtest.Customer{Name: "acme", Keys: []string{"secret-a"}}, platformtest.Customer{Name: "zeta", Keys: []string{"secret-z"}},
		platformtest.Customer{Name: "faulty", Keys: []string{"secret-f", "secret-z"}, Burst: -1}))
	h := f.start("a")
	require.Eventually(t, func() bool { return h.config.Table().Version == 2 }, 10*time.Second, 10*time.Millisecond)
	statuses := make(map[string]int)
	for _, key := range []string{"", "secret-a", "secret-f", "secret-z", "secret-unknown"} {
		caller := platformtest.NewCaller()
		caller.Key = key
		res, err := caller.Call(h.settings.Callers, http.MethodPost, "/s/x", "q"+key[max(len(key)-1, 0):], "body")
		require.NoError(t, err)
		statuses[key] = res.Status
	}
	require.Equal(t, map[string]int{"": 401, "secret-a": 200, "secret-f": 401, "secret-z": 401, "secret-unknown": 401}, statuses)
	caller := platformtest.NewCaller()
	caller.Key = "secret-a"
	res, err := caller.Submit(h.settings.Callers, "job", 3)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, res.Status)
	require.Eventually(t, func() bool {
		results, err := caller.ResultsAfter(h.settings.Callers, "job", 0)
		return err == nil && len(results) == 3
	}, 20*time.Second, 50*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []string{"acme", "acme", "acme", "acme"}, customers, "one request and three items")
	for _, request := range received {
		require.NotContains(t, request, "secret")
	}
	require.Eventually(t, func() bool { return strings.Contains(logs.String(), "results recorded") }, 10*time.Second, 10*time.Millisecond)
	for _, reason := range []string{"not a number of requests", "another customer has the key"} {
		require.Equal(t, 1, strings.Count(logs.String(), reason), "each fault is logged once")
	}
	require.NotContains(t, logs.String(), "secret")
}
