package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// refreshTime is the time between two looks at hosts, upstreams and reports.
const refreshTime = 100 * time.Millisecond

// queue admits the requests of one service.
type queue struct {
	opts *Options
	name string

	mu      sync.Mutex
	random  *rand.Rand
	doc     *service.Document
	classes []*classQueue
	running int
	limit   int
	factor  float64
	looked  time.Time
	speed   speed
	limits  map[string]*callerLimit
	// named are the document's callers by name.
	named   map[string]*service.Caller
	waiting int
}

// adopt takes over a newer document. Requests that wait keep their turns when
// the classes are the same; else they are moved to the class of their name, or
// to the last one.
func (q *queue) adopt(doc *service.Document) {
	if q.doc == doc || q.doc != nil && doc.Generation < q.doc.Generation {
		return
	}
	old := q.classes
	q.doc, q.looked = doc, time.Time{}
	q.named = make(map[string]*service.Caller, len(doc.Callers))
	for i := range doc.Callers {
		q.named[doc.Callers[i].Name] = &doc.Callers[i]
	}
	q.classes = make([]*classQueue, len(doc.Classes))
	for i := range doc.Classes {
		q.classes[i] = newClassQueue(&doc.Classes[i], i)
	}
	for _, c := range old {
		next := q.class(c.class)
		next.usage = c.usage
		for name, caller := range c.callers {
			for _, w := range caller.waiting {
				w.class, w.caller = next, next.caller(name, caller.weight)
				next.push(w.caller, w)
			}
		}
	}
}

// class returns the queue of a class, by name.
func (q *queue) class(class *service.Class) *classQueue {
	for _, c := range q.classes {
		if c.class.Name == class.Name {
			return c
		}
	}
	return q.classes[len(q.classes)-1]
}

// look brings the limit up to date.
func (q *queue) look(now time.Time) {
	if now.Sub(q.looked) < refreshTime && !q.looked.IsZero() {
		return
	}
	q.looked = now
	hosts := q.opts.hosts()
	busy := q.waiting > 0 || q.running >= q.limit
	q.factor = Adapt(q.factor, q.opts.Reports(q.name), q.doc.Routing.Concurrency, hosts, busy, q.doc.Batch.Enabled)
	even := Even(q.doc.Routing.Concurrency, q.replicas(), hosts)
	q.limit = max(1, int(even*q.factor))
}

// replicas returns the number of upstreams in the nearest place that has one.
func (q *queue) replicas() int {
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

// enter decides on a request: it runs now (granted holds nil), waits, or is
// refused.
func (q *queue) enter(ask *Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	q.adopt(ask.Doc)
	q.look(now)
	tokens := float64(max(1, ask.Tokens))
	if err := q.callerLimit(ask, now); err != nil {
		return nil, err
	}
	class := q.class(ask.Class)
	caller := class.caller(ask.Caller, q.weight(ask.Caller))
	w := &waiter{caller: caller, class: class, tokens: tokens, granted: make(chan error, 1)}
	if q.running < q.limit && q.waiting == 0 {
		class.tag(caller, w)
		class.virtual = max(class.virtual, w.start)
		q.grant(w)
		return w, nil
	}
	wait := q.wait(class, caller, tokens)
	if wait > time.Duration(waitShare*float64(class.class.FirstToken)) || !q.room(class, caller) {
		return nil, q.refuse(ask.Doc.Name, wait)
	}
	class.push(caller, w)
	q.waiting++
	q.dispatch()
	return w, nil
}

// weight returns the share of a caller under contention.
func (q *queue) weight(caller string) float64 {
	if c, ok := q.named[caller]; ok && c.Weight > 0 {
		return c.Weight
	}
	return 1
}

// room reports whether the bounded queue takes one more request. Less urgent
// requests make way, and no caller takes more than its part, which leaves
// room for one caller more.
func (q *queue) room(class *classQueue, caller *callerQueue) bool {
	limit := q.doc.Routing.QueueLimit
	weights := class.weights + caller.weight
	if float64(len(caller.waiting)) >= max(1, float64(limit)*caller.weight/weights) {
		return false
	}
	if q.waiting < limit {
		return true
	}
	for i := len(q.classes) - 1; i > class.urgency; i-- {
		w := q.classes[i].newest()
		if w == nil {
			continue
		}
		q.classes[i].drop(w)
		q.waiting--
		w.granted <- q.refuse(q.name, q.wait(q.classes[i], w.caller, w.tokens))
		return true
	}
	return false
}

// refuse returns the error of a request that finds no room, with the time at
// which the queue should have some.
func (q *queue) refuse(name string, wait time.Duration) error {
	after := max(minRetryAfter, wait)
	after += time.Duration(retryJitter * q.random.Float64() * float64(after))
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"Service %s has no room for the request now.", name).WithRetryAfter(after)
}

// dispatch grants waiting requests while there is room.
func (q *queue) dispatch() {
	for q.running < q.limit && q.waiting > 0 {
		c := q.turn()
		w := c.pop()
		q.waiting--
		q.grant(w)
	}
}

// turn returns the class that goes next: the most urgent one, unless another
// has saved up its minimum share.
func (q *queue) turn() *classQueue {
	var next *classQueue
	for _, c := range q.classes {
		w := c.head()
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

// grant lets a request run.
func (q *queue) grant(w *waiter) {
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
	w.granted <- nil
}

// leave ends a running request.
func (q *queue) leave(tokens float64, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.speed.add(tokens, took)
	q.look(q.opts.Clock.Now())
	q.dispatch()
}

// abandon takes a waiting request off the queue. It reports false when the
// request was granted or refused before.
func (q *queue) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.class.drop(w) {
		return false
	}
	q.waiting--
	return true
}
