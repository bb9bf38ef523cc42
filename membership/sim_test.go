package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Upper bounds on the bytes that net/rpc adds to a payload on an open connection;
// TestSimulatedFramingCoversRPCOverhead checks them.
const (
	requestFramingBytes = 48
	replyFramingBytes   = 48
)

const simLatency = time.Millisecond

// sim runs members in virtual time over an in-memory network. A run is
// deterministic for a given seed.
type sim struct {
	t       testing.TB
	now     time.Time
	events  simEvents
	seq     int
	rnd     *rand.Rand
	members map[netip.AddrPort]*simMember
	drops   func(from, to *simMember) bool
}

type simMember struct {
	*stateMachine
	address     netip.AddrPort
	crashed     bool
	pausedUntil time.Time
	// bytes is the number of bytes sent and received, with framing.
	bytes int
	// goneSeen holds, by name, when this member first recorded a host as gone.
	goneSeen map[string]time.Time
	// notedVersion is the state machine's version at the last call of noteGone.
	notedVersion uint64
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(t testing.TB, seed uint64) *sim {
	return &sim{
		t: t, now: time.Unix(1_000_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)),
		members: make(map[netip.AddrPort]*simMember), drops: func(_, _ *simMember) bool { return false },
	}
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// advanceUntil advances the time until ok is true and returns how long that took.
// It fails the test if ok is still false after d.
func (s *sim) advanceUntil(d time.Duration, ok func() bool) time.Duration {
	for begin := s.now; s.now.Sub(begin) < d; s.advance(50 * time.Millisecond) {
		if ok() {
			return s.now.Sub(begin)
		}
	}
	require.True(s.t, ok(), "not within %s", d)
	return d
}

func (s *sim) add(dc, name string, address int, seeds ...*simMember) *simMember {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(address >> 8), byte(address)}), 7080)
	u := hostUpdate{
		Name: name, DataCentre: dc, Region: "region-of-" + dc, Peer: a, Operators: a,
		Incarnation: uint64(s.now.UnixNano()) + uint64(address),
	}
	var from []netip.AddrPort
	for _, m := range seeds {
		from = append(from, m.address)
	}
	m := &simMember{
		stateMachine: newStateMachine(u, from, rand.New(rand.NewPCG(s.rnd.Uint64(), 2)), s.now), address: a,
		goneSeen: make(map[string]time.Time),
	}
	s.members[a] = m
	s.schedule(time.Duration(s.rnd.Int64N(int64(tickInterval))), func() { s.tick(m) })
	return m
}

func (s *sim) tick(m *simMember) {
	if m.crashed {
		return
	}
	if wait := m.pausedUntil.Sub(s.now); wait > 0 {
		s.schedule(wait, func() { s.tick(m) })
		return
	}
	s.schedule(tickInterval, func() { s.tick(m) })
	s.send(m, m.tick(s.now))
	s.noteGone(m)
}

func (s *sim) noteGone(m *simMember) {
	if m.notedVersion == m.version {
		return
	}
	m.notedVersion = m.version
	for name, r := range m.local {
		if _, seen := m.goneSeen[name]; r.state() == Gone && !seen {
			m.goneSeen[name] = s.now
		}
	}
}

func (s *sim) send(from *simMember, out []outgoing) {
	for _, o := range out {
		data, err := encode(o.msg)
		require.NoError(s.t, err)
		from.bytes += len(data) + requestFramingBytes
		if to := s.members[o.to]; to != nil && !s.drops(from, to) {
			s.schedule(simLatency, func() { s.deliver(from, to, data, true) })
		}
	}
}

// deliver hands a message to its receiver; call is false if the message is the
// reply to a call.
func (s *sim) deliver(from, to *simMember, data []byte, call bool) {
	if to.crashed {
		return
	}
	if wait := to.pausedUntil.Sub(s.now); wait > 0 {
		s.schedule(wait, func() { s.deliver(from, to, data, call) })
		return
	}
	to.bytes += len(data) + requestFramingBytes
	msg, err := decode(data)
	require.NoError(s.t, err)
	reply, out := to.receive(s.now, msg)
	s.noteGone(to)
	s.send(to, out)
	if call {
		to.bytes += replyFramingBytes
		from.bytes += replyFramingBytes
	}
	if reply == nil {
		return
	}
	answer, err := encode(reply)
	require.NoError(s.t, err)
	to.bytes += len(answer)
	if !s.drops(to, from) {
		s.schedule(simLatency, func() { s.deliver(to, from, answer, false) })
	}
}

// startFleet starts n members of one data centre and waits until each knows all
// others.
func (s *sim) startFleet(dc string, n, firstAddress int) []*simMember {
	var all []*simMember
	for i := range n {
		all = append(all, s.add(dc, fmt.Sprintf("%s-host-%d", dc, i), firstAddress+i, all[:min(i, 3)]...))
		s.advance(20 * time.Millisecond)
	}
	s.advanceUntil(time.Minute, func() bool { return s.consistent(all) })
	return all
}

// consistent reports whether each member's local hosts are exactly the given other
// members, with their present states and incarnations.
func (s *sim) consistent(all []*simMember) bool {
	for _, m := range all {
		if !m.joined || len(m.index().byName) != len(all)-1 {
			return false
		}
		for _, o := range all {
			if r := m.local[o.self.Name]; o != m && (r == nil || r.state() != o.self.state() || r.Incarnation != o.self.Incarnation) {
				return false
			}
		}
	}
	return true
}

// connectedFleet returns n members whose tables already hold each other, so that
// large groups need no simulated start.
func (s *sim) connectedFleet(dc string, n, firstAddress int) []*simMember {
	var all []*simMember
	for i := range n {
		all = append(all, s.add(dc, fmt.Sprintf("%s-host-%d", dc, i), firstAddress+i))
	}
	for _, m := range all {
		for _, o := range all {
			if o != m {
				m.local[o.self.Name] = &hostRecord{hostUpdate: o.self.hostUpdate}
			}
		}
	}
	return all
}

func without(all []*simMember, out ...*simMember) []*simMember {
	var rest []*simMember
	for _, m := range all {
		kept := true
		for _, o := range out {
			kept = kept && m != o
		}
		if kept {
			rest = append(rest, m)
		}
	}
	return rest
}
