package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Guards against a part of a stream that a caller gets as complete, because the connection of
// a replica that ended between two events was closed in order.
func TestStreamOfAReplicaThatEndsBetweenTwoEventsIsWhole(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v1", "v1")
	for i, r := range f.replicas {
		r.SetFraming(platformtest.ResponseFraming{CloseDelimitedEvery: 1})
		if i > 0 {
			r.SetCrash(func(_ http.Header, body string) bool { return body == "body" }, func() {})
			r.SetCrashAfter(i + 1)
		}
	}
	a := f.start("a")
	for i := range 20 {
		got, err := call(a, fmt.Sprint("q", i))
		if err == nil && got.Status == http.StatusOK {
			require.Equal(t, 8, strings.Count(got.Body, "data: "), "%s", got.Body)
		}
	}
	for i, r := range f.replicas[1:] {
		runs := 0
		for _, n := range r.Runs() {
			runs += n
		}
		require.Positive(t, runs, "replica %d has ended in a stream", i+1)
	}
	got, err := call(a, "last")
	require.NoError(t, err)
	require.Equal(t, 8, strings.Count(got.Body, "data: "), "its end was confirmed")
}
