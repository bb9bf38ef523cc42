// Package quota bounds how many requests of each customer replicas run, over all
// hosts of the fleet. See docs/design/quota.md.
//
// Allocator holds the token buckets, and Account is a broker's side of them: the
// credit that it spends without a call. Both are state machines without input or
// output. Service connects them over the hosts' network.
package quota

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Times of the protocol, by CLOCK_BOOTTIME.
const (
	// exchangeLease is how long an allocator counts a broker, and for how long a
	// broker may spend its credit after an exchange.
	exchangeLease = time.Second
	// pollLease is how long a broker counts a host.
	pollLease = time.Second
	// exchangeInterval is the time between the exchanges of a broker. Two of them and
	// their round trips fit into exchangeLease.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 300 * time.Millisecond
	// AnswerTimeout is how long a request waits for a token from the allocator. Calls that
	// take a token must allow for it.
	AnswerTimeout = 60 * time.Millisecond
	// minEmptyFor is the shortest time for which a broker refuses requests after the
	// allocator had no token, so that a customer far over its quota costs few calls.
	// maxEmptyFor is the longest: the share of the allocator may rise meanwhile.
	minEmptyFor = 100 * time.Millisecond
	maxEmptyFor = 500 * time.Millisecond
	// minorityLimit is how long an allocator grants tokens after fewer than half of the
	// known hosts have been attached to it. Others count the hosts that they miss for
	// departureHold, which must be longer.
	minorityLimit = 4 * time.Minute
	departureHold = 5 * time.Minute
	// departureTimeout is how long after its announcement a departure may begin. A host that
	// ceases to be seen later has been started again in between.
	departureTimeout = 10 * time.Second
	// idlePromise is how long a host that has just started promises to count no broker as
	// allocator. Promises are renewed with each poll, at least every 0.4 s, and passed on
	// with each exchange.
	idlePromise = time.Second
	// promisePeriod is the age of a process up to which it makes such promises. It covers
	// the time for which the last of hosts that start within a second may still be counted
	// elsewhere.
	promisePeriod = 3 * time.Second
	// listingDelay is the time from which on an allocator that has written its record and
	// listed the hosts takes them for all hosts. Hosts that start together learn of each
	// other within it: the watch of the records gathers changes for 0.4 s, and a host that
	// doesn't watch learns of them by its next poll.
	listingDelay = 800 * time.Millisecond
)

// Parts of the tolerance. The remaining part covers requests that hold a token while they
// wait for a slot, which is up to 0.25 s, and differences between the views that hosts
// have of each other.
const (
	// creditShare is the part that brokers may hold as credit.
	creditShare = 0.5
	// burstShare is the part of the slack that buckets hold beyond the burst. Customers
	// with less than a few requests a second would else be refused whenever two of their
	// requests happen to come together.
	burstShare = 0.25
)

// Tolerance is by how much requests may exceed a quota: in any time of Window,
// Excess of what the quota allows, as a fraction, and Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// of returns the tolerance of one quota, in requests in each window.
func (t Tolerance) of(q customer.Quota) float64 {
	return t.Excess*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack
}

// burst returns the most tokens that all buckets of one quota hold together.
func (t Tolerance) burst(q customer.Quota) float64 { return q.Burst + burstShare*t.Slack }

// wholeTokenShare is the share from which an allocator's buckets hold at least one
// token. So many allocators may exceed a small burst by one token each that their sum
// stays within the part of the slack that isn't credit.
func (t Tolerance) wholeTokenShare() float64 {
	return 1 / max((1-creditShare)*t.Slack, 1)
}

// Stamp is a moment by the clock of one process.
type Stamp struct {
	Process uint64
	At      time.Duration
}

// Attachment is what the attached side states with each message: a host to the broker
// that it polls, and a broker to its allocator.
type Attachment struct {
	// Echo is the last stamp that it received from the other side, which counts it for
	// a time from that moment. A message that was delayed therefore counts less, and
	// not at all if the receiver was suspended.
	Echo Stamp
	// CountedElsewhereFor is how long another broker or allocator may still count the
	// sender. The receiver counts it only after that.
	CountedElsewhereFor time.Duration
	// WantsStamp reports that a host has no recent stamp of the broker, which then replies
	// at once.
	WantsStamp bool
	// IdleFor is how long a host promises to count no broker as allocator. Zero is no
	// promise.
	IdleFor time.Duration
	// Leaving reports that a host shuts down: this message attaches it to nothing, and
	// neither does any later one.
	Leaving bool
}

// attachedSide is the state of the attached side of an attachment: until when each broker,
// or allocator, may count it.
type attachedSide struct {
	lease time.Duration
	// startedAt is when this process started: an earlier one of the same host may
	// have been counted anywhere.
	startedAt time.Duration
	held      map[string]heldStamp
}

type heldStamp struct {
	stamp Stamp
	at    time.Duration
	// countedUntil is set once the stamp has been sent back.
	countedUntil time.Duration
}

func newAttachedSide(now, lease time.Duration) *attachedSide {
	return &attachedSide{lease: lease, startedAt: now, held: make(map[string]heldStamp)}
}

// received records a stamp of a peer.
func (s *attachedSide) received(now time.Duration, peer string, stamp Stamp) {
	h := s.held[peer]
	h.stamp, h.at = stamp, now
	s.held[peer] = h
}

// fresh reports whether the last stamp of a peer still attaches to it.
func (s *attachedSide) fresh(now time.Duration, peer string) bool {
	h, ok := s.held[peer]
	return ok && now-h.at < s.lease
}

