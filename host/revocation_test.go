package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
	"github.com/comfreyspindle/comfreyspindle/staleness"
)

// revocationInTests is the time in which a removed key must be refused everywhere.
const revocationInTests = 3 * time.Second

// newRevocationFleet returns a fleet whose configuration has customers.
func newRevocationFleet(t *testing.T) *fleet {
	f := newFleet(t, time.Millisecond)
	f.put(configWithCustomers(1))
	return f
}

// settingsAt returns the settings of a host with an address of the store.
func (f *fleet) settingsAt(name, dataCentre, store string) *platform.Settings {
	s := f.newSettings(name, dataCentre, store)
	s.KeyRevocation = revocationInTests
	return s
}

// startRevoking starts a host that refuses removed keys in time, and waits until it is
// ready.
func (f *fleet) startRevoking(name, dataCentre, store string) *Host {
	return f.serve(f.settingsAt(name, dataCentre, store))
}

// readyStatus returns the status of a host's readiness check.
func readyStatus(t *testing.T, h *Host) int {
	got, err := platformtest.CheckReady(h.settings.Ready)
	require.NoError(t, err)
	return got.Status
}

// requireRefusalInTime waits until a host accepts no keys, which must be less than
// revocationInTests after the start of the fault.
func requireRefusalInTime(t *testing.T, h *Host, since time.Time) {
	require.Eventually(t, func() bool { return !h.keysUsable() }, revocationInTests-time.Since(since), 5*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, readyStatus(t, h))
}

func TestKeysAreRefusedInTimeWhileTheStoreIsDown(t *testing.T) {
	f := newRevocationFleet(t)
	hosts := []*Host{f.startRevoking("a", "dc", f.address), f.startRevoking("b", "dc", f.address), f.startRevoking("c", "other", f.address)}
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	since := time.Now()
	for _, h := range hosts {
		requireRefusalInTime(t, h, since)
	}
	f.store.SetFault(nil)
	for _, h := range hosts {
		require.Eventually(t, h.isReady, 10*time.Second, 10*time.Millisecond)
		require.Equal(t, http.StatusOK, readyStatus(t, h))
	}
}

// The hosts of one data centre don't reach the store, but a host of another one does.
func TestKeysAreAcceptedWhileAPeerReachesTheStore(t *testing.T) {
	f := newRevocationFleet(t)
	proxy := &storeProxy{}
	address := proxy.start(f)
	cutOff := []*Host{f.startRevoking("a", "dc", address), f.startRevoking("b", "dc", address)}
	c := f.startRevoking("c", "other", f.address)
	for _, h := range cutOff {
		require.Eventually(t, func() bool { return len(h.view.Local()) == 2 && len(h.view.Remote()) == 1 }, 10*time.Second, 10*time.Millisecond)
	}
	proxy.rejecting.Store(true)
	for end := time.Now().Add(2 * revocationInTests); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, h := range append(cutOff, c) {
			require.True(t, h.keysUsable(), h.settings.Host)
		}
	}
	f.put(configWithCustomers(2))
	for _, h := range cutOff {
		require.Eventually(t, func() bool { return h.config.Table().Version == 2 && h.keysUsable() }, revocationInTests, 10*time.Millisecond)
	}
}

// A host that reaches neither the store nor any peer can't learn of a new version.
func TestHostCutOffFromAllRefusesKeysInTime(t *testing.T) {
	f := newRevocationFleet(t)
	proxy := &storeProxy{}
	a := f.startRevoking("a", "dc", proxy.start(f))
	f.startRevoking("b", "dc", f.address)
	f.startRevoking("c", "other", f.address)
	require.Eventually(t, func() bool { return len(a.view.Local()) == 2 && len(a.view.Remote()) == 1 }, 10*time.Second, 10*time.Millisecond)
	f.kill("b")
	f.kill("c")
	proxy.cut()
	f.put(configWithCustomers(2))
	since := time.Now()
	requireRefusalInTime(t, a, since)
	require.EqualValues(t, 1, a.config.Table().Version)
	got, err := call(a, "q")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got.Status, "routes that need a key")
	got, err = platformtest.NewCaller().Call(a.settings.Callers, http.MethodPost, publicPath, "public", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.Status, "the public route")
	proxy.rejecting.Store(false)
	require.Eventually(t, a.isReady, 10*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 2, a.config.Table().Version)
}

// The monotonic clock stands still while a host is suspended.
func TestSuspendedHostRefusesKeysFromItsFirstRequest(t *testing.T) {
	f := newRevocationFleet(t)
	var suspended atomic.Int64
	f.prepare = func(h *Host) {
		h.bootTime = func() time.Duration { return boottime.Now() + time.Duration(suspended.Load()) }
	}
	a := f.startRevoking("a", "dc", f.address)
	f.store.SetFault(func(call string) txntest.Fault {
		if call == "commit" {
			return txntest.Refuse
		}
		return txntest.None
	})
	suspended.Store(int64(revocationInTests))
	require.False(t, a.keysUsable())
	f.store.SetFault(nil)
	require.Eventually(t, a.keysUsable, 5*time.Second, 10*time.Millisecond)
}

