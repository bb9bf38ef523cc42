package run

import (
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

// segment is a claimed segment with its items.
type segment struct {
	job     string
	service string
	caller  string
	run     string
	number  int
	epoch   uint32
	once    bool
	items   []store.Item
	// leaseEnd ends the time in which items may start.
	leaseEnd  time.Time
	renewedAt time.Time
	// queue holds items that have not ended, next first.
	queue           []int
	running         map[int]*Attempt
	tries           map[int]int
	replicaFailures map[int]int
	// attempts counts the runs, so that each has its own id.
	attempts       map[int]int
	partial        map[int]Partial
	marked         store.Bitmap
	started        store.Bitmap
	results        []store.ItemResult
	oldestResultAt time.Time
	newestResultAt time.Time
	resultBytes    int
	chunks         []*store.Chunk
	nextSequence   uint32
	// cancelled takes no more items; lost has another owner.
	cancelled bool
	claimLost bool
	stopped   chan struct{}
}

// cancel starts no more items and cancels the running ones.
func (s *segment) cancel() {
	if !s.cancelled {
		s.cancelled = true
		close(s.stopped)
	}
}

// ready counts the items that may be handed out.
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

// Partial is the part of an answer that was produced before an item stepped
// aside.
type Partial struct {
	Text   string
	Tokens int
}

// Attempt is one item handed out to run.
type Attempt struct {
	Job     string
	Service string
	Caller  string
	Segment int
	Index   int
	// ID names this run in requests to upstreams.
	ID   string
	Item store.Item
	// Once marks an item that may run at most once.
	Once bool
	// Try counts runs of this item on this host, from 1.
	Try int
	// ReplicaFailures counts the replicas that were lost while they ran this item with
	// others; Alone says that this run has its replica to itself.
	ReplicaFailures int
	Alone           bool
	// Partial continues an earlier run.
	Partial Partial
	// StartBy is the time after which the item must not start.
	StartBy time.Time
	// Stopped is closed when the run's result will not be used.
	Stopped <-chan struct{}
	segment *segment
}

func (w *Worker) newAttempt(s *segment, i int) *Attempt {
	s.tries[i]++
	s.attempts[i]++
	return &Attempt{
		Job: s.job, Service: s.service, Caller: s.caller, Segment: s.number, Index: i,
		ID:   fmt.Sprintf("%s-%d-%d-%d-%d", s.job, s.number, i, s.epoch, s.attempts[i]),
		Item: s.items[i], Once: s.once, Try: s.tries[i], ReplicaFailures: s.replicaFailures[i], Partial: s.partial[i],
		StartBy: s.leaseEnd, Stopped: s.stopped, segment: s,
	}
}