// next returns the Attachment for the next message to a peer, and records that the peer
// may count this side from then on.
func (s *attachedSide) next(now time.Duration, peer string) Attachment {
	elsewhere := s.startedAt + s.lease - now
	for name, h := range s.held {
		if name != peer {
			elsewhere = max(elsewhere, h.countedUntil-now)
			if now-h.at > s.lease && h.countedUntil <= now {
				delete(s.held, name)
			}
		}
	}
	a := Attachment{CountedElsewhereFor: max(elsewhere, 0)}
	if h, ok := s.held[peer]; ok {
		a.Echo = h.stamp
		h.countedUntil = max(h.countedUntil, h.at+s.lease)
		s.held[peer] = h
	}
	return a
}

// attachments is the state of the counting side: the hosts attached to a broker, or the
// brokers attached to an allocator.
type attachments struct {
	process uint64
	lease   time.Duration
	byName  map[string]counted
}

// counted is a host or broker that is attached from one time until another.
type counted struct {
	from, until time.Duration
	attachedHosts
}

// attachedHosts describes the hosts that one attachment stands for.
type attachedHosts struct {
	// hosts counts those that no other broker may count, and pending the others.
	hosts, pending int
}

func newAttachments(lease time.Duration) *attachments {
	return &attachments{process: rand.Uint64() | 1, lease: lease, byName: make(map[string]counted)}
}

func (a *attachments) stamp(now time.Duration) Stamp { return Stamp{Process: a.process, At: now} }

// valid reports whether an attachment returns a stamp of this process.
func (a *attachments) valid(now time.Duration, att Attachment) bool {
	return att.Echo.Process == a.process && att.Echo.At <= now
}

// renew extends an attachment by a message of the attached side, which is counted no earlier
// than notBefore.
func (a *attachments) renew(now, notBefore time.Duration, name string, att Attachment, hosts attachedHosts) {
	if !a.valid(now, att) {
		return
	}
	c := counted{from: max(now+max(att.CountedElsewhereFor, 0), notBefore), until: att.Echo.At + a.lease, attachedHosts: hosts}
	if c.until > a.byName[name].until {
		a.byName[name] = c
	}
}

// hosts returns the number of hosts attached at a moment, and forgets those that were
// attached before it only.
func (a *attachments) hosts(now time.Duration) int {
	n := 0
	for name, c := range a.byName {
		switch {
		case c.until <= now:
			delete(a.byName, name)
		case c.from <= now:
			n += c.hosts
		}
	}
	return n
}

// total returns the number of all hosts attached at a moment. Those that another broker or
// allocator may still count are pending.
func (a *attachments) total(now time.Duration) attachedHosts {
	var t attachedHosts
	for _, c := range a.byName {
		if c.until <= now {
			continue
		}
		if c.from <= now {
			t.hosts += c.hosts
			t.pending += c.pending
		} else {
			t.pending += c.hosts + c.pending
		}
	}
	return t
}

// nextChange returns the first moment after now, and before end, at which the number of
// attached hosts may change, or end.
func (a *attachments) nextChange(now, end time.Duration) time.Duration {
	for _, c := range a.byName {
		if c.from > now {
			end = min(end, c.from)
		}
		if c.until > now {
			end = min(end, c.until)
		}
	}
	return end
}

// members counts the hosts that may be in service: those that this host sees, and those
// that it has seen within departureHold, since a host that others don't see may be
// partitioned from them and go on.
type members struct {
	// absentSince holds the time from which a host is no longer seen; zero while it is.
	absentSince map[string]time.Duration
	// departedAt holds the hosts that have announced their departure, with the time from
	// which on they count no more once they aren't seen.
	departedAt map[string]time.Duration
	// gone holds the hosts that have ceased to count for that reason, with the time of that,
	// for departureHold. Others may still report numbers of hosts that include them.
	gone map[string]time.Duration
}

// depart records that a host has announced its departure. A broker and an allocator may count
// it for their leases.
func (m *members) depart(now time.Duration, name string) {
	if _, ok := m.departedAt[name]; ok || m.absentSince == nil {
		return
	}
	if m.departedAt == nil {
		m.departedAt, m.gone = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	m.departedAt[name] = now + pollLease + exchangeLease
}

// held reports whether a host that isn't seen still counts.
func (m *members) held(now, since time.Duration, name string) bool {
	at, departed := m.departedAt[name]
	departed = departed && since < at+departureTimeout
	return now-since < departureHold && (!departed || now < at)
}

// forget records that a host that isn't seen has ceased to count.
func (m *members) forget(now, since time.Duration, name string) {
	if _, departed := m.departedAt[name]; departed {
		delete(m.departedAt, name)
		if now-since < departureHold {
			m.gone[name] = now
		}
	}
}

// countGone returns the number of hosts that have ceased to count within departureHold since
// they announced their departure.
func (m *members) countGone(now time.Duration) int {
	maps.DeleteFunc(m.gone, func(_ string, at time.Duration) bool { return now-at >= departureHold })
	return len(m.gone)
}

// update applies the names of the hosts that are seen.
func (m *members) update(now time.Duration, names []string) {
	seen := make(map[string]time.Duration, len(names))
	for _, name := range names {
		seen[name] = 0
		delete(m.gone, name)
	}
	for name, since := range m.absentSince {
		if _, ok := seen[name]; ok {
			if since != 0 {
				// It has been started again.
				delete(m.departedAt, name)
			}
			continue
		}
		if since == 0 {
			since = max(now, 1)
		}
		if m.held(now, since, name) {
			seen[name] = since
		} else {
			m.forget(now, since, name)
		}
	}
	m.absentSince = seen
}

// count returns the number of hosts that may be in service.
func (m *members) count(now time.Duration) int {
	n := 0
	for name, since := range m.absentSince {
		if since != 0 && !m.held(now, since, name) {
			delete(m.absentSince, name)
			m.forget(now, since, name)
			continue
		}
		n++
	}
	return n
}
