package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// itemCapacityTime is the time constant of the average number of slots for items. It
	// is longer than a burst of requests, in which items get hardly any.
	itemCapacityTime = 6 * time.Second
	// claimMargin is how long before it is due an item within its customer's share is to
	// be done, in case requests take more slots than lately.
	claimMargin = 4 * time.Second
	// claimCapacityFraction is the fraction of the average capacity that items with a claim
	// are assumed to get while they wait. Bursts of requests and stopped items may take the
	// rest.
	claimCapacityFraction = 0.7
	// maxClaimDemands is the largest number of demands for which claims are calculated. The
	// calculation takes longer than the order of shares, and among more demands most items
	// with a claim can't wait anyway.
	maxClaimDemands = 64
)

// itemCapacity is the moving average of the number of slots that requests leave to items.
type itemCapacity struct {
	value float64
	at    time.Time
}

// updateItemCapacity updates the moving average of the number of slots that items may use.
// It does nothing if no host states shares.
func (s *Scheduler) updateItemCapacity(now time.Time, p *pool) {
	if !p.hasItemShares() {
		return
	}
	n := 0
	for _, r := range p.replicas {
		if r.Ready {
			n += p.batchLimit(now, r)
		}
	}
	for _, g := range s.grants {
		if g.Class == Online && s.services[g.Replica.Service] == p && g.replicaState.Ready {
			n--
		}
	}
	c := &p.itemCapacity
	weight := 1.0
	if !c.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(c.at).Seconds()/itemCapacityTime.Seconds())
	}
	c.value += weight * (max(float64(n), 1) - c.value)
	c.at = now
}

// chooseByClaims returns the demand that gets the next slot, of those of equal priorities
// that are not late. The items that are done in time if slots are granted in the order of
// shares have a claim. Others, such as most of a large job, get slots in order of their due
// times for as long as those with a claim can wait: a strict order by shares would give up
// items that could all have been in time.
func chooseByClaims(now time.Time, candidates []itemDemand, capacity float64) itemDemand {
	if len(candidates) > maxClaimDemands {
		return slices.MinFunc(candidates, compareTags)
	}
	slices.SortFunc(candidates, compareDue)
	claims := itemClaims(now, candidates, capacity)
	if slices.Max(claims) > 0 && claimsCanWait(now, candidates, claims, claimCapacityFraction*capacity) {
		return candidates[0]
	}
	return slices.MinFunc(candidates, compareTags)
}

// cost returns the slot time of one item in seconds.
func (d *itemDemand) cost() float64 {
	if d.customer == nil {
		return initialItemTime.Seconds()
	}
	return d.customer.cost()
}

// latestStart returns the number of seconds from now until an item has to start.
func (d *itemDemand) latestStart(now time.Time) float64 {
	return (d.due.Sub(now) - claimMargin).Seconds() - d.cost()
}

// claimsCanWait reports whether the items with a claim are still done in time, in order of
// their due times, if the first demand gets a slot before them.
func claimsCanWait(now time.Time, candidates []itemDemand, claims []int, capacity float64) bool {
	work := candidates[0].cost()
	for i := range candidates {
		if claims[i] == 0 {
			continue
		}
		d := &candidates[i]
		work += float64(claims[i]) * d.cost()
		if (work-d.cost())/capacity > d.latestStart(now) {
			return false
		}
	}
	return true
}

// itemClaims returns the number of items of each demand that start in time if slots are
// granted in the order of shares. The demands are in order of their due times.
func itemClaims(now time.Time, candidates []itemDemand, capacity float64) []int {
	queued := make(map[*customerShare]float64)
	firstTag := make([]float64, len(candidates))
	var work sharedWork
	for i := range candidates {
		d := &candidates[i]
		firstTag[i] = d.tag + queued[d.customer]
		all := float64(d.items) * d.cost()
		queued[d.customer] += all
		work.add(firstTag[i], firstTag[i]+all)
	}
	work.sort()
	claims := make([]int, len(candidates))
	for i := range candidates {
		d := &candidates[i]
		if left := d.latestStart(now); left >= 0 {
			reached := work.reaches(left * capacity)
			claims[i] = min(max(int((reached-firstTag[i])/d.cost()+1), 0), d.items)
		}
	}
	return claims
}

// sharedWork holds intervals of virtual time in which customers have work. All customers with
// work are served at the same rate.
type sharedWork struct{ edges []workEdge }

// workEdge is a virtual time at which an interval begins or ends.
type workEdge struct {
	at float64
	// change is the change of the number of open intervals: 1 or -1.
	change float64
	// work is the slot time in seconds that is used up to at, and active the number of
	// intervals that are open from then on. sort sets both.
	work   float64
	active float64
}

// add adds an interval.
func (w *sharedWork) add(from, to float64) {
	w.edges = append(w.edges, workEdge{at: from, change: 1}, workEdge{at: to, change: -1})
}

// sort sorts the edges and calculates the work up to each.
func (w *sharedWork) sort() {
	slices.SortFunc(w.edges, func(a, b workEdge) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	work, active, at := 0.0, 0.0, 0.0
	for i := range w.edges {
		e := &w.edges[i]
		work += active * (e.at - at)
		active += e.change
		at = e.at
		e.work, e.active = work, active
	}
}

// reaches returns the virtual time at which an amount of work is done.
func (w *sharedWork) reaches(work float64) float64 {
	i, _ := slices.BinarySearchFunc(w.edges, work, func(e workEdge, work float64) int {
		if e.work <= work {
			return -1
		}
		return 1
	})
	if i == 0 {
		return 0
	}
	e := w.edges[i-1]
	if e.active <= 0 {
		return math.Inf(1)
	}
	return e.at + (work-e.work)/e.active
}
