package host

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// rateWindow is the time in which a replica may get one and a half times what its
// limit allows, and rateSlack requests more.
const (
	rateWindow = 4 * time.Second
	rateSlack  = 5
	// callInterval is the time between the requests of callInTurn.
	callInterval = 10 * time.Millisecond
)

// limitAll sets the rate limit that all replicas name.
func (f *fleet) limitAll(perSecond float64) {
	for _, r := range f.replicas {
		r.SetRateLimit(perSecond)
	}
}

// requireWithinRateLimit checks the requests that each replica got in any rateWindow.
func (f *fleet) requireWithinRateLimit(perSecond float64) {
	f.t.Helper()
	for _, r := range f.replicas {
		starts := r.Starts()
		first := 0
		for i, start := range starts {
			for start.At.Sub(starts[first].At) > rateWindow {
				first++
			}
			require.LessOrEqual(f.t, float64(i+1-first), 1.5*perSecond*rateWindow.Seconds()+rateSlack, "requests of replica %s in %v", r.ID, rateWindow)
		}
	}
}

// callUrgently makes a request that is refused unless it can start soon.
func callUrgently(h *Host, id string) (platformtest.Response, error) {
	return platformtest.Call(h.settings.Callers, http.MethodPost, "/f/x", id, "body")
}

// callInTurn makes requests to the hosts in turn and returns the number of those that
// were served. The others must be refused as not run.
func (f *fleet) callInTurn(prefix string, n int, hosts ...*Host) (served int) {
	f.t.Helper()
	var wg sync.WaitGroup
	statuses := make([]int, n)
	for i := range n {
		wg.Go(func() {
			got, err := callUrgently(hosts[i%len(hosts)], fmt.Sprint(prefix, i))
			if assert.NoError(f.t, err) {
				statuses[i] = got.Status
			}
		})
		time.Sleep(callInterval)
	}
	wg.Wait()
	for _, status := range statuses {
		if status == http.StatusOK {
			served++
			continue
		}
		require.Equal(f.t, http.StatusServiceUnavailable, status)
	}
	return served
}

func (f *fleet) waitForHosts(all ...*Host) {
	for _, h := range all {
		require.Eventually(f.t, func() bool { return len(h.view.Local())+len(h.view.Remote()) >= len(all) }, 10*time.Second, 10*time.Millisecond)
	}
}

func TestReplicasGetNoMoreRequestsThanTheirRateLimit(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.limitAll(2)
	hosts := []*Host{f.start("a"), f.start("b"), f.startAt("c", "other", f.address)}
	f.waitForHosts(hosts...)
	require.Positive(t, f.callInTurn("q", 90, hosts...))
	f.requireWithinRateLimit(2)
}

func TestItemsCountAgainstTheRateLimit(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.limitAll(2)
	a := f.start("a")
	for _, r := range f.replicas {
		callUntilRunOn(t, a, r, "says-"+r.ID+"-")
	}
	f.submit(a, "job", 60)
	require.Eventually(t, func() bool { return f.countResults(a, "job") > 0 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second)
	f.requireWithinRateLimit(2)
}

// The next broker has heard of no limit itself.
func TestNextBrokerKeepsToTheRateLimit(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.limitAll(2)
	hosts := []*Host{f.start("a"), f.start("b"), f.start("c")}
	f.waitForHosts(hosts...)
	for len(hosts) > 1 {
		f.callInTurn(fmt.Sprint("q", len(hosts), "-"), 60, hosts...)
		for i, h := range hosts {
			if h.slotClient.IsBroker() {
				f.kill(h.settings.Host)
				hosts = append(hosts[:i:i], hosts[i+1:]...)
				break
			}
		}
	}
	f.callInTurn("last", 60, hosts...)
	f.requireWithinRateLimit(2)
}

func TestReplicaWithoutRateLimitAgainGetsAllRequests(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.limitAll(1)
	hosts := []*Host{f.start("a"), f.start("b")}
	f.waitForHosts(hosts...)
	f.callInTurn("limited", 40, hosts...)
	for _, r := range f.replicas {
		r.EndRateLimit()
	}
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			got, err := callUrgently(h, fmt.Sprint(time.Now().UnixNano()))
			require.NoError(t, err)
			return got.Status == http.StatusOK && h.replicas.countRateLimited() == 0
		}, 10*time.Second, 10*time.Millisecond)
	}
	require.Equal(t, 60, f.callInTurn("free", 60, hosts...))
}
