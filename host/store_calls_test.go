package host

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// countingStore counts the calls of all hosts by kind: the name of the call, with the
// prefix for lists and watches, or "confirm" for a commit that changes nothing.
type countingStore struct {
	txn.Store
	// silent makes watches report no changes. The changes made meanwhile are reported by
	// the next call.
	silent atomic.Bool
	mu     sync.Mutex
	calls  map[string]int
}

func (s *countingStore) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

// since returns the calls that were made after the given counts.
func (s *countingStore) since(before map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := maps.Clone(s.calls)
	for kind, n := range before {
		if calls[kind] -= n; calls[kind] == 0 {
			delete(calls, kind)
		}
	}
	return calls
}

func (s *countingStore) Get(ctx context.Context, key string) (txn.Item, error) {
	s.count("get")
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Range(ctx context.Context, prefix, after string) (txn.Page, error) {
	s.count("range " + prefix)
	return s.Store.Range(ctx, prefix, after)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	s.count("watch " + prefix)
	if s.silent.Load() {
		wait := time.NewTimer(wait)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
		return s.Store.Watch(ctx, prefix, after, 0)
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *countingStore) Commit(ctx context.Context, req txn.Request) (txn.Rev, error) {
	if len(req.Writes)+len(req.Remove) == 0 {
		s.count("confirm")
	} else {
		s.count("commit")
	}
	return s.Store.Commit(ctx, req)
}

func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (txn.Lease, error) {
	s.count("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *countingStore) Keep(ctx context.Context, lease txn.Lease) error {
	s.count("keep")
	return s.Store.Keep(ctx, lease)
}

// answeringStore tells a host of the answers of the store, as the client of the platform's does.
type answeringStore struct {
	txn.Store
	host *Host
}

func (s *answeringStore) answered() { s.host.storeContact.record(s.host.bootTime()) }

func (s *answeringStore) Range(ctx context.Context, prefix, after string) (txn.Page, error) {
	defer s.answered()
	return s.Store.Range(ctx, prefix, after)
}

func (s *answeringStore) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	defer s.answered()
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *answeringStore) Keep(ctx context.Context, lease txn.Lease) error {
	defer s.answered()
	return s.Store.Keep(ctx, lease)
}

// calmFleet is the part of a fleet that calls the store while nothing happens: the hosts'
// records, the watches and the confirming reads, in the virtual time of a synctest bubble.
// Replies to polls are handed over directly.
type calmFleet struct {
	store    *countingStore
	hosts    []*Host
	services sync.WaitGroup
	// unreachable makes calls between brokers fail.
	unreachable atomic.Bool
}

func newCalmFleet(t *testing.T, hostsPerDataCentre int, config txn.Write, settings platform.Settings) *calmFleet {
	ctx := t.Context()
	f := &calmFleet{store: &countingStore{Store: txntest.NewStore(), calls: make(map[string]int)}}
	_, err := f.store.Commit(ctx, txn.Request{Writes: []txn.Write{config}})
	require.NoError(t, err)
	for i := range 6 * hostsPerDataCentre {
		s := settings
		s.Host, s.DataCentre, s.Region = fmt.Sprintf("host%d", i), fmt.Sprintf("dc%d", i%6), fmt.Sprintf("r%d", i%6/2)
		h := f.newHost(&s)
		h.config.setIfNewer(config.Value, "peer")
		f.hosts = append(f.hosts, h)
	}
	t.Cleanup(f.services.Wait)
	for _, h := range f.hosts {
		f.services.Go(func() { _ = h.presence.Serve(ctx) })
		f.services.Go(func() { _ = h.storeContact.Serve(ctx) })
		for _, w := range h.watchers() {
			f.services.Go(func() { _ = w.Serve(ctx) })
		}
		f.services.Go(func() { _ = h.confirmer.Serve(ctx) })
		f.services.Go(func() { _ = h.confirmer.source.Serve(ctx) })
		f.services.Go(func() { f.poll(ctx, h) })
	}
	return f
}

func (f *calmFleet) newHost(s *platform.Settings) *Host {
	start := time.Now()
	h := &Host{
		settings: s, clock: clockwork.NewRealClock(), registry: prometheus.NewRegistry(), log: quietLog(),
		bootTime: func() time.Duration { return time.Since(start) + time.Hour }, recoveryRequests: make(chan struct{}, 1),
		view: membership.NewStatic(membership.Host{Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.Host}),
	}
	h.store = &answeringStore{Store: f.store, host: h}
	h.storeContact = h.newStoreContact()
	h.config = &Config{log: h.log, onRetire: h.retire, onVersion: h.versionInForce}
	h.provisionPresence()
	h.provisionWork()
	h.provisionRevocation()
	h.confirmer.store = &confirmingStore{Store: f.store}
	h.confirmer.source.call = f.confirmation
	return h
}

// confirmation stands for a call to another broker.
func (f *calmFleet) confirmation(_ context.Context, address string) (reply ConfirmationReply, err error) {
	if f.unreachable.Load() {
		return reply, errors.New("unreachable")
	}
	i := slices.IndexFunc(f.hosts, func(h *Host) bool { return h.view.Self().PeerAddress == address })
	if i < 0 {
		return reply, errors.New("no such host")
	}
	err = (&Peer{f.hosts[i]}).Confirmation(StateArgs{}, &reply)
	return reply, err
}

// broker returns the broker of a data centre by the view of its hosts.
func (f *calmFleet) broker(dataCentre string) *Host {
	for _, h := range f.hosts {
		if h.settings.DataCentre == dataCentre && h.presence.wasListed() && h.slotClient.IsBroker() {
			return h
		}
	}
	return nil
}

// poll stands for the polls of a host and what their replies bring.
func (f *calmFleet) poll(ctx context.Context, h *Host) {
	const interval = 400 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(interval)
		broker := f.broker(h.settings.DataCentre)
		if broker == nil || broker == h {
			continue
		}
		h.slotClient.StartStaleTimer()
		if raw, version := broker.config.current(); version > h.config.Table().Version {
			h.config.setIfNewer(raw, "peer")
		}
		if version, age, ok := broker.lastConfirmed(); ok {
			h.handleConfirmation(version, h.bootTime(), age)
		}
	}
}

// countCalmCalls returns the calls to the store in one minute of a fleet to which nothing
// happens.
func countCalmCalls(t *testing.T, hostsPerDataCentre int, config txn.Write, settings platform.Settings) map[string]int {
	var calls map[string]int
	synctest.Test(t, func(t *testing.T) {
		f := newCalmFleet(t, hostsPerDataCentre, config, settings)
		time.Sleep(30 * time.Second)
		before := f.store.since(nil)
		time.Sleep(time.Minute)
		calls = f.store.since(before)
		for _, h := range f.hosts {
			require.True(t, h.keysUsable())
			require.False(t, h.storeUnavailable())
		}
	})
	return calls
}

func calmSettings() platform.Settings {
	return platform.Settings{
		ConfigTimeout: 2500 * time.Millisecond, DrainTimeout: 4 * time.Second, KeyRevocation: testKeyRevocation, ResultRetention: time.Minute,
	}
}

// Each call to the store costs money. The rows hold the calls of one minute by kind, so
// that a change that adds calls is noticed. The fleet has 6 data centres.
func TestStoreCallsOfACalmFleet(t *testing.T) {
	const hostsPerDataCentre = 4
	withCustomers := platformtest.ConfigOfCustomers(1, "svc", platformtest.Customer{Name: "c", Keys: []string{"key"}})
	for _, row := range []struct {
		name   string
		config txn.Write
		want   map[string]int
	}{
		{"without customers", platformtest.Config("svc"), map[string]int{
			"keep": 1104, "watch fleet/": 51, "watch op/": 264, "watch servers/": 162,
		}},
		{"with customers", withCustomers, map[string]int{
			"keep": 1104, "watch fleet/": 51, "watch op/": 72, "watch servers/": 162, "confirm": 180,
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			calls := countCalmCalls(t, hostsPerDataCentre, row.config, calmSettings())
			t.Log(calls)
			require.ElementsMatch(t, slices.Collect(maps.Keys(row.want)), slices.Collect(maps.Keys(calls)))
			for kind, n := range calls {
				// A minute begins at some moment between two calls of each host.
				require.InDelta(t, row.want[kind], n, 6+0.02*float64(n), kind)
			}
		})
	}
}

// A watch may report nothing while changes are made. A new configuration must come into
// force in time all the same, by the next watch or a confirming read.
func TestConfigurationSpreadsInTimeWhileWatchesAreSilent(t *testing.T) {
	for name, configOf := range map[string]func(version int) txn.Write{
		"without customers": func(version int) txn.Write { return platformtest.ConfigVersion(version, "svc") },
		"with customers": func(version int) txn.Write {
			return platformtest.ConfigOfCustomers(version, "svc", platformtest.Customer{Name: "c", Keys: []string{"key"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := calmSettings()
				f := newCalmFleet(t, 2, configOf(1), settings)
				f.store.silent.Store(true)
				time.Sleep(20 * time.Second)
				for version := 2; version < 20; version++ {
					_, err := f.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{configOf(version)}})
					require.NoError(t, err)
					time.Sleep(settings.ConfigTimeout)
					for _, h := range f.hosts {
						require.EqualValues(t, version, h.config.Table().Version, h.settings.Host)
					}
					time.Sleep(377 * time.Millisecond)
				}
			})
		})
	}
}

