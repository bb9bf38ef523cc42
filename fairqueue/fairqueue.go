// Package fairqueue holds the tags of start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queuing", SIGCOMM 1996). It orders nothing by itself: the
// next request to serve is the one with the lowest start tag.
package fairqueue

// Clock is the virtual time of a set of flows. It is the highest start tag of the
// requests whose service has begun. The zero value is ready for use.
type Clock struct{ now float64 }

// Now returns the virtual time.
func (c *Clock) Now() float64 { return c.now }

// Advance records that service of a request with the given start tag begins.
func (c *Clock) Advance(start float64) { c.now = max(c.now, start) }

// Flow is the state of one party that shares a server with others. Weight must be
// positive; a flow gets service in proportion to it.
type Flow struct {
	Weight float64
	finish float64
}

// Finish returns the finish tag of the latest request.
func (f *Flow) Finish() float64 { return f.finish }

// Start returns the start tag of the next request. It is never less than the virtual
// time, so that a flow that was idle claims nothing for that time.
func (f *Flow) Start(c *Clock) float64 { return max(c.now, f.finish) }

// Tag assigns the next request, which costs the given amount of service, its start
// and finish tags.
func (f *Flow) Tag(c *Clock, cost float64) (start, finish float64) {
	start = f.Start(c)
	f.finish = start + cost/f.Weight
	return start, f.finish
}

// Correct adds the difference between what a request cost and what it was tagged
// with. It may be negative.
func (f *Flow) Correct(difference float64) { f.finish += difference / f.Weight }

// LimitLead reduces the finish tag to at most lead after the virtual time.
func (f *Flow) LimitLead(c *Clock, lead float64) { f.finish = min(f.finish, c.now+lead) }

// Settled reports whether the next request would start like that of a new flow.
func (f *Flow) Settled(c *Clock) bool { return f.finish <= c.now }
