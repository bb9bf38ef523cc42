package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFailedHostIsDetected(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 3, 8, 32, 128, 250} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(t, uint64(n))
			all := s.connectedFleet("a", n, 1)
			s.advance(time.Second + time.Duration(s.rnd.Int64N(int64(time.Second))))
			failed := all[n/2]
			failed.crashed = true
			took := s.advanceUntil(5*time.Second, func() bool { return s.consistent(without(all, failed)) })
			t.Logf("%d members: detected by all after %s", n, took)
			s.advance(10 * time.Second)
			require.True(t, s.consistent(without(all, failed)), "an older update does not bring a failed host back")
		})
	}
}

func TestSimultaneousFailuresAreDetected(t *testing.T) {
	t.Parallel()
	s := newSim(t, 3)
	all := s.connectedFleet("a", 64, 1)
	for _, m := range all[40:] {
		m.crashed = true
	}
	took := s.advanceUntil(15*time.Second, func() bool { return s.consistent(all[:40]) })
	t.Logf("24 of 64 failed at once: detected by all after %s", took)
}

func TestLeavingReachesAllMembers(t *testing.T) {
	t.Parallel()
	s := newSim(t, 4)
	all := s.connectedFleet("a", 64, 1)
	s.send(all[5], all[5].setLeaving(s.now))
	took := s.advanceUntil(time.Second, func() bool { return s.consistent(all) })
	t.Logf("64 members: leaving known to all after %s", took)
	require.Equal(t, Leaving, all[0].local["a-host-5"].state())
	s.advance(time.Minute)
	require.Equal(t, Leaving, all[0].local["a-host-5"].state(), "leaving is sticky")
	s.send(all[5], all[5].leave(s.now))
	all[5].crashed = true
	s.advanceUntil(time.Second, func() bool { return s.consistent(without(all, all[5])) })
	restarted := s.add("a", "a-host-5", 6, all[0])
	s.advanceUntil(5*time.Second, func() bool { return s.consistent(append(without(all, all[5]), restarted)) })
	require.Equal(t, Alive, all[0].local["a-host-5"].state(), "a new incarnation is alive")
}

func TestPausedHostIsKept(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		s := newSim(t, seed)
		all := s.startFleet("a", 16, 1)
		for range 5 {
			m := all[s.rnd.IntN(len(all))]
			m.pausedUntil = s.now.Add(time.Second)
			s.advance(time.Second + time.Duration(s.rnd.Int64N(int64(5*time.Second))))
		}
		// A longer pause ends early enough for the host to refute the suspicion.
		all[0].pausedUntil = s.now.Add(2500 * time.Millisecond)
		s.advance(10 * time.Second)
		// Many hosts pause at the same time, as on one overloaded machine.
		for _, m := range all[:8] {
			m.pausedUntil = s.now.Add(time.Second)
		}
		s.advance(20 * time.Second)
		for _, m := range all {
			require.Empty(t, m.goneSeen, "seed %d: %s removed a paused host", seed, m.self.Name)
		}
		require.True(t, s.consistent(all))
	}
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 8, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(t, uint64(n))
			all := s.startFleet("a", n, 1)
			half := make(map[*simMember]bool)
			for _, m := range all[:n/2] {
				half[m] = true
			}
			s.drops = func(a, b *simMember) bool { return half[a] != half[b] }
			s.advanceUntil(20*time.Second, func() bool { return s.consistent(all[:n/2]) && s.consistent(all[n/2:]) })
			s.advance(time.Minute)
			s.drops = func(_, _ *simMember) bool { return false }
			took := s.advanceUntil(15*time.Second, func() bool { return s.consistent(all) })
			t.Logf("%d members: healed after %s", n, took)
		})
	}
}

func TestOneWayPartitionRemovesNoHost(t *testing.T) {
	t.Parallel()
	s := newSim(t, 9)
	all := s.startFleet("a", 8, 1)
	s.drops = func(from, to *simMember) bool { return from == all[1] && to == all[2] }
	s.advance(2 * time.Minute)
	for _, m := range all {
		require.Empty(t, m.goneSeen, "%s removed a host that others reach", m.self.Name)
		require.Zero(t, m.self.Refutation, "%s was suspected, though others reach it", m.self.Name)
	}
	require.True(t, s.consistent(all))
}

