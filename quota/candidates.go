package quota

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// chooseAllocator returns the allocator for the next exchange, and the candidates to
// probe. An allocator that still answers is used until it no longer counts this broker:
// only from then on does the next one refill its buckets for it. The lock is held.
func (s *Service) chooseAllocator(now time.Duration) (membership.Host, []membership.Host) {
	chosen, probes := s.firstCandidate(now)
	if chosen.Name == s.current.Name {
		s.leavingAt = 0
		return chosen, probes
	}
	if f, ok := s.failures[s.current.Name]; s.current.Name != "" && (!ok || f.count < maxFailures) {
		if s.leavingAt == 0 {
			s.leavingAt = max(s.toAllocator.held[s.current.Name].countedUntil, 1)
		}
		if now < s.leavingAt {
			return s.current, probes
		}
	}
	s.Log.WithFields(logrus.Fields{
		"from": s.current.Name, "to": chosen.Name, "hosts": s.account.hosts, "known_hosts": s.account.fleet.KnownHosts,
	}).Info("allocator of quotas changed")
	s.current, s.leavingAt = chosen, 0
	s.Metrics.changes.Inc()
	return chosen, probes
}

// firstCandidate returns the first candidate that answers, or this host itself, and the
// candidates to probe.
func (s *Service) firstCandidate(now time.Duration) (chosen membership.Host, probes []membership.Host) {
	self := s.View.Self()
	if !s.answered && now-s.startedAt < firstAnswerTimeout && len(s.candidates) > 0 {
		return s.candidates[0], nil
	}
	for _, h := range s.candidates {
		f, ok := s.failures[h.Name]
		if h.Name == self.Name || !ok || f.count < maxFailures {
			return h, probes
		}
		if now-f.probedAt >= probeInterval {
			f.probedAt = now
			probes = append(probes, h)
		}
	}
	return self, probes
}

// failed records that an allocator did not answer and reports whether to make the next
// exchange at once. The lock is held.
func (s *Service) failed(h membership.Host, err error) bool {
	s.Metrics.exchanges.WithLabelValues("failed").Inc()
	f, ok := s.failures[h.Name]
	if !ok {
		f = &failures{}
		s.failures[h.Name] = f
	}
	f.count++
	if f.count == maxFailures {
		f.probedAt = s.Now()
		s.Log.WithError(err).WithField("peer", h.Name).Warn("allocator of quotas does not answer")
	}
	return f.count <= maxFailures
}

// probe asks an allocator that is passed over whether it answers again.
func (s *Service) probe(ctx context.Context, h membership.Host) {
	reply := new(ExchangeReply)
	if s.call(ctx, h, s.probeArgs(), reply) == nil {
		s.probed(h, reply)
	}
}

// probeArgs returns the argument of a probe. It attaches nothing.
func (s *Service) probeArgs() *ExchangeArgs { return &ExchangeArgs{Broker: s.View.Self().Name} }

// probed applies the answer to a probe.
func (s *Service) probed(h membership.Host, reply *ExchangeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toAllocator.received(s.Now(), h.Name, reply.Stamp)
	if f, ok := s.failures[h.Name]; ok && f.count >= maxFailures {
		delete(s.failures, h.Name)
		s.Log.WithField("peer", h.Name).Info("allocator of quotas answers again")
	}
}
