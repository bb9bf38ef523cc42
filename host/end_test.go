package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// A job is ended at a host that has lost sight of the job's owner, which lives. Its items
// must not go on starting.
func TestEndReachesAnOwnerThatOthersHaveLostSightOf(t *testing.T) {
	const items, cancelTimeout = 40, 3 * time.Second
	f := newFleet(t, 500*time.Millisecond) // an item takes 4 s
	broker, other := f.startPair()
	f.submit(other, "job", items)
	require.Eventually(t, func() bool { return len(f.replicas[0].Starts()) > 0 }, 5*time.Second, 10*time.Millisecond)
	f.removeRecord(other.settings.Host)
	loseSight(broker, other.settings.Host)
	got, err := platformtest.NewCaller().End(broker.settings.Callers, "job")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.Status)
	latest := time.Now().Add(cancelTimeout)
	time.Sleep(cancelTimeout + 2*time.Second)
	for _, r := range f.replicas {
		for _, start := range r.Starts() {
			require.False(t, start.At.After(latest), "item %s began %v late", start.Request, start.At.Sub(latest))
		}
	}
}
