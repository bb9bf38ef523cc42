package slots

import (
	"cmp"
	"slices"
	"time"
)

// Plan lists what the broker has to do after a change.
type Plan struct {
	// Granted are the waiters that get a slot.
	Granted []WaiterGrant
	// Batch are new grants for batch items.
	Batch []Grant
	// Revoked are the grants of batch items that their hosts have to release.
	Revoked []Grant
	// Paces are the changes of the paces of replicas since the last plan.
	Paces []PaceChange
	// CutOff are the changes of which hosts are cut off since the last plan.
	CutOff []CutOffChange
	// Refused are the waiters that can't start in time any more, since others go before
	// them.
	Refused []*Waiter
	// Next is when to plan again even if nothing changes; zero means never.
	Next time.Time
}

// WaiterGrant is a waiter with the grant that it gets.
type WaiterGrant struct {
	Waiter *Waiter
	Grant  Grant
}

// Plan grants free slots to waiters, revokes grants of batch items for the
// waiters that remain, and grants the slots that are still free to batch items.
func (s *Scheduler) Plan(now time.Time) Plan {
	var plan Plan
	s.updateCutOff(now)
	s.reclaimSlots(now, &plan)
	s.revokeLeaving(now, &plan)
	occupied := s.occupancy(now)
	for _, p := range s.services {
		s.updatePaces(now, p)
		s.grantWaiters(now, occupied, p, &plan)
		s.revoke(now, p, &plan)
		s.grantBatch(now, occupied, p, &plan)
	}
	plan.Paces, s.paceChanges = s.paceChanges, nil
	plan.CutOff, s.cutOffChanges = s.cutOffChanges, nil
	return plan
}

func (s *Scheduler) grantWaiters(now time.Time, o occupancy, p *pool, plan *Plan) {
	plan.Refused = append(plan.Refused, p.shares.takeDisplaced()...)
	if p.shares.unordered {
		p.orderQueue(now)
	}
	remaining := p.queue[:0]
	for _, w := range p.queue {
		target := s.chooseForWaiter(now, p, o, w, plan)
		if target == nil {
			remaining = append(remaining, w)
			continue
		}
		g := s.grant(now, target, Grant{Class: Online, Host: w.args.Host, Content: w.args.Content, Share: w.args.share()})
		s.occupy(now, o, target, g.Content)
		plan.Granted = append(plan.Granted, WaiterGrant{Waiter: w, Grant: *g})
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
	if len(p.queue) > 0 {
		plan.replanForRequests(now, p)
	}
}

// replanForRequests requests another plan when a replica may be used again.
func (p *Plan) replanForRequests(now time.Time, of *pool) {
	for _, r := range of.replicas {
		switch {
		case r.avoidUntil.After(now):
			p.replanAt(r.avoidUntil)
		case r.hasFreeSlot(now) && !r.budget.allows(now, 1):
			p.replanAt(now.Add(r.budget.wait(now, 1)))
		}
	}
}

// revokeLeaving revokes the grants of batch items on replicas that are leaving.
// These items continue on other replicas; the leaving one would cut them off.
func (s *Scheduler) revokeLeaving(now time.Time, plan *Plan) {
	for _, g := range s.grants {
		if g.Class == Batch && !g.replicaState.Ready && now.Sub(g.revokedAt) >= revokeTimeout {
			g.revokedAt = now
			plan.Revoked = append(plan.Revoked, g.Grant)
		}
	}
}

// revoke revokes one grant of a batch item for each request that waits, unless one
// that the request may use is already being revoked.
func (s *Scheduler) revoke(now time.Time, p *pool, plan *Plan) {
	if len(p.queue) == 0 {
		return
	}
	var pending, revocable []*grantState
	for _, g := range s.grants {
		switch {
		case g.Class != Batch || s.services[g.Replica.Service] != p:
		case now.Sub(g.revokedAt) < revokeTimeout:
			pending = append(pending, g)
		case g.replicaState.Ready && !now.Before(g.replicaState.avoidUntil) && !g.protected(now):
			revocable = append(revocable, g)
		}
	}
	s.sortRevocable(now, p, revocable)
	revocable = withinRateLimits(now, revocable, pending)
	for _, w := range p.queue {
		if takeFirst(&pending, &w.args) != nil {
			continue
		}
		if g := takeFirst(&revocable, &w.args); g != nil {
			g.revokedAt, p.lastRevokedAt = now, now
			plan.Revoked = append(plan.Revoked, g.Grant)
		}
	}
}

// withinRateLimits returns the grants whose slots may be granted to requests once they
// are released, beside those that are pending.
func withinRateLimits(now time.Time, revocable, pending []*grantState) []*grantState {
	planned := make(map[*replicaState]int)
	for _, g := range pending {
		planned[g.replicaState]++
	}
	return slices.DeleteFunc(revocable, func(g *grantState) bool {
		planned[g.replicaState]++
		return !g.replicaState.budget.allows(now, planned[g.replicaState])
	})
}

// takeFirst removes and returns the first grant on a replica whose software may
// run the request, or nil if there is none.
func takeFirst(grants *[]*grantState, args *AcquireArgs) *grantState {
	i := slices.IndexFunc(*grants, func(g *grantState) bool { return args.matchesVersion(g.replicaState) })
	if i < 0 {
		return nil
	}
	g := (*grants)[i]
	*grants = slices.Delete(*grants, i, i+1)
	return g
}

// protected reports whether the item would miss its due time if it were
// stopped.
func (g *grantState) protected(now time.Time) bool {
	left := g.Due.Sub(now)
	return left > 0 && left < dueMargin
}

// CompareUrgency compares the times left until items are due. The more urgent
// one is less. Items that are late come after all others.
func CompareUrgency(a, b time.Duration) int {
	if late := a < 0; late != (b < 0) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a, b)
}

