package jobs

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/slots"
)

// storeCalls returns the calls to the store by name.
func (c *cluster) storeCalls() map[string]int {
	calls := make(map[string]int)
	for _, name := range []string{"get", "range", "commit", "watch", "grant", "keep", "revoke"} {
		if n := c.store.Calls(name); n > 0 {
			calls[name] = n
		}
	}
	return calls
}

// Each call to the store costs money. A job costs one for its acceptance and one for each
// delay in which results came, and reads at other hosts of the region cost none.
func TestStoreCallsOfAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(t, "a", "b")
		a := c.hosts["a"]
		served := make(chan struct{})
		go func() { defer close(served); _ = a.Serve(ctx) }()
		s := submission(10)
		s.RunTarget = 18 * time.Second
		require.NoError(t, a.Submit(ctx, s))
		for range 10 {
			time.Sleep(700 * time.Millisecond)
			require.Equal(t, slots.Done, a.grantSlot())
			c.results("b", 0)
		}
		time.Sleep(time.Second)
		require.Len(t, c.results("b", 0), 10)
		require.Equal(t, map[string]int{"commit": 1 + 3}, c.storeCalls())
		cancel()
		<-served
	})
}

// Results that come late are recorded sooner, since a host that fails would take more of
// the time in which they can be produced again.
func TestFlushDelay(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{
		-time.Second: minFlushDelay, 0: minFlushDelay, 6 * time.Second: minFlushDelay, 8 * time.Second: 1600 * time.Millisecond,
		12 * time.Second: maxFlushDelay, time.Hour: maxFlushDelay,
	} {
		require.Equal(t, want, flushDelay(left), left)
	}
}

// After the failure of a host all its jobs are taken over at once, while the store has
// more to do than usual.
func TestStoreCallsOfATakeover(t *testing.T) {
	const jobs, results = 3, 4
	c := newCluster(t, "a")
	a := c.hosts["a"]
	for i := range jobs {
		s := submission(jobs*results + 1)
		s.ID = fmt.Sprint("job", i)
		require.NoError(t, a.Submit(t.Context(), s))
	}
	for range jobs * results {
		require.Equal(t, slots.Done, a.grantSlot())
		a.flushNow(t)
	}
	recorded, lists, gets := 0, 1, jobs
	for _, j := range a.jobs {
		n := len(j.head.ChunkStarts)
		recorded += n
		switch {
		case n > 1:
			lists++
		case n == 1:
			gets++
		}
	}
	require.Equal(t, jobs*results, recorded)
	b := c.addHost("b", 1)
	before := c.storeCalls()
	require.NoError(t, b.Recover(t.Context(), true))
	after := c.storeCalls()
	require.Len(t, b.jobs, jobs)
	// One list for all head records, and for each job one call for its items and one for
	// its results.
	require.Equal(t, lists, after["range"]-before["range"])
	require.Equal(t, gets, after["get"]-before["get"])
	require.Equal(t, jobs, after["commit"]-before["commit"])
	taken := 0
	for _, j := range b.jobs {
		taken += len(j.recorded)
	}
	require.Equal(t, recorded, taken)
}

// A host that isn't known to have left may still write when its job is taken over. Its
// results must not be lost, nor recorded twice.
func TestTakeoverAfterAnOutdatedListing(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(4)))
	a.grantSlot()
	a.flushNow(t)
	listed, err := c.store.Get(t.Context(), headKey("job"))
	require.NoError(t, err)
	head, err := decodeHead(listed)
	require.NoError(t, err)
	for range 2 {
		a.grantSlot()
		a.flushNow(t)
	}
	b := c.addHost("b", 1)
	require.NoError(t, b.claimListed(t.Context(), head, listed.Rev))
	require.Len(t, b.jobs["job"].recorded, 3)
	require.Equal(t, slots.Done, b.grantSlot())
	b.flushNow(t)
	a.grantSlot()
	a.flushNow(t)
	require.Empty(t, a.jobs, "disowned")
	require.Len(t, c.results("b", 0), 4)
}
