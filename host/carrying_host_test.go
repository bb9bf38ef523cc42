package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// silentCut is the cut after which nothing arrives from any replica.
var silentCut = cut{silent: true, openHang: true}

// framings are those of the responses of replicas.
var framings = map[string]platformtest.ResponseFraming{
	"length":  {WithLength: true},
	"chunked": {},
	"close":   {CloseDelimitedEvery: 1},
}

// newCarryingFleet starts hosts in their data centres, by name, of which host "a" has found out that it
// is cut off from all replicas, whose responses take 8 times the interval and have the framing.
func newCarryingFleet(t *testing.T, eventInterval time.Duration, framing platformtest.ResponseFraming, dataCentres map[string]string) (*fleet, map[string]*Host, map[string]*link) {
	f := newStopFleet(t, 2*time.Millisecond)
	for _, r := range f.replicas {
		r.SetFraming(framing)
	}
	hosts, links := f.startLinked(dataCentres)
	requireServed(t, hosts["a"], "before", 3)
	links["a"].fail(silentCut)
	ctx, cancel := context.WithTimeout(t.Context(), contactTime)
	defer cancel()
	for i := 0; !hosts["a"].paths.CutOff() && ctx.Err() == nil; i++ {
		// These may fail.
		go func() {
			_, _ = platformtest.Call(hosts["a"].settings.Callers, http.MethodPost, "/f/x", fmt.Sprint("during", i), "body")
		}()
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(t, ctx.Err())
	time.Sleep(contactTime)
	for _, r := range f.replicas {
		r.SetEventInterval(eventInterval)
	}
	return f, hosts, links
}

// callsInProgress sends requests of all kinds to a host and waits until all run.
func callsInProgress(t *testing.T, f *fleet, h *Host, name string, n int) *answers {
	all := &answers{}
	for i := range n {
		for _, path := range []string{resumablePath, streamPath, atMostOncePath, idempotentPath} {
			c, err := platformtest.Dial(h.settings.Callers)
			require.NoError(t, err)
			t.Cleanup(c.Close)
			all.wg.Go(func() { all.add(c.Call(path, fmt.Sprint(name, path, i), 15*time.Second)) })
		}
	}
	require.Eventually(t, func() bool { return f.running(name, n) == 4*n }, 5*time.Second, time.Millisecond)
	return all
}

// running returns the number of requests of callsInProgress that have begun on replicas.
func (f *fleet) running(name string, n int) int {
	begun := 0
	for i := range n {
		for _, path := range []string{resumablePath, streamPath, atMostOncePath, idempotentPath} {
			if f.runs(fmt.Sprint(name, path, i)) > 0 {
				begun++
			}
		}
	}
	return begun
}

// Callers of a host that is cut off must not notice that the hosts stop that carry its connections.
func TestPlannedStopOfACarryingHostCutsNothing(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			f, hosts, _ := newCarryingFleet(t, 450*time.Millisecond, framing, map[string]string{"a": "dc", "b": "dc", "c": "dc"})
			all := callsInProgress(t, f, hosts["a"], "running", 4)
			carrier := requireCarrier(t, hosts["b"], hosts["c"])
			delete(f.hosts, carrier.settings.Host)
			began := time.Now()
			stopped := make(chan time.Duration, 1)
			go func() {
				_ = carrier.Stop(context.Background())
				stopped <- time.Since(began)
			}()
			time.Sleep(100 * time.Millisecond)
			later := callsInProgress(t, f, hosts["a"], "later", 3)
			require.Less(t, <-stopped, 5*time.Second, "idle tunnels don't hold the stop up")
			for _, a := range append(all.wait(), later.wait()...) {
				requireWhole(t, f, framing, a)
			}
		})
	}
}

// A response must not look complete that ends with the host that carries it, and those that may be repeated go on.
func TestCarryingHostThatDiesInTheMiddleOfAResponse(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			f, hosts, _ := newCarryingFleet(t, 150*time.Millisecond, framing, map[string]string{"a": "dc", "b": "dc", "c": "dc"})
			all := callsInProgress(t, f, hosts["a"], "running", 4)
			time.Sleep(400 * time.Millisecond)
			f.kill(requireCarrier(t, hosts["b"], hosts["c"]).settings.Host)
			again := 0
			for _, a := range all.wait() {
				again += f.runs(a.Request) - 1
				requireTruth(t, f, a)
			}
			require.Positive(t, again)
			requireServed(t, hosts["a"], "after", 3)
		})
	}
}

// requireCarrier returns the one of two hosts that carries more connections now. One that was late once
// is passed over for two seconds, so the other may carry all.
func requireCarrier(t *testing.T, b, c *Host) *Host {
	t.Helper()
	t.Logf("carried: %d by %s, %d by %s", carried(b), b.settings.Host, carried(c), c.settings.Host)
	if carried(c) > carried(b) {
		b = c
	}
	require.Positive(t, carried(b))
	return b
}

// requireTruth checks that an answer is complete or can't be taken for a complete one. Only
// streams that can be resumed go on once they have begun.
func requireTruth(t *testing.T, f *fleet, a platformtest.Answer) {
	t.Helper()
	isResumable := strings.Contains(a.Request, resumablePath)
	if isResumable {
		require.NoError(t, a.Err, a.Request)
	}
	if isResumable || a.Status == http.StatusOK && a.Err == nil {
		require.Equal(t, completeStream(), a.Body, a.Request)
	}
	if strings.Contains(a.Request, atMostOncePath) {
		require.Equal(t, 1, f.runs(a.Request), a.Request)
	}
}

// requireWhole checks that an answer came whole from one run. The end of a stream that its
// connection shows is confirmed by another run if it can be resumed.
func requireWhole(t *testing.T, f *fleet, framing platformtest.ResponseFraming, a platformtest.Answer) {
	t.Helper()
	require.NoError(t, a.Err, a.Request)
	require.Equal(t, http.StatusOK, a.Status, a.Request)
	require.Equal(t, completeStream(), a.Body, a.Request)
	if framing.CloseDelimitedEvery == 0 || !strings.Contains(a.Request, resumablePath) {
		require.Equal(t, 1, f.runs(a.Request), a.Request)
	}
}

// Responses on the way must be complete though their host reaches the replicas again in the middle.
func TestCutThatHealsInTheMiddleOfAResponse(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			f, hosts, links := newCarryingFleet(t, 200*time.Millisecond, framing, map[string]string{"a": "dc", "b": "dc", "c": "dc"})
			all := callsInProgress(t, f, hosts["a"], "running", 4)
			links["a"].restore()
			require.Eventually(t, func() bool { return !hosts["a"].paths.CutOff() }, 2*time.Second, time.Millisecond)
			later := callsInProgress(t, f, hosts["a"], "later", 3)
			for _, a := range append(all.wait(), later.wait()...) {
				requireWhole(t, f, framing, a)
			}
			require.Eventually(t, func() bool { return carried(hosts["b"])+carried(hosts["c"]) == 0 }, 2*time.Second, 10*time.Millisecond)
		})
	}
}
