package jobs

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Results of one job gathered during an outage until they exceed what the store takes
// in one value. They are recorded in several writes.
func TestResultsLargerThanAValueAreRecordedInParts(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(5)))
	a.mu.Lock()
	for _, it := range a.jobs["job"].items {
		a.setResult(it, Result{ID: it.ID, Done: true, Output: strings.Repeat("x", maxChunkBytes/2)})
	}
	a.mu.Unlock()
	for range 5 {
		a.flushNow(t)
	}
	head, _, err := a.loadHead(t.Context(), "job")
	require.NoError(t, err)
	require.Equal(t, 5, head.ResultCount)
	for n := range head.ChunkStarts {
		item, err := c.store.Get(t.Context(), resultKey("job", n))
		require.NoError(t, err)
		require.Less(t, len(item.Value), maxChunkBytes+maxChunkBytes/10)
	}
	page, err := a.Results(t.Context(), Access{}, "job", 0, 0)
	require.NoError(t, err)
	require.NotEmpty(t, page.Results)
}

// Items with small bodies but long headers and paths.
func TestItemChunksCountHeadersAndPaths(t *testing.T) {
	var items []Item
	for i := range 40 {
		items = append(items, Item{
			ID: fmt.Sprint(i), Path: "/p/" + strings.Repeat("p", 20<<10), Headers: map[string]string{"X-Long": strings.Repeat("h", 40<<10)},
		})
	}
	chunks, err := encodeItems(items)
	require.NoError(t, err)
	for _, chunk := range chunks {
		require.Less(t, len(chunk), maxChunkBytes+maxChunkBytes/10)
	}
}

// A host lists the head records, and then takes a job over before it looks at the
// list. The older record must not make it give the job up again.
func TestOlderHeadRecordDoesNotDisownAJob(t *testing.T) {
	c := newCluster(t, "a", "b")
	a, b := c.hosts["a"], c.hosts["b"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	before, err := c.store.Get(t.Context(), headKey("job"))
	require.NoError(t, err)
	require.NoError(t, b.claim(t.Context(), "job", "a", nil))
	head, err := decodeHead(before)
	require.NoError(t, err)
	require.True(t, b.stillOwns(head, before.Rev))
	require.Contains(t, b.jobs, "job")
	now, rev, err := b.loadHead(t.Context(), "job")
	require.NoError(t, err)
	require.False(t, a.stillOwns(now, rev))
}

// The reply to the end of a job is lost. The caller must not be told that the end was
// not recorded: it may be.
func TestUnknownEndIsNotReportedAsNotRun(t *testing.T) {
	for _, fault := range []txntest.Fault{txntest.LoseReply, txntest.Late} {
		c := newCluster(t, "a", "b")
		require.NoError(t, c.hosts["a"].Submit(t.Context(), submission(1)))
		c.setUnreachable("a", true)
		c.failCommits(fault, 1)
		err := c.hosts["b"].End(t.Context(), Access{}, "job")
		require.Error(t, err)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		c.store.SetFault(nil)
		require.NoError(t, c.hosts["b"].End(t.Context(), Access{}, "job"))
	}
}

// endAfter ends a job in the store as a host does that can't reach its owner.
func endAfter(t *testing.T, c *cluster) {
	t.Helper()
	item, err := c.store.Get(t.Context(), headKey("job"))
	require.NoError(t, err)
	head, err := decodeHead(item)
	require.NoError(t, err)
	head.Ended = true
	value, err := cbor.Marshal(head)
	require.NoError(t, err)
	_, err = c.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: item.Key, Value: value}}})
	require.NoError(t, err)
}

// The reply to an acceptance is lost, and the job is ended elsewhere before its host
// looks the acceptance up. Its items must not run.
func TestEndBeforeLostAcceptanceIsConfirmed(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	calls := 0
	c.store.SetFault(func(call string) txntest.Fault {
		if call != "commit" {
			return txntest.None
		}
		calls++
		if calls == 1 {
			return txntest.LoseReply
		}
		return txntest.None
	})
	head := a.newHead(&Submission{ID: "job", Host: "h", Prefix: "/p/", Items: submission(1).Items})
	req, err := newJobRequest(head, submission(1).Items, backlog.Permit{})
	require.NoError(t, err)
	_, err = c.store.Commit(t.Context(), req)
	require.ErrorIs(t, err, txn.ErrUnknown)
	endAfter(t, c)
	rev, err := a.commitAsOwner(context.Background(), req, head)
	if err != nil {
		require.ErrorIs(t, err, txn.ErrConflict)
		rev, err = a.confirmOwnWrite(t.Context(), head)
		require.NoError(t, err)
	}
	a.startAccepted(head, rev, submission(1).Items)
	require.Empty(t, a.Demand(false))
}

// The reply to recorded results is lost, and the job is ended elsewhere before its
// owner looks. The owner must stop.
func TestEndBeforeLostResultsAreConfirmed(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(2)))
	a.grantSlot()
	c.failCommits(txntest.LoseReply, 1)
	a.writeMu.Lock()
	batch, _ := a.collectChanges(true)
	req, err := changesRequest(batch)
	require.NoError(t, err)
	_, err = c.store.Commit(t.Context(), req)
	require.ErrorIs(t, err, txn.ErrUnknown)
	endAfter(t, c)
	require.NoError(t, a.writeChanges(t.Context(), batch))
	a.writeMu.Unlock()
	require.Empty(t, a.Demand(false))
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Equal(t, 1, a.jobs["job"].head.ResultCount)
	require.True(t, a.jobs["job"].head.Ended)
}

func TestAllRecordsOfAnExpiredJobAreRemoved(t *testing.T) {
	const chunks = 3 * txn.MaxEntries
	c := newCluster(t, "a")
	a := c.hosts["a"]
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	j := a.jobs["job"]
	for n := range chunks {
		_, err := c.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: resultKey("job", n), Value: []byte("x")}}})
		require.NoError(t, err)
		j.head.ChunkStarts = append(j.head.ChunkStarts, n)
	}
	a.removeRecords(t.Context(), j)
	for _, prefix := range []string{headPrefix, itemPrefix, resultPrefix} {
		left, _, err := txn.List(t.Context(), c.store, prefix)
		require.NoError(t, err)
		require.Empty(t, left, prefix)
	}
}

// The route is removed between the choice of an item and its run, which panicked when the
// replica answered that the run failed.
func TestRouteIsRemovedWhileAnItemIsChosen(t *testing.T) {
	for calls := range 8 {
		c := newCluster(t, "a")
		a := c.hosts["a"]
		require.NoError(t, a.Submit(t.Context(), submission(1)))
		a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
			return answer(http.StatusInternalServerError, strings.NewReader("")), nil
		}
		full, n := a.Table, atomic.Int64{}
		a.Table = func() *route.Table {
			if n.Add(1) > int64(calls) {
				return route.NewTable(2, route.Limits{}, nil, nil)
			}
			return full()
		}
		a.grantSlot()
	}
}
