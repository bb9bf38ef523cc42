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
	s.revokeLeaving(now, &plan)
	for _, p := range s.services {
		s.grantWaiters(now, p, &plan)
		s.revoke(now, p, &plan)
		s.grantBatch(now, p, &plan)
	}
	return plan
}

func (s *Scheduler) grantWaiters(now time.Time, p *pool, plan *Plan) {
	remaining := p.queue[:0]
	for _, w := range p.queue {
		target := p.choose(now, w.args.Avoid, s.rng)
		if target == nil {
			remaining = append(remaining, w)
			continue
		}
		g := s.grant(now, target, Grant{Class: Online, Host: w.args.Host})
		plan.Granted = append(plan.Granted, WaiterGrant{Waiter: w, Grant: *g})
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
	for _, r := range p.replicas {
		if len(p.queue) > 0 && r.avoidUntil.After(now) {
			plan.replanAt(r.avoidUntil)
		}
	}
}

// revokeLeaving asks batch items to leave replicas that are leaving: they go on
// elsewhere, and would be cut off there.
func (s *Scheduler) revokeLeaving(now time.Time, plan *Plan) {
	for _, g := range s.grants {
		if g.Class == Batch && !g.replicaState.Ready && now.Sub(g.revokedAt) >= revokeTimeout {
			g.revokedAt = now
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
	var batch []*grantState
	for _, g := range s.grants {
		switch {
		case g.Class != Batch || s.services[g.Replica.Service] != p:
		case now.Sub(g.revokedAt) < revokeTimeout:
			need--
		case g.replicaState.Ready && !now.Before(g.replicaState.avoidUntil) && !g.protected(now):
			batch = append(batch, g)
		}
	}
	slices.SortFunc(batch, func(a, b *grantState) int { return compareRevocable(now, a, b) })
	for _, g := range batch[:min(max(need, 0), len(batch))] {
		g.revokedAt, p.lastRevokedAt = now, now
		plan.Revoked = append(plan.Revoked, g.Grant)
	}
}

// protected reports whether an item would miss its due time if it were stopped.
func (g *grantState) protected(now time.Time) bool {
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
func compareRevocable(now time.Time, a, b *grantState) int {
	return cmp.Or(CompareUrgency(b.Due.Sub(now), a.Due.Sub(now)), b.Since.Compare(a.Since), cmp.Compare(a.ID, b.ID))
}

// grantBatch gives free places to the hosts whose items are due first. Items
// that are late come last. None are given while requests wait and for some time
// after items had to leave for them: in a peak they would have to leave again.
func (s *Scheduler) grantBatch(now time.Time, p *pool, plan *Plan) {
	if len(p.queue) > 0 {
		return
	}
	if resumeAt := p.lastRevokedAt.Add(revokeCooldown); resumeAt.After(now) {
		plan.replanAt(resumeAt)
		return
	}
	for {
		host, demand := p.mostUrgent(now)
		if demand.Items == 0 {
			return
		}
		target := p.choose(now, nil, s.rng)
		if target == nil || target.used >= p.batchLimit(now, target) {
			return
		}
		plan.Batch = append(plan.Batch, *s.grant(now, target, Grant{Class: Batch, Host: host, Due: demand.Due}))
		demand.Items--
		p.demands[host] = demand
	}
}

// batchLimit is the number of taken places of a replica up to which batch items
// are added. Where requests come, places are kept for the next ones.
func (p *pool) batchLimit(now time.Time, r *replicaState) int {
	if now.Sub(p.lastRequestAt) > reserveWindow {
		return r.Slots
	}
	return max(r.Slots-onlineReserve, 1)
}

// replanAt asks for another plan at the given time.
func (p *Plan) replanAt(at time.Time) {
	if p.Next.IsZero() || at.Before(p.Next) {
		p.Next = at
	}
}

func (p *pool) mostUrgent(now time.Time) (host string, demand Demand) {
	for h, w := range p.demands {
		if w.Items > 0 && (demand.Items == 0 || compareDemands(now, h, w, host, demand) < 0) {
			host, demand = h, w
		}
	}
	return host, demand
}

func compareDemands(now time.Time, ah string, a Demand, bh string, b Demand) int {
	return cmp.Or(CompareUrgency(a.Due.Sub(now), b.Due.Sub(now)), cmp.Compare(ah, bh))
}

// Sync takes what a host holds and wants. Grants of another broker are taken
// over; grants that the host doesn't know of are free. A partial list leaves
// out online requests.
func (s *Scheduler) Sync(now time.Time, host string, grants []Grant, demands []Demand, partial bool) {
	s.lastPoll[host] = now
	known := make(map[GrantID]struct{}, len(grants))
	for _, g := range grants {
		known[g.ID] = struct{}{}
		if _, ok := s.grants[g.ID]; !ok {
			s.adopt(host, g)
		}
	}
	for id, g := range s.grants {
		listed := !partial || g.Class == Batch
		if _, ok := known[id]; !ok && listed && g.Host == host && now.Sub(g.Since) > unlistedGrantTimeout {
			s.Release(now, id, Unused)
		}
	}
	for _, p := range s.services {
		delete(p.demands, host)
	}
	for _, w := range demands {
		s.pool(w.Service).demands[host] = w
	}
}

func (s *Scheduler) adopt(host string, g Grant) {
	target := s.find(g.Replica.Service, g.Replica.ID)
	if target == nil || target.Born != g.Replica.Born {
		return
	}
	target.used++
	g.Host = host
	s.grants[g.ID] = &grantState{Grant: g, replicaState: target}
}

// SetDemand takes what a host has waiting for one service.
func (s *Scheduler) SetDemand(host string, w Demand) { s.pool(w.Service).demands[host] = w }

// Expire frees the places of hosts that have been silent.
func (s *Scheduler) Expire(now time.Time) {
	for id, g := range s.grants {
		if g.Class == Online && now.Sub(g.Since) > onlineGrantTTL {
			s.Release(now, id, Unused)
		}
	}
	for host, at := range s.lastPoll {
		if now.Sub(at) <= hostTimeout {
			continue
		}
		delete(s.lastPoll, host)
		for _, p := range s.services {
			delete(p.demands, host)
		}
		for id, g := range s.grants {
			if g.Host == host {
				s.Release(now, id, Unused)
			}
		}
	}
}
