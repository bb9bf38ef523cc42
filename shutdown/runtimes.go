package shutdown

import "time"

// runTimeWindow is the shortest time for which the run time of a request counts.
const runTimeWindow = time.Minute

// runTimes holds the longest time in which requests of each route were answered lately.
type runTimes struct {
	// present holds the times since began, and previous those of the window before.
	present, previous map[string]time.Duration
	began             time.Time
}

// rotate begins a new window if the present one has passed.
func (t *runTimes) rotate(now time.Time) {
	passed := now.Sub(t.began)
	if t.present != nil && passed < runTimeWindow {
		return
	}
	t.previous = t.present
	if passed >= 2*runTimeWindow {
		t.previous = nil
	}
	t.present, t.began = make(map[string]time.Duration), now
}

// record adds the time in which a request was answered.
func (t *runTimes) record(now time.Time, route string, d time.Duration) {
	t.rotate(now)
	t.present[route] = max(t.present[route], d)
}

// longest returns the longest time of a route, and whether any is known.
func (t *runTimes) longest(now time.Time, route string) (d time.Duration, known bool) {
	t.rotate(now)
	present, isPresent := t.present[route]
	previous, isPrevious := t.previous[route]
	return max(present, previous), isPresent || isPrevious
}
