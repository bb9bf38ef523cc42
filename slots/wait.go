package slots

import (
	"slices"
	"time"
)

// retryAfter returns a random delay between the expected wait and the longest
// delay that callers accept. Refusals come in bursts, and a second refusal in
// the same burst is final, so retries are spread.
func (s *Scheduler) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(s.rng.Float64()*float64(maxRetryAfter-base))
}

// expectedWait returns when a new waiter would get a slot, assuming that batch
// items which may be stopped release theirs at once and online requests theirs
// after the average service time. Only replicas that may run the request count,
// and the waiters that may take one of them.
func (s *Scheduler) expectedWait(now time.Time, p *pool, args *AcquireArgs) time.Duration {
	f := newForecast(p.speed.active(now), s.expectedStarts(now, p, args))
	return f.waitBehind(p.countAhead(now, args), p.serviceTime)
}

// forecast holds when slots are expected to become free.
type forecast struct {
	// atOnce is the number of slots that batch items release at once, and waits holds
	// the waits for the others, the shortest one first.
	atOnce int
	waits  []time.Duration
	// uneven reports that replicas use their slots for different times. starts holds the
	// slots of waits then.
	uneven bool
	starts []expectedStart
}

func newForecast(uneven bool, starts []expectedStart) forecast {
	f := forecast{uneven: uneven}
	for _, start := range starts {
		if start.atOnce {
			f.atOnce++
			continue
		}
		f.waits = append(f.waits, start.wait)
		f.starts = append(f.starts, start)
	}
	slices.Sort(f.waits)
	return f
}

// waitBehind returns the expected wait behind a number of waiters, with slots used for
// serviceTime each.
func (f *forecast) waitBehind(ahead int, serviceTime time.Duration) time.Duration {
	ahead -= f.atOnce
	if ahead < 0 {
		return 0
	}
	if len(f.waits) == 0 {
		return maxRetryAfter
	}
	if f.uneven {
		return startOf(f.starts, ahead)
	}
	rounds := time.Duration(ahead/len(f.waits)) * serviceTime
	return rounds + f.waits[ahead%len(f.waits)]
}

// expectedStart is a slot that is expected to become free, atOnce or after a wait.
type expectedStart struct {
	atOnce bool
	wait   time.Duration
	// uses is how long a request uses the slot then.
	uses time.Duration
}

// expectedStarts returns the slots that become free within one average service time.
// Those of a replica with a rate limit wait until the limit allows a request.
func (s *Scheduler) expectedStarts(now time.Time, p *pool, args *AcquireArgs) []expectedStart {
	var starts []expectedStart
	limited := make(map[*replicaState][]time.Duration)
	for _, g := range s.grants {
		if g.reclaimed || s.services[g.Replica.Service] != p || !args.matchesVersion(g.replicaState) || g.Class == Batch && g.protected(now) {
			continue
		}
		start := expectedStart{atOnce: g.Class == Batch, uses: g.uses(p.serviceTime)}
		if g.Class == Online {
			start.wait = max(start.uses-now.Sub(g.Since), 0)
		}
		if g.replicaState.budget.limited() {
			limited[g.replicaState] = append(limited[g.replicaState], start.wait)
			continue
		}
		starts = append(starts, start)
	}
	for _, r := range p.replicas {
		if r.budget.limited() && r.Ready && args.allows(r) {
			starts = append(starts, r.rateLimitedStarts(now, limited[r], p.serviceTime)...)
		}
	}
	return starts
}

// rateLimitedStarts returns the starts that the rate limit allows in the free slots, and
// in those that become free after slotWaits, within a time.
func (r *replicaState) rateLimitedStarts(now time.Time, slotWaits []time.Duration, within time.Duration) []expectedStart {
	slices.Sort(slotWaits)
	free := max(r.Slots-r.used, 0)
	var starts []expectedStart
	for i := range free + len(slotWaits) {
		var wait time.Duration
		if i >= free {
			wait = slotWaits[i-free]
		}
		wait = max(wait, r.budget.wait(now, i+1))
		if wait > within {
			break
		}
		starts = append(starts, expectedStart{atOnce: wait == 0, wait: wait, uses: within})
	}
	return starts
}

// hasWaiterFor reports whether a waiter may be sent to the replica.
func (s *Scheduler) hasWaiterFor(now time.Time, o occupancy, p *pool, r *replicaState) bool {
	return slices.ContainsFunc(p.queue, func(w *Waiter) bool { return s.placement(now, o, &w.args)(r) && p.beginsInTime(now, r, w.firstEventBy) })
}

// countAhead returns the number of waiters that may get the slots for which a new
// waiter would wait. Pinned requests come first.
func (p *pool) countAhead(now time.Time, args *AcquireArgs) int {
	if !args.Pinned {
		return p.countAheadByShare(now, args)
	}
	n := 0
	for _, w := range p.queue {
		if w.args.Pinned && w.args.SoftwareVersion == args.SoftwareVersion {
			n++
		}
	}
	return n
}
