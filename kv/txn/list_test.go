package txn_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
)

// TestListRetriesRefusedPage checks that a listing continues after refused pages.
// A store at its rate limit refuses some pages of each listing.
func TestListRetriesRefusedPage(t *testing.T) {
	s := txntest.NewStore()
	const keys = 250
	for i := range keys {
		_, err := s.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: fmt.Sprintf("p/%04d", i)}}})
		require.NoError(t, err)
	}
	n := 0
	s.SetFault(func(string) txntest.Fault {
		if n++; n == 2 || n == 4 {
			return txntest.Refuse
		}
		return txntest.None
	})
	items, _, err := txn.List(t.Context(), s, "p/")
	require.NoError(t, err)
	require.Len(t, items, keys)
	require.Equal(t, 5, s.Calls("range"), "calls for three pages, two of which are refused once")
}

// TestListFailsWhenFirstPageIsRefused checks that a refused first page is not
// retried, because the store is likely to be unavailable.
func TestListFailsWhenFirstPageIsRefused(t *testing.T) {
	s := txntest.NewStore()
	s.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	_, _, err := txn.List(t.Context(), s, "p/")
	errtest.Is(t, err, txn.ErrRefused)
	require.Equal(t, 1, s.Calls("range"))
}

// emptyPages is a store whose pages after the first hold nothing but say that more follow.
type emptyPages struct{ txn.Store }

// Range implements txn.Store.
func (emptyPages) Range(_ context.Context, _, after string) (txn.Page, error) {
	if after == "" {
		return txn.Page{Items: []txn.Item{{Key: "p/1"}}, More: true}, nil
	}
	return txn.Page{More: true}, nil
}

// Guards against a listing that lacks the keys of pages that the store did not fill.
func TestListFailsWhenAPageIsCut(t *testing.T) {
	_, _, err := txn.List(t.Context(), emptyPages{}, "p/")
	errtest.Is(t, err, txn.ErrUnknown)
}
