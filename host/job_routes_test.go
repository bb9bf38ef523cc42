package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// statusesOf makes each call about a job with a key and returns the statuses: the read, the
// body of an item, the submission again and the end.
func statusesOf(t *testing.T, h *Host, key, job string) []int {
	caller := platformtest.NewCaller()
	caller.Key = key
	var statuses []int
	for _, call := range []func() (platformtest.Response, error){
		func() (platformtest.Response, error) { return caller.Read(h.settings.Callers, job, 0) },
		func() (platformtest.Response, error) { return caller.Body(h.settings.Callers, job, 0) },
		func() (platformtest.Response, error) { return caller.Submit(h.settings.Callers, job, 2) },
		func() (platformtest.Response, error) { return caller.End(h.settings.Callers, job) },
	} {
		res, err := call()
		require.NoError(t, err)
		statuses = append(statuses, res.Status)
	}
	return statuses
}

// A job is found by its id after the configuration has dropped, moved or opened its route, and
// only by the customer that submitted it. Its reads, bodies, repeats and its end got 404.
func TestJobIsReachedByItsCustomerWhateverBecomesOfItsRoute(t *testing.T) {
	customers := []platformtest.Customer{{Name: "acme", Keys: []string{"acme"}}, {Name: "zeta", Keys: []string{"zeta"}}}
	for name, change := range map[string]platformtest.BatchRoute{
		"removed": platformtest.BatchRemoved, "moved": platformtest.BatchMoved, "public": platformtest.BatchPublic,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, time.Millisecond)
			f.put(platformtest.ConfigOfCustomers(2, "svc", customers...))
			hosts := []*Host{f.start("a"), f.start("b")}
			f.awaitVersion(2)
			owner := platformtest.NewCaller()
			owner.Key = "acme"
			for _, job := range []string{"job-a", "job-b"} {
				res, err := owner.Submit(hosts[0].settings.Callers, job, 2)
				require.NoError(t, err)
				require.Equal(t, http.StatusAccepted, res.Status)
			}
			f.put(platformtest.WithBatchRoute(platformtest.ConfigOfCustomers(3, "svc", customers...), change))
			f.awaitVersion(3)
			for _, h := range hosts {
				job := "job-" + h.settings.Host
				for _, stranger := range []string{"zeta", "", "unknown"} {
					for i, status := range statusesOf(t, h, stranger, job) {
						require.Contains(t, []int{http.StatusUnauthorized, http.StatusNotFound}, status, "call %d with key %q at %s", i, stranger, job)
					}
				}
				require.Equal(t, []int{200, 200, 202, 200}, statusesOf(t, h, "acme", job), job)
			}
		})
	}
}

// A job that was submitted without a key, where none was needed, is reached without one
// after its route is gone, moved or needs a key.
func TestJobWithoutACustomerIsReachedWhateverBecomesOfItsRoute(t *testing.T) {
	customers := platformtest.Customer{Name: "acme", Keys: []string{"acme"}}
	for name, change := range map[string]platformtest.BatchRoute{"removed": platformtest.BatchRemoved, "moved": platformtest.BatchMoved} {
		for _, withCustomers := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, customers %t", name, withCustomers), func(t *testing.T) {
				f := newFleet(t, time.Millisecond)
				before, after := platformtest.ConfigVersion(2, "svc"), platformtest.ConfigVersion(3, "svc")
				if withCustomers {
					before = platformtest.WithBatchRoute(platformtest.ConfigOfCustomers(2, "svc", customers), platformtest.BatchPublic)
					after = platformtest.ConfigOfCustomers(3, "svc", customers)
				}
				f.put(before)
				a := f.start("a")
				f.awaitVersion(2)
				f.submit(a, "job", 2)
				f.put(platformtest.WithBatchRoute(after, change))
				f.awaitVersion(3)
				require.Equal(t, []int{200, 200, 202, 200}, statusesOf(t, a, "", "job"))
				for _, status := range statusesOf(t, a, "", "none") {
					require.Contains(t, []int{http.StatusUnauthorized, http.StatusNotFound}, status)
				}
			})
		}
	}
}

// awaitVersion waits until all hosts have a version of the configuration.
func (f *fleet) awaitVersion(version int64) {
	for _, h := range f.hosts {
		require.Eventually(f.t, func() bool { return h.config.Table().Version == version }, testTimeout, time.Millisecond)
	}
}
