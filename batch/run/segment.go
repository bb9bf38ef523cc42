package run

import (
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// segment is a segment that this host has claimed, with its items. Maps,
// bitmaps and the queue refer to items by their index in the segment.
type segment struct {
	job     string
	service string
	caller  string
	run     string
	number  int
	epoch   uint32
	once    bool
	items   []store.Item
	// leaseEnd is the time from which no item may start unless the claim is
	// renewed. renewedAt is the start of the write that last renewed it.
	leaseEnd  time.Time
	renewedAt time.Time
	// queue holds the items that have no result and don't run, next first.
	queue           []int
	running         map[int]*Attempt
	tries           map[int]int
	replicaFailures map[int]int
	// notBefore holds when a postponed item may start.
	notBefore map[int]time.Time
	// attempts counts the attempts at each item, so that each attempt has its
	// own id. Unlike tries it is never decremented.
	attempts map[int]int
	// partials holds the output of attempts that were preempted.
	partials map[int]Partial
	// marked holds the items whose start was recorded ahead, started those that
	// this host has started.
	marked  store.Bitmap
	started store.Bitmap
	// results holds the results that are not yet in a chunk; resultBytes is
	// their encoded size.
	results        []store.ItemResult
	oldestResultAt time.Time
	newestResultAt time.Time
	resultBytes    int
	// chunks holds the chunks that the record does not name yet.
	chunks       []*store.Chunk
	nextSequence uint32
	// cancelled prevents further starts: the job was stopped, the host drains
	// or the claim was lost. claimLost reports that this host no longer owns
	// the segment.
	cancelled bool
	claimLost bool
	// stopped is closed when cancelled is set.
	stopped chan struct{}
}

// cancel prevents further starts and stops the running attempts.
func (s *segment) cancel() {
	if !s.cancelled {
		s.cancelled = true
		close(s.stopped)
	}
}

// ready returns the number of items that may be handed out.
func (s *segment) ready() int {
	if !s.once {
		return len(s.queue)
	}
	n := 0
	for _, i := range s.queue {
		if s.marked.Has(i) {
			n++
		}
	}
	return n
}

// done reports whether each item has a result, recorded or not.
func (s *segment) done() bool { return len(s.queue) == 0 && len(s.running) == 0 }

// Partial is the output that an item had produced when it was preempted.
type Partial struct {
	Text   string
	Tokens int
}

// Attempt is one attempt to run an item.
type Attempt struct {
	Job     string
	Service string
	Caller  string
	Segment int
	Index   int
	// ID identifies the attempt in requests to upstreams.
	ID   string
	Item store.Item
	// Once reports whether the item may run at most once.
	Once bool
	// Try counts the tries of the item since this host claimed its segment,
	// from 1.
	Try int
	// ReplicaFailures counts the replicas that failed while they ran this item.
	// Alone reports whether this attempt has its replica
	// to itself.
	ReplicaFailures int
	Alone           bool
	// Partial is the output of an earlier attempt, from which this one may
	// resume.
	Partial Partial
	// StartBy is the time after which the item must not start.
	StartBy time.Time
	// Stopped is closed when the result of the attempt will not be used.
	Stopped <-chan struct{}
	segment *segment
}

// newAttempt returns a new attempt at item i and counts it. The caller holds
// the lock.
func (w *Worker) newAttempt(s *segment, i int) *Attempt {
	s.tries[i]++
	s.attempts[i]++
	return &Attempt{
		Job: s.job, Service: s.service, Caller: s.caller, Segment: s.number, Index: i,
		ID:   fmt.Sprintf("%s-%d-%d-%d-%d", s.job, s.number, i, s.epoch, s.attempts[i]),
		Item: s.items[i], Once: s.once, Try: s.tries[i], ReplicaFailures: s.replicaFailures[i], Partial: s.partials[i],
		StartBy: s.leaseEnd, Stopped: s.stopped, segment: s,
	}
}
