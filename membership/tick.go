package membership

import (
	"net/netip"
	"sort"
	"time"
)

// tick handles the timeouts that have passed and starts the probes that are due.
func (m *stateMachine) tick(now time.Time) []outgoing {
	m.extendDeadlines(now)
	m.lastTick = now
	m.checkProbes(now)
	m.checkSuspicions(now)
	if !now.Before(m.nextPeriod) {
		m.nextPeriod = now.Add(probeInterval)
		m.startPeriod(now)
	}
	m.push(now)
	return m.drainOutbox()
}

// extendDeadlines postpones all deadlines by the time for which this member's own
// process was paused, since it couldn't receive acks then.
func (m *stateMachine) extendDeadlines(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < pauseThreshold {
		return
	}
	for _, p := range m.probes {
		p.sent = p.sent.Add(gap)
	}
	for _, r := range m.local {
		if r.Doubt == doubtSuspect {
			r.suspicionDeadline = r.suspicionDeadline.Add(gap)
		}
	}
}

func (m *stateMachine) checkProbes(now time.Time) {
	for _, seq := range m.outstandingProbes() {
		p := m.probes[seq]
		age := now.Sub(p.sent)
		switch {
		case p.purpose == purposeDetect && !p.indirectSent && age >= directTimeout:
			p.indirectSent = true
			m.requestIndirectProbes(seq, p)
		case age >= directTimeout+indirectTimeout:
			delete(m.probes, seq)
			m.probeTimedOut(now, p)
		}
	}
}