func TestHostThatReceivesNothingIsRemoved(t *testing.T) {
	t.Parallel()
	s := newSim(t, 10)
	all := s.startFleet("a", 8, 1)
	s.drops = func(_, to *simMember) bool { return to == all[3] }
	s.advanceUntil(10*time.Second, func() bool { return s.consistent(without(all, all[3])) })
	s.drops = func(_, _ *simMember) bool { return false }
	s.advanceUntil(15*time.Second, func() bool { return s.consistent(all) })
}

func TestRollingReplacementConverges(t *testing.T) {
	t.Parallel()
	s := newSim(t, 11)
	all := s.startFleet("a", 16, 1)
	for i := range all {
		old := all[i]
		s.send(old, old.leave(s.now))
		old.crashed = true
		all[i] = s.add("a", fmt.Sprintf("a-new-%d", i), 100+i, all[(i+1)%16], all[(i+2)%16])
		s.advanceUntil(5*time.Second, func() bool { return s.consistent(all) })
	}
}

func TestDuplicateNameIsRejected(t *testing.T) {
	t.Parallel()
	s := newSim(t, 12)
	all := s.startFleet("a", 8, 1)
	for _, seed := range all[:4] {
		duplicate := s.add("a", "a-host-3", 100+int(seed.address.Port())+len(s.members), seed)
		s.advance(10 * time.Second)
		require.False(t, duplicate.joined)
		require.Equal(t, all[3].address, duplicate.nameHolder)
		duplicate.crashed = true
	}
	require.True(t, s.consistent(all))
	require.False(t, all[3].nameHolder.IsValid())
}

func TestFailedHostRejoinsAtNewAddress(t *testing.T) {
	t.Parallel()
	for name, back := range map[string]time.Duration{"clock ahead": 0, "clock behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 13)
			all := s.startFleet("a", 8, 1)
			all[3].crashed = true
			rejoined := s.add("a", "a-host-3", 100, all[0])
			rejoined.self.Incarnation = uint64(s.now.Add(back).UnixNano())
			s.advanceUntil(15*time.Second, func() bool { return s.consistent(append(without(all, all[3]), rejoined)) })
		})
	}
}

func TestHostsStartedTogetherFindEachOther(t *testing.T) {
	t.Parallel()
	s := newSim(t, 14)
	a := s.add("a", "x", 1)
	b := s.add("a", "y", 2)
	a.seeds, b.seeds = append(a.seeds, b.address), append(b.seeds, a.address)
	a.joined, b.joined = false, false
	s.advanceUntil(20*time.Second, func() bool { return s.consistent([]*simMember{a, b}) })
}

// Hosts of three data centres that start within milliseconds of each other must
// find each other within 5 s in whatever order their joins arrive.
func TestDataCentresStartedTogetherFindEachOther(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		s := newSim(t, seed)
		var all []*simMember
		for i := range 6 {
			all = append(all, s.add(string(rune('a'+i/2)), fmt.Sprintf("host-%d", i), 1+i, all...))
			s.advance(time.Duration(s.rnd.Int64N(int64(20 * time.Millisecond))))
		}
		s.advanceUntil(5*time.Second, func() bool {
			for _, m := range all {
				if !m.joined || len(m.local) != 1 || len(m.remote) != 4 {
					return false
				}
			}
			return true
		})
	}
}

func TestPartitionKeepsRemoteHosts(t *testing.T) {
	t.Parallel()
	s := newSim(t, 15)
	a := s.startFleet("a", 6, 1)
	b := []*simMember{s.add("b", "b-host-0", 100, a[0])}
	for i := 1; i < 6; i++ {
		b = append(b, s.add("b", fmt.Sprintf("b-host-%d", i), 100+i, b[0], a[0]))
	}
	known := func(ms []*simMember, n int) func() bool {
		return func() bool {
			for _, m := range ms {
				alive := 0
				for _, r := range m.remote {
					if r.state() != Gone {
						alive++
					}
				}
				if alive != n {
					return false
				}
			}
			return true
		}
	}
	s.advanceUntil(10*time.Second, func() bool { return s.consistent(a) && s.consistent(b) && known(a, 6)() && known(b, 6)() })
	s.drops = func(x, y *simMember) bool { return x.self.DataCentre != y.self.DataCentre }
	b[4].crashed = true
	s.advance(time.Minute)
	require.True(t, known(a, 6)(), "a partition removes no remote host")
	s.drops = func(_, _ *simMember) bool { return false }
	s.advanceUntil(20*time.Second, known(a, 5))
}