// confirmingStore is the store of the confirming reads of one host. It refuses them while
// refusing is set.
type confirmingStore struct {
	txn.Store
	refusing atomic.Bool
}

func (s *confirmingStore) Commit(ctx context.Context, req txn.Request) (txn.Rev, error) {
	if s.refusing.Load() {
		return 0, txn.ErrRefused
	}
	return s.Store.Commit(ctx, req)
}

// A broker that gets the confirmations of another one must read the store itself when that
// one can't be reached or can't confirm. Keys must be accepted all the time, except in the
// data centre whose own reads fail, which has no peer in this test.
func TestBrokerReadsTheStoreWhenItsSourceFails(t *testing.T) {
	config := platformtest.ConfigOfCustomers(1, "svc", platformtest.Customer{Name: "c", Keys: []string{"key"}})
	// In 30 s. A broker whose source fails reads once in 1.4 s, and a host whose broker's
	// reads fail when its confirmation is 2.5 to 3 s old.
	const source, follower, other = 30, 21, 10
	for name, row := range map[string]struct {
		fail  func(f *calmFleet)
		reads int
	}{
		"unreachable": {func(f *calmFleet) { f.unreachable.Store(true) }, 3*source + 3*follower},
		"its reads fail": {func(f *calmFleet) {
			f.broker("dc0").confirmer.store.(*confirmingStore).refusing.Store(true)
		}, 2*source + follower + other},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCalmFleet(t, 2, config, calmSettings())
				time.Sleep(20 * time.Second)
				synctest.Wait()
				row.fail(f)
				before := f.store.since(nil)
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for _, h := range f.hosts {
						require.True(t, h.keysUsable() || name == "its reads fail" && h.settings.DataCentre == "dc0", h.settings.Host)
					}
				}
				require.InDelta(t, row.reads, f.store.since(before)["confirm"], 6)
			})
		})
	}
}
