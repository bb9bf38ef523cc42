package membership

import (
	"net/netip"
	"sort"
	"time"
)

// tick does what is due.
func (m *machine) tick(now time.Time) []outgoing {
	m.allowForPause(now)
	m.lastTick = now
	m.checkProbes(now)
	m.checkSuspicions(now)
	if !now.Before(m.nextPeriod) {
		m.nextPeriod = now.Add(probePeriod)
		m.period(now)
	}
	m.push(now)
	return m.flush()
}

// allowForPause moves all deadlines by the time for which this member was
// itself paused: it could not see acks then.
func (m *machine) allowForPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < pauseLimit {
		return
	}
	for _, p := range m.probes {
		p.sent = p.sent.Add(gap)
	}
	for _, r := range m.local {
		if r.Doubt == doubtSuspect {
			r.deadline = r.deadline.Add(gap)
		}
	}
}

func (m *machine) checkProbes(now time.Time) {
	for _, seq := range m.outstanding() {
		p := m.probes[seq]
		age := now.Sub(p.sent)
		switch {
		case p.purpose == purposeWatch && !p.relayed && age >= directTimeout:
			p.relayed = true
			m.askRelays(seq, p)
		case age >= directTimeout+indirectTimeout:
			delete(m.probes, seq)
			m.unanswered(now, p)
		}
	}
}

