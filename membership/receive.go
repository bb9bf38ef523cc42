package membership

import (
	"time"
)

// receive takes a message. The reply, if any, goes back to the sender; the
// other messages go where they say.
func (m *machine) receive(now time.Time, msg *message) (*message, []outgoing) {
	dc := msg.DataCentre
	if dc == "" {
		dc = m.self.DataCentre
	}
	if msg.Kind == kindJoin {
		reply := m.receiveJoin(now, msg)
		return reply, m.flush()
	}
	if msg.From == m.self.Name && dc == m.self.DataCentre {
		// The only word from a host of the same name is that the name is taken.
		if msg.Kind == kindRefused {
			m.receiveRefusal(msg)
		}
		return nil, nil
	}
	for _, u := range msg.Hosts {
		m.take(now, u)
	}
	if msg.Kind == kindAdmitted && !m.joined && dc == m.self.DataCentre {
		// The others know the table that a joining host gets.
		m.queue = newQueue()
	}
	for _, c := range msg.Claims {
		m.takeClaim(c)
	}
	reply := m.dispatch(now, msg, dc)
	reply = m.correct(reply, msg, dc)
	reply = m.askBack(reply, msg, dc)
	m.push(now)
	return reply, m.flush()
}

func (m *machine) dispatch(now time.Time, msg *message, dc string) *message {
	var reply *message
	switch msg.Kind {
	case kindProbe:
		reply = m.receiveProbe(msg, dc)
	case kindAck:
		m.receiveAck(now, msg)
	case kindRelay:
		m.receiveRelay(now, msg)
	case kindSurvey:
		reply = m.receiveSurvey(msg, dc)
	case kindAdmitted:
		// Only a host of the own data centre can tell whether the name is free.
		if dc == m.self.DataCentre || len(m.hosts().byName) == 0 {
			m.admitted()
		}
	case kindRefused:
		m.receiveRefusal(msg)
	case kindNews, kindJoin:
	}
	return m.answer(reply, msg, dc)
}

// receiveProbe acks a probe that is meant for this member.
func (m *machine) receiveProbe(msg *message, dc string) *message {
	if msg.Target != m.self.Name {
		return nil
	}
	reply := m.header(kindAck, dc)
	m.carry(reply, carriedUpdates)
	reply.Seq, reply.Target = msg.Seq, m.self.Name
	if msg.Digest != 0 {
		if mine := m.tableDigest(); mine != msg.Digest {
			m.table(reply, true, dc)
			reply.Claims = m.claims.all()
			reply.Digest = mine
			reply.Want |= wantTable | wantClaims
		}
	}
	return reply
}

func (m *machine) receiveAck(now time.Time, msg *message) {
	p, ok := m.probes[msg.Seq]
	if !ok || msg.Target != p.target {
		return
	}
	delete(m.probes, msg.Seq)
	switch p.purpose {
	case purposeBehalf:
		ack := m.localMessage(kindAck)
		ack.Seq, ack.Target = p.seq, p.target
		m.emit(p.requester, ack)
	case purposeJoin:
		refusal := m.header(kindRefused, m.self.DataCentre)
		refusal.Hosts = []hostUpdate{{Name: p.target, Peer: p.to}}
		m.emit(p.joiner.Peer, refusal)
	case purposeRevive:
		m.healUntil = now.Add(healTime)
	case purposeWatch:
	}
}

func (m *machine) receiveRelay(now time.Time, msg *message) {
	target, requester := m.local[msg.Target], m.local[msg.From]
	if target == nil || requester == nil {
		return
	}
	m.seq++
	m.probes[m.seq] = &probe{
		target: target.Name, to: target.Peer, sent: now, purpose: purposeBehalf, requester: requester.Peer, seq: msg.Seq,
	}
	m.emitProbe(now, target, m.seq)
}

// receiveSurvey answers with what the other data centre lacks.
func (m *machine) receiveSurvey(msg *message, dc string) *message {
	reply := m.header(kindNews, dc)
	if m.digest(dc) != msg.Digest {
		reply.Want |= wantTable
		m.table(reply, false, dc)
		for _, r := range m.remote {
			if r.DataCentre == dc {
				reply.Hosts = append(reply.Hosts, m.wire(r, dc))
			}
		}
	}
	if m.claims.digest() != msg.ClaimsDigest {
		reply.Want |= wantClaims
		reply.Claims = m.claims.all()
	}
	if reply.Want == 0 {
		return nil
	}
	return reply
}

