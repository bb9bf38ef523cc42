package slots

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reclaimAfter is the multiple of the mean time for which requests use a slot after which
	// that of a host that is cut off is reclaimed.
	reclaimAfter = 2
)

// CutOffChange is a change of whether a host is cut off from the replicas, for logs.
type CutOffChange struct {
	Host   string
	CutOff bool
	// Unreached is the number of replicas that the host failed to reach.
	Unreached int
}

// recordReplicaOutcome applies the outcome of a request to its replica, unless it says nothing
// about that.
func (s *Scheduler) recordReplicaOutcome(now time.Time, g *grantState, outcome Outcome) {
	r := g.replicaState
	s.contacts.observe(now, g.Host, g.Replica, outcome)
	s.updateCutOff(now)
	if s.isDiscounted(now, g, outcome) {
		return
	}
	wasSuspect := r.suspect()
	r.recordOutcome(now, outcome)
	r.recordAccuser(now, g.Host, outcome, wasSuspect)
	s.recordPaceOutcome(now, r, outcome, wasSuspect)
}

// isDiscounted reports whether a failure says nothing about the replica: its host is cut off
// from all of them, or the attempt began before a failure that has counted already.
func (s *Scheduler) isDiscounted(now time.Time, g *grantState, outcome Outcome) bool {
	r := g.replicaState
	switch outcome {
	case Failed:
		return s.contacts.discounts(now, g.Host)
	case Unreachable:
		return r.suspect() && g.Since.Before(r.failedAt) || s.contacts.discounts(now, g.Host)
	default:
		return false
	}
}

// RecordStatement records whether a host states that it is cut off from the replicas.
func (s *Scheduler) RecordStatement(now time.Time, host string, cutOff bool) {
	if s.contacts.state(now, host, cutOff) {
		s.exonerate(now)
	}
}

// updateCutOff finds the hosts that are cut off now.
func (s *Scheduler) updateCutOff(now time.Time) {
	begun, ended := s.contacts.update(now)
	for _, host := range begun {
		s.cutOffChanges = append(s.cutOffChanges, CutOffChange{Host: host, CutOff: true, Unreached: len(s.contacts.hosts[host].unreached)})
	}
	for _, host := range ended {
		s.cutOffChanges = append(s.cutOffChanges, CutOffChange{Host: host})
	}
	if len(begun) > 0 {
		s.exonerate(now)
	}
}

// exonerate ends the suspicion about replicas that only hosts that are cut off have accused.
func (s *Scheduler) exonerate(now time.Time) {
	for _, p := range s.services {
		for _, r := range p.replicas {
			if s.isAccusedByCutOffOnly(now, r) {
				r.exonerate()
			}
		}
	}
}

// reclaimSlots lets others use the slots of requests of hosts that are cut off, once their
// replicas have run them: such a host waits for a response that doesn't arrive until the
// request's deadline. Requests that began once this was known may go through other hosts.
func (s *Scheduler) reclaimSlots(now time.Time, plan *Plan) {
	if !s.contacts.pending {
		return
	}
	for _, g := range s.grants {
		if g.reclaimed || g.Class != Online || !s.contacts.discounts(now, g.Host) || g.Since.After(s.contacts.host(g.Host).foundAt) {
			continue
		}
		at := g.Since.Add(reclaimAfter * g.uses(s.pool(g.Replica.Service).serviceTime))
		if at.After(now) {
			plan.replanAt(at)
			continue
		}
		g.reclaimed = true
		g.replicaState.used--
	}
}

// recordAccuser records whose failures make the replica a suspect. They are kept when it
// responds again, since it gets fewer slots then.
func (r *replicaState) recordAccuser(now time.Time, host string, outcome Outcome, wasSuspect bool) {
	switch outcome {
	case Unreachable, Failed:
		r.accuse(now, host)
	case Errored:
		r.accuse(now, "")
	case Done, Ended:
		if !wasSuspect {
			clear(r.accusers)
		}
	default:
	}
}

func (r *replicaState) accuse(now time.Time, host string) {
	if r.accusers == nil {
		r.accusers = make(map[string]time.Time)
	}
	r.accusers[host] = now
}

// isAccusedByCutOffOnly reports whether all hosts whose failures made the replica a suspect
// lately are cut off.
func (s *Scheduler) isAccusedByCutOffOnly(now time.Time, r *replicaState) bool {
	n := 0
	for host, at := range r.accusers {
		if now.Sub(at) > contactWindow {
			delete(r.accusers, host)
			continue
		}
		if host == "" || !s.contacts.discounts(now, host) {
			return false
		}
		n++
	}
	return n > 0
}

// exonerate removes the consequences of failures.
func (r *replicaState) exonerate() {
	r.failures, r.unreached, r.errorRate, r.avoidUntil = 0, false, 0, r.busyUntil
	if r.pace.reason == PaceRecovered {
		r.pace.end()
	}
	clear(r.accusers)
}

// logCutOff logs which hosts are cut off from the replicas and which no longer are.
func (b *Broker) logCutOff(changes []CutOffChange) {
	for _, c := range changes {
		entry := b.log.WithField("peer", c.Host)
		if c.CutOff {
			entry.WithFields(logrus.Fields{"replicas": c.Unreached}).Warn("host is cut off from the replicas: they respond to others")
			continue
		}
		entry.Info("host is not cut off from the replicas any more")
	}
}
