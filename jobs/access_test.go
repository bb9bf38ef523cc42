package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

var (
	acme   = Access{Restricted: true, Customer: "acme"}
	zeta   = Access{Restricted: true, Customer: "zeta"}
	public = Access{Restricted: true}
)

// submissionOf returns a job of a customer.
func submissionOf(a Access, id string, items int) Submission {
	s := largeSubmission(id, items)
	s.Access = a
	return s
}

func requireUnknown(t *testing.T, err error, message string) {
	t.Helper()
	require.Error(t, err, message)
	e := verdict.As(err)
	require.Equal(t, []any{verdict.CodeNotFound, verdict.NotRun}, []any{e.Code, e.Verdict}, message)
}

// The job of one customer must look to all others as if it didn't exist, at its owner, at
// another host, and while the owner can't be reached.
func TestJobOfAnotherCustomerIsUnknown(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), submissionOf(acme, "job", 2)))
	for _, unreachable := range []bool{false, true} {
		c.setUnreachable("a", unreachable)
		for name, h := range c.hosts {
			if unreachable && name == "a" {
				continue
			}
			for _, other := range []Access{zeta, public} {
				_, err := h.Results(t.Context(), other, "job", 0, 0)
				requireUnknown(t, err, name)
				_, err = h.Body(t.Context(), other, "job", "i0")
				requireUnknown(t, err, name)
				requireUnknown(t, h.End(t.Context(), other, "job"), name)
				requireUnknown(t, h.Submit(t.Context(), submissionOf(other, "job", 2)), name)
			}
			for _, own := range []Access{acme, {}} {
				page, err := h.Results(t.Context(), own, "job", 0, 0)
				require.NoError(t, err, name)
				require.Equal(t, 2, page.Total)
				body, err := h.Body(t.Context(), own, "job", "i0")
				require.NoError(t, err, name)
				require.Equal(t, "body 0", string(body))
			}
			require.NoError(t, h.Submit(t.Context(), submissionOf(acme, "job", 2)), name)
		}
	}
	c.setUnreachable("a", false)
	go c.hosts["a"].flushNowEventually(t)
	require.NoError(t, c.hosts["b"].End(t.Context(), acme, "job"))
	require.True(t, c.head(t, "job").Ended)
}

// head returns the head record of a job.
func (c *cluster) head(t *testing.T, id string) *Head {
	item, err := c.store.Get(context.Background(), headKey(id))
	require.NoError(t, err)
	h, err := decodeHead(item)
	require.NoError(t, err)
	return h
}

// Any customer reads a job that was recorded before there were customers.
func TestJobWithoutCustomerIsReadableByAll(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), largeSubmission("job", 1)))
	for _, a := range []Access{acme, zeta, public, {}} {
		for _, h := range c.hosts {
			_, err := h.Results(t.Context(), a, "job", 0, 0)
			require.NoError(t, err)
			require.NoError(t, h.Submit(t.Context(), submissionOf(a, "job", 1)))
		}
	}
}

// A job keeps its customer when another host takes it over, and the items tell it to the
// replicas although the configuration no longer has the customer.
func TestCustomerOfJobOutlivesItsHost(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), submissionOf(acme, "job", 1)))
	a.HandOver(t.Context())
	var sent *forward.Request
	b.replicas.answer = func(req *forward.Request, s forward.SendArgs) (*forward.Response, error) {
		sent = req
		return answerInFull(req, s)
	}
	b.grantSlot()
	require.Equal(t, &customer.Customer{Name: "acme"}, sent.Customer)
	require.True(t, sent.HasCustomers)
	b.flushNow(t)
	require.Equal(t, "acme", c.head(t, "job").Customer)
	_, err := a.Results(t.Context(), zeta, "job", 0, 0)
	requireUnknown(t, err, "at the former owner")
}