func (m *machine) receiveRefusal(msg *message) {
	if m.joined || len(msg.Hosts) == 0 {
		return
	}
	m.refused = msg.Hosts[0].Peer
	m.version++
}

// receiveJoin admits a host, unless its name belongs to another live host.
func (m *machine) receiveJoin(now time.Time, msg *message) *message {
	if len(msg.Hosts) != 1 || !m.joined {
		return nil
	}
	joiner := msg.Hosts[0]
	if joiner.DataCentre != m.self.DataCentre {
		// The host is told whom to ask; it is not a member yet.
		return m.welcome(joiner.DataCentre)
	}
	if joiner.Name == m.self.Name {
		if joiner.Peer == m.self.Peer {
			return nil
		}
		refusal := m.header(kindRefused, m.self.DataCentre)
		refusal.Hosts = []hostUpdate{{Name: m.self.Name, Peer: m.self.Peer}}
		return refusal
	}
	r := m.local[joiner.Name]
	if r != nil && r.state() != Gone && r.Peer != joiner.Peer {
		m.checkName(now, r, joiner)
		return nil
	}
	m.take(now, joiner)
	m.push(now)
	return m.welcome(m.self.DataCentre)
}

// checkName probes the host that holds the name of a joining one.
func (m *machine) checkName(now time.Time, holder *record, joiner hostUpdate) {
	for _, p := range m.probes {
		if p.purpose == purposeJoin && p.joiner.Peer == joiner.Peer {
			return
		}
	}
	m.seq++
	m.probes[m.seq] = &probe{target: holder.Name, to: holder.Peer, sent: now, purpose: purposeJoin, joiner: joiner}
	m.emitProbe(now, holder, m.seq)
}

// admit takes a joining host whose name is free.
func (m *machine) admit(now time.Time, joiner hostUpdate) {
	if r := m.local[joiner.Name]; r != nil && joiner.Incarnation <= r.Incarnation {
		// The clock of the new host is behind; the old one is gone for sure
		// only once its suspicion ends.
		return
	}
	m.take(now, joiner)
	m.emit(joiner.Peer, m.welcome(m.self.DataCentre))
}

func (m *machine) welcome(dc string) *message {
	msg := m.header(kindAdmitted, dc)
	m.table(msg, true, dc)
	msg.Claims = m.claims.all()
	// A host that started alone may know what this one doesn't.
	msg.Digest = m.tableDigest()
	msg.Want = wantTable | wantClaims
	return msg
}

// answer gives a sender what it wants.
func (m *machine) answer(reply, msg *message, dc string) *message {
	if msg.Want == 0 || !m.joined {
		return reply
	}
	if msg.Digest != 0 && msg.Digest == m.tableDigest() {
		return reply
	}
	if reply == nil {
		reply = m.header(kindNews, dc)
	}
	if msg.Want&wantTable != 0 {
		m.table(reply, dc == m.self.DataCentre, dc)
	} else if msg.Want&wantRecord != 0 {
		reply.Hosts = append(reply.Hosts, m.wire(&m.self, dc))
	}
	if msg.Want&wantClaims != 0 {
		reply.Claims = m.claims.all()
	}
	return reply
}

// correct tells a sender that holds old news of this member.
func (m *machine) correct(reply, msg *message, dc string) *message {
	for _, u := range msg.Hosts {
		own := u.Name == m.self.Name && (u.DataCentre == "" || u.DataCentre == m.self.DataCentre)
		if !own || u.Doubt == doubtNone || u.Incarnation > m.self.Incarnation {
			continue
		}
		if reply == nil {
			reply = m.header(kindNews, dc)
		}
		reply.Hosts = append(reply.Hosts, m.wire(&m.self, dc))
		return reply
	}
	return reply
}

// askBack asks a sender of the same data centre for its record if it is not
// known, and tells it of a doubt about it.
func (m *machine) askBack(reply, msg *message, dc string) *message {
	if dc != m.self.DataCentre || msg.Kind == kindAck && msg.Target != msg.From {
		return reply
	}
	r := m.local[msg.From]
	known := r != nil && r.Incarnation >= msg.Incarnation
	if known && (r.Doubt == doubtNone || r.Incarnation > msg.Incarnation) {
		return reply
	}
	if reply == nil {
		reply = m.header(kindNews, dc)
	}
	if !known {
		reply.Want |= wantRecord
		return reply
	}
	reply.Hosts = append(reply.Hosts, m.wire(r, dc))
	return reply
}

