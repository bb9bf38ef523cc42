package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// turnedAwayFleet is a fleet of hosts of one data centre, each of which the store can leave
// without answers while it answers the others.
type turnedAwayFleet struct {
	*fleet
	stores map[string]*platformtest.SilentStore
	// ranked are the hosts in the order in which they are the broker.
	ranked []*Host
}

func newTurnedAwayFleet(t *testing.T, size int) *turnedAwayFleet {
	f := &turnedAwayFleet{
		fleet:  &fleet{t: t, logs: fleetLog, store: txntest.NewStore(), hosts: make(map[string]*Host), dialers: make(map[string]*peertest.Dialer)},
		stores: make(map[string]*platformtest.SilentStore),
	}
	f.put(platformtest.Config("svc"))
	f.addReplica("r0", "", time.Millisecond)
	for i := range size {
		name := fmt.Sprintf("h%d", i)
		f.stores[name] = platformtest.NewSilentStore(t, f.store, nil)
		f.startAt(name, "dc", f.stores[name].Address)
	}
	require.Eventually(t, func() bool {
		for _, h := range f.hosts {
			if len(h.view.Local()) != size {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
	for _, m := range membership.Rendezvous(membership.All(f.hosts["h0"].view), "slots/dc", size) {
		f.ranked = append(f.ranked, f.hosts[m.Name])
	}
	require.Eventually(t, f.ranked[0].slotClient.IsBroker, testTimeout, time.Millisecond)
	return f
}

// turnAway leaves the first hosts in order without answers of the store.
func (f *turnedAwayFleet) turnAway(count int) {
	for _, h := range f.ranked[:count] {
		f.stores[h.settings.Host].SilenceAll()
	}
}

// The hosts that the store answers served an older version for as long as they believed their broker.
func TestChangeIsInForceInTimeThoughTheStoreAnswersTheBrokerNoMore(t *testing.T) {
	// The third row turns all hosts away that keep the replica records.
	for _, row := range []struct{ hosts, turnedAway int }{{4, 1}, {4, 2}, {7, 5}} {
		// The sooner a call of the broker is due, the sooner it finds out.
		for phase := time.Duration(0); phase < renewInterval; phase += 300 * time.Millisecond {
			testChangeWhileHostsAreTurnedAway(t, row.hosts, row.turnedAway, phase)
		}
	}
}

// testChangeWhileHostsAreTurnedAway changes the configuration just after the store has left some hosts
// without answers, a phase after the start of the fleet.
func testChangeWhileHostsAreTurnedAway(t *testing.T, hosts, turnedAway int, phase time.Duration) {
	t.Run(fmt.Sprintf("%d of %d, phase %s", turnedAway, hosts, phase), func(t *testing.T) {
		t.Parallel()
		f := newTurnedAwayFleet(t, hosts)
		time.Sleep(silentTime/2 + phase)
		f.turnAway(turnedAway)
		f.put(platformtest.ConfigVersion(7, "svc"))
		acknowledged := time.Now()
		answered := f.ranked[turnedAway:]
		require.Eventually(t, func() bool {
			for _, h := range answered {
				if h.config.Table().Version != 7 {
					return false
				}
			}
			return true
		}, answered[0].settings.ConfigTimeout, time.Millisecond)
		t.Log("in force after", time.Since(acknowledged))
	})
}
