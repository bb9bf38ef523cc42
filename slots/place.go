package slots

import (
	"math"
	"time"
)

const (
	// errorRateCost is the slowness that a replica counts as having in addition if all
	// requests fail there.
	errorRateCost = 4.0
	// itemMargin is what the time of a batch item is multiplied by to tell whether it is
	// done when due.
	itemMargin = 1.2
	// lastAttemptMargin is the time that must be left, when a request's wait ends, until
	// its first event is due, for the request to be expected to ask again.
	lastAttemptMargin = 100 * time.Millisecond
	// lastResortMargin is how long before its latest start a request takes any slot.
	lastResortMargin = 10 * time.Millisecond
	// maxPaceWait is how long a request waits for a slot within the paces of replicas
	// while others are free. A longer wait would make requests late for replicas that may
	// turn out to be fast enough.
	maxPaceWait = 50 * time.Millisecond
	// initialFirstEventTime is assumed until minLearned responses have begun.
	initialFirstEventTime = 45 * time.Millisecond
	// tooSlowCost is more than any cost of a replica where an item is done when due.
	tooSlowCost = 1000
	// maxExpectedWait bounds the expected wait that is calculated: nothing waits longer.
	maxExpectedWait = time.Minute
)

// firstEventTime returns the time to the first event on a replica of normal speed.
func (s *serviceSpeed) firstEventTime() time.Duration {
	if s.firstEvent.n < minLearned {
		return initialFirstEventTime
	}
	return time.Duration(s.firstEvent.value * float64(time.Second))
}

// firstEventBy returns when the first event is due; zero means at no certain time.
func (a *AcquireArgs) firstEventBy(now time.Time) time.Time {
	if a.FirstEventWithin <= 0 {
		return time.Time{}
	}
	return now.Add(a.FirstEventWithin)
}

// isLastAttempt reports whether the request is not expected to ask for a slot again if it
// is refused this time.
func (a *AcquireArgs) isLastAttempt() bool {
	return a.FirstEventWithin <= 0 || a.FirstEventWithin-a.MaxWait < lastAttemptMargin
}

// beginsInTime reports whether a request that gets a slot of the replica now has its first
// event when it is due.
func (p *pool) beginsInTime(now time.Time, r *replicaState, firstEventBy time.Time) bool {
	if firstEventBy.IsZero() || !p.speed.active(now) {
		return true
	}
	d := time.Duration(float64(p.speed.firstEventTime()) * r.speed.now(now))
	return !now.Add(d).After(firstEventBy)
}

// chooseOnline returns the replica for an online request, or nil: without reports of
// slowness the least loaded one, otherwise the one where it is expected to end first
// among those where its first event comes when it is due.
func (s *Scheduler) chooseOnline(now time.Time, p *pool, allowed func(*replicaState) bool, firstEventBy time.Time) *replicaState {
	if !p.speed.active(now) {
		return p.choose(now, Online, allowed, s.rng)
	}
	inTime := func(r *replicaState) bool { return allowed(r) && p.beginsInTime(now, r, firstEventBy) }
	target := p.chooseLeast(now, p.onlineCost(now), func(r *replicaState) bool { return inTime(r) && r.pace.allows(r.used, 0) })
	if target == nil && !p.enforcesPaces(now) {
		target = p.chooseLeast(now, p.onlineCost(now), inTime)
	}
	return target
}

// chooseAny returns the replica for a request that will not wait any longer, or nil. Its
// first event may be late, and the replica's pace is exceeded unless it has shown to be
// overloaded.
func (s *Scheduler) chooseAny(now time.Time, p *pool, allowed func(*replicaState) bool) *replicaState {
	if !p.speed.active(now) {
		return nil
	}
	target := p.chooseLeast(now, p.onlineCost(now), func(r *replicaState) bool { return allowed(r) && r.pace.allows(r.used, 0) })
	if target == nil {
		enforcesPaces := p.enforcesPaces(now)
		target = p.chooseLeast(now, p.onlineCost(now), func(r *replicaState) bool {
			return allowed(r) && (!enforcesPaces || !r.pace.reducedLately(now))
		})
	}
	return target
}

// chooseForWaiter returns the replica for a request that waits, or nil. At the end of its
// wait it takes any.
func (s *Scheduler) chooseForWaiter(now time.Time, p *pool, o occupancy, w *Waiter, plan *Plan) *replicaState {
	allowed := s.placement(now, o, &w.args)
	target := s.chooseOnline(now, p, allowed, w.firstEventBy)
	if target != nil || !p.speed.active(now) || !w.args.isLastAttempt() {
		return target
	}
	if target := s.chooseBeyondPace(now, p, w, allowed, plan); target != nil {
		return target
	}
	slow := s.chooseAny(now, p, allowed)
	lastResortAt := w.startBy.Add(-lastResortMargin)
	if slow == nil || !now.Before(lastResortAt) {
		return slow
	}
	plan.replanAt(lastResortAt)
	return nil
}

