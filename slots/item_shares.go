package slots

import (
	"cmp"
	"slices"
	"time"
)

// ShareDemand is the part of a Demand that counts against one share.
type ShareDemand struct {
	Share Share
	Items int
	// Due is when the most urgent item is due.
	Due time.Time
}

// itemDemand is the demand of one host that may get the next slot for an item: all of it
// or, if the configuration has customers, the part at shareIndex of one share.
type itemDemand struct {
	host       string
	share      Share
	shareIndex int
	items      int
	due        time.Time
	// customer is the customer's share of the slot time of items, nil while there are no
	// shares, and tag the start tag of its next item.
	customer *customerShare
	tag      float64
	// served is the least start tag of those of equal priorities when this one was chosen.
	served float64
}

// nextItem returns the demand that gets the next slot, without items if there is none or,
// among shares, no slot for it.
// If hosts state no shares, that is the most urgent one. Otherwise more urgent priorities
// come first and late items last among equal ones. Then the customer goes first that has
// used least of its share of the slot time of items, or the most urgent demand while the
// items that are in time by their shares can wait (see chooseByClaims).
func (p *pool) nextItem(now time.Time) itemDemand {
	if !p.hasItemShares() {
		host, demand := p.mostUrgent(now)
		return itemDemand{host: host, items: demand.Items, due: demand.Due}
	}
	if !p.hasRoomForItem(now) {
		return itemDemand{}
	}
	candidates := p.itemCandidates(now)
	if len(candidates) == 0 {
		return itemDemand{}
	}
	next := slices.MinFunc(candidates, compareTags)
	if !next.late(now) {
		least := next.tag
		next = chooseByClaims(now, candidates, p.itemCapacity.value)
		next.served = least
	} else {
		next.served = next.tag
	}
	return next
}

// itemCandidates returns the demands of the most urgent priorities that have items, without
// those that are late if any is not.
func (p *pool) itemCandidates(now time.Time) []itemDemand {
	var candidates []itemDemand
	consider := func(d itemDemand) {
		if d.items <= 0 {
			return
		}
		if len(candidates) > 0 {
			switch c := cmp.Or(compareSharePriorities(d.share, candidates[0].share), compareBools(d.late(now), candidates[0].late(now))); {
			case c > 0:
				return
			case c < 0:
				candidates = candidates[:0]
			}
		}
		candidates = append(candidates, d)
	}
	for host, demand := range p.demands {
		if len(demand.Shares) == 0 {
			consider(itemDemand{host: host, items: demand.Items, due: demand.Due})
		}
		for i, s := range demand.Shares {
			consider(itemDemand{host: host, share: s.Share, shareIndex: i, items: s.Items, due: s.Due})
		}
	}
	for i := range candidates {
		d := &candidates[i]
		if d.customer = p.itemShares.of(now, d.share, p.speed.itemDuration()); d.customer != nil {
			d.customer.activate(now.Add(itemDebtHorizon))
			d.tag = d.customer.start()
		}
	}
	return candidates
}

// late reports whether no item is expected to be done when due.
func (d *itemDemand) late(now time.Time) bool { return d.due.Before(now) }

// hasItemShares reports whether a host states the shares of its items.
func (p *pool) hasItemShares() bool {
	for _, d := range p.demands {
		if len(d.Shares) > 0 {
			return true
		}
	}
	return false
}

// hasRoomForItem reports whether a replica may have a slot for an item. Most plans find
// none, and comparing many demands takes longer than this.
func (p *pool) hasRoomForItem(now time.Time) bool {
	return slices.ContainsFunc(p.replicas, func(r *replicaState) bool { return r.available(now) && r.used < p.batchLimit(now, r) })
}

// replanForShares requests another plan if items with shares wait for a rate limit.
func (p *Plan) replanForShares(now time.Time, of *pool) {
	if of.hasItemShares() {
		p.replanForBatch(now, of)
	}
}

// takeItem removes an item that got a slot from its host's demand.
func (p *pool) takeItem(of itemDemand) {
	if of.customer != nil {
		of.customer.class.clock.Advance(of.served)
	}
	demand := p.demands[of.host]
	demand.Items--
	if len(demand.Shares) > 0 {
		demand.Shares[of.shareIndex].Items--
	}
	p.demands[of.host] = demand
}

// compareTags puts first the customer that has used least of its share, and then its most
// urgent demand.
func compareTags(a, b itemDemand) int { return cmp.Or(cmp.Compare(a.tag, b.tag), compareDue(a, b)) }

// compareDue puts the most urgent demand first.
func compareDue(a, b itemDemand) int {
	return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.host, b.host), cmp.Compare(a.share.Customer, b.share.Customer))
}

// compareSharePriorities puts more urgent priorities first.
func compareSharePriorities(a, b Share) int {
	return cmp.Or(cmp.Compare(a.CustomerPriority, b.CustomerPriority), cmp.Compare(a.Priority, b.Priority))
}

// compareBools puts false first.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// sortRevocable puts first the grants that are revoked first. While items have shares,
// those of the least urgent priorities come first, and then those of the customer that
// holds most slots: the items of a small job are due later than those of a large one that
// was submitted before, and would be stopped in its place.
func (s *Scheduler) sortRevocable(now time.Time, p *pool, revocable []*grantState) {
	if len(p.itemShares.classes) == 0 {
		slices.SortFunc(revocable, func(a, b *grantState) int { return compareRevocable(now, a, b) })
		return
	}
	ranks := s.itemRanks(now, p)
	slices.SortFunc(revocable, func(a, b *grantState) int {
		return cmp.Or(compareSharePriorities(b.Share, a.Share), cmp.Compare(ranks[b.ID], ranks[a.ID]), compareRevocable(now, a, b))
	})
}

// itemRanks returns for each grant of an item the number of grants of the same share that
// are to be kept rather than it.
func (s *Scheduler) itemRanks(now time.Time, p *pool) map[GrantID]int {
	byShare := make(map[Share][]*grantState)
	for _, g := range s.grants {
		if g.Class == Batch && s.services[g.Replica.Service] == p {
			byShare[g.Share] = append(byShare[g.Share], g)
		}
	}
	ranks := make(map[GrantID]int)
	for _, held := range byShare {
		slices.SortFunc(held, func(a, b *grantState) int { return compareRevocable(now, b, a) })
		for rank, g := range held {
			ranks[g.ID] = rank
		}
	}
	return ranks
}
