package host

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/membership/registry"
)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// watchRecorder records the items that a watcher passes on.
type watchRecorder struct {
	mu               sync.Mutex
	values           map[string]string
	unavailableCalls int
	availableCalls   int
}

func (r *watchRecorder) record(_ context.Context, items []txn.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.values[item.Key] = string(item.Value)
	}
}

func (r *watchRecorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *watchRecorder) counts() (unavailableCalls, availableCalls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailableCalls, r.availableCalls
}

func startWatcher(t *testing.T, store txn.Store, wait time.Duration) *watchRecorder {
	return startWatcherWithStoreState(t, store, wait, nil)
}

// startWatcherWithStoreState starts a watcher that is told by a callback
// whether the store is unavailable.
func startWatcherWithStoreState(t *testing.T, store txn.Store, wait time.Duration, storeUnavailable func() bool) *watchRecorder {
	r := &watchRecorder{values: make(map[string]string)}
	w := &Watcher{
		name: "test", store: store, prefix: "p/", clock: clockwork.NewRealClock(), log: quietLog(),
		onList: func(ctx context.Context, items []txn.Item, _ txn.Rev) { r.record(ctx, items) }, onChanges: r.record, watchTimeout: func() time.Duration { return wait }, storeUnavailable: storeUnavailable,
		onUnavailable: func() { r.mu.Lock(); r.unavailableCalls++; r.mu.Unlock() },
		onAvailable:   func() { r.mu.Lock(); r.availableCalls++; r.mu.Unlock() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func put(t *testing.T, s *txntest.Store, key, value string) {
	_, err := s.Commit(context.Background(), txn.Request{Writes: []txn.Write{{Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

const testTimeout = 5 * time.Second

func TestWatcherFollowsChanges(t *testing.T) {
	store := txntest.NewStore()
	put(t, store, "p/a", "1")
	s := startWatcher(t, store, defaultWatchTimeout)
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, testTimeout, time.Millisecond)
	put(t, store, "p/a", "2")
	require.Eventually(t, func() bool { return s.value("p/a") == "2" }, testTimeout, time.Millisecond)
}

// silentStore is a store whose watches report no changes, and end with
// ErrCompacted after their timeout.
type silentStore struct {
	*txntest.Store
	silent bool
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	if !s.silent {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	select {
	case <-ctx.Done():
		return txn.Changes{}, ctx.Err()
	case <-time.After(wait):
		return txn.Changes{}, txn.ErrCompacted
	}
}

// The store's history is compacted while a watch reports no changes. The
// watcher must list the keys again when the watch ends.
func TestWatcherListsAgainAfterMissedChanges(t *testing.T) {
	store := &silentStore{Store: txntest.NewStore(), silent: true}
	s := startWatcher(t, store, 10*time.Millisecond)
	for _, value := range []string{"1", "2"} {
		put(t, store.Store, "p/a", value)
		require.Eventually(t, func() bool { return s.value("p/a") == value }, testTimeout, time.Millisecond)
	}
}

func TestWatcherListsAgainAfterStoreOutage(t *testing.T) {
	store := txntest.NewStore()
	s := startWatcher(t, store, 5*time.Millisecond)
	put(t, store, "p/a", "1")
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, testTimeout, time.Millisecond)
	store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { unavailableCalls, _ := s.counts(); return unavailableCalls > 0 }, testTimeout, time.Millisecond)
	store.SetFault(nil)
	store.Compact()
	put(t, store, "p/b", "1")
	require.Eventually(t, func() bool { return s.value("p/b") == "1" }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { _, availableCalls := s.counts(); return availableCalls == 1 }, testTimeout, time.Millisecond)
}

// Only one watcher of a host probes an unavailable store; the others make no
// calls until it is available.
func TestWatcherDoesNotProbeUnavailableStore(t *testing.T) {
	store := txntest.NewStore()
	var unavailable atomic.Bool
	s := startWatcherWithStoreState(t, store, 5*time.Millisecond, unavailable.Load)
	put(t, store, "p/a", "1")
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, testTimeout, time.Millisecond)
	unavailable.Store(true)
	store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { unavailableCalls, _ := s.counts(); return unavailableCalls > 0 }, testTimeout, time.Millisecond)
	before := store.Calls("watch") + store.Calls("range")
	time.Sleep(4 * minRetryDelay)
	require.Equal(t, before, store.Calls("watch")+store.Calls("range"))
	store.SetFault(nil)
	unavailable.Store(false)
	require.Eventually(t, func() bool { _, availableCalls := s.counts(); return availableCalls == 1 }, testTimeout, time.Millisecond)
}

// presenceFixture is a Presence with an in-memory store and a fake ping.
type presenceFixture struct {
	*Presence
	store   *txntest.Store
	mu      sync.Mutex
	alive   bool
	removed []string
}

func newPresenceFixture(alive bool) *presenceFixture {
	f := &presenceFixture{store: txntest.NewStore(), alive: alive}
	f.Presence = &Presence{
		store: f.store, view: membership.NewStatic(membership.Host{Name: "self", DataCentre: "x"}),
		clock: clockwork.NewRealClock(), log: quietLog(), leaseDuration: leaseDuration,
		ping: func(context.Context, membership.Host, bool) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.alive {
				return nil
			}
			return errors.New("no answer")
		},
		onRemoved: func(h membership.Host) { f.mu.Lock(); f.removed = append(f.removed, h.Name); f.mu.Unlock() },
		onRejoin:  func() {},
		onChange:  func() {},
		watching:  func() bool { return true },
		bootTime:  boottime.Now,
		table:     registry.NewTable(), pinging: make(map[string]struct{}), recheckRequested: make(chan struct{}, 1),
	}
	return f
}

func record(name string, deleted bool) txn.Item {
	value, _ := json.Marshal(membership.Host{Name: name, DataCentre: "x"})
	return txn.Item{Key: hostPrefix + name, Value: value, Deleted: deleted}
}

func (f *presenceFixture) names() []string {
	var names []string
	for _, h := range f.view.Local() {
		names = append(names, h.Name)
	}
	return names
}

// A record also expires when the store rejects its host's renewals or was
// unavailable itself. The host must stay in the view as long as it answers
// pings.
func TestHostWithExpiredRecordStaysWhileItAnswersPings(t *testing.T) {
	f := newPresenceFixture(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.Apply(ctx, []txn.Item{record("a", false)})
	require.Equal(t, []string{"a", "self"}, f.names())
	f.Apply(ctx, []txn.Item{record("a", true)})
	require.Never(t, func() bool { return len(f.names()) != 2 }, 50*time.Millisecond, 5*time.Millisecond)
	f.mu.Lock()
	f.alive = false
	f.mu.Unlock()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.removed) == 1
	}, testTimeout, 5*time.Millisecond)
	require.Equal(t, []string{"self"}, f.names())
}

func TestHostWithExpiredRecordIsRemovedWhenPingsFail(t *testing.T) {
	f := newPresenceFixture(false)
	ctx := context.Background()
	f.Replace(ctx, []txn.Item{record("a", false), record("b", false)}, 0)
	f.Replace(ctx, []txn.Item{record("b", false)}, 0)
	require.Eventually(t, func() bool { return len(f.names()) == 2 }, testTimeout, 5*time.Millisecond)
}

func TestOwnRecordIsWrittenAgainAfterLeaseExpiry(t *testing.T) {
	f := newPresenceFixture(true)
	ctx := context.Background()
	rejoins := 0
	f.onRejoin = func() { rejoins++ }
	require.NoError(t, f.renew(ctx))
	require.NoError(t, f.renew(ctx))
	require.Zero(t, rejoins)
	require.NoError(t, f.store.Expire(f.leaseID))
	require.NoError(t, f.renew(ctx))
	require.Equal(t, 1, rejoins, "others may have taken over meanwhile")
	_, err := f.store.Get(ctx, hostPrefix+"self")
	require.NoError(t, err)
	f.Leave(ctx)
	_, err = f.store.Get(ctx, hostPrefix+"self")
	require.True(t, errors.Is(err, txn.ErrNotFound))
	require.NoError(t, f.renew(ctx))
	_, err = f.store.Get(ctx, hostPrefix+"self")
	require.True(t, errors.Is(err, txn.ErrNotFound), "a host that leaves writes no record")
}

// A store at its rate limit refuses some calls. A few refusals must not mark
// it unavailable, and the lease that it granted must be used again.
func TestFewRefusedRenewalsDoNotMarkStoreUnavailable(t *testing.T) {
	f := newPresenceFixture(true)
	var unavailable, available atomic.Int64
	f.onStoreUnavailable, f.onStoreAvailable = func() { unavailable.Add(1) }, func() { available.Add(1) }
	refused := 0
	f.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" && refused < maxRefusedRenewals-1 {
			refused++
			return txntest.Refuse
		}
		return txntest.None
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Serve(ctx) }()
	require.Eventually(t, func() bool { return available.Load() > 0 }, testTimeout, time.Millisecond)
	require.Zero(t, unavailable.Load())
	require.Equal(t, 1, f.store.Calls("grant"))
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { return unavailable.Load() > 0 }, testTimeout, time.Millisecond)
	cancel()
	<-done
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	var versions []int64
	c := &Config{log: quietLog(), onVersion: func(v int64) { versions = append(versions, v) }}
	for _, text := range []string{`{"version":5}`, `{"version":4}`, `not text`, `{"version":5}`, `{"version":9}`} {
		c.setIfNewer([]byte(text), "test")
	}
	require.Equal(t, []int64{5, 9}, versions)
	text, version := c.current()
	require.Equal(t, `{"version":9}`, string(text))
	require.EqualValues(t, 9, version)
}

func TestSlowLogOutputDoesNotBlockWriters(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	w := newQueuedWriter(writerFunc(func(p []byte) (int, error) { <-block; return len(p), nil }))
	for range maxQueuedLines + 10 {
		_, err := w.Write([]byte("line"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, w.dropped.Load(), int64(9))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
