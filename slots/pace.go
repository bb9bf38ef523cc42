package slots

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// newReplicaAge is the age up to which a replica that a broker doesn't know counts as
	// just started.
	newReplicaAge = 15 * time.Second
	// initialPace is the number of slots that a replica gets at first.
	initialPace = 2
	// maxPaceTime is how long a pace lasts after its begin or its last reduction if
	// responses don't raise it: a replica without work shows nothing.
	maxPaceTime = 10 * time.Second
	// paceReductionInterval is the least time between two reductions: the requests that
	// run beside each other show the same overload.
	paceReductionInterval = 500 * time.Millisecond
	// carefulGrowth is the number of slots that a response in time adds after a late one.
	carefulGrowth = 0.5
	// flapWindow is the time within which a second recovery counts as flapping.
	flapWindow = 30 * time.Second
	// lateFirstEvent and lateEvents are the multiples of the expected time from which on
	// the first event, and the time between events, are late. Replicas of one service
	// differ by 1.6, and prompts differ in length.
	lateFirstEvent = 2.0
	lateEvents     = 2.0
	// minLateFirstEvent is the shortest time to the first event that counts as late.
	minLateFirstEvent = 100 * time.Millisecond
)

// PaceReason says why a replica's pace is limited.
type PaceReason string

// Values of PaceReason.
const (
	// PaceNew means that the replica has just started, PaceRecovered that it responds
	// again after failures.
	PaceNew       PaceReason = "new"
	PaceRecovered PaceReason = "recovered"
)

// paceState is the number of slots that a replica gets while it is not known how much
// work it can take. It grows by one with each response in time, which doubles it with each
// round of responses, until one is late. Late ones halve it, and from then on it grows by
// carefulGrowth with each response. It is not safe for concurrent use. The zero value limits nothing.
type paceState struct {
	// ageChecked is set once the replica was checked for having just started.
	ageChecked bool
	// limit is the number of slots; zero means all.
	limit   float64
	reason  PaceReason
	beganAt time.Time
	// reducedAt is when the limit was last reduced, and careful is set since then or
	// while the replica flaps.
	reducedAt time.Time
	careful   bool
}

// limited reports whether the pace is limited.
func (p *paceState) limited() bool { return p.limit > 0 }

// begin limits the pace.
func (p *paceState) begin(now time.Time, reason PaceReason, used int) {
	flaps := !p.beganAt.IsZero() && now.Sub(p.beganAt) < flapWindow
	*p = paceState{ageChecked: true, limit: float64(max(initialPace, used)), reason: reason, beganAt: now, careful: flaps}
}

// end removes the limit.
func (p *paceState) end() { p.limit = 0 }

// expire ends a pace that no response has raised for long.
func (p *paceState) expire(now time.Time) (ended bool) {
	if !p.limited() || now.Sub(p.beganAt) < maxPaceTime || now.Sub(p.reducedAt) < maxPaceTime {
		return false
	}
	p.end()
	return true
}

// raise raises the limit after a response in time, unless the replica ran less than
// half of what the limit allows: that shows nothing about more.
func (p *paceState) raise(ran, slots int) (ended bool) {
	if !p.limited() || float64(ran) < p.limit/2 {
		return false
	}
	if p.careful {
		p.limit += carefulGrowth
	} else {
		p.limit++
	}
	if p.limit < float64(slots) {
		return false
	}
	p.end()
	return true
}

// reducedLately reports whether the replica has just shown to be overloaded.
func (p *paceState) reducedLately(now time.Time) bool {
	return p.limited() && now.Sub(p.reducedAt) < paceReductionInterval
}

// reduce halves the limit after a late response, unless it was reduced lately.
func (p *paceState) reduce(now time.Time) (reduced bool) {
	if !p.limited() || p.reducedLately(now) {
		return false
	}
	p.limit, p.reducedAt, p.careful = max(p.limit/2, 1), now, true
	return true
}

// allows reports whether the replica may run one more request beside those that use its
// slots, with a number of slots left free.
func (p *paceState) allows(used, reserve int) bool {
	return !p.limited() || used < max(int(p.limit)-reserve, 1)
}

// PaceChange is a change of the pace of a replica, for logs.
type PaceChange struct {
	Replica replica.Replica
	Reason  PaceReason
	// Slots is the number of slots that the replica gets now, and Reduced reports that
	// they were reduced.
	Slots   int
	Reduced bool
	// After is the time since the pace began.
	After time.Duration
}