func TestUpstreamClaimsReachAllHosts(t *testing.T) {
	t.Parallel()
	s := newSim(t, 16)
	a := s.startFleet("a", 24, 1)
	b := s.startFleet("b", 24, 100)
	b[0].seeds = append(b[0].seeds, a[0].address)
	s.advanceUntil(20*time.Second, func() bool { return len(a[23].remote) == 24 && len(b[23].remote) == 24 })
	s.advance(20 * time.Second)
	have := func(c upstreamClaim) func() bool {
		return func() bool {
			for _, m := range append(append([]*simMember{}, a...), b...) {
				if got, _ := m.claims.get(c.key()); got.compare(&c) != 0 {
					return false
				}
			}
			return true
		}
	}
	leaving := upstreamClaim{Service: "svc", Name: "u", Since: 3, State: Leaving, Origin: "a"}
	s.send(a[7], a[7].reportUpstream(s.now, leaving))
	took := s.advanceUntil(3*time.Second, have(leaving))
	t.Logf("two data centres of 24: all know of a leaving upstream after %s", took)
	for _, old := range []upstreamClaim{
		{Service: "svc", Name: "u", Since: 3, State: Alive, Origin: "b"},
		{Service: "svc", Name: "u", Since: 2, Start: 9, State: Alive, Origin: "b"},
	} {
		s.send(b[3], b[3].reportUpstream(s.now, old))
		s.advance(10 * time.Second)
		require.True(t, have(leaving)(), "an older claim changes nothing")
	}
	for _, next := range []upstreamClaim{
		{Service: "svc", Name: "u", Since: 3, Start: 1, State: Alive, Origin: "b"},
		{Service: "svc", Name: "u", Since: 4, State: Leaving, Origin: "a"},
	} {
		s.send(b[3], b[3].reportUpstream(s.now, next))
		s.advanceUntil(10*time.Second, have(next))
	}
}

// The requirement is at most 2 KB a second for all control traffic of a host.
func TestTrafficPerHost(t *testing.T) {
	t.Parallel()
	const limit = 2048
	const measured = 30 * time.Second
	const seconds = int(measured / time.Second)
	for _, n := range []int{8, 32, 128, 250} {
		s := newSim(t, uint64(n))
		all := s.connectedFleet("a", n, 1)
		s.advance(2 * time.Second)
		for _, m := range all {
			m.bytes = 0
		}
		s.advance(measured)
		peak, sum := 0, 0
		for _, m := range all {
			peak, sum = max(peak, m.bytes), sum+m.bytes
		}
		t.Logf("%d members: mean %d, maximum %d bytes/s sent and received", n, sum/seconds/n, peak/seconds)
		require.LessOrEqual(t, peak/seconds, limit)
	}
}

// The traffic limit must also hold while hosts are replaced. In normal operation
// one of 250 hosts is replaced every 5 minutes; here it is every 10 seconds.
func TestTrafficUnderReplacement(t *testing.T) {
	t.Parallel()
	s := newSim(t, 17)
	all := s.connectedFleet("a", 250, 1)
	s.advance(2 * time.Second)
	for _, m := range all {
		m.bytes = 0
	}
	for i := range 3 {
		all[i].crashed = true
		all[i] = s.add("a", all[i].self.Name, 1000+i, all[100])
		s.advance(10 * time.Second)
	}
	peak := 0
	for _, m := range without(all, all[100]) {
		peak = max(peak, m.bytes)
	}
	t.Logf("250 members, one failed and replaced every 10 s: at most %d bytes/s", peak/30)
	require.LessOrEqual(t, peak/30, 2048)
}

func genUpdate(t *rapid.T, label string) hostUpdate {
	return hostUpdate{
		Name: "h", Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
		Refutation: rapid.Uint32Range(0, 2).Draw(t, label+" refutation"),
		Flags:      flag(rapid.Uint8Range(0, 3).Draw(t, label+" flags")),
		Doubt:      doubt(rapid.Uint8Range(0, 2).Draw(t, label+" doubt")),
	}
}

func TestMergeIsASemilattice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genUpdate(t, "a"), genUpdate(t, "b"), genUpdate(t, "c")
		require.Equal(t, merge(a, b), merge(b, a))
		require.Equal(t, merge(merge(a, b), c), merge(a, merge(b, c)))
		require.Equal(t, merge(a, b), merge(merge(a, b), b))
		if a.Incarnation == b.Incarnation {
			require.Equal(t, a.Flags|b.Flags, merge(a, b).Flags, "leaving is sticky")
		}
	})
}
