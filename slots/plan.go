package slots

import (
	"cmp"
	"slices"
	"time"
)

// Plan is what a broker carries out after a change.
type Plan struct {
	// Granted are waiters that get a place.
	Granted []WaiterGrant
	// Batch are places for batch items.
	Batch []Grant
	// Revoked are places of batch items that are to be given back.
	Revoked []Grant
	// Next is when to plan again though nothing changes; zero is never.
	Next time.Time
}

// WaiterGrant is a waiter with its grant.
type WaiterGrant struct {
	Waiter *Waiter
	Grant  Grant
}

// Plan gives free places to waiters, asks batch items to leave for those who
// are left, and gives what is free to batch items.
func (s *Scheduler) Plan(now time.Time) Plan {
	var plan Plan
	s.clearLeaving(now, &plan)
	for _, p := range s.services {
		s.placeWaiters(now, p, &plan)
		s.revoke(now, p, &plan)
		s.placeBatch(now, p, &plan)
	}
	return plan
}

func (s *Scheduler) placeWaiters(now time.Time, p *pool, plan *Plan) {
	rest := p.queue[:0]
	for _, w := range p.queue {
		at := p.choose(now, w.ask.Avoid, s.rng)
		if at == nil {
			rest = append(rest, w)
			continue
		}
		g := s.grant(now, at, Grant{Class: Online, Host: w.ask.Host})
		plan.Granted = append(plan.Granted, WaiterGrant{Waiter: w, Grant: *g})
	}
	clear(p.queue[len(rest):])
	p.queue = rest
	for _, r := range p.replicas {
		if len(p.queue) > 0 && r.avoidUntil.After(now) {
			plan.wake(r.avoidUntil)
		}
	}
}

// clearLeaving asks batch items to leave replicas that are leaving: they go on
// elsewhere, and would be cut off there.
func (s *Scheduler) clearLeaving(now time.Time, plan *Plan) {
	for _, g := range s.grants {
		if g.Class == Batch && !g.place.Ready && now.Sub(g.revoked) >= revokePatience {
			g.revoked = now
			plan.Revoked = append(plan.Revoked, g.Grant)
		}
	}
}

// revoke asks for as many places of batch items as requests wait.
func (s *Scheduler) revoke(now time.Time, p *pool, plan *Plan) {
	need := len(p.queue)
	if need == 0 {
		return
	}
	var batch []*held
	for _, g := range s.grants {
		switch {
		case g.Class != Batch || s.services[g.Replica.Service] != p:
		case now.Sub(g.revoked) < revokePatience:
			need--
		case g.place.Ready && !now.Before(g.place.avoidUntil) && !g.protected(now):
			batch = append(batch, g)
		}
	}
	slices.SortFunc(batch, func(a, b *held) int { return compareRevocable(now, a, b) })
	for _, g := range batch[:min(max(need, 0), len(batch))] {
		g.revoked, p.revokedAt = now, now
		plan.Revoked = append(plan.Revoked, g.Grant)
	}
}

// protected reports whether an item would miss its due time if it were stopped.
func (g *held) protected(now time.Time) bool {
	left := g.Due.Sub(now)
	return left > 0 && left < dueMargin
}

// CompareUrgency compares two times that are left until items are due; the more
// urgent one is less. Items that are late come after all others.
func CompareUrgency(a, b time.Duration) int {
	if late := a < 0; late != (b < 0) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a, b)
}

// compareRevocable puts first what loses least: the least urgent items, then the
// youngest.
func compareRevocable(now time.Time, a, b *held) int {
	return cmp.Or(CompareUrgency(b.Due.Sub(now), a.Due.Sub(now)), b.Since.Compare(a.Since), cmp.Compare(a.ID, b.ID))
}

// placeBatch gives free places to the hosts whose items are due first. Items
// that are late come last. None are given while requests wait and for some time
// after items had to leave for them: in a peak they would have to leave again.
func (s *Scheduler) placeBatch(now time.Time, p *pool, plan *Plan) {
	if len(p.queue) > 0 {
		return
	}
	if calm := p.revokedAt.Add(revokeCooldown); calm.After(now) {
		plan.wake(calm)
		return
	}
	for {
		host, want := p.mostUrgent(now)
		if want.Items == 0 {
			return
		}
		at := p.choose(now, nil, s.rng)
		if at == nil || at.used >= p.batchLimit(now, at) {
			return
		}
		plan.Batch = append(plan.Batch, *s.grant(now, at, Grant{Class: Batch, Host: host, Due: want.Due}))
		want.Items--
		p.wants[host] = want
	}
}

// batchLimit is the number of taken places of a replica up to which batch items
// are added. Where requests come, places are kept for the next ones.
func (p *pool) batchLimit(now time.Time, r *place) int {
	if now.Sub(p.askedAt) > reserveWindow {
		return r.Slots
	}
	return max(r.Slots-onlineReserve, 1)
}

// wake asks for another plan at the given time.
func (p *Plan) wake(at time.Time) {
	if p.Next.IsZero() || at.Before(p.Next) {
		p.Next = at
	}
}

func (p *pool) mostUrgent(now time.Time) (host string, want Demand) {
	for h, w := range p.wants {
		if w.Items > 0 && (want.Items == 0 || compareWants(now, h, w, host, want) < 0) {
			host, want = h, w
		}
	}
	return host, want
}

func compareWants(now time.Time, ah string, a Demand, bh string, b Demand) int {
	return cmp.Or(CompareUrgency(a.Due.Sub(now), b.Due.Sub(now)), cmp.Compare(ah, bh))
}

// Sync takes what a host holds and wants. Grants of another broker are taken
// over; grants that the host doesn't know of are free. A partial list leaves
// out online requests.
func (s *Scheduler) Sync(now time.Time, host string, holds []Grant, wants []Demand, partial bool) {
	s.seen[host] = now
	known := make(map[GrantID]struct{}, len(holds))
	for _, g := range holds {
		known[g.ID] = struct{}{}
		if _, ok := s.grants[g.ID]; !ok {
			s.adopt(host, g)
		}
	}
	for id, g := range s.grants {
		listed := !partial || g.Class == Batch
		if _, ok := known[id]; !ok && listed && g.Host == host && now.Sub(g.Since) > adoptPatience {
			s.Release(now, id, Unused)
		}
	}
	for _, p := range s.services {
		delete(p.wants, host)
	}
	for _, w := range wants {
		s.pool(w.Service).wants[host] = w
	}
}

func (s *Scheduler) adopt(host string, g Grant) {
	at := s.find(g.Replica.Service, g.Replica.ID)
	if at == nil || at.Born != g.Replica.Born {
		return
	}
	at.used++
	g.Host = host
	s.grants[g.ID] = &held{Grant: g, place: at}
}

// SetDemand takes what a host has waiting for one service.
func (s *Scheduler) SetDemand(host string, w Demand) { s.pool(w.Service).wants[host] = w }

// Expire frees the places of hosts that have been silent.
func (s *Scheduler) Expire(now time.Time) {
	for id, g := range s.grants {
		if g.Class == Online && now.Sub(g.Since) > onlineLimit {
			s.Release(now, id, Unused)
		}
	}
	for host, at := range s.seen {
		if now.Sub(at) <= hostPatience {
			continue
		}
		delete(s.seen, host)
		for _, p := range s.services {
			delete(p.wants, host)
		}
		for id, g := range s.grants {
			if g.Host == host {
				s.Release(now, id, Unused)
			}
		}
	}
}
