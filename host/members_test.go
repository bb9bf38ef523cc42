package host

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// sees reports whether a host has another one in its view.
func sees(h *Host, name string) bool {
	return slices.ContainsFunc(membership.All(h.view), func(m membership.Host) bool { return m.Name == name })
}

// awaitView waits until all hosts see each other.
func (f *fleet) awaitView() {
	for _, h := range f.hosts {
		require.Eventually(f.t, func() bool { return len(membership.All(h.view)) == len(f.hosts) }, 10*time.Second, 10*time.Millisecond)
	}
}

// A host is lost and removed. A peer that the store turns away still takes it for a member,
// and a host that has removed it fetches the peer's view: its batch jobs were never taken over.
func TestRemovedHostDoesNotComeBackFromAPeer(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	proxy := new(storeProxy)
	a, lost, peer := f.start("a"), f.start("lost"), f.startAt("peer", "other", proxy.start(f))
	f.awaitView()
	proxy.cut()
	require.Eventually(t, peer.storeUnavailable, testTimeout, 10*time.Millisecond)
	lease := lost.presence.leaseID
	f.kill("lost")
	require.NoError(t, f.store.Expire(lease))
	require.Eventually(t, func() bool { return !sees(a, "lost") }, testTimeout, time.Millisecond)
	require.True(t, sees(peer, "lost"))
	fetcher := &stateFetcher{host: a, clock: a.clock, rng: rand.New(rand.NewPCG(1, 1)), log: a.log}
	fetcher.fetchOnce(t.Context())
	require.Never(t, func() bool { return sees(a, "lost") }, 2*pingInterval, 10*time.Millisecond)
}

// Two hosts ping a lost one, and each takes the other for its broker, as while a new broker
// starts. Each took over the other's view with the lost host, and neither pinged it any more.
func TestBrokersThatFollowEachOtherGoOnPinging(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	pinged := make(chan string, 100)
	f.prepare = func(h *Host) {
		h.presence.watching = func() bool { return true }
		ping := h.presence.ping
		h.presence.ping = func(ctx context.Context, to membership.Host, alone bool) error {
			if to.Name != "lost" {
				return ping(ctx, to, alone)
			}
			pinged <- h.settings.Host
			<-ctx.Done()
			return ctx.Err()
		}
	}
	lost := f.start("lost")
	broker, other := f.startPair()
	f.awaitView()
	lease := lost.presence.leaseID
	f.kill("lost")
	require.NoError(t, f.store.Expire(lease))
	require.Equal(t, broker.settings.Host, <-pinged)
	other.presence.Apply(context.Background(), []txn.Item{{Key: hostPrefix + "lost", Rev: math.MaxInt64, Deleted: true}})
	require.Equal(t, other.settings.Host, <-pinged)
	broker.handleNotice(other.view.Self(), slots.Notice{HostsVersion: 1, Current: true})
	other.handleNotice(broker.view.Self(), slots.Notice{HostsVersion: 1, Current: true})
	for _, h := range []*Host{broker, other} {
		require.Eventually(t, func() bool { return !sees(h, "lost") }, testTimeout, 10*time.Millisecond, h.settings.Host)
	}
}
