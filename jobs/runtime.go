package jobs

import "time"

// runTimeWeight is the weight of the newest item in the mean run time.
const runTimeWeight = 0.1

// minWorkFraction is the least part of the mean run time that an unfinished item is
// expected to need.
const minWorkFraction = 0.1

// An item must be able to finish this long before it is due: finishMarginFraction of
// its expected work, since run times vary, and finishMargin to record the result.
const (
	finishMarginFraction = 0.25
	finishMargin         = 300 * time.Millisecond
)

// routeKey identifies the route of a job.
type routeKey struct{ host, prefix string }

func (h *Head) route() routeKey { return routeKey{h.RouteHost, h.RoutePrefix} }

// recordRunTime adds the run time of a finished item, over all its runs, to the mean
// of its route. m.mu must be held.
func (m *Manager) recordRunTime(route routeKey, d time.Duration) {
	mean, ok := m.meanRunTimes[route]
	if !ok {
		mean = d
	}
	m.meanRunTimes[route] = mean + time.Duration(runTimeWeight*float64(d-mean))
}

// learnRunTime takes over the mean run time that another host recorded, unless this
// host has one. m.mu must be held.
func (m *Manager) learnRunTime(head *Head) {
	if _, ok := m.meanRunTimes[head.route()]; !ok && head.MeanRunMs > 0 {
		m.meanRunTimes[head.route()] = time.Duration(head.MeanRunMs) * time.Millisecond
	}
}

// meanRunTime returns the mean run time of a route's items, or 0 if it is unknown.
func (m *Manager) meanRunTime(route routeKey) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meanRunTimes[route]
}

// work returns how much longer an item is expected to run, or 0 if that is not
// known. m.mu must be held.
func (m *Manager) work(it *item) time.Duration {
	mean := m.meanRunTimes[it.job.head.route()]
	return max(mean-it.ran, time.Duration(minWorkFraction*float64(mean)))
}

// timeLeft returns the time until an item is due, by which items are ordered. m.mu
// must be held.
func (m *Manager) timeLeft(it *item, now time.Time) time.Duration {
	return usefulTimeLeft(it.job.head.due().Sub(now), m.work(it))
}

// usefulTimeLeft returns the time left for an item that is expected to run for work.
// It is negative if the item can't finish in time any more, even if it ran at once:
// in a backlog such items would take the slots of those that can, until these can't
// either.
func usefulTimeLeft(left, work time.Duration) time.Duration {
	if work == 0 {
		return left
	}
	margin := finishMargin + time.Duration(finishMarginFraction*float64(work))
	if slack := left - work - margin; slack < 0 {
		return slack
	}
	return left
}
