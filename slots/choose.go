package slots

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// countReady returns the number of replicas that accept requests and may run this
// one.
func (p *pool) countReady(args *AcquireArgs) int {
	n := 0
	for _, r := range p.replicas {
		if r.Ready && args.allows(r) {
			n++
		}
	}
	return n
}

// countSuspect returns the number of replicas that may run this request but get none or
// one at a time, since several failed there.
func (p *pool) countSuspect(args *AcquireArgs) int {
	n := 0
	for _, r := range p.replicas {
		if r.Ready && args.allows(r) && r.suspect() {
			n++
		}
	}
	return n
}

// choose returns the replica with the lowest load among those with a free slot
// that are allowed, or nil if there is none. Ties are broken at random.
func (p *pool) choose(now time.Time, class Class, allowed func(*replicaState) bool, rng *rand.Rand) *replicaState {
	var best *replicaState
	ties := 0
	for _, r := range p.replicas {
		if !r.available(now) || !allowed(r) {
			continue
		}
		switch c := compareLoad(now, class, r, best); {
		case c < 0:
			best, ties = r, 1
		case c == 0:
			ties++
			if rng.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// compareLoad orders replicas by load, with suspect ones last. Any replica
// comes before nil.
func compareLoad(now time.Time, class Class, a, b *replicaState) int {
	switch {
	case b == nil:
		return -1
	case a.suspect() != b.suspect():
		if a.suspect() {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.load(now, class), b.load(now, class))
}

// load is the sum of the error rate and the fraction in use of the slots or of the rate
// limit, whichever is greater. Replicas with a rate limit have slots to spare but few
// requests a second. They suit batch items, which hold a slot for seconds, and what
// online requests leave of them is saved for bursts until the burst is full.
func (r *replicaState) load(now time.Time, class Class) float64 {
	rateUsed := r.budget.used(now)
	load := max(float64(r.used)/float64(r.Slots), rateUsed) + r.currentErrorRate(now)
	switch {
	case !r.budget.limited(), class == Online && rateUsed == 0:
		return load
	case class == Batch:
		return load - rateLimitPreference
	}
	return load + rateLimitPreference
}

// available reports whether the replica has a slot to grant.
func (r *replicaState) available(now time.Time) bool {
	return r.hasFreeSlot(now) && r.budget.allows(now, 1)
}

// hasFreeSlot reports whether the replica has a slot to grant if its rate limit allows
// it.
func (r *replicaState) hasFreeSlot(now time.Time) bool {
	limit := r.Slots
	switch {
	case !r.suspect():
	case !r.unreached:
		limit = 1
	case r.trials > 0:
		limit = 0
	}
	return r.Ready && r.used < limit && !now.Before(r.avoidUntil)
}