func (m *stateMachine) outstandingProbes() []uint32 {
	seqs := make([]uint32, 0, len(m.probes))
	for seq := range m.probes {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

// requestIndirectProbes requests other members to probe a host that did not
// answer a direct probe.
func (m *stateMachine) requestIndirectProbes(seq uint32, p *probe) {
	for _, r := range m.sample(indirectProbes, func(r *hostRecord) bool { return r.Name != p.target && r.Doubt == doubtNone }) {
		msg := m.newLocalMessage(kindProbeRequest)
		msg.Seq, msg.Target = seq, p.target
		m.emit(r.Peer, msg)
	}
}

func (m *stateMachine) probeTimedOut(now time.Time, p *probe) {
	switch p.purpose {
	case purposeDetect:
		if r := m.local[p.target]; r != nil && r.Peer == p.to && r.Doubt == doubtNone && r.state() != Gone {
			m.startSuspicion(now, r)
		}
	case purposeNameCheck:
		m.acceptJoin(now, p.joiner)
	case purposeIndirect, purposeRecover:
	}
}

func (m *stateMachine) startSuspicion(now time.Time, r *hostRecord) {
	r.Doubt = doubtSuspect
	r.suspicionDeadline = now.Add(suspicionTimeout)
	m.localChanged(r)
	// Notify the suspected host directly so that it can refute the suspicion.
	msg := m.newLocalMessage(kindUpdates)
	msg.Hosts = append(msg.Hosts, m.wireUpdate(r, m.self.DataCentre))
	m.emit(r.Peer, msg)
}

func (m *stateMachine) checkSuspicions(now time.Time) {
	for _, r := range m.index().suspects {
		if !now.Before(r.suspicionDeadline) {
			r.Doubt = doubtFailed
			r.goneSince = now
			m.localChanged(r)
		}
	}
}

// startPeriod does the work of one probe period: it removes expired records,
// sends joins and starts probes.
func (m *stateMachine) startPeriod(now time.Time) {
	m.removeExpired(now)
	m.sendJoins(now)
	if !m.joined {
		return
	}
	targets := m.ringSuccessors(ringProbes)
	for range randomProbes {
		if r := m.nextShuffled(); r != nil {
			targets = append(targets, r)
		}
	}
	probed := make(map[string]struct{}, len(targets))
	for _, r := range targets {
		if _, twice := probed[r.Name]; !twice {
			probed[r.Name] = struct{}{}
			m.startProbe(now, r, purposeDetect)
		}
	}
	m.probeFailedHosts(now)
	m.syncRemote(now)
}

// ringSuccessors returns the next n members on the hash ring that are neither
// suspected nor failed.
func (m *stateMachine) ringSuccessors(n int) []*hostRecord {
	ring := m.index().ring
	mine := ringPosition(m.self.Name)
	first := sort.Search(len(ring), func(i int) bool { return ringPosition(ring[i].Name) > mine })
	var out []*hostRecord
	for i := range ring {
		if r := ring[(first+i)%len(ring)]; r.Doubt == doubtNone && len(out) < n {
			out = append(out, r)
		}
	}
	return out
}

// nextShuffled returns the next member in a shuffled order that is renewed after
// each round, as in section 4.3 of the SWIM paper: each member is probed once a
// round. It returns nil if there are no other members.
func (m *stateMachine) nextShuffled() *hostRecord {
	for range 2 {
		for len(m.probeOrder) > 0 {
			name := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if r := m.local[name]; r != nil && r.state() != Gone {
				return r
			}
		}
		hosts := m.index().byName
		for _, i := range m.rnd.Perm(len(hosts)) {
			m.probeOrder = append(m.probeOrder, hosts[i].Name)
		}
	}
	return nil
}

func (m *stateMachine) startProbe(now time.Time, r *hostRecord, why purpose) {
	m.seq++
	p := &probe{target: r.Name, to: r.Peer, sent: now, purpose: why}
	m.probes[m.seq] = p
	m.emitProbe(now, r, m.seq)
}

func (m *stateMachine) emitProbe(now time.Time, r *hostRecord, seq uint32) {
	msg := m.newLocalMessage(kindProbe)
	msg.Seq, msg.Target = seq, r.Name
	if r.Doubt != doubtNone {
		// Include the suspicion so that the probed host can refute it.
		msg.Hosts = append(msg.Hosts, m.wireUpdate(r, m.self.DataCentre))
	}
	if !now.Before(m.nextDigest) {
		m.nextDigest = now.Add(m.digestDelay())
		msg.Digest = m.tableDigest()
	}
	m.emit(r.Peer, msg)
}

// probeFailedHosts probes hosts that were declared failed without having announced
// that they leave, since a network partition may have ended. After one answered,
// more are probed in each period for a while, since others probably follow.
func (m *stateMachine) probeFailedHosts(now time.Time) {
	var names []string
	for name, r := range m.local {
		if r.Doubt == doubtFailed && r.Flags&flagLeft == 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	sort.Strings(names)
	n := 1
	if now.Before(m.healUntil) {
		n = healProbes
	}
	for range min(n, len(names)) {
		m.startProbe(now, m.local[names[m.rnd.IntN(len(names))]], purposeRecover)
	}
}

// removeExpired removes the records of hosts that failed or left more than
// goneRetention ago.
func (m *stateMachine) removeExpired(now time.Time) {
	for name, r := range m.local {
		if r.state() == Gone && now.Sub(r.goneSince) > goneRetention {
			delete(m.local, name)
		}
	}
	for i, r := range m.remote {
		if r.state() == Gone && now.Sub(r.goneSince) > goneRetention {
			delete(m.remote, i)
		}
	}
}

// sendJoins sends joins to the seed addresses and, until the member has joined, to
// the hosts it knows. A member that has joined sends them only to seeds at which
// it knows no host, so that groups that started apart find each other.
func (m *stateMachine) sendJoins(now time.Time) {
	var unknown []netip.AddrPort
	for _, s := range m.seeds {
		if s != m.self.Peer && (!m.joined || !m.knowsAddress(s)) {
			unknown = append(unknown, s)
		}
	}
	if !m.joined && !m.nameHolder.IsValid() && now.Sub(m.started) >= joinTimeout {
		m.setJoined()
	}
	if !m.joined {
		for _, r := range m.index().byName {
			unknown = append(unknown, r.Peer)
		}
	}
	n := joinFanout
	if m.joined && len(m.local)+len(m.remote) > 0 && now.Sub(m.started) > startupWindow {
		if m.rnd.IntN(meanSeedRetryPeriods) > 0 {
			return
		}
		n = 1
	}
	msg := m.newMessage(kindJoin, "")
	msg.Hosts = []hostUpdate{m.self.hostUpdate}
	for _, i := range m.rnd.Perm(len(unknown))[:min(n, len(unknown))] {
		m.emit(unknown[i], msg)
	}
}

func (m *stateMachine) knowsAddress(a netip.AddrPort) bool {
	for _, r := range m.local {
		if r.Peer == a {
			return true
		}
	}
	for _, r := range m.remote {
		if r.Peer == a {
			return true
		}
	}
	return false
}

func (m *stateMachine) setJoined() {
	if m.joined {
		return
	}
	m.joined = true
	m.nameHolder = netip.AddrPort{}
	m.localChanged(&m.self)
}

// syncRemote sends digests to a random other data centre when it is due, if this
// member is a bridge.
func (m *stateMachine) syncRemote(now time.Time) {
	if now.Before(m.nextRemoteSync) {
		return
	}
	m.nextRemoteSync = now.Add(m.jitter(remoteSyncInterval))
	others := m.remoteDataCentres()
	if len(others) == 0 || !m.isBridge() {
		return
	}
	dc := others[m.rnd.IntN(len(others))]
	if r := m.randomRemoteHost(dc); r != nil {
		m.emit(r.Peer, m.newRemoteSyncMessage(dc))
	}
}

func (m *stateMachine) newRemoteSyncMessage(toDataCentre string) *message {
	msg := m.newMessage(kindRemoteSync, toDataCentre)
	msg.Digest, msg.ClaimsDigest = m.digest(m.self.DataCentre), m.claims.digest()
	return msg
}