// take merges an update about a host.
func (m *machine) take(now time.Time, u hostUpdate) {
	if u.DataCentre == "" {
		u.DataCentre = m.self.DataCentre
		if u.Region == "" {
			u.Region = m.self.Region
		}
	}
	switch {
	case u.DataCentre != m.self.DataCentre:
		m.takeRemote(now, u)
	case u.Name == m.self.Name:
		m.takeSelf(u)
	default:
		m.takeLocal(now, u)
	}
}

// takeSelf denies doubts, and yields the name to a host that took it later.
func (m *machine) takeSelf(u hostUpdate) {
	switch {
	case u.Incarnation < m.self.Incarnation:
	case (&record{hostUpdate: u}).state() == Gone && u.Incarnation > m.self.Incarnation:
		// An earlier start of this host had a clock ahead of the present one.
		m.self.Incarnation = u.Incarnation + 1
		m.noteLocal(&m.self)
	case u.Peer != m.self.Peer:
		if u.Incarnation > m.self.Incarnation && m.refused != u.Peer {
			m.refused = u.Peer
			m.version++
		}
	case u.Incarnation > m.self.Incarnation:
		m.self.Incarnation = u.Incarnation + 1
		m.noteLocal(&m.self)
	case u.Doubt != doubtNone && u.Refutation >= m.self.Refutation:
		m.self.Refutation = u.Refutation + 1
		m.noteLocal(&m.self)
	}
}

func (m *machine) takeRemote(now time.Time, u hostUpdate) {
	i := item{dataCentre: u.DataCentre, name: u.Name}
	r, ok := m.remote[i]
	if !ok {
		if (&record{hostUpdate: u}).state() == Gone {
			return
		}
		r = &record{hostUpdate: u}
		m.remote[i] = r
	} else {
		merged := merge(r.hostUpdate, u)
		if merged == r.hostUpdate {
			return
		}
		r.hostUpdate = merged
	}
	if r.state() == Gone {
		r.since = now
	}
	m.queue.add(i)
	m.version++
}

func (m *machine) takeLocal(now time.Time, u hostUpdate) {
	r, ok := m.local[u.Name]
	if !ok {
		if (&record{hostUpdate: u}).state() == Gone {
			return
		}
		r = &record{hostUpdate: u}
		m.local[u.Name] = r
		m.begin(now, r)
		return
	}
	merged := merge(r.hostUpdate, u)
	if merged == r.hostUpdate {
		return
	}
	if merged.Doubt == doubtGone && r.Doubt != doubtGone && merged.Incarnation == r.Incarnation && r.Flags&flagLeft == 0 {
		m.verify(now, r, merged.Flags)
		return
	}
	wasGone := r.Doubt == doubtGone
	if wasGone && merged.Doubt == doubtNone && merged.Incarnation == r.Incarnation {
		m.healUntil = now.Add(healTime)
	}
	wasSuspect := r.Doubt == doubtSuspect && merged.Incarnation == r.Incarnation && merged.Refutation == r.Refutation
	r.hostUpdate = merged
	if !wasSuspect {
		m.begin(now, r)
		return
	}
	m.noteLocal(r)
}

// begin sets the times of a record in a new state and spreads it.
func (m *machine) begin(now time.Time, r *record) {
	if r.Doubt == doubtSuspect {
		r.deadline = now.Add(suspicionTime)
	}
	if r.state() == Gone {
		r.since = now
	}
	m.noteLocal(r)
}

// verify probes a host that others hold for gone, before believing it. A
// suspicion under way ends by its own time.
func (m *machine) verify(now time.Time, r *record, f flag) {
	if r.Flags|f != r.Flags {
		r.Flags |= f
		m.noteLocal(r)
	}
	if r.Doubt == doubtSuspect {
		return
	}
	for _, p := range m.probes {
		if p.purpose == purposeWatch && p.target == r.Name {
			return
		}
	}
	m.startProbe(now, r, purposeWatch)
	// The host learns of the doubt and denies it.
	claimed := m.wire(r, m.self.DataCentre)
	claimed.Doubt = doubtGone
	last := m.out[len(m.out)-1].msg
	last.Hosts = append(last.Hosts, claimed)
}
