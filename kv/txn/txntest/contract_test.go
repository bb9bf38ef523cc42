package txntest_test

import (
	"testing"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
)

func TestStorePassesContract(t *testing.T) {
	txntest.Contract(t, func(*testing.T) (txn.Store, func()) {
		s := txntest.NewStore()
		return s, s.Compact
	})
}
