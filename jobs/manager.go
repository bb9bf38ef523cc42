package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// SlotClient returns slots to the broker and reports the host's demand to it.
type SlotClient interface {
	Release(g slots.Grant, outcome slots.Outcome)
	NotifyDemand(ctx context.Context)
}

// PeerClient makes net/rpc calls to other hosts.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options are the dependencies and settings of a Manager. All fields but Unfinished are
// required.
type Options struct {
	Store    txn.Store
	Slots    SlotClient
	Upstream forward.Upstream
	View     membership.View
	Peers    PeerClient
	// Table returns the routing table in force, or nil if there is none yet.
	Table func() *route.Table
	// StoreUnavailable reports whether the store has not answered lately.
	StoreUnavailable func() bool
	// IsRegistered reads from the store whether a host's record is there.
	IsRegistered func(ctx context.Context, host string) (bool, error)
	// ReplicaGone reports whether a replica accepts no connection while this host reaches
	// others; nil counts none as gone.
	ReplicaGone func(ctx context.Context, r replica.Replica) bool
	// Retention is how long the results of a job can be read.
	Retention time.Duration
	Clock     clockwork.Clock
	Log       *logrus.Entry
	Metrics   *Metrics
	// Unfinished bounds what all responses hold together; nil bounds nothing.
	Unfinished *forward.Unfinished
	// MaxBodyBytes bounds the bodies of the items of all jobs that this host owns or accepts;
	// zero is unbounded. Jobs that it takes over are owned in any case.
	MaxBodyBytes int64
}

// Manager runs the jobs that this host owns and forwards calls about other jobs
// to their owners. It is safe for concurrent use.
type Manager struct {
	Options

	mu   sync.Mutex
	jobs map[string]*job
	// cachedOwners maps jobs of other hosts to their last known owner. An entry
	// may be out of date.
	cachedOwners map[string]cachedOwner
	runs         map[slots.GrantID]context.CancelFunc
	// accepting holds the submissions that are being recorded, by job.
	accepting map[string]*acceptance
	// ownerChanges holds, by job, a channel that is closed when the call that makes this
	// host the owner has ended.
	ownerChanges map[string]chan struct{}
	// ownerSearches are the jobs for which a check of the owner is under way or
	// ended less than ownerSearchInterval ago.
	ownerSearches map[string]struct{}
	// searchedRevs are the revisions of the head records at the last search for jobs without
	// an owner.
	searchedRevs map[string]txn.Rev
	// meanRunTimes holds the mean run time of finished items by route.
	meanRunTimes map[routeKey]time.Duration
	// stopping is set while the host shuts down. No job is accepted and no item
	// starts after that.
	stopping   bool
	activeRuns sync.WaitGroup

	// backlog bounds the tokens that wait on a route.
	backlog *backlog.Limiter

	// writeMu is held while changes are collected and recorded, so that no
	// result is recorded twice.
	writeMu sync.Mutex
	// writeBackOff is the back-off of the flush loop after a failed write.
	writeBackOff *backoff.ExponentialBackOff
	// flushRequested wakes the flush loop, demandChanged the loop that reports
	// demand to the broker.
	flushRequested, demandChanged chan struct{}
}

// NewManager returns a Manager that owns no jobs.
func NewManager(o Options) *Manager {
	m := &Manager{
		Options: o, jobs: make(map[string]*job), cachedOwners: make(map[string]cachedOwner),
		runs: make(map[slots.GrantID]context.CancelFunc), accepting: make(map[string]*acceptance),
		ownerChanges: make(map[string]chan struct{}), ownerSearches: make(map[string]struct{}), meanRunTimes: make(map[routeKey]time.Duration), flushRequested: make(chan struct{}, 1), demandChanged: make(chan struct{}, 1),
		writeBackOff: newWriteBackOff(),
	}
	m.backlog = m.newLimiter()
	return m
}

// job is a job that this host owns.
type job struct {
	head Head
	rev  txn.Rev
	// bodyBytes is the size of the bodies of all items.
	bodyBytes int64
	// items are in the order of submission.
	items []*item
	// recorded are the results that are in the store, unrecorded those that
	// aren't yet.
	recorded, unrecorded []Result
	// unrecordedSince is when the first unrecorded result was received, or when
	// the last change was recorded if that is later.
	unrecordedSince time.Time
	// endRequested is set until the requested end of the job is recorded.
	endRequested bool
	// changed is closed, and replaced, when a change is recorded.
	changed chan struct{}
	// disowned is set when this host no longer owns the job.
	disowned bool
}

// item is an item of an owned job.
type item struct {
	Item
	job *job
	// hasResult is set once the item is done or given up.
	hasResult bool
	running   bool
	// cancelRun cancels the current run.
	cancelRun context.CancelFunc
	// eventData is the data of the events received so far, lastEventID the id of
	// the last of them.
	eventData   []string
	lastEventID string
	ending      forward.Ending
	// eventBytes is the size of eventData.
	eventBytes int
	// service and softwareVersion are those of the replicas that sent the events. service
	// is empty if a host of an older build has handed the events over.
	service, softwareVersion string
	// ran is how long the item has run so far.
	ran time.Duration
	// failures counts responses with status 500. consecutiveFailures counts
	// failed runs of any kind and determines the delay before the next run.
	failures, consecutiveFailures int
	// crashes counts the replicas that are gone after a run that brought no further event.
	crashes   int
	notBefore time.Time
}

func newJob(head Head, rev txn.Rev, items []Item, results []Result) *job {
	j := &job{head: head, rev: rev, recorded: results, changed: make(chan struct{})}
	recordedIDs := make(map[string]struct{}, len(results))
	for _, r := range results {
		recordedIDs[r.ID] = struct{}{}
	}
	for _, it := range items {
		_, ended := recordedIDs[it.ID]
		j.bodyBytes += int64(len(it.Body))
		j.items = append(j.items, &item{Item: it, job: j, hasResult: ended})
	}
	return j
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addOwned adds a job that this host now owns, so that its items are run. The caller
// holds the lock of lockOwner, under which this host did not run the job.
func (m *Manager) addOwned(j *job) {
	m.mu.Lock()
	m.jobs[j.head.ID] = j
	delete(m.cachedOwners, j.head.ID)
	m.learnRunTime(&j.head)
	m.mu.Unlock()
	signal(m.demandChanged)
}

// Serve records results and reports demand to the broker until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	go m.notifyBroker(ctx)
	for {
		wait := m.flush(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.flushRequested:
		case <-m.Clock.After(wait):
		}
	}
}

// String returns the name of the service in supervisor events.
func (m *Manager) String() string { return "batch jobs" }

func (m *Manager) notifyBroker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.demandChanged:
			m.Slots.NotifyDemand(ctx)
		}
	}
}
