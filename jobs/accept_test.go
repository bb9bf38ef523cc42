package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// failCommits lets the first commits fail.
func (c *cluster) failCommits(f txntest.Fault, n int) {
	c.store.SetFault(func(call string) txntest.Fault {
		if call != "commit" || n == 0 {
			return txntest.None
		}
		n--
		return f
	})
}

// A job that comes again while it is being recorded is the same job: its items
// would otherwise run twice, once for each copy.
func TestJobThatComesAgainMeanwhileIsAdoptedOnce(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	c.failCommits(txntest.LoseRequest, 2)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- a.Submit(context.Background(), submission(2)) }()
	go func() { second <- a.Submit(context.Background(), submission(2)) }()
	require.NoError(t, <-first)
	a.mu.Lock()
	adopted := a.jobs["job"]
	a.mu.Unlock()
	require.NoError(t, <-second)
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Same(t, adopted, a.jobs["job"])
	require.Equal(t, 3, c.store.Calls("commit"), "one repeat a lost commit and the one that counts")
}

// The write of an acceptance takes effect after its host has given up, and the
// job comes again at another host.
func TestAcceptanceThatTakesEffectLateHasAnOwner(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.failCommits(txntest.Late, 100)
	err := c.hosts["a"].Submit(context.Background(), submission(1))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	c.store.SetFault(nil)
	c.store.ReleaseLate()
	require.NoError(t, c.hosts["b"].Submit(context.Background(), submission(1)))
	require.Eventually(t, func() bool { return c.owners("job") == 1 }, lateInterval/2, time.Millisecond)
}

// The same without a second host: the first finds out by itself.
func TestHostFindsItsLateAcceptance(t *testing.T) {
	c := newCluster(t, "a")
	c.failCommits(txntest.Late, 100)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.hosts["a"].Submit(context.Background(), submission(1))))
	c.store.ReleaseLate()
	require.Eventually(t, func() bool { return c.owners("job") == 1 }, 5*time.Second, 10*time.Millisecond)
}

// A take-over takes effect after its host has given up waiting for the answer.
// The host that offered the job keeps it until the outcome is known.
func TestTakeOverThatTakesEffectLateHasAnOwner(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	c.failCommits(txntest.Late, 2)
	a.HandOver(t.Context())
	require.Equal(t, 1, c.owners("job"))
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Contains(t, b.jobs, "job")
}

// A last write of the former owner meets the take-over.
func TestTakeOverThatMeetsALateWrite(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), submission(2)))
	a.runItem()
	n := 0
	c.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" {
			if n++; n == 1 {
				go a.record(t)
				return txntest.LoseRequest
			}
		}
		return txntest.None
	})
	require.NoError(t, b.claim(t.Context(), "job", "a", nil))
	require.Contains(t, b.jobs, "job")
	require.Len(t, b.jobs["job"].results, 1)
}

// A host that the store names as owner, and that doesn't know the job, gets it
// back when the job is read.
func TestReadingAJobFindsItsOwnerAnew(t *testing.T) {
	c := newCluster(t, "a", "b")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.mu.Lock()
	delete(a.jobs, "job")
	a.mu.Unlock()
	for _, reader := range []string{"a", "b"} {
		require.Eventually(t, func() bool {
			require.Empty(t, c.results(reader, 0))
			return c.owners("job") == 1
		}, 5*time.Second, 10*time.Millisecond, "read at %s", reader)
		for _, h := range c.hosts {
			h.mu.Lock()
			delete(h.jobs, "job")
			h.mu.Unlock()
		}
	}
}

// A host that has just started takes its own jobs by itself.
func TestJobOfAnEarlierStartIsLeftToItsHost(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(1)))
	c.add("a", 2, "a", "b")
	var reply OwnsReply
	require.NoError(t, c.hosts["a"].Peer().Owns(OwnsArgs{ID: "job", Incarnation: 1}, &reply))
	require.True(t, reply.Owned)
	require.NoError(t, c.hosts["a"].Peer().Owns(OwnsArgs{ID: "job", Incarnation: 2}, &reply))
	require.False(t, reply.Owned)
}

// owners counts the hosts that own a job.
func (c *cluster) owners(id string) int {
	n := 0
	for _, h := range c.hosts {
		h.mu.Lock()
		if j, ok := h.jobs[id]; ok && !j.lost {
			n++
		}
		h.mu.Unlock()
	}
	return n
}

// While the store doesn't answer, a job is refused before anything is sent
// whose outcome would be unknown.
func TestJobIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	a.StoreUnavailable = func() bool { return true }
	c.store.SetFault(func(string) txntest.Fault { return txntest.LoseRequest })
	err := verdict.As(a.Submit(context.Background(), submission(1)))
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, awayPause, err.RetryAfter)
	require.Zero(t, c.store.Calls("commit"))
	c.store.SetFault(nil)
	require.NoError(t, a.Submit(context.Background(), submission(1)), "a look shows that it is back")
}
