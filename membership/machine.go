package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the protocol. A host that is lost right after a probe is found
// suspect after probePeriod+directTimeout+indirectTimeout and gone after
// suspicionTime more.
const (
	tickInterval    = 100 * time.Millisecond
	probePeriod     = time.Second
	directTimeout   = 500 * time.Millisecond
	indirectTimeout = 500 * time.Millisecond
	suspicionTime   = 2 * time.Second
	// pauseLimit is the gap between two ticks above which the member takes
	// itself for paused.
	pauseLimit = 400 * time.Millisecond
	// joinPatience is how long a member without an answer waits before it
	// starts alone.
	joinPatience = 2 * time.Second
	// startTime is how long a new member asks its seeds often: those that
	// start together may not know each other yet.
	startTime = 10 * time.Second
	// digestPeriod and digestMemberPeriod for each member make the time between
	// two comparisons of whole tables, which grow with the members.
	digestPeriod       = 5 * time.Second
	digestMemberPeriod = 100 * time.Millisecond
	// surveyPeriod is the time between two comparisons with another data centre.
	surveyPeriod = 5 * time.Second
	// goneMemory is how long a host that is gone is remembered and tried.
	goneMemory = time.Hour
	// pushInterval is the mean time between two pushes under load.
	pushInterval = 200 * time.Millisecond
	// healTime is how long gone hosts are tried often after one came back.
	healTime = 10 * time.Second
)

// Sizes of the protocol.
const (
	ringProbes     = 2
	randomProbes   = 1
	relays         = 3
	pushFanout     = 4
	pushBurst      = 8
	pushUpdates    = 16
	carriedUpdates = 6
	bridges        = 2
	healProbes     = 5
	// joinAsks is the number of hosts that a member asks at a time to join.
	joinAsks = 3
	// seedPeriods is the mean number of periods between two tries of a seed.
	seedPeriods = 5
)

// outgoing is a message to send.
type outgoing struct {
	to  netip.AddrPort
	msg *message
}

// probe is an outstanding probe.
type probe struct {
	target  string
	to      netip.AddrPort
	sent    time.Time
	relayed bool
	// purpose decides what the outcome means.
	purpose purpose
	// requester and seq are set for a probe on behalf of another member.
	requester netip.AddrPort
	seq       uint32
	// joiner waits for the outcome of a check of its name.
	joiner hostUpdate
}

type purpose uint8

const (
	purposeWatch purpose = iota
	purposeBehalf
	purposeJoin
	purposeRevive
)

// machine is the protocol of one member as a pure state machine: it takes
// ticks and messages and returns messages. It follows SWIM (Das, Gupta and
// Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002) with these changes: besides a random member,
// each member probes its successors on a hash ring, so that the time to detect
// a loss is bounded; new updates are also pushed at once; and word that a host
// is gone is verified by the receiver's own probe before it is believed.
type machine struct {
	self   record
	rnd    *rand.Rand
	seeds  []netip.AddrPort
	local  map[string]*record
	remote map[item]*record
	// roster is nil after a change of local.
	roster  *roster
	claims  *claims
	queue   *queue
	probes  map[uint32]*probe
	seq     uint32
	shuffle []string

	started    time.Time
	lastTick   time.Time
	nextPeriod time.Time
	nextDigest time.Time
	nextSurvey time.Time
	healUntil  time.Time
	pushCredit float64
	credited   time.Time

	joined bool
	// refused names the address that holds the member's name.
	refused netip.AddrPort
	// version grows with each change that a View shows.
	version uint64
	out     []outgoing
}

func newMachine(self hostUpdate, seeds []netip.AddrPort, rnd *rand.Rand, now time.Time) *machine {
	m := &machine{
		self: record{hostUpdate: self}, rnd: rnd, seeds: seeds, local: make(map[string]*record),
		remote: make(map[item]*record), claims: newClaims(), queue: newQueue(), probes: make(map[uint32]*probe),
		started: now, lastTick: now, nextPeriod: now, credited: now, pushCredit: pushBurst,
	}
	m.nextDigest = now.Add(m.digestPause())
	m.nextSurvey = now.Add(m.jitter(surveyPeriod))
	m.joined = len(seeds) == 0
	return m
}

func (m *machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rnd.Int64N(int64(d)))
}

