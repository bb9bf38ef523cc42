package txntest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// emptyWatchWait is the wait of watches that are expected to see no change.
const emptyWatchWait = 20 * time.Millisecond

// Contract runs the tests that every txn.Store must pass. The function open
// returns an empty store, and a function that compacts all its changes.
func Contract(t *testing.T, open func(t *testing.T) (s txn.Store, compact func())) {
	ctx := context.Background()
	put := func(t *testing.T, s txn.Store, key, value string, lease txn.Lease) txn.Rev {
		rev, err := s.Commit(ctx, txn.Request{Writes: []txn.Write{{Key: key, Value: []byte(value), Lease: lease}}})
		require.NoError(t, err)
		return rev
	}
	t.Run("get", func(t *testing.T) {
		s, _ := open(t)
		_, err := s.Get(ctx, "a/key with space&x=1")
		errtest.Is(t, err, txn.ErrNotFound)
		rev := put(t, s, "a/key with space&x=1", "v", 0)
		item, err := s.Get(ctx, "a/key with space&x=1")
		require.NoError(t, err)
		require.Equal(t, txn.Item{Key: "a/key with space&x=1", Value: []byte("v"), Rev: rev}, item)
	})
	t.Run("commit is all or nothing", func(t *testing.T) {
		s, _ := open(t)
		rev := put(t, s, "a", "1", 0)
		_, err := s.Commit(ctx, txn.Request{
			If:     []txn.Condition{{Key: "a", Rev: rev}, {Key: "b", Rev: rev}},
			Writes: []txn.Write{{Key: "a", Value: []byte("2")}},
		})
		errtest.Is(t, err, txn.ErrConflict)
		var conflict *txn.ConflictError
		require.ErrorAs(t, err, &conflict)
		current, ok := conflict.Item("a")
		require.True(t, ok)
		require.Equal(t, txn.Item{Key: "a", Value: []byte("1"), Rev: rev}, current)
		absent, _ := conflict.Item("b")
		require.Zero(t, absent.Rev)
		item, err := s.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, []byte("1"), item.Value)
		next, err := s.Commit(ctx, txn.Request{
			If:     []txn.Condition{{Key: "a", Rev: rev}, {Key: "b"}},
			Writes: []txn.Write{{Key: "b", Value: nil}}, Remove: []string{"a"},
		})
		require.NoError(t, err)
		require.Greater(t, next, rev)
		_, err = s.Get(ctx, "a")
		errtest.Is(t, err, txn.ErrNotFound)
	})
	t.Run("list returns the keys of all pages", func(t *testing.T) {
		s, _ := open(t)
		for i := range 2*maxPageItems + 1 {
			put(t, s, fmt.Sprintf("p/%04d", i), "v", 0)
		}
		put(t, s, "q", "v", 0)
		items, at, err := txn.List(ctx, s, "p/")
		require.NoError(t, err)
		require.Len(t, items, 2*maxPageItems+1)
		require.NotZero(t, at)
	})
	t.Run("watch", func(t *testing.T) { watchContract(t, open, put) })
	t.Run("leases", func(t *testing.T) {
		s, _ := open(t)
		lease, err := s.Grant(ctx, time.Minute)
		require.NoError(t, err)
		put(t, s, "l", "v", lease)
		require.NoError(t, s.Keep(ctx, lease))
		require.NoError(t, s.Revoke(ctx, lease))
		_, err = s.Get(ctx, "l")
		errtest.Is(t, err, txn.ErrNotFound)
		errtest.Is(t, s.Keep(ctx, lease), txn.ErrNoLease)
		_, err = s.Commit(ctx, txn.Request{Writes: []txn.Write{{Key: "l", Lease: lease}}})
		errtest.Is(t, err, txn.ErrNoLease)
	})
}

func watchContract(t *testing.T, open func(t *testing.T) (txn.Store, func()), put func(*testing.T, txn.Store, string, string, txn.Lease) txn.Rev) {
	ctx := context.Background()
	s, compact := open(t)
	first := put(t, s, "w/a", "1", 0)
	put(t, s, "x", "1", 0)
	changes, err := s.Watch(ctx, "w/", first, emptyWatchWait)
	require.NoError(t, err)
	require.Empty(t, changes.Items, "changes of keys without the prefix")
	require.GreaterOrEqual(t, changes.At, first)
	_, err = s.Commit(ctx, txn.Request{Remove: []string{"w/a"}})
	require.NoError(t, err)
	second := put(t, s, "w/b", "2", 0)
	changes, err = s.Watch(ctx, "w/", first, emptyWatchWait)
	require.NoError(t, err)
	require.Len(t, changes.Items, 2)
	require.True(t, changes.Items[0].Deleted)
	require.Equal(t, "w/a", changes.Items[0].Key)
	require.Equal(t, []byte("2"), changes.Items[1].Value)
	require.GreaterOrEqual(t, changes.At, second)
	compact()
	_, err = s.Watch(ctx, "w/", first, emptyWatchWait)
	errtest.Is(t, err, txn.ErrCompacted)
}
