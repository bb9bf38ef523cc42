package membership

import (
	"time"
)

// receive handles a message. It returns the reply to the sender, nil if there is
// none, and further messages to send.
func (m *stateMachine) receive(now time.Time, msg *message) (*message, []outgoing) {
	dc := msg.DataCentre
	if dc == "" {
		dc = m.self.DataCentre
	}
	if msg.Kind == kindJoin {
		reply := m.receiveJoin(now, msg)
		return reply, m.drainOutbox()
	}
	if msg.From == m.self.Name && dc == m.self.DataCentre {
		// A host of the same name can only send a rejection of the join.
		if msg.Kind == kindJoinRejected {
			m.receiveRejection(msg)
		}
		return nil, nil
	}
	for _, u := range msg.Hosts {
		m.applyUpdate(now, u)
	}
	if msg.Kind == kindJoinAccepted && !m.joined && dc == m.self.DataCentre {
		// The peers already have the table that the acceptance carries, so it
		// isn't queued for dissemination.
		m.queue = newUpdateQueue()
	}
	for _, c := range msg.Claims {
		m.applyClaim(c)
	}
	reply := m.handle(now, msg, dc)
	reply = m.appendOwnRecord(reply, msg, dc)
	reply = m.checkSender(reply, msg, dc)
	m.push(now)
	return reply, m.drainOutbox()
}

func (m *stateMachine) handle(now time.Time, msg *message, dc string) *message {
	var reply *message
	switch msg.Kind {
	case kindProbe:
		reply = m.receiveProbe(msg, dc)
	case kindAck:
		m.receiveAck(now, msg)
	case kindProbeRequest:
		m.receiveProbeRequest(now, msg)
	case kindRemoteSync:
		reply = m.receiveRemoteSync(msg, dc)
	case kindJoinAccepted:
		// Only hosts of the own data centre know whether the name is free. An
		// acceptance from another one counts only if no local host is known.
		if dc == m.self.DataCentre || len(m.index().byName) == 0 {
			m.setJoined()
		}
	case kindJoinRejected:
		m.receiveRejection(msg)
	case kindUpdates, kindJoin:
	}
	return m.appendRequested(reply, msg, dc)
}

// receiveProbe returns an ack to a probe whose target is this member, with the
// whole table if the digests differ.
func (m *stateMachine) receiveProbe(msg *message, dc string) *message {
	if msg.Target != m.self.Name {
		return nil
	}
	reply := m.newMessage(kindAck, dc)
	m.piggyback(reply, piggybackedUpdates)
	reply.Seq, reply.Target = msg.Seq, m.self.Name
	if msg.Digest != 0 {
		if mine := m.tableDigest(); mine != msg.Digest {
			m.appendTable(reply, true, dc)
			reply.Claims = m.claims.all()
			reply.Digest = mine
			reply.Want |= wantTable | wantClaims
		}
	}
	return reply
}

func (m *stateMachine) receiveAck(now time.Time, msg *message) {
	p, ok := m.probes[msg.Seq]
	if !ok || msg.Target != p.target {
		return
	}
	delete(m.probes, msg.Seq)
	switch p.purpose {
	case purposeIndirect:
		ack := m.newLocalMessage(kindAck)
		ack.Seq, ack.Target = p.seq, p.target
		m.emit(p.requester, ack)
	case purposeNameCheck:
		refusal := m.newMessage(kindJoinRejected, m.self.DataCentre)
		refusal.Hosts = []hostUpdate{{Name: p.target, Peer: p.to}}
		m.emit(p.joiner.Peer, refusal)
	case purposeRecover:
		m.healUntil = now.Add(healWindow)
	case purposeDetect:
	}
}

func (m *stateMachine) receiveProbeRequest(now time.Time, msg *message) {
	target, requester := m.local[msg.Target], m.local[msg.From]
	if target == nil || requester == nil {
		return
	}
	m.seq++
	m.probes[m.seq] = &probe{
		target: target.Name, to: target.Peer, sent: now, purpose: purposeIndirect, requester: requester.Peer, seq: msg.Seq,
	}
	m.emitProbe(now, target, m.seq)
}