// digestPause returns the time to the next comparison of whole tables.
func (m *machine) digestPause() time.Duration {
	return m.jitter(digestPeriod + time.Duration(len(m.local))*digestMemberPeriod)
}

func (m *machine) emit(to netip.AddrPort, msg *message) {
	m.out = append(m.out, outgoing{to: to, msg: msg})
}

func (m *machine) flush() []outgoing {
	out := m.out
	m.out = nil
	return out
}

// header returns a message from this member.
func (m *machine) header(k kind, toDataCentre string) *message {
	msg := &message{Kind: k, From: m.self.Name, Incarnation: m.self.Incarnation}
	if toDataCentre != m.self.DataCentre {
		msg.DataCentre = m.self.DataCentre
	}
	return msg
}

// localMessage returns a message inside the data centre with queued updates.
func (m *machine) localMessage(k kind) *message {
	msg := m.header(k, m.self.DataCentre)
	m.carry(msg, carriedUpdates)
	return msg
}

// carry adds queued updates to a message inside the data centre.
func (m *machine) carry(msg *message, n int) {
	if !m.joined {
		return
	}
	for _, i := range m.queue.take(n, len(m.local)+1) {
		m.carryItem(msg, i, m.self.DataCentre)
	}
}

func (m *machine) carryItem(msg *message, i item, toDataCentre string) {
	if i.service != "" {
		if c, ok := m.claims.get(UpstreamKey{Service: i.service, Name: i.name}); ok {
			msg.Claims = append(msg.Claims, c)
		}
		return
	}
	if r := m.lookup(i); r != nil {
		msg.Hosts = append(msg.Hosts, m.wire(r, toDataCentre))
	}
}

// wire returns a record as it goes to a member of a data centre.
func (m *machine) wire(r *record, toDataCentre string) hostUpdate {
	u := r.hostUpdate
	if u.DataCentre == toDataCentre {
		u.DataCentre = ""
		if toDataCentre == m.self.DataCentre && u.Region == m.self.Region {
			u.Region = ""
		}
	}
	return u
}

func (m *machine) lookup(i item) *record {
	switch {
	case i.dataCentre != m.self.DataCentre:
		return m.remote[i]
	case i.name == m.self.Name:
		return &m.self
	default:
		return m.local[i.name]
	}
}

func (m *machine) itemOf(r *record) item { return item{dataCentre: r.DataCentre, name: r.Name} }

// roster is a sorted extract of the local hosts that are not gone.
type roster struct {
	// byName and ring are ordered by name and by the hash of the name.
	byName, ring []*record
	suspects     []*record
}

// hosts returns the roster, made anew after a change.
func (m *machine) hosts() *roster {
	if m.roster != nil {
		return m.roster
	}
	r := &roster{}
	for _, host := range m.local {
		if host.state() != Gone {
			r.byName = append(r.byName, host)
		}
	}
	sort.Slice(r.byName, func(i, j int) bool { return r.byName[i].Name < r.byName[j].Name })
	r.ring = slices.Clone(r.byName)
	sort.Slice(r.ring, func(i, j int) bool { return ringPosition(r.ring[i].Name) < ringPosition(r.ring[j].Name) })
	for _, host := range r.byName {
		if host.Doubt == doubtSuspect {
			r.suspects = append(r.suspects, host)
		}
	}
	m.roster = r
	return r
}

func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

// sample returns up to n random members that match.
func (m *machine) sample(n int, match func(*record) bool) []*record {
	hosts := m.hosts().byName
	var out []*record
	for _, i := range m.rnd.Perm(len(hosts)) {
		if len(out) == n {
			break
		}
		if match == nil || match(hosts[i]) {
			out = append(out, hosts[i])
		}
	}
	return out
}

// digest sums up the hosts of a data centre that are not gone.
func (m *machine) digest(dataCentre string) uint64 {
	sum := uint64(1)
	add := func(r *record) {
		if r.DataCentre != dataCentre || r.state() == Gone {
			return
		}
		b := append([]byte(r.Name), 0, byte(r.Flags))
		b = binary.BigEndian.AppendUint64(b, r.Incarnation)
		b = binary.BigEndian.AppendUint32(b, r.Refutation)
		sum ^= xxhash.Sum64(b)
	}
	add(&m.self)
	for _, r := range m.local {
		add(r)
	}
	for _, r := range m.remote {
		add(r)
	}
	return sum
}

