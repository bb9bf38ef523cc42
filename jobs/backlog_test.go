package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// itemTokens are the tokens of each item of largeSubmission.
const itemTokens = 100

// largeSubmission returns a job whose items have itemTokens each.
func largeSubmission(id string, items int) Submission {
	s := submission(items)
	s.ID = id
	for i := range s.Items {
		s.Items[i].Tokens = itemTokens
	}
	return s
}

func requireOverLimit(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	e := verdict.As(err)
	require.Equal(t, verdict.CodeOverloaded, e.Code)
	require.Equal(t, verdict.NotRun, e.Verdict)
}

// waitForNewCount waits until hosts no longer refuse jobs on their last count.
func waitForNewCount() { time.Sleep(300 * time.Millisecond) }

// The queue is full: further jobs are refused as not run, at each host, until items
// finish or a job is ended. Accepted jobs are confirmed when they are sent again.
func TestJobsOverTheLimitAreRefused(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 4 * itemTokens
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), largeSubmission("j1", 2)))
	require.NoError(t, b.Submit(t.Context(), largeSubmission("j2", 2)))
	for _, h := range c.hosts {
		requireOverLimit(t, h.Submit(t.Context(), largeSubmission("j3", 1)))
		require.NoError(t, h.Submit(t.Context(), largeSubmission("j1", 2)))
	}
	a.grantSlot()
	a.flushNow(t)
	waitForNewCount()
	require.NoError(t, b.Submit(t.Context(), largeSubmission("j3", 1)), "an item has finished")
	requireOverLimit(t, a.Submit(t.Context(), largeSubmission("j4", 2)))
	go b.flushNowEventually(t)
	require.NoError(t, b.End(t.Context(), Access{}, "j2"))
	waitForNewCount()
	require.NoError(t, a.Submit(t.Context(), largeSubmission("j4", 2)), "a job was ended")
}

// flushNowEventually records changes until the test ends.
func (h *testHost) flushNowEventually(t *testing.T) {
	for t.Context().Err() == nil {
		h.flush(t.Context())
		time.Sleep(time.Millisecond)
	}
}

// All hosts are lost. Those that start in their place count what still waits.
func TestCountSurvivesTheLossOfAllHosts(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 3 * itemTokens
	require.NoError(t, c.hosts["a"].Submit(t.Context(), largeSubmission("j1", 2)))
	for _, name := range []string{"a", "b"} {
		c.addHost(name, 2, "a", "b")
	}
	requireOverLimit(t, c.hosts["b"].Submit(t.Context(), largeSubmission("j2", 2)))
	require.NoError(t, c.hosts["a"].Submit(t.Context(), largeSubmission("j3", 1)))
	require.NoError(t, c.hosts["a"].Recover(t.Context(), true))
	requireOverLimit(t, c.hosts["b"].Submit(t.Context(), largeSubmission("j4", 1)))
}

// A take-over neither adds to what waits nor removes from it.
func TestTakeOverKeepsTheCount(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 3 * itemTokens
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), largeSubmission("j1", 3)))
	a.grantSlot()
	a.HandOver(t.Context())
	requireOverLimit(t, b.Submit(t.Context(), largeSubmission("j2", 2)))
	waitForNewCount()
	require.NoError(t, b.Submit(t.Context(), largeSubmission("j3", 1)))
}

// The store executes the acceptance but its reply is lost, or the request is lost,
// or it takes effect late. The outcome is that of a job recorded once.
func TestAcceptanceUnderLimitSurvivesFaults(t *testing.T) {
	for name, fault := range map[string]txntest.Fault{
		"lost reply": txntest.LoseReply, "lost request": txntest.LoseRequest, "refused": txntest.Refuse,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			c.maxWaitingTokens = 100 * itemTokens
			a, b := c.hosts["a"], c.hosts["b"]
			require.NoError(t, b.Submit(t.Context(), largeSubmission("j0", 1)))
			for i := range 3 {
				c.failCommits(fault, 1)
				err := a.Submit(t.Context(), largeSubmission(fmt.Sprint("a", i), 1))
				if fault == txntest.Refuse {
					require.Equal(t, verdict.NotRun, verdict.Of(err))
					require.NoError(t, a.Submit(t.Context(), largeSubmission(fmt.Sprint("a", i), 1)))
				} else {
					require.NoError(t, err)
				}
			}
			jobs, err := a.queueJobs(t.Context(), backlog.Queue{RouteHost: "h", RoutePrefix: "/p/"})
			require.NoError(t, err)
			require.Len(t, jobs, 4)
		})
	}
}

// A job whose acceptance is still unknown is sent again to another host after it
// took effect late: it counts once.
func TestLateAcceptanceCountsOnce(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 3 * itemTokens
	c.failCommits(txntest.Late, 100)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.hosts["a"].Submit(context.Background(), largeSubmission("j1", 2))))
	c.store.SetFault(nil)
	c.store.ReleaseLate()
	require.NoError(t, c.hosts["b"].Submit(t.Context(), largeSubmission("j1", 2)))
	requireOverLimit(t, c.hosts["b"].Submit(t.Context(), largeSubmission("j2", 2)))
	waitForNewCount()
	require.NoError(t, c.hosts["b"].Submit(t.Context(), largeSubmission("j3", 1)))
}

// The acceptance conflicts, and the store can't be read to find out why: the job may be
// recorded already, so the caller must not be told that it is not.
func TestUnexplainedConflictIsNotReportedAsNotRun(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 10 * itemTokens
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), largeSubmission("j1", 1)))
	require.NoError(t, b.Submit(t.Context(), largeSubmission("j2", 5)), "more than the share of b, so the record changes")
	c.store.SetFault(func(call string) txntest.Fault {
		if call == "get" {
			return txntest.Refuse
		}
		return txntest.None
	})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(a.Submit(t.Context(), largeSubmission("j3", 1))))
}

// Jobs arrive at all hosts at once, five times as many as the limit allows.
func TestBurstKeepsTheLimit(t *testing.T) {
	const fitting = 12
	c := newCluster(t, "a", "b", "c")
	c.maxWaitingTokens = fitting * itemTokens
	errs := make(chan error, 5*fitting)
	for i := range 5 * fitting {
		h := c.hosts[[]string{"a", "b", "c"}[i%3]]
		go func() { errs <- h.Submit(context.Background(), largeSubmission(fmt.Sprint("j", i), 1)) }()
	}
	accepted := 0
	for range 5 * fitting {
		if err := <-errs; err == nil {
			accepted++
		} else {
			requireOverLimit(t, err)
		}
	}
	require.Equal(t, fitting, accepted)
}