// Two customers submit under one ID at once to one host, also while replies of the store
// are lost: one of them gets the job, and the other must not be told that its own was
// accepted.
func TestOneIDOfTwoCustomers(t *testing.T) {
	for name, fault := range map[string]txntest.Fault{"no fault": txntest.None, "lost reply": txntest.LoseReply, "lost request": txntest.LoseRequest} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			c.failCommits(fault, 1)
			errs := make(map[Access]chan error)
			for _, access := range []Access{acme, zeta} {
				done := make(chan error, 1)
				errs[access] = done
				go func() { done <- c.hosts["a"].Submit(t.Context(), submissionOf(access, "job", 1)) }()
			}
			for access, done := range errs {
				err := <-done
				if c.head(t, "job").Customer == access.Customer {
					require.NoError(t, err)
				} else {
					requireUnknown(t, err, access.Customer)
				}
			}
		})
	}
}

// A job was accepted late, after its host had stopped waiting for it. Another customer that
// submits under its ID must not take it for its own.
func TestLateAcceptanceOfAnotherCustomer(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.failCommits(txntest.Late, 100)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(c.hosts["a"].Submit(t.Context(), submissionOf(acme, "job", 1))))
	c.store.SetFault(nil)
	c.store.ReleaseLate()
	for name, h := range c.hosts {
		requireUnknown(t, h.Submit(t.Context(), submissionOf(zeta, "job", 1)), name)
	}
	require.Equal(t, "acme", c.head(t, "job").Customer)
}

// The store can't tell whose job it is: the caller must not be told that its own is
// recorded, nor that it will not run.
func TestUnknownOwnerOfConflictIsNotReportedAsNotRun(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.NoError(t, c.hosts["a"].Submit(t.Context(), submissionOf(acme, "job", 1)))
	require.Eventually(t, func() bool {
		// The announcement of the owner may arrive at any time.
		c.hosts["b"].removeCachedOwner("job")
		c.store.SetFault(func(call string) txntest.Fault {
			if call == "get" {
				return txntest.Refuse
			}
			return txntest.None
		})
		defer c.store.SetFault(nil)
		err := c.hosts["b"].Submit(context.Background(), submissionOf(acme, "job", 1))
		return err != nil && verdict.Of(err) == verdict.MayHaveRun
	}, 5*time.Second, time.Millisecond)
}

// A customer that fills its queue must not take the room of another one.
func TestLimitOfWaitingTokensHoldsForEachCustomer(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.maxWaitingTokens = 2 * itemTokens
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), largeSubmission("old", 2)), "recorded without a customer")
	for _, access := range []Access{acme, zeta} {
		name := access.Customer
		require.NoError(t, a.Submit(t.Context(), submissionOf(access, name+"1", 1)))
		require.NoError(t, b.Submit(t.Context(), submissionOf(access, name+"2", 1)))
		for _, h := range c.hosts {
			requireOverLimit(t, h.Submit(t.Context(), submissionOf(access, name+"3", 1)))
			require.NoError(t, h.Submit(t.Context(), submissionOf(access, name+"1", 1)), "accepted before")
			require.NoError(t, h.Submit(t.Context(), submissionOf(access, "old", 2)), "accepted before there were customers")
		}
	}
	a.endNow(t, "acme1")
	waitForNewCount()
	require.NoError(t, b.Submit(t.Context(), submissionOf(acme, "acme3", 1)), "a job of the customer has ended")
	requireOverLimit(t, b.Submit(t.Context(), submissionOf(zeta, "zeta3", 1)))
}

// endNow ends a job of this host.
func (h *testHost) endNow(t *testing.T, id string) {
	go h.flushNowEventually(t)
	require.NoError(t, h.End(t.Context(), Access{}, id))
}

// A host is told of two owners of a job, of the former one last. Calls about the job went to
// the former owner.
func TestLateAnnouncementOfAFormerOwnerIsIgnored(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	peer := c.hosts["c"].Peer()
	for _, args := range []AnnounceArgs{{ID: "job", Owner: "b", Rev: 9}, {ID: "job", Owner: "a", Rev: 5}, {ID: "job", Owner: "a"}} {
		require.NoError(t, peer.Announce(args, new(None)))
		c.hosts["c"].mu.Lock()
		require.Equal(t, "b", c.hosts["c"].cachedOwners["job"].host)
		c.hosts["c"].mu.Unlock()
	}
	require.NoError(t, peer.Announce(AnnounceArgs{ID: "job", Owner: "a", Rev: 12}, new(None)))
	require.Equal(t, "a", c.hosts["c"].cachedOwners["job"].host)
}
