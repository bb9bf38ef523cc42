package jobs

import (
	"context"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

func putHead(t *testing.T, c *cluster, id string, head Head) {
	t.Helper()
	value, err := cbor.Marshal(head)
	require.NoError(t, err)
	_, err = c.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: headKey(id), Value: value}}})
	require.NoError(t, err)
}

// A head record counts what a host reads and adds up. One with numbers that none can have is
// refused, and harms no other job.
func TestOddHeadRecordsAreRefused(t *testing.T) {
	proper := Head{Owner: "gone", RouteHost: "h", RoutePrefix: "/p/", DataCentre: "dc", ItemCount: 4, ItemChunks: 1, ChunkStarts: []int{0, 2}, ResultCount: 3, Tokens: 10, WaitingTokens: 5}
	require.NoError(t, proper.check())
	for name, change := range map[string]func(h *Head){
		"items":                    func(h *Head) { h.ItemCount = math.MaxInt },
		"negative items":           func(h *Head) { h.ItemCount, h.ResultCount = -1, -1 },
		"chunks of items":          func(h *Head) { h.ItemChunks = math.MaxInt },
		"results without chunks":   func(h *Head) { h.ChunkStarts = nil },
		"more results than items":  func(h *Head) { h.ResultCount = 5 },
		"chunks in no order":       func(h *Head) { h.ChunkStarts = []int{0, 2, 1} },
		"a chunk beyond the end":   func(h *Head) { h.ChunkStarts = []int{0, math.MaxInt} },
		"a negative chunk":         func(h *Head) { h.ChunkStarts = []int{-1} },
		"tokens":                   func(h *Head) { h.Tokens = math.MaxInt64 },
		"more waiting than tokens": func(h *Head) { h.WaitingTokens = 11 },
		"a time":                   func(h *Head) { h.RunTargetMs = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			odd := proper
			change(&odd)
			require.Error(t, odd.check())
			putHead(t, c, "odd", odd)
			require.NoError(t, a.Submit(t.Context(), submission(2)))
			require.NoError(t, a.Recover(t.Context(), true))
			_, err := a.Results(context.Background(), Access{}, "odd", 0, 0)
			require.Error(t, err)
			require.Equal(t, slots.Done, a.grantSlot())
			a.flushNow(t)
			require.Len(t, c.results("a", 0), 1)
		})
	}
}

// The head record of one job is overwritten with something else. The results of the other
// jobs of its host, which are recorded with the same transaction, must not wait for it.
func TestUnreadableHeadRecordDoesNotHoldUpOtherJobs(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	other := submission(1)
	other.ID = "other"
	require.NoError(t, a.Submit(t.Context(), other))
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	require.Equal(t, slots.Done, a.grantSlot())
	require.Equal(t, slots.Done, a.grantSlot())
	_, err := c.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: headKey("other"), Value: []byte("odd")}}})
	require.NoError(t, err)
	a.flushNow(t)
	a.flushNow(t)
	require.Len(t, c.results("a", 0), 1)
}

// A job whose head record no host would read was accepted, and lost with its host.
func TestJobThatNoRecordCanHoldIsRefused(t *testing.T) {
	c := newCluster(t, "a")
	s := submission(2)
	s.Items[0].Tokens, s.Items[1].Tokens = maxTokens, 1
	err := c.hosts["a"].Submit(t.Context(), s)
	require.Equal(t, verdict.CodeInvalidRequest, verdict.As(err).Code)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	s.Items[1].Tokens = 0
	require.NoError(t, c.hosts["a"].Submit(t.Context(), s))
}

// Replicas may send bytes that are no UTF-8, which are recorded as they are.
func TestRecordedOutputThatIsNotUTF8CannotBeRead(t *testing.T) {
	want := []Result{{ID: "a", Done: true, Output: "x\xff\xc3"}, {ID: "b"}}
	value, err := cbor.Marshal(want)
	require.NoError(t, err)
	got, err := decodeResults(value, "j", 0)
	require.NoError(t, err)
	require.Equal(t, want, got)
}