// tableDigest sums up all that members of a data centre share.
func (m *machine) tableDigest() uint64 {
	sum := m.claims.digest()
	seen := map[string]struct{}{m.self.DataCentre: {}}
	sum ^= m.digest(m.self.DataCentre)
	for i := range m.remote {
		if _, done := seen[i.dataCentre]; !done {
			seen[i.dataCentre] = struct{}{}
			sum ^= m.digest(i.dataCentre)
		}
	}
	return sum
}

// table adds all records of the data centre, and with all those of others too.
func (m *machine) table(msg *message, all bool, toDataCentre string) {
	msg.Hosts = append(msg.Hosts, m.wire(&m.self, toDataCentre))
	for _, r := range m.local {
		if toDataCentre == m.self.DataCentre || r.Doubt != doubtSuspect {
			msg.Hosts = append(msg.Hosts, m.wire(r, toDataCentre))
		}
	}
	if !all {
		return
	}
	for _, r := range m.remote {
		msg.Hosts = append(msg.Hosts, m.wire(r, toDataCentre))
	}
}

// setLeaving states that this member takes no new work.
func (m *machine) setLeaving(now time.Time) []outgoing { return m.state(now, flagLeaving) }

// leave states that this member is gone for good.
func (m *machine) leave(now time.Time) []outgoing { return m.state(now, flagLeaving|flagLeft) }

func (m *machine) state(now time.Time, f flag) []outgoing {
	m.self.Flags |= f
	m.noteLocal(&m.self)
	m.push(now)
	return m.flush()
}

// report takes a claim of this host.
func (m *machine) report(now time.Time, c claim) []outgoing {
	m.takeClaim(c)
	m.push(now)
	return m.flush()
}

// noteLocal queues a changed record of the own data centre.
func (m *machine) noteLocal(r *record) {
	m.queue.add(m.itemOf(r))
	m.version++
	m.roster = nil
	if r.Doubt != doubtSuspect {
		m.bridge(m.itemOf(r))
	}
}

func (m *machine) takeClaim(c claim) {
	if !m.claims.apply(c) {
		return
	}
	i := item{service: c.Service, name: c.Name}
	m.queue.add(i)
	m.version++
	if c.Origin == m.self.DataCentre {
		m.bridge(i)
	}
}

// isBridge reports whether this member talks to other data centres.
func (m *machine) isBridge() bool {
	hosts := []Host{m.self.host()}
	for _, r := range m.local {
		hosts = append(hosts, r.host())
	}
	for _, h := range Rendezvous(hosts, "membership/bridge", bridges) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// bridge sends one update to a host of each other data centre.
func (m *machine) bridge(i item) {
	if len(m.remote) == 0 || !m.joined || !m.isBridge() {
		return
	}
	for _, dc := range m.dataCentres() {
		if r := m.remoteHost(dc); r != nil {
			msg := m.header(kindNews, dc)
			m.carryItem(msg, i, dc)
			m.emit(r.Peer, msg)
		}
	}
}

// dataCentres returns the names of the other data centres, in order.
func (m *machine) dataCentres() []string {
	seen := make(map[string]struct{})
	var out []string
	for i := range m.remote {
		if _, done := seen[i.dataCentre]; !done {
			seen[i.dataCentre] = struct{}{}
			out = append(out, i.dataCentre)
		}
	}
	sort.Strings(out)
	return out
}

// remoteHost returns a random host of another data centre.
func (m *machine) remoteHost(dataCentre string) *record {
	var items []item
	for i, r := range m.remote {
		if i.dataCentre == dataCentre && r.state() != Gone {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return nil
	}
	sort.Slice(items, func(a, b int) bool { return items[a].name < items[b].name })
	return m.remote[items[m.rnd.IntN(len(items))]]
}

// push sends new updates to random members at once, within the push rate.
// What the rate holds back goes out with a later tick or probe.
func (m *machine) push(now time.Time) {
	m.pushCredit = min(pushBurst, m.pushCredit+float64(now.Sub(m.credited))/float64(pushInterval))
	m.credited = now
	for m.joined && m.queue.fresh > 0 && m.pushCredit >= 1 {
		targets := m.sample(pushFanout, nil)
		if len(targets) == 0 {
			return
		}
		m.pushCredit--
		msg := m.header(kindNews, m.self.DataCentre)
		m.carry(msg, pushUpdates)
		for _, r := range targets {
			m.emit(r.Peer, msg)
		}
	}
}
