package host

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// endOtherLeases ends all leases that the store has granted but that of the host.
func (f *presenceFixture) endOtherLeases(t *testing.T) {
	t.Helper()
	last, err := f.store.Grant(t.Context(), time.Minute)
	require.NoError(t, err)
	for lease := txn.Lease(1); lease < last; lease++ {
		if lease != f.leaseID {
			_ = f.store.Expire(lease)
		}
	}
}

// serveRenewals serves the presence until the test ends.
func (f *presenceFixture) serveRenewals(t *testing.T) {
	f.onStoreAvailable, f.onStoreUnavailable = func() {}, func() {}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// The first write of a host's record takes effect after a later one. The record must not go
// with a lease that the host doesn't renew.
func TestLateWriteOfTheOwnRecordTakesNoEffect(t *testing.T) {
	for _, fault := range []txntest.Fault{txntest.Late, txntest.LoseReply, txntest.LoseRequest} {
		f := newPresenceFixture(true)
		n := 0
		f.store.SetFault(func(call string) txntest.Fault {
			if call != "commit" {
				return txntest.None
			}
			if n++; n > 1 {
				return txntest.None
			}
			return fault
		})
		require.ErrorIs(t, f.renew(t.Context()), txn.ErrUnknown)
		require.NoError(t, f.renew(t.Context()))
		f.store.ReleaseLate()
		f.endOtherLeases(t)
		require.NoError(t, f.renew(t.Context()))
		_, err := f.store.Get(t.Context(), hostPrefix+"self")
		require.NoError(t, err, "fault %v", fault)
	}
}

// The record of a host is gone, or another one, while its lease is renewed with success. A
// host that has reason to doubt its record writes it again.
func TestHostRestoresItsRecord(t *testing.T) {
	former, err := json.Marshal(membership.Host{Name: "self", DataCentre: "x", Incarnation: 7})
	require.NoError(t, err)
	for name, change := range map[string]txn.Request{
		"removed":                  {Remove: []string{hostPrefix + "self"}},
		"of another incarnation":   {Writes: []txn.Write{{Key: hostPrefix + "self", Value: former}}},
		"not a record":             {Writes: []txn.Write{{Key: hostPrefix + "self", Value: []byte("[[[")}}},
		"without the host's lease": {Writes: []txn.Write{{Key: hostPrefix + "self", Value: []byte(`{"name":"self"}`)}}},
	} {
		for reason, doubt := range map[string]func(f *presenceFixture){
			"a peer pings it":             func(f *presenceFixture) { f.Recheck() },
			"its broker doesn't know it":  func(f *presenceFixture) { f.RecheckIfMissing([]membership.Host{{Name: "a"}}) },
			"it sees the deletion itself": func(f *presenceFixture) { f.Apply(context.Background(), []txn.Item{record("self", true)}) },
			"it sees another record": func(f *presenceFixture) {
				f.Apply(context.Background(), []txn.Item{{Key: hostPrefix + "self", Value: former, Rev: 9}})
			},
			"it sees an odd record": func(f *presenceFixture) {
				f.Apply(context.Background(), []txn.Item{{Key: hostPrefix + "self", Value: []byte("[[["), Rev: 9}})
			},
			"a list lacks it": func(f *presenceFixture) { f.Replace(context.Background(), nil, 0) },
		} {
			t.Run(name+", "+reason, func(t *testing.T) {
				t.Parallel()
				f := newPresenceFixture(true)
				f.serveRenewals(t)
				require.Eventually(t, f.isWritten, testTimeout, time.Millisecond)
				_, err := f.store.Commit(t.Context(), change)
				require.NoError(t, err)
				doubt(f)
				require.Eventually(t, func() bool {
					item, err := f.store.Get(t.Context(), hostPrefix+"self")
					return err == nil && f.isOwn(item) && item.Lease != 0
				}, testTimeout, time.Millisecond)
			})
		}
	}
}

func (p *Presence) isWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written
}

// removeRecord removes the record of a host, which goes on renewing its lease.
func (f *fleet) removeRecord(name string) {
	_, err := f.store.Commit(context.Background(), txn.Request{Remove: []string{hostPrefix + name}})
	require.NoError(f.t, err)
}

// hasRecord reports whether the store has the record of a host.
func (f *fleet) hasRecord(name string) bool {
	_, err := f.store.Get(context.Background(), hostPrefix+name)
	return err == nil
}

// loseSight removes a host from what another one knows.
func loseSight(at *Host, name string) {
	p := at.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Forget(name)
	p.publish()
}

// startPair starts two hosts that see each other and returns them, the broker first.
func (f *fleet) startPair() (broker, other *Host) {
	a, b := f.start("a"), f.start("b")
	f.awaitView()
	if a.slotClient.IsBroker() {
		return a, b
	}
	return b, a
}

// The store turns a host away or its record has just been written, and several brokers ping it
// each second. Each ping led to calls of the store, which are many with many hosts.
func TestPingsAddFewCallsOfTheStore(t *testing.T) {
	for _, fault := range []txntest.Fault{txntest.None, txntest.Refuse} {
		synctest.Test(t, func(t *testing.T) {
			f := newPresenceFixture(true)
			f.clock = clockwork.NewRealClock()
			f.serveRenewals(t)
			time.Sleep(time.Second)
			f.store.SetFault(func(string) txntest.Fault { return fault })
			before := f.store.Calls("keep") + f.store.Calls("get") + f.store.Calls("commit")
			const seconds = 13
			for range seconds * 6 {
				f.Recheck()
				time.Sleep(time.Second / 6)
			}
			renewals := int(seconds*time.Second/renewInterval) + maxRefusedRenewals
			calls := f.store.Calls("keep") + f.store.Calls("get") + f.store.Calls("commit") - before
			require.LessOrEqual(t, calls, 2*renewals, "fault %v", fault)
		})
	}
}

// Another writer replaces the record of a host by something else. A host that starts now would
// never see it.
func TestHostWhoseRecordWasReplacedWritesItAgain(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	_, other := f.startPair()
	key := hostPrefix + other.settings.Host
	_, err := f.store.Commit(t.Context(), txn.Request{Writes: []txn.Write{{Key: key, Value: []byte("[[[")}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		item, err := f.store.Get(t.Context(), key)
		return err == nil && other.presence.isOwn(item)
	}, testTimeout, 10*time.Millisecond)
}

// A host's record is gone while the host lives. Whether the others still see the host or
// have lost sight of it, it writes the record again and all see it.
func TestHostWithoutARecordIsSeenAgain(t *testing.T) {
	for _, lostSight := range []bool{false, true} {
		f := newFleet(t, time.Millisecond)
		broker, other := f.startPair()
		name := other.settings.Host
		f.removeRecord(name)
		if lostSight {
			loseSight(broker, name)
		}
		require.Eventually(t, func() bool { return f.hasRecord(name) }, testTimeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return len(broker.view.Local()) == 2 }, testTimeout, 10*time.Millisecond)
	}
}