// chooseBeyondPace returns the replica for a request that has waited maxPaceWait because
// of the paces of replicas that were never late, or nil.
func (s *Scheduler) chooseBeyondPace(now time.Time, p *pool, w *Waiter, allowed func(*replicaState) bool, plan *Plan) *replicaState {
	target := p.chooseLeast(now, p.onlineCost(now), func(r *replicaState) bool {
		return allowed(r) && p.beginsInTime(now, r, w.firstEventBy) && (!r.pace.limited() || !r.pace.careful)
	})
	at := w.startBy.Add(maxPaceWait - w.args.MaxWait)
	if target == nil || !now.Before(at) {
		return target
	}
	plan.replanAt(at)
	return nil
}

// lastResort returns the replica for a request that would be refused, or nil. heldBack is
// the number of replicas that it may get if this was not its last attempt.
func (s *Scheduler) lastResort(now time.Time, p *pool, o occupancy, args *AcquireArgs) (target *replicaState, heldBack int) {
	if !p.speed.active(now) {
		return nil, 0
	}
	allowed := s.placement(now, o, args)
	if args.isLastAttempt() {
		return s.chooseAny(now, p, allowed), 0
	}
	for _, r := range p.replicas {
		if r.available(now) && allowed(r) {
			heldBack++
		}
	}
	return nil, heldBack
}

// onlineCost returns the function by which replicas are compared for online requests:
// the time that a request takes there, where each used slot weighs so that replicas are
// used in proportion to their speed.
func (p *pool) onlineCost(now time.Time) func(*replicaState) float64 {
	return func(r *replicaState) float64 {
		errorRate := r.currentErrorRate(now)
		load := max(1+r.load(now, Online)-errorRate, 0)
		return load*r.speed.over(now, p.serviceTime) + errorRateCost*errorRate
	}
}

// chooseLeast returns the available replica with the least cost, suspect ones last, or
// nil if none is allowed.
func (p *pool) chooseLeast(now time.Time, cost func(*replicaState) float64, allowed func(*replicaState) bool) *replicaState {
	var best *replicaState
	least := math.Inf(1)
	for _, r := range p.replicas {
		if !r.available(now) || !allowed(r) {
			continue
		}
		c := cost(r)
		if best == nil || !r.suspect() && best.suspect() || r.suspect() == best.suspect() && c < least {
			best, least = r, c
		}
	}
	return best
}

// chooseBatch returns the replica for a batch item, or nil.
func (s *Scheduler) chooseBatch(now time.Time, o occupancy, p *pool, due time.Time) *replicaState {
	allowed := func(r *replicaState) bool { return !o.isolated[r] && p.allowsBatch(now, r) }
	if !p.speed.active(now) {
		return p.choose(now, Batch, allowed, s.rng)
	}
	return p.chooseLeast(now, p.batchCost(now, due), func(r *replicaState) bool {
		return allowed(r) && r.used < p.batchLimit(now, r) && r.pace.allows(r.used, p.onlineReserve(now))
	})
}

// batchCost returns the function by which replicas are compared for batch items: the
// slowest comes first among those where the item is done when due, so that the others
// are free for requests, and the fastest first among the rest.
func (p *pool) batchCost(now, due time.Time) func(*replicaState) float64 {
	item := time.Duration(itemMargin * float64(p.speed.itemDuration()))
	left := due.Sub(now)
	return func(r *replicaState) float64 {
		errorRate := r.currentErrorRate(now)
		load := max(1+r.load(now, Batch)-errorRate, 0)
		slowness := r.speed.over(now, item)
		if left < 0 || time.Duration(slowness*float64(item)) <= left {
			return load/slowness + errorRateCost*errorRate
		}
		return tooSlowCost + load*slowness + errorRateCost*errorRate
	}
}

// uses returns how long an online request uses the slot of a grant.
func (g *grantState) uses(serviceTime time.Duration) time.Duration {
	if g.slowness == 0 {
		return serviceTime
	}
	return time.Duration(float64(serviceTime) * g.slowness)
}

// startOf returns when the n-th of the next requests starts, counted from 0, on slots
// that become free and are used again. It is at most maxExpectedWait.
func startOf(starts []expectedStart, n int) time.Duration {
	low, high := time.Duration(0), maxExpectedWait
	for high-low > time.Millisecond/10 {
		mid := (low + high) / 2
		if countStarts(starts, mid) > n {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// countStarts returns the number of requests that start within a time.
func countStarts(starts []expectedStart, within time.Duration) int {
	n := 0
	for _, s := range starts {
		if s.wait <= within {
			n += 1 + int((within-s.wait)/max(s.uses, time.Millisecond))
		}
	}
	return n
}
