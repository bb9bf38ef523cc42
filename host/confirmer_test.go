package host

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
	"github.com/comfreyspindle/comfreyspindle/staleness"
)

// publicPath is the path of the route that needs no key.
const publicPath = "/f/"

// configWithCustomers returns the write of one version of a configuration with a customer, in
// which one of the routes is public.
func configWithCustomers(version int) txn.Write {
	w := platformtest.ConfigOfCustomers(version, "svc", platformtest.Customer{Name: "c"})
	w.Value = bytes.Replace(w.Value, []byte(`"prefix":"`+publicPath+`"`), []byte(`"public":true,"prefix":"`+publicPath+`"`), 1)
	return w
}

// hookedStore calls a function between the arrival of a commit and its reply.
type hookedStore struct {
	*txntest.Store
	hook func()
}

func (s *hookedStore) Commit(ctx context.Context, req txn.Request) (txn.Rev, error) {
	rev, err := s.Store.Commit(ctx, req)
	if s.hook != nil {
		s.hook()
	}
	return rev, err
}

// confirmerFixture is a confirmer with an in-memory store, a configuration with a
// customer, and a clock that the test moves.
type confirmerFixture struct {
	*confirmer
	store *hookedStore
	now   time.Duration
}

const testKeyRevocation = 5 * time.Second

func newConfirmerFixture(store *hookedStore, broker bool, seed uint64) *confirmerFixture {
	f := &confirmerFixture{store: store, now: time.Hour}
	clock := func() time.Duration { return f.now }
	bound := staleness.NewBound(testKeyRevocation, clock)
	f.confirmer = &confirmer{
		bound: bound, schedule: staleness.NewSchedule(testKeyRevocation, clock, rand.New(rand.NewPCG(seed, 1))),
		config: &Config{log: quietLog(), onVersion: bound.SetInForce},
		store:  store, clock: clockwork.NewRealClock(), log: quietLog(), timeout: time.Second,
		isBroker: func() bool { return broker }, storeUnavailable: func() bool { return false }, onUsable: func() {},
	}
	return f
}

func (f *confirmerFixture) put(t *testing.T, w txn.Write) txn.Item {
	rev, err := f.store.Store.Commit(t.Context(), txn.Request{Writes: []txn.Write{w}})
	require.NoError(t, err)
	return txn.Item{Key: w.Key, Value: w.Value, Rev: rev}
}

// putInForce writes a version and puts it in force as a watch does.
func (f *confirmerFixture) putInForce(t *testing.T, version int) {
	f.config.applyItems(t.Context(), []txn.Item{f.put(t, configWithCustomers(version))})
}

func (f *confirmerFixture) usable() bool { return f.bound.Usable(f.config.Table().Version) }

// A watch reports what the store had at some moment, and may be silent while changes are
// made, so neither its changes nor its silence confirm anything.
func TestConfigurationIsConfirmedByAReadOnly(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	f.putInForce(t, 1)
	require.False(t, f.usable())
	require.NoError(t, f.confirm(t.Context()))
	require.True(t, f.usable())
	require.Zero(t, f.store.Calls("get"), "the watch told the revision")
}

// A host that got the configuration from a peer knows no revision.
func TestRecordIsReadOnceIfItsRevisionIsNotKnown(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	item := f.put(t, configWithCustomers(1))
	f.config.setIfNewer(item.Value, "peer")
	for range 3 {
		f.now += time.Second
		require.NoError(t, f.confirm(t.Context()))
		require.True(t, f.usable())
	}
	require.Equal(t, 1, f.store.Calls("get"))
}

// The reply to a read that finds another revision holds the present record, which must be
// in force at once, without another call.
func TestReplyWithANewerRecordIsApplied(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	f.putInForce(t, 1)
	f.put(t, configWithCustomers(2))
	calls := f.store.Calls("commit")
	require.NoError(t, f.confirm(t.Context()))
	require.EqualValues(t, 2, f.config.Table().Version)
	require.True(t, f.usable())
	require.Equal(t, calls+1, f.store.Calls("commit")+f.store.Calls("get"))
	require.NoError(t, f.confirm(t.Context()), "the revision is that of the new record")
}

// A peer may know a newer version than this host has read from the store.
func TestReadOfAnOlderVersionConfirmsTheOneInForce(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	f.putInForce(t, 1)
	f.store.hook = func() {
		f.config.setIfNewer(configWithCustomers(2).Value, "peer")
	}
	require.NoError(t, f.confirm(t.Context()))
	require.EqualValues(t, 2, f.config.Table().Version)
	require.True(t, f.usable(), "version 2 wasn't written when the read was sent")
}

// The host is suspended between the read and its reply, for longer than a confirmation
// counts.
func TestSuspensionDuringTheReadLeavesTheConfigurationUnusable(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	f.putInForce(t, 1)
	f.store.hook = func() { f.now += 10 * time.Second }
	require.NoError(t, f.confirm(t.Context()))
	require.False(t, f.usable())
	f.store.hook = nil
	require.NoError(t, f.confirm(t.Context()))
	require.True(t, f.usable())
}

