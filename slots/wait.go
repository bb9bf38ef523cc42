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
	ahead := p.countAhead(args)
	var waits []time.Duration
	var starts []expectedStart
	for _, start := range s.expectedStarts(now, p, args) {
		if start.atOnce {
			ahead--
			continue
		}
		waits = append(waits, start.wait)
		starts = append(starts, start)
	}
	if ahead < 0 {
		return 0
	}
	if len(starts) == 0 {
		return maxRetryAfter
	}
	if p.speed.active(now) {
		return startOf(starts, ahead)
	}
	slices.Sort(waits)
	rounds := time.Duration(ahead/len(waits)) * p.serviceTime
	return rounds + waits[ahead%len(waits)]
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
		if s.services[g.Replica.Service] != p || !args.matchesVersion(g.replicaState) || g.Class == Batch && g.protected(now) {
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
			free := make([]time.Duration, max(r.Slots-r.used, 0))
			starts = append(starts, r.rateLimitedStarts(now, append(free, limited[r]...), p.serviceTime)...)
		}
	}
	return starts
}

// rateLimitedStarts returns the starts that the rate limit allows in the slots that
// become free after slotWaits, within a time.
func (r *replicaState) rateLimitedStarts(now time.Time, slotWaits []time.Duration, within time.Duration) []expectedStart {
	slices.Sort(slotWaits)
	var starts []expectedStart
	for i, wait := range slotWaits {
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
	return slices.ContainsFunc(p.queue, func(w *Waiter) bool { return s.placement(now, o, &w.args)(r) && p.begins(now, r, w.firstEventBy) })
}

// countAhead returns the number of waiters that may get the slots for which a new
// waiter would wait. Pinned requests come first.
func (p *pool) countAhead(args *AcquireArgs) int {
	if !args.Pinned {
		return len(p.queue)
	}
	n := 0
	for _, w := range p.queue {
		if w.args.Pinned && w.args.SoftwareVersion == args.SoftwareVersion {
			n++
		}
	}
	return n
}