func (m *machine) outstanding() []uint32 {
	seqs := make([]uint32, 0, len(m.probes))
	for seq := range m.probes {
		seqs = append(seqs, seq)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	return seqs
}

// askRelays asks others to probe a host that did not answer.
func (m *machine) askRelays(seq uint32, p *probe) {
	for _, r := range m.sample(relays, func(r *record) bool { return r.Name != p.target && r.Doubt == doubtNone }) {
		msg := m.localMessage(kindRelay)
		msg.Seq, msg.Target = seq, p.target
		m.emit(r.Peer, msg)
	}
}

func (m *machine) unanswered(now time.Time, p *probe) {
	switch p.purpose {
	case purposeWatch:
		if r := m.local[p.target]; r != nil && r.Peer == p.to && r.Doubt == doubtNone && r.state() != Gone {
			m.suspect(now, r)
		}
	case purposeJoin:
		m.admit(now, p.joiner)
	case purposeBehalf, purposeRevive:
	}
}

func (m *machine) suspect(now time.Time, r *record) {
	r.Doubt = doubtSuspect
	r.deadline = now.Add(suspicionTime)
	m.noteLocal(r)
	// The host itself hears first, so that it can deny the doubt.
	msg := m.localMessage(kindNews)
	msg.Hosts = append(msg.Hosts, m.wire(r, m.self.DataCentre))
	m.emit(r.Peer, msg)
}

func (m *machine) checkSuspicions(now time.Time) {
	for _, r := range m.hosts().suspects {
		if !now.Before(r.deadline) {
			r.Doubt = doubtGone
			r.since = now
			m.noteLocal(r)
		}
	}
}

// period starts the probes of one period.
func (m *machine) period(now time.Time) {
	m.forget(now)
	m.askSeeds(now)
	if !m.joined {
		return
	}
	targets := m.successors(ringProbes)
	for range randomProbes {
		if r := m.nextRandom(); r != nil {
			targets = append(targets, r)
		}
	}
	probed := make(map[string]struct{}, len(targets))
	for _, r := range targets {
		if _, twice := probed[r.Name]; !twice {
			probed[r.Name] = struct{}{}
			m.startProbe(now, r, purposeWatch)
		}
	}
	m.tryGone(now)
	m.survey(now)
}

// successors returns the next n members on the hash ring that are not in doubt.
func (m *machine) successors(n int) []*record {
	ring := m.hosts().ring
	mine := ringPosition(m.self.Name)
	first := sort.Search(len(ring), func(i int) bool { return ringPosition(ring[i].Name) > mine })
	var out []*record
	for i := range ring {
		if r := ring[(first+i)%len(ring)]; r.Doubt == doubtNone && len(out) < n {
			out = append(out, r)
		}
	}
	return out
}

// nextRandom goes through all members in random order, as in section 4.3 of
// the SWIM paper.
func (m *machine) nextRandom() *record {
	for range 2 {
		for len(m.shuffle) > 0 {
			name := m.shuffle[0]
			m.shuffle = m.shuffle[1:]
			if r := m.local[name]; r != nil && r.state() != Gone {
				return r
			}
		}
		hosts := m.hosts().byName
		for _, i := range m.rnd.Perm(len(hosts)) {
			m.shuffle = append(m.shuffle, hosts[i].Name)
		}
	}
	return nil
}

func (m *machine) startProbe(now time.Time, r *record, why purpose) {
	m.seq++
	p := &probe{target: r.Name, to: r.Peer, sent: now, purpose: why}
	m.probes[m.seq] = p
	m.emitProbe(now, r, m.seq)
}

func (m *machine) emitProbe(now time.Time, r *record, seq uint32) {
	msg := m.localMessage(kindProbe)
	msg.Seq, msg.Target = seq, r.Name
	if r.Doubt != doubtNone {
		// The host learns of the doubt and denies it.
		msg.Hosts = append(msg.Hosts, m.wire(r, m.self.DataCentre))
	}
	if !now.Before(m.nextDigest) {
		m.nextDigest = now.Add(m.digestPause())
		msg.Digest = m.tableDigest()
	}
	m.emit(r.Peer, msg)
}

// tryGone probes hosts that are gone without having said so: a cut may have
// ended. After one came back, others probably follow.
func (m *machine) tryGone(now time.Time) {
	var names []string
	for name, r := range m.local {
		if r.Doubt == doubtGone && r.Flags&flagLeft == 0 {
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
		m.startProbe(now, m.local[names[m.rnd.IntN(len(names))]], purposeRevive)
	}
}

// forget drops hosts that are gone for long.
func (m *machine) forget(now time.Time) {
	for name, r := range m.local {
		if r.state() == Gone && now.Sub(r.since) > goneMemory {
			delete(m.local, name)
		}
	}
	for i, r := range m.remote {
		if r.state() == Gone && now.Sub(r.since) > goneMemory {
			delete(m.remote, i)
		}
	}
}

// askSeeds asks to join, until admitted, at the addresses from the settings.
// A member that is in asks those at which it knows no host.
func (m *machine) askSeeds(now time.Time) {
	var unknown []netip.AddrPort
	for _, s := range m.seeds {
		if s != m.self.Peer && (!m.joined || !m.knows(s)) {
			unknown = append(unknown, s)
		}
	}
	if !m.joined && !m.refused.IsValid() && now.Sub(m.started) >= joinPatience {
		m.admitted()
	}
	if !m.joined {
		for _, r := range m.hosts().byName {
			unknown = append(unknown, r.Peer)
		}
	}
	n := joinAsks
	if m.joined && len(m.local)+len(m.remote) > 0 && now.Sub(m.started) > startTime {
		if m.rnd.IntN(seedPeriods) > 0 {
			return
		}
		n = 1
	}
	msg := m.header(kindJoin, "")
	msg.Hosts = []hostUpdate{m.self.hostUpdate}
	for _, i := range m.rnd.Perm(len(unknown))[:min(n, len(unknown))] {
		m.emit(unknown[i], msg)
	}
}

func (m *machine) knows(a netip.AddrPort) bool {
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

func (m *machine) admitted() {
	if m.joined {
		return
	}
	m.joined = true
	m.refused = netip.AddrPort{}
	m.noteLocal(&m.self)
}

// survey compares digests with another data centre.
func (m *machine) survey(now time.Time) {
	if now.Before(m.nextSurvey) {
		return
	}
	m.nextSurvey = now.Add(m.jitter(surveyPeriod))
	others := m.dataCentres()
	if len(others) == 0 || !m.isBridge() {
		return
	}
	dc := others[m.rnd.IntN(len(others))]
	if r := m.remoteHost(dc); r != nil {
		m.emit(r.Peer, m.surveyMessage(dc))
	}
}

func (m *machine) surveyMessage(toDataCentre string) *message {
	msg := m.header(kindSurvey, toDataCentre)
	msg.Digest, msg.ClaimsDigest = m.digest(m.self.DataCentre), m.claims.digest()
	return msg
}
