package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Timing of the protocol. A host that fails right after it answered a probe is
// suspected after at most probeInterval+directTimeout+indirectTimeout and
// declared failed suspicionTimeout later.
const (
	tickInterval     = 100 * time.Millisecond
	probeInterval    = time.Second
	directTimeout    = 500 * time.Millisecond
	indirectTimeout  = 500 * time.Millisecond
	suspicionTimeout = 2 * time.Second
	// pauseThreshold is the gap between two ticks from which on the member
	// assumes that its own process was paused.
	pauseThreshold = 400 * time.Millisecond
	// joinTimeout is how long a starting member waits for a join reply before
	// it assumes that it is the first member.
	joinTimeout = 2 * time.Second
	// startupWindow is how long a new member sends joins to its seeds in every
	// probe period: hosts that start at the same time may not know each other
	// yet.
	startupWindow = 10 * time.Second
	// The mean interval between two comparisons of whole tables is
	// baseDigestInterval plus digestIntervalPerMember for each member, since
	// the size of the tables grows with the number of members.
	baseDigestInterval      = 5 * time.Second
	digestIntervalPerMember = 100 * time.Millisecond
	// remoteSyncInterval is the mean time between two comparisons with another
	// data centre.
	remoteSyncInterval = 5 * time.Second
	// goneRetention is how long the record of a host that failed or left is
	// kept; failed hosts are probed for that long.
	goneRetention = time.Hour
	// pushInterval is the mean time between two pushes under load.
	pushInterval = 200 * time.Millisecond
	// healWindow is how long failed hosts are probed at the higher rate after
	// one of them answered again.
	healWindow = 10 * time.Second
)

// Message sizes and fan-outs of the protocol. In each probe period a member probes
// ringProbes successors on the hash ring and randomProbes random members. A push
// carries up to pushUpdates updates to pushFanout members, other messages up to
// piggybackedUpdates.
const (
	ringProbes           = 2
	randomProbes         = 1
	indirectProbes       = 3
	pushFanout           = 4
	pushBurst            = 8
	pushUpdates          = 16
	piggybackedUpdates   = 6
	bridgesPerDataCentre = 2
	healProbes           = 5
	// joinFanout is the number of addresses to which a member sends joins in one
	// probe period while it joins and in the startup window.
	joinFanout = 3
	// meanSeedRetryPeriods is the mean number of probe periods between two joins
	// to seeds after the startup window.
	meanSeedRetryPeriods = 5
)

// outgoing is a message with its destination address.
type outgoing struct {
	to  netip.AddrPort
	msg *message
}

// probe is an outstanding probe.
type probe struct {
	target       string
	to           netip.AddrPort
	sent         time.Time
	indirectSent bool
	// purpose decides what follows from an ack or a timeout.
	purpose purpose
	// requester and seq are the address of the member that requested an
	// indirect probe and the sequence number it used.
	requester netip.AddrPort
	seq       uint32
	// joiner is the host whose join waits until the holder of the same name
	// answers or the probe times out.
	joiner hostUpdate
}

// purpose says why a probe was sent: to detect a failure, on behalf of another
// member, to check whether the holder of a joining host's name is alive, or to
// find out whether a failed host is reachable again.
type purpose uint8

const (
	purposeDetect purpose = iota
	purposeIndirect
	purposeNameCheck
	purposeRecover
)

// stateMachine is the protocol of one member without input and output: it takes
// ticks and messages and returns the messages to send. It follows SWIM (Das,
// Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with these changes: besides a random
// member, each member probes its successors on a hash ring, so that the time to
// detect a failure is bounded; new updates are also pushed at once; and a member
// that receives an update that a host failed probes the host itself before it
// accepts the update.
type stateMachine struct {
	self   hostRecord
	rnd    *rand.Rand
	seeds  []netip.AddrPort
	local  map[string]*hostRecord
	remote map[updateKey]*hostRecord
	// cachedIndex is built from local on demand and reset to nil when local
	// changes.
	cachedIndex *hostIndex
	claims      *claimTable
	queue       *updateQueue
	probes      map[uint32]*probe
	seq         uint32
	probeOrder  []string

	started        time.Time
	lastTick       time.Time
	nextPeriod     time.Time
	nextDigest     time.Time
	nextRemoteSync time.Time
	healUntil      time.Time
	pushTokens     float64
	pushTokensAt   time.Time

	joined bool
	// nameHolder is the address of another live host with this member's name;
	// it is invalid if there is none.
	nameHolder netip.AddrPort
	// version is incremented with each change of a host, an upstream or
	// nameHolder, so that Gossip knows when to publish a new view.
	version uint64
	outbox  []outgoing
}

func newStateMachine(self hostUpdate, seeds []netip.AddrPort, rnd *rand.Rand, now time.Time) *stateMachine {
	m := &stateMachine{
		self: hostRecord{hostUpdate: self}, rnd: rnd, seeds: seeds, local: make(map[string]*hostRecord),
		remote: make(map[updateKey]*hostRecord), claims: newClaimTable(), queue: newUpdateQueue(), probes: make(map[uint32]*probe),
		started: now, lastTick: now, nextPeriod: now, pushTokensAt: now, pushTokens: pushBurst,
	}
	m.nextDigest = now.Add(m.digestDelay())
	m.nextRemoteSync = now.Add(m.jitter(remoteSyncInterval))
	m.joined = len(seeds) == 0
	return m
}