// Each fault must leave the configuration unconfirmed, and a read after its end must
// confirm it again.
func TestFailedReadsConfirmNothing(t *testing.T) {
	key := configWithCustomers(1).Key
	remove := func(t *testing.T, f *confirmerFixture) {
		_, err := f.store.Store.Commit(t.Context(), txn.Request{Remove: []string{key}})
		require.NoError(t, err)
	}
	fault := func(kind txntest.Fault) func(*testing.T, *confirmerFixture) {
		return func(_ *testing.T, f *confirmerFixture) {
			f.store.SetFault(func(string) txntest.Fault { return kind })
		}
	}
	for name, inject := range map[string]func(*testing.T, *confirmerFixture){
		"refused":        fault(txntest.Refuse),
		"request lost":   fault(txntest.LoseRequest),
		"reply lost":     fault(txntest.LoseReply),
		"record removed": remove,
		"record can't be decoded": func(t *testing.T, f *confirmerFixture) {
			f.put(t, txn.Write{Key: key, Value: []byte("not a configuration")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
			f.putInForce(t, 1)
			require.NoError(t, f.confirm(t.Context()))
			inject(t, f)
			for range 5 {
				f.now += time.Second
				require.Error(t, f.confirm(t.Context()))
			}
			require.False(t, f.usable())
			require.EqualValues(t, 1, f.config.Table().Version, "the configuration stays in force for public routes")
			f.store.SetFault(nil)
			f.put(t, configWithCustomers(2))
			require.Eventually(t, func() bool { return f.confirm(t.Context()) == nil }, testTimeout, time.Millisecond)
			require.EqualValues(t, 2, f.config.Table().Version)
			require.True(t, f.usable())
		})
	}
}

// Calls to the store cost money. The replies to polls confirm the configuration of all
// hosts but the broker.
func TestStoreCallsOfACalmMinute(t *testing.T) {
	store := &hookedStore{Store: txntest.NewStore()}
	broker := newConfirmerFixture(store, true, 1)
	broker.putInForce(t, 1)
	others := make([]*confirmerFixture, 9)
	for i := range others {
		others[i] = newConfirmerFixture(store, false, uint64(i))
		others[i].config.setIfNewer(configWithCustomers(1).Value, "peer")
	}
	before := store.Calls("commit") + store.Calls("get")
	const pollTime = 500 * time.Millisecond
	for tick := range 600 {
		broker.now += confirmCheckInterval
		broker.check(t.Context())
		version, age, confirmed := broker.bound.Age()
		for _, o := range others {
			o.now += confirmCheckInterval
			if confirmed && tick%5 == 0 {
				o.bound.ConfirmAged(version, o.now-pollTime, age)
			}
			o.check(t.Context())
			require.True(t, tick < 5 || o.usable())
		}
		require.True(t, broker.usable())
	}
	require.Equal(t, 60, store.Calls("commit")+store.Calls("get")-before)
}

// While a host's calls to the store fail, renewals of its record show when it is available
// again, and further calls would only add to the load.
func TestOnlyBrokersReadWhileTheStoreIsUnavailable(t *testing.T) {
	for _, broker := range []bool{false, true} {
		f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, broker, 1)
		f.putInForce(t, 1)
		f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
		unavailable := true
		f.storeUnavailable = func() bool { return unavailable }
		before := f.store.Calls("commit")
		for range 100 {
			f.now += confirmCheckInterval
			f.check(t.Context())
		}
		want := 0
		if broker {
			want = 10
		}
		require.Equal(t, want, f.store.Calls("commit")-before)
		require.False(t, f.usable())
		require.Equal(t, !broker, errors.Is(f.lastErr, errStoreUnavailable))
		f.store.SetFault(nil)
		unavailable = false
		for range 20 {
			f.now += confirmCheckInterval
			f.check(t.Context())
		}
		require.True(t, f.usable())
	}
}

// Operators must see from the log when a host ceases to accept keys, and why.
func TestBeginAndEndOfAcceptingKeysAreLoggedOnce(t *testing.T) {
	f := newConfirmerFixture(&hookedStore{Store: txntest.NewStore()}, true, 1)
	log, lines := test.NewNullLogger()
	f.log = logrus.NewEntry(log)
	f.putInForce(t, 1)
	run := func(seconds int) {
		for range 10 * seconds {
			f.now += confirmCheckInterval
			f.check(t.Context())
		}
	}
	run(5)
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	run(20)
	f.store.SetFault(nil)
	run(5)
	var levels []logrus.Level
	for _, line := range lines.AllEntries() {
		levels = append(levels, line.Level)
	}
	require.Equal(t, []logrus.Level{logrus.InfoLevel, logrus.WarnLevel, logrus.InfoLevel}, levels)
	stop := lines.AllEntries()[1].Data
	require.EqualValues(t, 1, stop["version"])
	require.Equal(t, (testKeyRevocation * 9 / 10).String(), stop["age"])
	require.ErrorIs(t, stop[logrus.ErrorKey].(error), txn.ErrRefused)
}
