package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// refreshInterval is the shortest interval between two computations of the limit
// from the hosts, the upstreams and their reports.
const refreshInterval = 100 * time.Millisecond

// queue admits the requests of one service. classes are in order of priority, the
// most urgent one first.
type queue struct {
	opts *Options
	name string

	mu         sync.Mutex
	random     *rand.Rand
	doc        *service.Document
	classes    []*classQueue
	running    int
	limit      int
	factor     float64
	refreshed  time.Time
	throughput throughput
	limiters   map[string]*callerLimiters
	// callers holds the document's callers by name.
	callers map[string]*service.Caller
	waiting int
}

// updateDocument switches to a newer document. Waiting requests move to the class
// of the same name or, if there is none, to the last class; each caller's requests
// keep their order.
func (q *queue) updateDocument(doc *service.Document) {
	if q.doc == doc || q.doc != nil && doc.Generation < q.doc.Generation {
		return
	}
	old := q.classes
	q.doc, q.refreshed = doc, time.Time{}
	q.callers = make(map[string]*service.Caller, len(doc.Callers))
	for i := range doc.Callers {
		q.callers[doc.Callers[i].Name] = &doc.Callers[i]
	}
	q.classes = make([]*classQueue, len(doc.Classes))
	for i := range doc.Classes {
		q.classes[i] = newClassQueue(&doc.Classes[i], i)
	}
	for _, c := range old {
		next := q.classQueueFor(c.class)
		next.usage = c.usage
		for name, caller := range c.callers {
			for _, w := range caller.waiting {
				w.class, w.caller = next, next.callerQueueFor(name, caller.flow.Weight)
				next.push(w.caller, w)
			}
		}
	}
}

// classQueueFor returns the queue of the class with the same name, or that of the
// last class if there is none.
func (q *queue) classQueueFor(class *service.Class) *classQueue {
	for _, c := range q.classes {
		if c.class.Name == class.Name {
			return c
		}
	}
	return q.classes[len(q.classes)-1]
}

// refreshLimit recomputes the limit of running requests if the refresh interval has
// passed.
func (q *queue) refreshLimit(now time.Time) {
	if now.Sub(q.refreshed) < refreshInterval && !q.refreshed.IsZero() {
		return
	}
	q.refreshed = now
	hosts := q.opts.hostCount()
	busy := q.waiting > 0 || q.running >= q.limit
	q.factor = AdaptFactor(q.factor, q.opts.Reports(q.name), q.doc.Routing.Concurrency, hosts, busy, q.doc.Batch.Enabled)
	even := EvenConcurrency(q.doc.Routing.Concurrency, q.upstreamCount(), hosts)
	q.limit = max(1, int(even*q.factor))
}

// upstreamCount returns the number of alive upstreams in the data centre or, if it
// has none and the scope allows, in the region, at least 1.
func (q *queue) upstreamCount() int {
	local, region := 0, 0
	for i := range q.doc.Upstreams {
		u := &q.doc.Upstreams[i]
		if q.opts.Upstreams.State(membership.UpstreamKey{Service: q.name, Name: u.Name}) != membership.Alive {
			continue
		}
		if u.DataCentre == q.opts.DataCentre {
			local++
		}
		if u.Region == q.opts.Region {
			region++
		}
	}
	if local == 0 && q.doc.Routing.Scope != service.ScopeDataCentre {
		local = region
	}
	return max(1, local)
}

// submit admits a request at once (its decision already holds nil), queues it, or
// refuses it with an error.
func (q *queue) submit(req *Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	q.updateDocument(req.Doc)
	q.refreshLimit(now)
	tokens := float64(max(1, req.Tokens))
	refund, err := q.chargeCaller(req, now)
	if err != nil {
		return nil, err
	}
	class := q.classQueueFor(req.Class)
	caller := class.callerQueueFor(req.Caller, q.callerWeight(req.Caller))
	w := &waiter{caller: caller, class: class, tokens: tokens, decision: make(chan error, 1)}
	if q.running < q.limit && q.waiting == 0 {
		class.tag(caller, w)
		class.clock.Advance(w.start)
		q.admit(w)
		return w, nil
	}
	wait := q.estimateWait(class, caller, tokens)
	if wait > time.Duration(maxWaitFraction*float64(class.class.FirstToken)) || !q.ensureQueueCapacity(class, caller) {
		refund()
		return nil, q.newOverloadedError(req.Doc.Name, wait)
	}
	class.push(caller, w)
	q.waiting++
	q.dispatch()
	return w, nil
}

// callerWeight returns the caller's weight in fair queueing, 1 by default.
func (q *queue) callerWeight(caller string) float64 {
	if c, ok := q.callers[caller]; ok && c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// ensureQueueCapacity reports whether the queue can take one more request. No caller
// may fill more than its share of the queue, computed as if one more caller of its
// weight were waiting, so that another caller still finds a free entry. If the
// queue is full, a request of a less urgent class is evicted.
func (q *queue) ensureQueueCapacity(class *classQueue, caller *callerQueue) bool {
	limit := q.doc.Routing.QueueLimit
	weights := class.activeWeight + caller.flow.Weight
	if float64(len(caller.waiting)) >= max(1, float64(limit)*caller.flow.Weight/weights) {
		return false
	}
	if q.waiting < limit {
		return true
	}
	for i := len(q.classes) - 1; i > class.priority; i-- {
		w := q.classes[i].evictionCandidate()
		if w == nil {
			continue
		}
		q.classes[i].removeIfWaiting(w)
		q.waiting--
		w.decision <- q.newOverloadedError(q.name, q.estimateWait(q.classes[i], w.caller, w.tokens))
		return true
	}
	return false
}

// newOverloadedError returns the error of a request that the queue can't take. Its
// Retry-After is the estimated wait plus jitter.
func (q *queue) newOverloadedError(name string, wait time.Duration) error {
	retryAfter := max(minRetryAfter, wait)
	retryAfter += time.Duration(retryJitter * q.random.Float64() * float64(retryAfter))
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"Service %s has no room for the request now.", name).WithRetryAfter(retryAfter)
}

// dispatch admits waiting requests up to the limit.
func (q *queue) dispatch() {
	for q.running < q.limit && q.waiting > 0 {
		c := q.nextClass()
		w := c.pop()
		q.waiting--
		q.admit(w)
	}
}

// nextClass returns the class to serve next: the most urgent one with waiting
// requests, unless a less urgent class has enough credit from its minimum share for
// its next request. That credit is then spent.
func (q *queue) nextClass() *classQueue {
	var next *classQueue
	for _, c := range q.classes {
		w := c.peek()
		if w == nil {
			continue
		}
		if next == nil {
			next = c
		} else if c.credit >= w.tokens {
			c.credit -= w.tokens
			return c
		}
	}
	return next
}

// admit counts a request as running, credits the other waiting classes with their
// minimum shares of its tokens, and signals the request.
func (q *queue) admit(w *waiter) {
	q.running++
	for _, c := range q.classes {
		used := 0.0
		if c == w.class {
			used = 1
		} else if c.requests > 0 {
			c.credit += c.class.MinimumShare * w.tokens
		}
		c.usage += usageWeight * (used - c.usage)
	}
	w.decision <- nil
}

// finish records the end of a running request and admits the next ones.
func (q *queue) finish(tokens float64, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.throughput.observe(tokens, elapsed)
	q.refreshLimit(q.opts.Clock.Now())
	q.dispatch()
}

// cancel removes a waiting request from the queue. It returns false if the request
// has been admitted or refused already.
func (q *queue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.class.removeIfWaiting(w) {
		return false
	}
	q.waiting--
	return true
}
