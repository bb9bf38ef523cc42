package limits

import (
	"container/heap"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// waiter is a request that waits for admission.
type waiter struct {
	caller *callerQueue
	class  *classQueue
	tokens float64
	// start and finish are the virtual times of fair queueing; order breaks
	// ties by arrival.
	start, finish float64
	arrival       uint64
	// decision gets nil when the request may run, or the error of a refusal. It
	// has room for one value.
	decision chan error
}

// callerQueue holds the waiting requests of one caller in one class.
type callerQueue struct {
	weight  float64
	waiting []*waiter
	// tokens is the sum over the waiting requests.
	tokens float64
	// finish is the virtual finish time of the caller's last request.
	finish    float64
	heapIndex int
}

// classQueue shares the turns of one class between callers by start-time fair
// queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996) over
// tokens: callers take turns by the virtual time at which their next request
// starts.
type classQueue struct {
	class    *service.Class
	priority int
	callers  map[string]*callerQueue
	// pruneAt is the number of callers at which idle ones are dropped next.
	pruneAt int
	// active are the callers with waiting requests, a heap by start time.
	active      activeHeap
	virtualTime float64
	arrivals    uint64
	// activeWeight, tokens and requests are sums over the waiting requests.
	activeWeight float64
	tokens       float64
	requests     int
	// credit is the class's unused minimum share, in tokens.
	credit float64
	// usage is the recent part of the capacity that the class took.
	usage float64
}

func newClassQueue(class *service.Class, priority int) *classQueue {
	return &classQueue{class: class, priority: priority, callers: make(map[string]*callerQueue)}
}

// callerQueueFor returns the queue of a callerQueueFor.
func (c *classQueue) callerQueueFor(name string, weight float64) *callerQueue {
	q, ok := c.callers[name]
	if !ok {
		c.pruneIdle()
		q = &callerQueue{heapIndex: -1}
		c.callers[name] = q
	}
	if len(q.waiting) == 0 {
		q.weight = weight
	}
	return q
}

// minCallersToPrune is the number of callers from which idle ones are dropped.
const minCallersToPrune = 1024

// pruneIdle drops idle callers whose past no longer matters, each time that
// the number of callers has doubled.
func (c *classQueue) pruneIdle() {
	if len(c.callers) < max(minCallersToPrune, c.pruneAt) {
		return
	}
	for name, q := range c.callers {
		if len(q.waiting) == 0 && q.finish <= c.virtualTime {
			delete(c.callers, name)
		}
	}
	c.pruneAt = 2 * len(c.callers)
}

// tag gives a request its virtual times.
func (c *classQueue) tag(q *callerQueue, w *waiter) {
	w.start = max(c.virtualTime, q.finish)
	w.finish = w.start + w.tokens/q.weight
	c.arrivals++
	w.arrival = c.arrivals
	q.finish = w.finish
}

func (c *classQueue) push(q *callerQueue, w *waiter) {
	c.tag(q, w)
	q.waiting = append(q.waiting, w)
	q.tokens += w.tokens
	c.tokens += w.tokens
	c.requests++
	if len(q.waiting) == 1 {
		c.activeWeight += q.weight
		heap.Push(&c.active, q)
	}
}

// peek returns the next request, or nil.
func (c *classQueue) peek() *waiter {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].waiting[0]
}

// pop takes the next request off the queue.
func (c *classQueue) pop() *waiter {
	w := c.peek()
	c.virtualTime = max(c.virtualTime, w.start)
	c.remove(w, 0)
	return w
}

// remove takes the i-th waiting request of a caller off the queue.
func (c *classQueue) remove(w *waiter, i int) {
	q := w.caller
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	q.tokens -= w.tokens
	c.tokens -= w.tokens
	c.requests--
	if len(q.waiting) == 0 {
		c.activeWeight -= q.weight
		heap.Remove(&c.active, q.heapIndex)
		q.waiting = nil
	} else if i == 0 {
		heap.Fix(&c.active, q.heapIndex)
	}
	if len(c.active) == 0 {
		c.activeWeight, c.tokens, c.credit = 0, 0, 0
	}
}

// removeIfWaiting takes a request off the queue, wherever it waits, and reports whether
// it was there. The caller's later requests keep their turns.
func (c *classQueue) removeIfWaiting(w *waiter) bool {
	for i, other := range w.caller.waiting {
		if other == w {
			c.remove(w, i)
			return true
		}
	}
	return false
}

// evictionCandidate returns the last request of the caller with the most waiting work for
// its weight, or nil.
func (c *classQueue) evictionCandidate() *waiter {
	var largest *callerQueue
	for _, q := range c.active {
		if largest == nil || q.tokens/q.weight > largest.tokens/largest.weight {
			largest = q
		}
	}
	if largest == nil {
		return nil
	}
	return largest.waiting[len(largest.waiting)-1]
}

// activeHeap orders callers by the start time of their next request.
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
