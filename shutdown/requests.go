// Package shutdown tracks the requests that a host serves, and decides at a planned
// stop which requests are still taken and when the others are ended.
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// ErrHostEnds is the cause of the end of a request's context when the host can't wait for
// the request any longer.
var ErrHostEnds = errors.New("the host ends")

const (
	// retryAfter is the Retry-After of a refused request. Other hosts serve it at once.
	retryAfter = 50 * time.Millisecond
	// runTimeFactor is the number of times that a request may take as long as the longest
	// one of its route lately and must still end before the host does. For requests that
	// still run it is runningFactor: their run time is longer than their age.
	runTimeFactor = 2
	runningFactor = 3
)

// Requests tracks the requests that a host serves. It is safe for concurrent use.
type Requests struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu      sync.Mutex
	running map[*Request]struct{}
	times   runTimes
	// schedule is that of the stop; nil before it.
	schedule *Schedule
	counts   counts
	// ended is set by EndAll.
	ended bool
	// idle is closed when no request runs; nil if nothing waits for that.
	idle chan struct{}
}

// counts says what became of the requests during a stop.
type counts struct {
	// atBegin is the number of requests that ran when the stop began, and arrived the
	// number of those that have arrived since. refused of these were not taken.
	atBegin, arrived, refused int
	// ended is the number of requests that EndAll ended, and answered the number of
	// those that got a whole response, with an error status, nevertheless.
	ended, answered int
}

// NewRequests returns a Requests for a host that is not stopping.
func NewRequests(clock clockwork.Clock, log *logrus.Entry) *Requests {
	return &Requests{clock: clock, log: log, running: make(map[*Request]struct{})}
}

// Request is a request that the host serves.
type Request struct {
	requests *Requests
	id       string
	arrived  time.Time
	end      context.CancelCauseFunc
	// route is empty before Admit.
	route string
	ran   bool
	// ended is set if EndAll ended the request.
	ended bool
}

// Begin adds a request that has arrived. End must be called when it has been answered. The
// returned context ends with ErrHostEnds when the host can't wait for it any longer.
func (r *Requests) Begin(ctx context.Context, id string) (context.Context, *Request) {
	ctx, cancel := context.WithCancelCause(ctx)
	req := &Request{requests: r, id: id, arrived: r.clock.Now(), end: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[req] = struct{}{}
	if r.schedule != nil {
		r.counts.arrived++
	}
	if r.ended {
		r.endLocked(req)
	}
	return ctx, req
}

// Admit returns an error if the host stops and might end before the request does, whose
// response must be complete at the deadline. The request must not be run then.
func (req *Request) Admit(route string, deadline time.Time) error {
	r := req.requests
	r.mu.Lock()
	defer r.mu.Unlock()
	req.route = route
	s := r.schedule
	if s == nil || !deadline.After(s.AnswersDue) {
		return nil
	}
	now := r.clock.Now()
	expected, known := r.expectedRun(now, req)
	if known && now.Before(s.LateFrom) && !now.Add(expected).After(s.AnswersDue) {
		return nil
	}
	r.counts.refused++
	reason := errors.Newf("%v after the stop began: the host ends in %v, the time limit in %v; expected run time at most %v",
		now.Sub(s.Began), s.AnswersDue.Sub(now), deadline.Sub(now), expected)
	return verdict.Wrap(reason, verdict.NotRun, verdict.CodeDraining, "The host is stopping.").WithRetryAfter(retryAfter)
}

// expectedRun returns how long the request may be expected to run at most, by those of its
// route that were answered lately and by those that have run since before the stop, and whether
// there are any.
func (r *Requests) expectedRun(now time.Time, req *Request) (expected time.Duration, known bool) {
	longest, known := r.times.longest(now, req.route)
	expected = runTimeFactor * longest
	for other := range r.running {
		if other.route == req.route && other.arrived.Before(r.schedule.Began) {
			expected, known = max(expected, runningFactor*now.Sub(other.arrived)), true
		}
	}
	return expected, known
}

// SetRan records that a replica may have run the request, so that the time until its end
// tells how long requests of the route take.
func (req *Request) SetRan() {
	req.requests.mu.Lock()
	defer req.requests.mu.Unlock()
	req.ran = true
}

// End removes the request. Whether it was answered says that it got a whole response.
func (req *Request) End(answered bool) {
	r := req.requests
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	delete(r.running, req)
	req.end(nil)
	if req.ended {
		if answered {
			r.counts.answered++
		}
		r.entry(req, now).WithField("answered", answered).Warn("request ended since the host ends")
	} else if req.ran {
		r.times.record(now, req.route, now.Sub(req.arrived))
	}
	if len(r.running) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// entry returns a log entry that describes a request. r.mu must be held.
func (r *Requests) entry(req *Request, now time.Time) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{
		"request": req.id, "route": req.route, "age_ms": now.Sub(req.arrived).Milliseconds(),
		"arrived_ms": req.arrived.Sub(r.schedule.Began).Milliseconds(),
	})
}

// BeginStop begins the stop.
func (r *Requests) BeginStop(s Schedule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule = &s
	r.counts.atBegin = len(r.running)
	r.log.WithFields(logrus.Fields{
		"running": len(r.running), "late_from_ms": s.LateFrom.Sub(s.Began).Milliseconds(),
		"listener_closes_ms": s.ListenerCloses.Sub(s.Began).Milliseconds(), "answers_due_ms": s.AnswersDue.Sub(s.Began).Milliseconds(),
	}).Info("stopping: readiness off")
}

// Stopping reports whether the stop has begun.
func (r *Requests) Stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule != nil
}

// Wait returns when no request runs, or when ctx ends.
func (r *Requests) Wait(ctx context.Context) {
	r.mu.Lock()
	if len(r.running) == 0 {
		r.mu.Unlock()
		return
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// EndAll ends the contexts of the requests that run, and of all later ones.
func (r *Requests) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for req := range r.running {
		r.endLocked(req)
	}
}

// endLocked ends the context of a request. r.mu must be held.
func (r *Requests) endLocked(req *Request) {
	req.ended = true
	r.counts.ended++
	req.end(ErrHostEnds)
}

// EndStop logs what became of the requests during the stop, and each that is cut.
func (r *Requests) EndStop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for req := range r.running {
		r.entry(req, now).Warn("request cut by the end of the host")
	}
	r.log.WithFields(logrus.Fields{
		"after_ms": now.Sub(r.schedule.Began).Milliseconds(), "running_at_begin": r.counts.atBegin,
		"arrived": r.counts.arrived, "refused": r.counts.refused, "ended": r.counts.ended, "answered": r.counts.answered, "cut": len(r.running),
	}).Info("stopping: requests ended")
}
