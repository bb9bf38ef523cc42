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

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// seen gathers the items that a watcher hands on.
type seen struct {
	mu     sync.Mutex
	values map[string]string
	lost   int
	back   int
}

func (s *seen) take(_ context.Context, items []txn.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		s.values[item.Key] = string(item.Value)
	}
}

func (s *seen) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *seen) counts() (lost, back int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.back
}

func watch(t *testing.T, store txn.Store, wait time.Duration) *seen {
	return watchUnless(t, store, wait, nil)
}

// watchUnless watches through a watcher that is told whether the store answers.
func watchUnless(t *testing.T, store txn.Store, wait time.Duration, away func() bool) *seen {
	s := &seen{values: make(map[string]string)}
	w := &Watcher{
		name: "test", store: store, prefix: "p/", clock: clockwork.NewRealClock(), log: quietLog(),
		listed: s.take, changed: s.take, wait: wait, away: away,
		lost:     func() { s.mu.Lock(); s.lost++; s.mu.Unlock() },
		regained: func() { s.mu.Lock(); s.back++; s.mu.Unlock() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func put(t *testing.T, s *txntest.Store, key, value string) {
	_, err := s.Commit(context.Background(), txn.Request{Writes: []txn.Write{{Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

const patience = 5 * time.Second

func TestWatcherFollowsChanges(t *testing.T) {
	store := txntest.NewStore()
	put(t, store, "p/a", "1")
	s := watch(t, store, defaultWait)
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, patience, time.Millisecond)
	put(t, store, "p/a", "2")
	require.Eventually(t, func() bool { return s.value("p/a") == "2" }, patience, time.Millisecond)
}

// deaf is a store whose watches hear nothing.
type deaf struct {
	*txntest.Store
	deaf bool
}

func (d *deaf) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	if !d.deaf {
		return d.Store.Watch(ctx, prefix, after, wait)
	}
	select {
	case <-ctx.Done():
		return txn.Changes{}, ctx.Err()
	case <-time.After(wait):
		return txn.Changes{}, txn.ErrCompacted
	}
}

// The history was dropped while the watch heard nothing: the next one finds
// that out.
func TestWatcherThatHearsNothing(t *testing.T) {
	store := &deaf{Store: txntest.NewStore(), deaf: true}
	s := watch(t, store, 10*time.Millisecond)
	for _, value := range []string{"1", "2"} {
		put(t, store.Store, "p/a", value)
		require.Eventually(t, func() bool { return s.value("p/a") == value }, patience, time.Millisecond)
	}
}

func TestWatcherListsAnewAfterAnOutage(t *testing.T) {
	store := txntest.NewStore()
	s := watch(t, store, 5*time.Millisecond)
	put(t, store, "p/a", "1")
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, patience, time.Millisecond)
	store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { lost, _ := s.counts(); return lost > 0 }, patience, time.Millisecond)
	store.SetFault(nil)
	store.Compact()
	put(t, store, "p/b", "1")
	require.Eventually(t, func() bool { return s.value("p/b") == "1" }, patience, time.Millisecond)
	require.Eventually(t, func() bool { _, back := s.counts(); return back == 1 }, patience, time.Millisecond)
}

// One watch of a host finds out whether the store is back; the others wait for
// that.
func TestWatcherDoesNotProbeAStoreThatIsAway(t *testing.T) {
	store := txntest.NewStore()
	var away atomic.Bool
	s := watchUnless(t, store, 5*time.Millisecond, away.Load)
	put(t, store, "p/a", "1")
	require.Eventually(t, func() bool { return s.value("p/a") == "1" }, patience, time.Millisecond)
	away.Store(true)
	store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { lost, _ := s.counts(); return lost > 0 }, patience, time.Millisecond)
	before := store.Calls("watch") + store.Calls("range")
	time.Sleep(4 * minRetry)
	require.Equal(t, before, store.Calls("watch")+store.Calls("range"))
	store.SetFault(nil)
	away.Store(false)
	require.Eventually(t, func() bool { _, back := s.counts(); return back == 1 }, patience, time.Millisecond)
}

// ground is a Presence with stand-ins.
type ground struct {
	*Presence
	store *txntest.Store
	mu    sync.Mutex
	alive bool
	gone  []string
}

func newGround(alive bool) *ground {
	g := &ground{store: txntest.NewStore(), alive: alive}
	g.Presence = &Presence{
		store: g.store, view: membership.NewStatic(membership.Host{Name: "self", DataCentre: "x"}),
		clock: clockwork.NewRealClock(), log: quietLog(), lease: leaseTime,
		ping: func(context.Context, membership.Host) error {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.alive {
				return nil
			}
			return errors.New("no answer")
		},
		gone:    func(h membership.Host) { g.mu.Lock(); g.gone = append(g.gone, h.Name); g.mu.Unlock() },
		back:    func() {},
		changed: func() {},
		known:   make(map[string]membership.Host), lapsed: make(map[string]struct{}),
	}
	return g
}

func record(name string, deleted bool) txn.Item {
	value, _ := json.Marshal(membership.Host{Name: name, DataCentre: "x"})
	return txn.Item{Key: hostPrefix + name, Value: value, Deleted: deleted}
}

func (g *ground) names() []string {
	var names []string
	for _, h := range g.view.Local() {
		names = append(names, h.Name)
	}
	return names
}

// The store takes the records of hosts away that it turns away, or when it was
// down itself. A host that answers stays.
func TestHostWhoseRecordLapsesStaysWhileItAnswers(t *testing.T) {
	g := newGround(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Apply(ctx, []txn.Item{record("a", false)})
	require.Equal(t, []string{"a", "self"}, g.names())
	g.Apply(ctx, []txn.Item{record("a", true)})
	require.Never(t, func() bool { return len(g.names()) != 2 }, 50*time.Millisecond, 5*time.Millisecond)
	g.mu.Lock()
	g.alive = false
	g.mu.Unlock()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.gone) == 1
	}, patience, 5*time.Millisecond)
	require.Equal(t, []string{"self"}, g.names())
}

func TestHostThatDoesNotAnswerIsGone(t *testing.T) {
	g := newGround(false)
	ctx := context.Background()
	g.Replace(ctx, []txn.Item{record("a", false), record("b", false)})
	g.Replace(ctx, []txn.Item{record("b", false)})
	require.Eventually(t, func() bool { return len(g.names()) == 2 }, patience, 5*time.Millisecond)
}

func TestOwnRecordIsWrittenAgainAfterItsLease(t *testing.T) {
	g := newGround(true)
	ctx := context.Background()
	backs := 0
	g.back = func() { backs++ }
	require.NoError(t, g.renew(ctx))
	require.NoError(t, g.renew(ctx))
	require.Zero(t, backs)
	require.NoError(t, g.store.Lapse(g.leaseID))
	require.NoError(t, g.renew(ctx))
	require.Equal(t, 1, backs, "others may have taken over meanwhile")
	_, err := g.store.Get(ctx, hostPrefix+"self")
	require.NoError(t, err)
	g.Leave(ctx)
	_, err = g.store.Get(ctx, hostPrefix+"self")
	require.True(t, errors.Is(err, txn.ErrNotFound))
	require.NoError(t, g.renew(ctx))
	_, err = g.store.Get(ctx, hostPrefix+"self")
	require.True(t, errors.Is(err, txn.ErrNotFound), "a host that leaves writes no record")
}

// A store at its limit refuses some calls: the lease that was granted is used
// again, and one refusal is no outage.
func TestRefusedRenewalsAreNoOutageAtOnce(t *testing.T) {
	g := newGround(true)
	var lost, back atomic.Int64
	g.lost, g.regained = func() { lost.Add(1) }, func() { back.Add(1) }
	refused := 0
	g.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" && refused < lostRenewals-1 {
			refused++
			return txntest.Refuse
		}
		return txntest.None
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Serve(ctx) }()
	require.Eventually(t, func() bool { return back.Load() > 0 }, patience, time.Millisecond)
	require.Zero(t, lost.Load())
	require.Equal(t, 1, g.store.Calls("grant"))
	g.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { return lost.Load() > 0 }, patience, time.Millisecond)
	cancel()
	<-done
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	var versions []int64
	c := &Config{log: quietLog(), inForce: func(v int64) { versions = append(versions, v) }}
	for _, text := range []string{`{"version":5}`, `{"version":4}`, `not text`, `{"version":5}`, `{"version":9}`} {
		c.offer([]byte(text), "test")
	}
	require.Equal(t, []int64{5, 9}, versions)
	text, version := c.text()
	require.Equal(t, `{"version":9}`, string(text))
	require.EqualValues(t, 9, version)
}

func TestSlowLogOutputHoldsUpNobody(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	w := newQueuedWriter(writerFunc(func(p []byte) (int, error) { <-block; return len(p), nil }))
	for range logQueue + 10 {
		_, err := w.Write([]byte("line"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, w.dropped.Load(), int64(9))
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