// A host starts while the store is down, beside one that got its configuration before.
// What that one has may be superseded already.
func TestHostThatStartsWhileTheStoreIsDownRefusesKeys(t *testing.T) {
	f := newRevocationFleet(t)
	a := f.startRevoking("a", "dc", f.address)
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	require.Eventually(t, func() bool { return !a.keysUsable() }, revocationInTests, 10*time.Millisecond)
	s := f.settingsAt("b", "dc", f.address)
	s.Seeds = []string{a.settings.Peers}
	b, err := New(s, fleetLog)
	require.NoError(t, err)
	f.run(b)
	require.Eventually(t, func() bool { return b.config.Table() != nil }, 10*time.Second, 10*time.Millisecond)
	require.Never(t, b.keysUsable, revocationInTests, 10*time.Millisecond)
	f.store.SetFault(nil)
	require.Eventually(t, b.isReady, 10*time.Second, 10*time.Millisecond)
}

// A host starts without the store, beside one that reaches it.
func TestStartingHostAcceptsKeysByThePeersConfirmation(t *testing.T) {
	f := newRevocationFleet(t)
	a := f.startRevoking("a", "dc", f.address)
	proxy := &storeProxy{}
	proxy.rejecting.Store(true)
	s := f.settingsAt("b", "dc", proxy.start(f))
	s.Seeds = []string{a.settings.Peers}
	require.True(t, f.serve(s).keysUsable())
}

// Without customers nothing is confirmed, whatever the settings, and the first version
// with customers must be usable soon.
func TestNothingIsConfirmedWithoutCustomers(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a, b := f.startRevoking("a", "dc", f.address), f.startRevoking("b", "dc", f.address)
	// A host that another one doesn't see yet reads its own record.
	for _, h := range []*Host{a, b} {
		require.Eventually(t, func() bool { return len(h.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	}
	time.Sleep(time.Second)
	before := f.store.Calls("commit") + f.store.Calls("get")
	time.Sleep(revocationInTests)
	require.Equal(t, before, f.store.Calls("commit")+f.store.Calls("get"))
	for _, h := range []*Host{a, b} {
		require.True(t, h.keysUsable())
		require.Zero(t, h.confirmedAgeSeconds())
	}
	f.put(configWithCustomers(2))
	for _, h := range []*Host{a, b} {
		require.Eventually(t, func() bool { return h.config.Table().Version == 2 && h.keysUsable() }, testTimeout, time.Millisecond)
		require.Less(t, h.confirmedAgeSeconds(), revocationInTests.Seconds())
	}
}

func TestNothingIsConfirmedWithoutABound(t *testing.T) {
	f := newRevocationFleet(t)
	a := f.start("a")
	require.Nil(t, a.confirmer)
	before := f.store.Calls("commit") + f.store.Calls("get")
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	time.Sleep(time.Second)
	require.Equal(t, before, f.store.Calls("commit")+f.store.Calls("get"))
	require.True(t, a.keysUsable())
}

// The other hosts of a data centre get the confirmation with the replies to their polls.
func TestOnlyTheBrokerAsksTheStore(t *testing.T) {
	f := newRevocationFleet(t)
	hosts := []*Host{f.startRevoking("a", "dc", f.address), f.startRevoking("b", "dc", f.address), f.startRevoking("c", "dc", f.address)}
	for _, h := range hosts {
		require.Eventually(t, func() bool { return len(h.view.Local()) == len(hosts) }, 10*time.Second, 10*time.Millisecond)
	}
	time.Sleep(time.Second)
	before, since := f.store.Calls("commit")+f.store.Calls("get"), time.Now()
	for time.Since(since) < revocationInTests {
		time.Sleep(10 * time.Millisecond)
		for _, h := range hosts {
			require.True(t, h.keysUsable())
		}
	}
	reads := f.store.Calls("commit") + f.store.Calls("get") - before
	intervals := int(time.Since(since) / staleness.ReadInterval(revocationInTests))
	require.Positive(t, reads)
	require.LessOrEqual(t, reads, intervals+1)
}

// refusingStore refuses transactions, and counts them, while refusing is set.
type refusingStore struct {
	*txntest.Store
	refusing atomic.Bool
	refused  atomic.Int64
}

func (s *refusingStore) Commit(ctx context.Context, req txn.Request) (txn.Rev, error) {
	if s.refusing.Load() {
		s.refused.Add(1)
		return 0, txn.ErrRefused
	}
	return s.Store.Commit(ctx, req)
}

// The store limits the rate of one host's transactions, so that its reads fail while it
// counts as available. The host must neither ask more often nor wait for the store.
func TestKeysAreAcceptedWhileTheStoreRefusesTheReadsOfOneHost(t *testing.T) {
	f := newRevocationFleet(t)
	store := &refusingStore{Store: f.store}
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	a := f.startRevoking("a", "dc", strings.TrimPrefix(server.URL, "http://"))
	f.startRevoking("b", "other", f.address)
	require.Eventually(t, func() bool { return len(a.view.Remote()) == 1 }, 10*time.Second, 10*time.Millisecond)
	store.refusing.Store(true)
	since := time.Now()
	for time.Since(since) < 2*revocationInTests {
		time.Sleep(10 * time.Millisecond)
		require.True(t, a.keysUsable())
	}
	require.False(t, a.storeUnavailable())
	require.Positive(t, store.refused.Load())
	require.LessOrEqual(t, int(store.refused.Load()), 1+int(time.Since(since)/staleness.ReadInterval(revocationInTests)))
}