func (m *stateMachine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rnd.Int64N(int64(d)))
}

// digestDelay returns the randomized delay until the next comparison of whole
// tables.
func (m *stateMachine) digestDelay() time.Duration {
	return m.jitter(baseDigestInterval + time.Duration(len(m.local))*digestIntervalPerMember)
}

func (m *stateMachine) emit(to netip.AddrPort, msg *message) {
	m.outbox = append(m.outbox, outgoing{to: to, msg: msg})
}

func (m *stateMachine) drainOutbox() []outgoing {
	out := m.outbox
	m.outbox = nil
	return out
}

// newMessage returns a message from this member without updates. The sender's
// data centre is set only if the receiver is in another one.
func (m *stateMachine) newMessage(k kind, toDataCentre string) *message {
	msg := &message{Kind: k, From: m.self.Name, Incarnation: m.self.Incarnation}
	if toDataCentre != m.self.DataCentre {
		msg.DataCentre = m.self.DataCentre
	}
	return msg
}

// newLocalMessage returns a message to a member of the own data centre with
// queued updates.
func (m *stateMachine) newLocalMessage(k kind) *message {
	msg := m.newMessage(k, m.self.DataCentre)
	m.piggyback(msg, piggybackedUpdates)
	return msg
}

// piggyback adds up to n queued updates to a message to a member of the own data
// centre.
func (m *stateMachine) piggyback(msg *message, n int) {
	if !m.joined {
		return
	}
	for _, i := range m.queue.take(n, len(m.local)+1) {
		m.appendUpdate(msg, i, m.self.DataCentre)
	}
}

func (m *stateMachine) appendUpdate(msg *message, i updateKey, toDataCentre string) {
	if i.service != "" {
		if c, ok := m.claims.get(UpstreamKey{Service: i.service, Name: i.name}); ok {
			msg.Claims = append(msg.Claims, c)
		}
		return
	}
	if r := m.lookup(i); r != nil {
		msg.Hosts = append(msg.Hosts, m.wireUpdate(r, toDataCentre))
	}
}

// wireUpdate returns a record as it is sent to a member of the given data centre:
// without the data centre and region if the receiver fills in the same ones.
func (m *stateMachine) wireUpdate(r *hostRecord, toDataCentre string) hostUpdate {
	u := r.hostUpdate
	if u.DataCentre == toDataCentre {
		u.DataCentre = ""
		if toDataCentre == m.self.DataCentre && u.Region == m.self.Region {
			u.Region = ""
		}
	}
	return u
}

func (m *stateMachine) lookup(i updateKey) *hostRecord {
	switch {
	case i.dataCentre != m.self.DataCentre:
		return m.remote[i]
	case i.name == m.self.Name:
		return &m.self
	default:
		return m.local[i.name]
	}
}

func (m *stateMachine) keyOf(r *hostRecord) updateKey {
	return updateKey{dataCentre: r.DataCentre, name: r.Name}
}

// setLeaving marks this member as taking no new work.
func (m *stateMachine) setLeaving(now time.Time) []outgoing { return m.setFlags(now, flagLeaving) }

// leave marks this incarnation of the member as having left.
func (m *stateMachine) leave(now time.Time) []outgoing { return m.setFlags(now, flagLeaving|flagLeft) }

func (m *stateMachine) setFlags(now time.Time, f flag) []outgoing {
	m.self.Flags |= f
	m.localChanged(&m.self)
	m.push(now)
	return m.drainOutbox()
}

// reportUpstream applies and pushes a claim about an upstream that this host
// makes itself.
func (m *stateMachine) reportUpstream(now time.Time, c upstreamClaim) []outgoing {
	m.applyClaim(c)
	m.push(now)
	return m.drainOutbox()
}

// localChanged queues a changed record of the own data centre for dissemination
// and drops the cached index. Other data centres get it too unless the host is
// only suspected.
func (m *stateMachine) localChanged(r *hostRecord) {
	m.queue.add(m.keyOf(r))
	m.version++
	m.cachedIndex = nil
	if r.Doubt != doubtSuspect {
		m.sendToRemote(m.keyOf(r))
	}
}

func (m *stateMachine) applyClaim(c upstreamClaim) {
	if !m.claims.apply(c) {
		return
	}
	i := updateKey{service: c.Service, name: c.Name}
	m.queue.add(i)
	m.version++
	if c.Origin == m.self.DataCentre {
		m.sendToRemote(i)
	}
}

// push sends updates that no message has carried yet to random members at once,
// limited by a token bucket. Updates over the limit are sent with a later tick
// or piggybacked on a probe.
func (m *stateMachine) push(now time.Time) {
	m.pushTokens = min(pushBurst, m.pushTokens+float64(now.Sub(m.pushTokensAt))/float64(pushInterval))
	m.pushTokensAt = now
	for m.joined && m.queue.unsent > 0 && m.pushTokens >= 1 {
		targets := m.sample(pushFanout, nil)
		if len(targets) == 0 {
			return
		}
		m.pushTokens--
		msg := m.newMessage(kindUpdates, m.self.DataCentre)
		m.piggyback(msg, pushUpdates)
		for _, r := range targets {
			m.emit(r.Peer, msg)
		}
	}
}