// receiveRemoteSync replies with, and requests, the records and claims for which
// the digests of the two data centres differ. It returns nil if they agree.
func (m *stateMachine) receiveRemoteSync(msg *message, dc string) *message {
	reply := m.newMessage(kindUpdates, dc)
	if m.digest(dc) != msg.Digest {
		reply.Want |= wantTable
		m.appendTable(reply, false, dc)
		for _, r := range m.remote {
			if r.DataCentre == dc {
				reply.Hosts = append(reply.Hosts, m.wireUpdate(r, dc))
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

func (m *stateMachine) receiveRejection(msg *message) {
	if m.joined || len(msg.Hosts) == 0 {
		return
	}
	m.nameHolder = msg.Hosts[0].Peer
	m.version++
}

// receiveJoin accepts the join of a host unless its name belongs to another live
// host. If another host is recorded under the name, it is probed first and the
// reply is sent later.
func (m *stateMachine) receiveJoin(now time.Time, msg *message) *message {
	if len(msg.Hosts) != 1 || !m.joined {
		return nil
	}
	joiner := msg.Hosts[0]
	if joiner.DataCentre != m.self.DataCentre {
		// The reply only lists the hosts of the joining host's own data centre,
		// which decide on the join; no record is added here.
		return m.joinAcceptance(joiner.DataCentre)
	}
	if joiner.Name == m.self.Name {
		if joiner.Peer == m.self.Peer {
			return nil
		}
		refusal := m.newMessage(kindJoinRejected, m.self.DataCentre)
		refusal.Hosts = []hostUpdate{{Name: m.self.Name, Peer: m.self.Peer}}
		return refusal
	}
	r := m.local[joiner.Name]
	if r != nil && r.state() != Gone && r.Peer != joiner.Peer {
		m.checkName(now, r, joiner)
		return nil
	}
	m.applyUpdate(now, joiner)
	m.push(now)
	return m.joinAcceptance(m.self.DataCentre)
}

// checkName probes the host that is recorded under the name of a joining one.
func (m *stateMachine) checkName(now time.Time, holder *hostRecord, joiner hostUpdate) {
	for _, p := range m.probes {
		if p.purpose == purposeNameCheck && p.joiner.Peer == joiner.Peer {
			return
		}
	}
	m.seq++
	m.probes[m.seq] = &probe{target: holder.Name, to: holder.Peer, sent: now, purpose: purposeNameCheck, joiner: joiner}
	m.emitProbe(now, holder, m.seq)
}

// acceptJoin accepts a joining host after the holder of its name did not answer.
func (m *stateMachine) acceptJoin(now time.Time, joiner hostUpdate) {
	if r := m.local[joiner.Name]; r != nil && joiner.Incarnation <= r.Incarnation {
		// The joining host's clock is behind, so its incarnation would not replace
		// the recorded one. It joins once the suspicion of the recorded host ends.
		return
	}
	m.applyUpdate(now, joiner)
	m.emit(joiner.Peer, m.joinAcceptance(m.self.DataCentre))
}

func (m *stateMachine) joinAcceptance(dc string) *message {
	msg := m.newMessage(kindJoinAccepted, dc)
	m.appendTable(msg, true, dc)
	msg.Claims = m.claims.all()
	// Request the joining host's table too: it may have started alone and know
	// hosts or upstreams that this member doesn't.
	msg.Digest = m.tableDigest()
	msg.Want = wantTable | wantClaims
	return msg
}

// appendRequested adds to the reply what the sender requests, unless the sender's
// digest shows that it already has the same table.
func (m *stateMachine) appendRequested(reply, msg *message, dc string) *message {
	if msg.Want == 0 || !m.joined {
		return reply
	}
	if msg.Digest != 0 && msg.Digest == m.tableDigest() {
		return reply
	}
	if reply == nil {
		reply = m.newMessage(kindUpdates, dc)
	}
	if msg.Want&wantTable != 0 {
		m.appendTable(reply, dc == m.self.DataCentre, dc)
	} else if msg.Want&wantRecord != 0 {
		reply.Hosts = append(reply.Hosts, m.wireUpdate(&m.self, dc))
	}
	if msg.Want&wantClaims != 0 {
		reply.Claims = m.claims.all()
	}
	return reply
}

// appendOwnRecord adds this member's record to the reply if the message carries a
// suspicion or failure of this member.
func (m *stateMachine) appendOwnRecord(reply, msg *message, dc string) *message {
	for _, u := range msg.Hosts {
		own := u.Name == m.self.Name && (u.DataCentre == "" || u.DataCentre == m.self.DataCentre)
		if !own || u.Doubt == doubtNone || u.Incarnation > m.self.Incarnation {
			continue
		}
		if reply == nil {
			reply = m.newMessage(kindUpdates, dc)
		}
		reply.Hosts = append(reply.Hosts, m.wireUpdate(&m.self, dc))
		return reply
	}
	return reply
}

// checkSender requests the record of a sender of the same data centre if its
// incarnation is not known, and otherwise notifies it if it is recorded as
// suspected or failed so that it can refute that.
func (m *stateMachine) checkSender(reply, msg *message, dc string) *message {
	if dc != m.self.DataCentre || msg.Kind == kindAck && msg.Target != msg.From {
		return reply
	}
	r := m.local[msg.From]
	known := r != nil && r.Incarnation >= msg.Incarnation
	if known && (r.Doubt == doubtNone || r.Incarnation > msg.Incarnation) {
		return reply
	}
	if reply == nil {
		reply = m.newMessage(kindUpdates, dc)
	}
	if !known {
		reply.Want |= wantRecord
		return reply
	}
	reply.Hosts = append(reply.Hosts, m.wireUpdate(r, dc))
	return reply
}

// applyUpdate fills in the data centre and region that an update omits and merges
// the update into the record of its host.
func (m *stateMachine) applyUpdate(now time.Time, u hostUpdate) {
	if u.DataCentre == "" {
		u.DataCentre = m.self.DataCentre
		if u.Region == "" {
			u.Region = m.self.Region
		}
	}
	switch {
	case u.DataCentre != m.self.DataCentre:
		m.applyRemote(now, u)
	case u.Name == m.self.Name:
		m.applySelf(u)
	default:
		m.applyLocal(now, u)
	}
}

// applySelf refutes suspicions of this member by raising its refutation or its
// incarnation. If the update shows a later host with this member's name at
// another address, it records that address.
func (m *stateMachine) applySelf(u hostUpdate) {
	switch {
	case u.Incarnation < m.self.Incarnation:
	case (&hostRecord{hostUpdate: u}).state() == Gone && u.Incarnation > m.self.Incarnation:
		// An earlier process of this host ran with a clock ahead of the present one.
		m.self.Incarnation = u.Incarnation + 1
		m.localChanged(&m.self)
	case u.Peer != m.self.Peer:
		if u.Incarnation > m.self.Incarnation && m.nameHolder != u.Peer {
			m.nameHolder = u.Peer
			m.version++
		}
	case u.Incarnation > m.self.Incarnation:
		m.self.Incarnation = u.Incarnation + 1
		m.localChanged(&m.self)
	case u.Doubt != doubtNone && u.Refutation >= m.self.Refutation:
		m.self.Refutation = u.Refutation + 1
		m.localChanged(&m.self)
	}
}

func (m *stateMachine) applyRemote(now time.Time, u hostUpdate) {
	i := updateKey{dataCentre: u.DataCentre, name: u.Name}
	r, ok := m.remote[i]
	if !ok {
		if (&hostRecord{hostUpdate: u}).state() == Gone {
			return
		}
		r = &hostRecord{hostUpdate: u}
		m.remote[i] = r
	} else {
		merged := merge(r.hostUpdate, u)
		if merged == r.hostUpdate {
			return
		}
		r.hostUpdate = merged
	}
	if r.state() == Gone {
		r.goneSince = now
	}
	m.queue.add(i)
	m.version++
}

func (m *stateMachine) applyLocal(now time.Time, u hostUpdate) {
	r, ok := m.local[u.Name]
	if !ok {
		if (&hostRecord{hostUpdate: u}).state() == Gone {
			return
		}
		r = &hostRecord{hostUpdate: u}
		m.local[u.Name] = r
		m.enterState(now, r)
		return
	}
	merged := merge(r.hostUpdate, u)
	if merged == r.hostUpdate {
		return
	}
	if merged.Doubt == doubtFailed && r.Doubt != doubtFailed && merged.Incarnation == r.Incarnation && r.Flags&flagLeft == 0 {
		m.verifyFailure(now, r, merged.Flags)
		return
	}
	wasGone := r.Doubt == doubtFailed
	if wasGone && merged.Doubt == doubtNone && merged.Incarnation == r.Incarnation {
		m.healUntil = now.Add(healWindow)
	}
	wasSuspect := r.Doubt == doubtSuspect && merged.Incarnation == r.Incarnation && merged.Refutation == r.Refutation
	r.hostUpdate = merged
	if !wasSuspect {
		m.enterState(now, r)
		return
	}
	m.localChanged(r)
}

// enterState sets the suspicion deadline or the removal time of a record whose
// state changed and queues the record for dissemination.
func (m *stateMachine) enterState(now time.Time, r *hostRecord) {
	if r.Doubt == doubtSuspect {
		r.suspicionDeadline = now.Add(suspicionTimeout)
	}
	if r.state() == Gone {
		r.goneSince = now
	}
	m.localChanged(r)
}

// verifyFailure probes a host that a peer reports as failed instead of accepting
// the report. If the host is already suspected, its suspicion deadline decides.
func (m *stateMachine) verifyFailure(now time.Time, r *hostRecord, f flag) {
	if r.Flags|f != r.Flags {
		r.Flags |= f
		m.localChanged(r)
	}
	if r.Doubt == doubtSuspect {
		return
	}
	for _, p := range m.probes {
		if p.purpose == purposeDetect && p.target == r.Name {
			return
		}
	}
	m.startProbe(now, r, purposeDetect)
	// Include the reported failure in the probe so that the host can refute it.
	reported := m.wireUpdate(r, m.self.DataCentre)
	reported.Doubt = doubtFailed
	last := m.outbox[len(m.outbox)-1].msg
	last.Hosts = append(last.Hosts, reported)
}
