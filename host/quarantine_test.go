package host

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
)

// The removal of a refusal's record takes effect after the request has crashed replicas again
// and the record was written anew. All hosts would take the refusal for lifted.
func TestLateRemovalOfARefusalTakesNoEffect(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var refused atomic.Bool
	store := txntest.NewStore()
	q := &quarantineRecords{
		store: store, clock: clockwork.NewRealClock(), log: logrus.NewEntry(log), apply: func(quarantine.Notice) {},
		isRefused: func(quarantine.Fingerprint) bool { return refused.Load() },
	}
	c := quarantine.Confirmed{Fingerprint: quarantine.Fingerprint(1), Until: time.Now().Add(time.Minute)}
	refused.Store(true)
	q.write(c)
	refused.Store(false)
	n := 0
	store.SetFault(func(call string) txntest.Fault {
		if call != "commit" {
			return txntest.None
		}
		if n++; n > 1 {
			return txntest.None
		}
		return txntest.Late
	})
	q.remove(c.Fingerprint)
	refused.Store(true)
	q.write(c)
	store.ReleaseLate()
	_, err := store.Get(t.Context(), quarantinePrefix+c.Fingerprint.String())
	require.NoError(t, err)
}
