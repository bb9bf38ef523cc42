package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// loseReplyOnce lets the store execute the next commit without a reply, and closes the
// returned channel then.
func (c *cluster) loseReplyOnce() <-chan struct{} {
	lost := make(chan struct{})
	n := 0
	c.store.SetFault(func(call string) txntest.Fault {
		if call != "commit" {
			return txntest.None
		}
		if n++; n > 1 {
			return txntest.None
		}
		close(lost)
		return txntest.LoseReply
	})
	return lost
}

// storedHead returns the head record of the job, decoded anew.
func (c *cluster) storedHead() *Head {
	item, err := c.store.Get(c.t.Context(), headKey("job"))
	require.NoError(c.t, err)
	head, err := decodeHead(item)
	require.NoError(c.t, err)
	return head
}

// requireRecorded lets a host run the two items of the job and requires that the store
// holds what the host shows then.
func (c *cluster) requireRecorded(t *testing.T, host string) {
	t.Helper()
	for range 2 {
		require.Equal(t, slots.Done, c.hosts[host].grantSlot())
		c.hosts[host].flushNow(t)
	}
	shown := c.results(host, 0)
	require.Len(t, shown, 2)
	require.Equal(t, 2, c.storedHead().ResultCount)
	c.setUnreachable(host, true)
	c.addHost("reader", 1, host)
	require.Equal(t, shown[:1], c.results("reader", 0)[:1])
	require.Equal(t, shown[1:], c.results("reader", 1))
}

// While the reply to a take-over is lost, another call of the same host takes the job over:
// the results that it then counts as recorded, and shows, were in no record.
func TestJobIsTakenOverByOneCallAtATime(t *testing.T) {
	calls := map[string]func(t *testing.T, h *testHost, head *Head){
		"recovery":     func(t *testing.T, h *testHost, _ *Head) { require.NoError(t, h.Recover(t.Context(), false)) },
		"read":         func(t *testing.T, h *testHost, head *Head) { h.ensureOwner(t.Context(), head) },
		"resubmission": func(_ *testing.T, h *testHost, _ *Head) { h.ensureAcceptedOwner("job") },
		"hand-over": func(t *testing.T, h *testHost, _ *Head) {
			require.NoError(t, h.Peer().Adopt(AdoptArgs{ID: "job", From: "a"}, new(None)))
		},
	}
	for first, firstCall := range calls {
		for second, secondCall := range calls {
			t.Run(first+" and "+second, func(t *testing.T) {
				c := newCluster(t, "a")
				require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(2)))
				restarted := c.addHost("a", 2)
				head := c.storedHead()
				lost := c.loseReplyOnce()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					firstCall(t, restarted, head)
				}()
				select {
				case <-lost:
				case <-ended:
				}
				secondCall(t, restarted, c.storedHead())
				<-ended
				c.requireRecorded(t, "a")
			})
		}
	}
}

// The same while the reply to the acceptance of a job is lost.
func TestAcceptedJobIsNotTakenOverByItsHost(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	lost := c.loseReplyOnce()
	accepted := make(chan error)
	go func() { accepted <- a.Submit(t.Context(), submission(2)) }()
	<-lost
	a.ensureOwner(t.Context(), c.storedHead())
	require.NoError(t, <-accepted)
	c.requireRecorded(t, "a")
}

// The write of a take-over takes effect after the host has stopped waiting for it: the
// record names an owner that doesn't run the job, and nobody else looks for it.
func TestHostDetectsItsLateTakeOver(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(2)))
	b := c.hosts["b"]
	c.failCommits(txntest.Late, 100)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(b.claim(t.Context(), "job", "a", nil)))
	require.False(t, b.runsJob("job"))
	c.store.SetFault(nil)
	c.store.ReleaseLate()
	require.Eventually(t, func() bool { return b.runsJob("job") }, 5*time.Second, 10*time.Millisecond)
}

// The acceptance by an earlier incarnation takes effect after the restarted host has looked
// for its jobs. Asked by a peer, it says that it will run the job, and does.
func TestHostRunsLateJobsOfItsEarlierIncarnation(t *testing.T) {
	c := newCluster(t, "a", "b")
	restarted := c.addHost("a", 2, "b")
	require.NoError(t, restarted.Recover(t.Context(), false))
	former := newCluster(t, "a")
	former.store = c.store
	require.NoError(t, former.addHost("a", 1).Submit(t.Context(), submission(2)))
	require.NoError(t, c.hosts["b"].Submit(t.Context(), submission(2)))
	require.Eventually(t, func() bool { return restarted.runsJob("job") }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, c.ownerCount("job"))
}

// A take-over takes effect long after its host has given it up, or by an earlier incarnation
// that is gone. Nobody reads or sends the job again: the broker's search finds that no host
// runs it.
func TestSearchFindsJobsThatTheirOwnerDoesNotRun(t *testing.T) {
	for name, incarnation := range map[string]uint64{"the present incarnation": 1, "an earlier incarnation": 9} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(2)))
			head := c.storedHead()
			head.Owner, head.Incarnation = "b", incarnation
			putHead(t, c, "job", *head)
			c.addHost("a", 2, "b")
			require.NoError(t, c.hosts["a"].Recover(t.Context(), true))
			require.NoError(t, c.hosts["a"].Recover(t.Context(), true))
			require.Eventually(t, func() bool { return c.ownerCount("job") == 1 }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// The clock of a machine was set back before its host started again, so its incarnation
// number is lower than before. It owns its jobs all the same.
func TestJobsOfALaterIncarnationNumberAreRecovered(t *testing.T) {
	c := newCluster(t)
	require.NoError(t, c.addHost("a", 2).Submit(t.Context(), submission(2)))
	restarted := c.addHost("a", 1)
	require.NoError(t, restarted.Recover(t.Context(), false))
	require.True(t, restarted.runsJob("job"))
}

// The record of a job holds results that its host doesn't have in memory, so the host must
// not count another write as its own. It takes the job as the record has it.
func TestHostThatMissedResultsReadsThem(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(3)))
	other := newCluster(t, "a")
	other.store = c.store
	twin := other.addHost("a", 1)
	head, rev, err := twin.loadHead(t.Context(), "job")
	require.NoError(t, err)
	twin.addOwned(newJob(*head, rev, submission(3).Items, nil))
	twin.grantSlot()
	twin.flushNow(t)
	a.mu.Lock()
	a.setResult(a.jobs["job"].items[2], Result{ID: "i2", Done: true, Output: output})
	a.mu.Unlock()
	a.flushNow(t)
	require.Eventually(t, func() bool { return a.runsJob("job") }, 5*time.Second, time.Millisecond)
	shown := c.results("a", 0)
	c.setUnreachable("a", true)
	c.addHost("reader", 1, "a")
	require.Equal(t, c.results("reader", 0), shown)
}
