package quota

import "time"

// PollAttachment returns the Attachment for this host's next poll of a broker.
func (s *Service) PollAttachment(broker string) Attachment {
	if !s.Enabled() {
		return Attachment{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	a := s.toBroker.next(now, broker)
	a.Leaving = s.leaving
	h, ok := s.toBroker.held[broker]
	a.WantsStamp = !ok || now-h.at >= pollLease
	if now-s.startedAt < promisePeriod {
		s.updateView()
		// The first candidate makes no promise, since the brokers will attach themselves to it.
		if len(s.candidates) > 0 && s.candidates[0].Name != s.allocator.self && s.allocator.promise(now) {
			a.IdleFor = idlePromise
		}
	}
	return a
}

// PollReplied records the stamp in a broker's reply to a poll.
func (s *Service) PollReplied(broker string, stamp Stamp) {
	if stamp == (Stamp{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toBroker.received(s.Now(), broker, stamp)
}

// Polled records that a host has polled this broker.
func (s *Service) Polled(host string, a Attachment) {
	if a == (Attachment{}) || !s.Enabled() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if !s.hosts.valid(now, a) {
		return
	}
	if a.Leaving {
		// A message that was delayed may come from the process before the present one.
		if now-a.Echo.At < pollLease {
			delete(s.hosts.byName, host)
			s.departed[host] = now
			signal(s.exchangeNow)
		}
		return
	}
	delete(s.departed, host)
	s.hosts.renew(now, 0, host, a, attachedHosts{hosts: 1})
	_, known := s.idle[host]
	if a.IdleFor > 0 {
		// The promise is younger than the stamp that the message returns.
		s.idle[host] = a.Echo.At + a.IdleFor
	}
	switch {
	case s.account.hosts == 0 && s.hosts.hosts(now) > 0:
		signal(s.exchangeNow)
	case a.IdleFor > 0 && !known:
		signal(s.exchangeSoon)
	}
}

// Leave announces with the next polls that this host shuts down.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// departedHosts returns the hosts that have announced their departure within departureRepeat.
// The lock is held.
func (s *Service) departedHosts(now time.Duration) []string {
	var names []string
	for name, at := range s.departed {
		if now-at >= departureRepeat {
			delete(s.departed, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// idleHosts returns the hosts whose promise to count no broker as allocator holds. The lock
// is held.
func (s *Service) idleHosts(now time.Duration) []IdleHost {
	var idle []IdleHost
	for name, until := range s.idle {
		if until <= now {
			delete(s.idle, name)
			continue
		}
		idle = append(idle, IdleHost{Name: name, For: until - now})
	}
	return idle
}

// PollStamp returns the stamp of the reply to a poll.
func (s *Service) PollStamp() Stamp {
	if !s.Enabled() {
		return Stamp{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.stamp(s.Now())
}