// recordPaceChange records a change, for logs.
func (s *Scheduler) recordPaceChange(now time.Time, r *replicaState, reduced bool) {
	n := r.Slots
	if r.pace.limited() {
		n = int(r.pace.limit)
	}
	s.paceChanges = append(s.paceChanges, PaceChange{
		Replica: r.Replica, Reason: r.pace.reason, Slots: n, Reduced: reduced, After: now.Sub(r.pace.beganAt),
	})
}

// updatePaces begins the paces of replicas that have just started and ends old ones.
func (s *Scheduler) updatePaces(now time.Time, p *pool) {
	if !p.speed.active(now) {
		return
	}
	for _, r := range p.replicas {
		switch {
		case !r.pace.ageChecked:
			r.pace.ageChecked = true
			if r.Born > 0 && r.Slots > initialPace && now.Sub(time.UnixMilli(r.Born)) < newReplicaAge {
				r.pace.begin(now, PaceNew, r.used)
				s.recordPaceChange(now, r, false)
			}
		case r.pace.expire(now):
			s.recordPaceChange(now, r, false)
		}
	}
}

// observePace applies whether a response was in time, on a replica that ran a number of
// requests.
func (s *Scheduler) observePace(now time.Time, r *replicaState, late bool, ran int) {
	switch {
	case !r.pace.limited():
	case late:
		if r.pace.reduce(now) {
			s.recordPaceChange(now, r, true)
		}
	case r.pace.raise(ran, r.Slots):
		s.recordPaceChange(now, r, false)
	}
}

// observeHead applies the time to the headers of a response. A slowness that the replica
// reports is no sign of too much work.
func (s *Scheduler) observeHead(now time.Time, p *pool, r *replicaState, l replica.Load) {
	if l.HeadAfter > 0 {
		s.observePace(now, r, p.speed.isLateFirstEvent(l.HeadAfter, l.Slowness), l.Running)
	}
}

// observeRunPace applies the times of a response that has ended.
func (s *Scheduler) observeRunPace(now time.Time, p *pool, g *grantState, run Run) {
	late := p.speed.isLateFirstEvent(run.FirstEvent, g.reported)
	per, ok := run.perEvent()
	if ok && p.speed.perEvent.n >= minLearned {
		late = late || per.Seconds() > lateEvents*p.speed.perEvent.value*max(g.reported, 1)
	}
	if ok || late {
		s.observePace(now, g.replicaState, late, g.beside+1)
	}
}

// isLateFirstEvent reports whether a time to the first event is long for a replica that
// reports a slowness.
func (s *serviceSpeed) isLateFirstEvent(after time.Duration, reported float64) bool {
	expected := time.Duration(lateFirstEvent * max(reported, 1) * float64(s.firstEventTime()))
	return after > max(expected, minLateFirstEvent)
}

// recordPaceOutcome applies the outcome of a request. The replica was a suspect before it
// or not.
func (s *Scheduler) recordPaceOutcome(now time.Time, r *replicaState, outcome Outcome, wasSuspect bool) {
	if !s.pool(r.Service).speed.active(now) {
		return
	}
	switch {
	case wasSuspect && !r.suspect():
		r.pace.begin(now, PaceRecovered, r.used)
		s.recordPaceChange(now, r, false)
	case outcome == Failed, outcome == Errored, outcome == Unreachable, outcome == Full:
		s.observePace(now, r, true, r.used)
	}
}

// enforcesPaces reports whether slots beyond the paces of replicas stay unused. They
// don't if half or more of the ready replicas have begun a pace lately: the others could
// not serve the requests that would have to wait.
func (p *pool) enforcesPaces(now time.Time) bool {
	ready, begun := 0, 0
	for _, r := range p.replicas {
		if !r.Ready {
			continue
		}
		ready++
		if r.pace.limited() || !r.pace.beganAt.IsZero() && now.Sub(r.pace.beganAt) < maxPaceTime {
			begun++
		}
	}
	return 2*begun < ready
}

// countPaced returns the number of replicas whose pace is limited.
func (s *Scheduler) countPaced() int {
	n := 0
	for _, p := range s.services {
		for _, r := range p.replicas {
			if r.pace.limited() {
				n++
			}
		}
	}
	return n
}
