package slots

import (
	"math"
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// slownessHalfLife is the time in which the weight of a reported slowness halves.
	// Replicas are slowed down by their neighbours for about 600 ms at a time.
	slownessHalfLife = 300 * time.Millisecond
	// meanHalfLife is the time in which the mean of the reported slowness follows
	// halfway, and meanRetention that in which it goes halfway back to normal without
	// reports.
	meanHalfLife  = 5 * time.Second
	meanRetention = 10 * time.Second
	// residualWeight is the weight of the newest response in what responses show of a
	// replica beyond the slowness that it reports, and scaleWeight that in the times of
	// the service.
	residualWeight = 0.1
	scaleWeight    = 0.02
	// priorWeight is the number of responses that the assumption of a replica like the
	// others counts for.
	priorWeight = 2
	// minSlowness and maxSlowness bound estimates.
	minSlowness, maxSlowness = 0.2, 20
	// minSpeedEvents is the number of events from which on a response shows the time
	// between events.
	minSpeedEvents = 4
	// stepGrowth is the fraction by which each request beside it slows a request down.
	stepGrowth = 0.005
	// initialItemTime is assumed until minLearned items have ended.
	initialItemTime = 5 * time.Second
	minLearned      = 10
	// speedRetention is how long a service's replicas count as reporting their slowness
	// without another report.
	speedRetention = time.Minute
)

// Run is what a host observed of a response.
type Run struct {
	// FirstEvent is the time from the request to the first event.
	FirstEvent time.Duration
	// Events is the number of events after the first one, and Duration the time in which
	// they came.
	Events   int
	Duration time.Duration
}

// RunTimer measures a Run.
type RunTimer struct {
	// Began is when the request was sent.
	Began time.Time

	first, last time.Time
	// firstEvents is the number of events that arrived at first.
	firstEvents, events int
}

// Record records that a number of events have arrived by now in all.
func (t *RunTimer) Record(now time.Time, events int) {
	if events <= t.events {
		return
	}
	if t.events == 0 {
		t.first, t.firstEvents = now, events
	}
	t.events, t.last = events, now
}

// Run returns what was measured so far.
func (t *RunTimer) Run() Run {
	if t.events == 0 {
		return Run{}
	}
	return Run{FirstEvent: t.first.Sub(t.Began), Events: t.events - t.firstEvents, Duration: t.last.Sub(t.first)}
}

// perEvent returns the time between two events, or false if the run shows none.
func (r Run) perEvent() (time.Duration, bool) {
	if r.Events < minSpeedEvents || r.Duration <= 0 {
		return 0, false
	}
	return r.Duration / time.Duration(r.Events), true
}

// average is a moving average that starts with the plain mean.
type average struct {
	value float64
	n     int
}

// add adds a sample with at least the given weight.
func (a *average) add(sample, weight float64) {
	a.n++
	a.value += max(weight, 1/float64(a.n)) * (sample - a.value)
}

// serviceSpeed holds the times of a service on a replica of normal speed.
type serviceSpeed struct {
	// reportedAt is when a replica last reported its slowness.
	reportedAt time.Time
	// perEvent is the time between events and firstEvent that to the first one, in
	// seconds.
	perEvent, firstEvent average
	// itemTime is how long a batch item uses a slot, in seconds.
	itemTime average
}

// active reports whether the service's replicas report how slow they are. Otherwise
// all replicas count as equal.
func (s *serviceSpeed) active(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < speedRetention
}

// itemDuration returns how long a batch item uses a slot of a replica of normal speed.
func (s *serviceSpeed) itemDuration() time.Duration {
	if s.itemTime.n < minLearned {
		return initialItemTime
	}
	return time.Duration(s.itemTime.value * float64(time.Second))
}

// speedEstimate is how long work takes on a replica, relative to the other replicas of
// its service. The zero value is a replica like the others.
type speedEstimate struct {
	// last is the last reported slowness, at is when it was reported, and mean follows
	// the reports.
	last, mean float64
	at         time.Time
	// residual is what responses show beyond the reports, after samples of them.
	residual float64
	samples  int
	// running is the number of requests that ran beside each other there at that time.
	running int
}

// observe applies a report. An older one than the last changes nothing.
func (e *speedEstimate) observe(l replica.Load) bool {
	if !l.Plausible() || l.At.Before(e.at) {
		return false
	}
	mean, elapsed := 1.0, time.Second
	if !e.at.IsZero() {
		mean, elapsed = e.meanAt(l.At), l.At.Sub(e.at)
	}
	e.mean = mean + (l.Slowness-mean)*(1-remainingFraction(elapsed, meanHalfLife))
	e.last, e.at, e.running = l.Slowness, l.At, l.Running
	return true
}

// remainingFraction returns the fraction that is left after a time with the given half-life.
func remainingFraction(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

// meanAt returns the mean of the reported slowness, which goes back to normal without
// reports.
func (e *speedEstimate) meanAt(now time.Time) float64 {
	if e.at.IsZero() {
		return 1
	}
	return 1 + (e.mean-1)*remainingFraction(now.Sub(e.at), meanRetention)
}

// reported returns the reported slowness that is expected now.
func (e *speedEstimate) reported(now time.Time) float64 {
	mean := e.meanAt(now)
	if e.at.IsZero() {
		return mean
	}
	return mean + (e.last-mean)*remainingFraction(now.Sub(e.at), slownessHalfLife)
}

// reportedOver returns the mean of the reported slowness that is expected from now on
// for a time.
func (e *speedEstimate) reportedOver(now time.Time, d time.Duration) float64 {
	mean := e.meanAt(now)
	if d <= 0 {
		return e.reported(now)
	}
	decay := slownessHalfLife.Seconds() / math.Ln2 / d.Seconds() * (1 - remainingFraction(d, slownessHalfLife))
	return mean + (e.reported(now)-mean)*decay
}

// beyondReports returns what responses show beyond the reports.
func (e *speedEstimate) beyondReports() float64 {
	if e.samples == 0 {
		return 1
	}
	return e.residual
}

// now returns the slowness at this moment.
func (e *speedEstimate) now(now time.Time) float64 {
	return min(max(e.reported(now)*e.beyondReports(), minSlowness), maxSlowness)
}

// over returns the mean slowness from now on for a time.
func (e *speedEstimate) over(now time.Time, d time.Duration) float64 {
	return min(max(e.reportedOver(now, d)*e.beyondReports(), minSlowness), maxSlowness)
}

// learn applies a sample of the time that work took on the replica, relative to what it
// takes on the service's replicas by their reports.
func (e *speedEstimate) learn(sample float64) {
	if e.samples == 0 {
		e.residual = 1
	}
	e.samples++
	weight := max(residualWeight, 1/float64(e.samples+priorWeight))
	e.residual += weight * (min(max(sample, minSlowness), maxSlowness) - e.residual)
}

// learnRun learns from a response that began at a time when the given slowness was
// reported for its duration, with other requests beside it.
func (s *serviceSpeed) learnRun(e *speedEstimate, run Run, reported float64, beside int) {
	contention := 1 + stepGrowth*float64(max(beside, 0))
	if per, ok := run.perEvent(); ok {
		normal := per.Seconds() / reported / contention
		if s.perEvent.n > 0 {
			e.learn(normal / s.perEvent.value)
		}
		s.perEvent.add(normal, scaleWeight)
	}
	if run.FirstEvent > 0 {
		s.firstEvent.add(run.FirstEvent.Seconds()/reported/e.beyondReports(), scaleWeight)
	}
}