// compareRevocable puts first the grants whose revocation costs least: those of
// the least urgent items, then the most recent ones.
func compareRevocable(now time.Time, a, b *grantState) int {
	return cmp.Or(CompareUrgency(b.Due.Sub(now), a.Due.Sub(now)), b.Since.Compare(a.Since), cmp.Compare(a.ID, b.ID))
}

// grantBatch grants free slots to the hosts whose items are due first, and last
// to those whose items are late. Among customers it uses the order of nextItem.
// It grants none while requests wait and for revokeCooldown after a revocation:
// during a burst of requests these grants would soon be revoked again.
func (s *Scheduler) grantBatch(now time.Time, o occupancy, p *pool, plan *Plan) {
	if len(p.queue) > 0 {
		return
	}
	if resumeAt := p.lastRevokedAt.Add(revokeCooldown); resumeAt.After(now) {
		plan.replanAt(resumeAt)
		return
	}
	s.updateItemCapacity(now, p)
	for {
		next := p.nextItem(now)
		if next.items == 0 {
			plan.replanForShares(now, p)
			return
		}
		target := s.chooseBatch(now, o, p, next.due)
		if target == nil || target.used >= p.batchLimit(now, target) {
			plan.replanForBatch(now, p)
			return
		}
		plan.Batch = append(plan.Batch, *s.grant(now, target, Grant{Class: Batch, Host: next.host, Due: next.due, Share: next.share}))
		p.takeItem(next)
	}
}

// allowsBatch reports whether the replica's rate limit allows a batch item. One whose
// slots are used up must not hide those without a limit.
func (p *pool) allowsBatch(now time.Time, r *replicaState) bool {
	return !r.budget.limited() || r.used < p.batchLimit(now, r) && r.budget.allows(now, p.batchTokens(now, r))
}

// batchLimit returns the number of used slots of a replica up to which batch
// items are added. Services with recent requests keep onlineReserve slots of
// each replica free for the next ones.
func (p *pool) batchLimit(now time.Time, r *replicaState) int {
	return max(r.Slots-p.onlineReserve(now), 1)
}

// batchTokens returns the number of requests that a replica's rate limit has to allow
// before one is granted to a batch item.
func (p *pool) batchTokens(now time.Time, r *replicaState) int {
	return r.budget.batchTokens(p.onlineReserve(now))
}

func (p *pool) onlineReserve(now time.Time) int {
	if now.Sub(p.lastRequestAt) > reserveWindow {
		return 0
	}
	return onlineReserve
}

// replanForBatch requests another plan when a rate limit allows the next batch item.
func (p *Plan) replanForBatch(now time.Time, of *pool) {
	for _, r := range of.replicas {
		n := of.batchTokens(now, r)
		if r.hasFreeSlot(now) && r.used < of.batchLimit(now, r) && !r.budget.allows(now, n) {
			p.replanAt(now.Add(r.budget.wait(now, n)))
		}
	}
}

// replanAt requests another plan at the given time at the latest.
func (p *Plan) replanAt(at time.Time) {
	if p.Next.IsZero() || at.Before(p.Next) {
		p.Next = at
	}
}

// mostUrgent returns the most urgent demand and its host.
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

// Sync replaces the demand of a host and reconciles its grants. Grants that
// another broker made are taken over, and those that the host does not list are
// released after unlistedGrantTimeout. A partial list leaves out online
// requests.
func (s *Scheduler) Sync(now time.Time, host string, grants []Grant, demands []Demand, partial bool) {
	s.lastPoll[host] = now
	known := make(map[GrantID]struct{}, len(grants))
	for _, g := range grants {
		known[g.ID] = struct{}{}
		if _, ok := s.grants[g.ID]; !ok {
			s.adopt(now, host, g)
		}
		if present, ok := s.grants[g.ID]; ok {
			present.listedAt = now
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

// adopt takes over a grant that another broker made, if the same incarnation of
// the replica is known here.
func (s *Scheduler) adopt(now time.Time, host string, g Grant) {
	target := s.find(g.Replica.Service, g.Replica.ID)
	if target == nil || target.Born != g.Replica.Born {
		return
	}
	target.used++
	g.Host = host
	state := &grantState{Grant: g, replicaState: target}
	s.chargeAdopted(now, state)
	s.grants[g.ID] = state
}

// SetDemand sets the demand of a host for one service.
func (s *Scheduler) SetDemand(host string, w Demand) { s.pool(w.Service).demands[host] = w }

// Expire releases the grants of hosts that have not polled within hostTimeout,
// and those of online requests that were neither made nor listed within
// onlineGrantTTL: hosts of other data centres don't list them.
func (s *Scheduler) Expire(now time.Time) {
	for id, g := range s.grants {
		if g.Class == Online && now.Sub(g.Since) > onlineGrantTTL && now.Sub(g.listedAt) > onlineGrantTTL {
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
