package limits

import (
	"container/heap"

	"github.com/comfreyspindle/comfreyspindle/fairqueue"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// waiter is a request that waits for admission.
type waiter struct {
	caller *callerQueue
	class  *classQueue
	tokens float64
	// start is the start tag of start-time fair queueing, in virtual time. arrival
	// breaks ties between equal start tags.
	start   float64
	arrival uint64
	// decision receives nil when the request is admitted, or the error of its
	// refusal. It is buffered for that one value, so that sending never blocks.
	decision chan error
}

// callerQueue holds the waiting requests of one caller in one class.
type callerQueue struct {
	flow    fairqueue.Flow
	waiting []*waiter
	// tokens is the sum of the tokens of the waiting requests.
	tokens    float64
	heapIndex int
}

// classQueue orders the waiting requests of one class by start-time fair queueing over
// tokens: the next request is the one with the lowest start tag of all callers.
type classQueue struct {
	class    *service.Class
	priority int
	callers  map[string]*callerQueue
	// pruneAt is the number of callers at which idle ones are removed next.
	pruneAt int
	// active holds the callers with waiting requests, as a heap by start tag.
	active   activeHeap
	clock    fairqueue.Clock
	arrivals uint64
	// activeWeight is the sum of the weights of the active callers; tokens and
	// requests are sums over the waiting requests.
	activeWeight float64
	tokens       float64
	requests     int
	// credit is the part of the class's minimum share that it has not used yet,
	// in tokens.
	credit float64
	// usage is the moving average of the class's fraction of the admitted
	// requests.
	usage float64
}

func newClassQueue(class *service.Class, priority int) *classQueue {
	return &classQueue{class: class, priority: priority, callers: make(map[string]*callerQueue)}
}

// callerQueueFor returns the queue of a caller and creates it if needed. A changed
// weight takes effect once nothing of the caller waits, so that the weight of an
// active caller is subtracted as it was added.
func (c *classQueue) callerQueueFor(name string, weight float64) *callerQueue {
	q, ok := c.callers[name]
	if !ok {
		c.pruneIdle()
		q = &callerQueue{heapIndex: -1}
		c.callers[name] = q
	}
	if len(q.waiting) == 0 {
		q.flow.Weight = weight
	}
	return q
}

// minCallersToPrune is the number of callers below which idle ones are not removed.
const minCallersToPrune = 1024

// pruneIdle removes callers that wait for nothing and whose finish tag has passed,
// so that they would start as new callers do. It runs each time that the number of
// callers has doubled.
func (c *classQueue) pruneIdle() {
	if len(c.callers) < max(minCallersToPrune, c.pruneAt) {
		return
	}
	for name, q := range c.callers {
		if len(q.waiting) == 0 && q.flow.Settled(&c.clock) {
			delete(c.callers, name)
		}
	}
	c.pruneAt = 2 * len(c.callers)
}

// tag assigns a request its start tag.
func (c *classQueue) tag(q *callerQueue, w *waiter) {
	w.start, _ = q.flow.Tag(&c.clock, w.tokens)
	c.arrivals++
	w.arrival = c.arrivals
}

func (c *classQueue) push(q *callerQueue, w *waiter) {
	c.tag(q, w)
	q.waiting = append(q.waiting, w)
	q.tokens += w.tokens
	c.tokens += w.tokens
	c.requests++
	if len(q.waiting) == 1 {
		c.activeWeight += q.flow.Weight
		heap.Push(&c.active, q)
	}
}

// peek returns the next request without removing it, or nil.
func (c *classQueue) peek() *waiter {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].waiting[0]
}

// pop removes and returns the next request; there must be one.
func (c *classQueue) pop() *waiter {
	w := c.peek()
	c.clock.Advance(w.start)
	c.remove(w, 0)
	return w
}

// remove removes w, the i-th waiting request of its caller.
func (c *classQueue) remove(w *waiter, i int) {
	q := w.caller
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	q.tokens -= w.tokens
	c.tokens -= w.tokens
	c.requests--
	if len(q.waiting) == 0 {
		c.activeWeight -= q.flow.Weight
		heap.Remove(&c.active, q.heapIndex)
		q.waiting = nil
	} else if i == 0 {
		heap.Fix(&c.active, q.heapIndex)
	}
	if len(c.active) == 0 {
		c.activeWeight, c.tokens, c.credit = 0, 0, 0
	}
}

// removeIfWaiting removes a request from its caller's queue and reports whether it
// was there. The tags of the caller's later requests don't change.
func (c *classQueue) removeIfWaiting(w *waiter) bool {
	for i, other := range w.caller.waiting {
		if other == w {
			c.remove(w, i)
			return true
		}
	}
	return false
}

// evictionCandidate returns the latest request of the caller with the most waiting
// tokens in proportion to its weight, or nil.
func (c *classQueue) evictionCandidate() *waiter {
	var largest *callerQueue
	for _, q := range c.active {
		if largest == nil || q.tokens/q.flow.Weight > largest.tokens/largest.flow.Weight {
			largest = q
		}
	}
	if largest == nil {
		return nil
	}
	return largest.waiting[len(largest.waiting)-1]
}

// activeHeap is a heap of callers by the start tag of their next request.
type activeHeap []*callerQueue

func (h activeHeap) Len() int { return len(h) }
func (h activeHeap) Less(i, j int) bool {
	a, b := h[i].waiting[0], h[j].waiting[0]
	return a.start < b.start || a.start == b.start && a.arrival < b.arrival
}

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	q := x.(*callerQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.heapIndex = -1
	return q
}
