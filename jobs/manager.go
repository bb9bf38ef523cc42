package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// SlotClient takes places back and is told that items wait.
type SlotClient interface {
	Release(g slots.Grant, outcome slots.Outcome)
	NotifyDemand(ctx context.Context)
}

// PeerClient calls other hosts.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options are what a Manager works with. All fields are required.
type Options struct {
	Store    txn.Store
	Slots    SlotClient
	Upstream forward.Upstream
	View     membership.View
	Peers    PeerClient
	// Table returns the configuration in force, or nil.
	Table func() *route.Table
	// StoreUnavailable reports that the store has not answered lately.
	StoreUnavailable func() bool
	// Retention is how long the results of a job stay readable.
	Retention time.Duration
	Clock     clockwork.Clock
	Log       *logrus.Entry
	Metrics   *Metrics
}

// Manager holds the jobs that this host owns. It is safe for concurrent use.
type Manager struct {
	Options

	mu   sync.Mutex
	jobs map[string]*job
	// cachedOwners are the hosts that were last known to own other jobs.
	cachedOwners map[string]string
	runs         map[slots.GrantID]context.CancelFunc
	// accepting are the submissions that are being recorded.
	accepting map[string]*acceptance
	// ownerSearches are the jobs whose owner is being looked for.
	ownerSearches map[string]struct{}
	// stopping refuses new work.
	stopping   bool
	activeRuns sync.WaitGroup

	// writeMu is held while changes are collected and recorded, so that no
	// result is recorded twice.
	writeMu sync.Mutex
	// writeBackOff is the writer's after a refused write.
	writeBackOff *backoff.ExponentialBackOff
	// flushRequested wakes the writer, demandChanged wakes the call to the broker.
	flushRequested, demandChanged chan struct{}
}

// NewManager returns a manager without jobs.
func NewManager(o Options) *Manager {
	return &Manager{
		Options: o, jobs: make(map[string]*job), cachedOwners: make(map[string]string),
		runs: make(map[slots.GrantID]context.CancelFunc), accepting: make(map[string]*acceptance), ownerSearches: make(map[string]struct{}), flushRequested: make(chan struct{}, 1), demandChanged: make(chan struct{}, 1),
		writeBackOff: newWriteBackOff(),
	}
}

// job is a job that this host owns.
type job struct {
	head Head
	rev  txn.Rev
	// items are in the order of submission.
	items []*item
	// recorded are recorded in the store; unrecorded ones are not yet.
	recorded, unrecorded []Result
	// unrecordedSince is when the oldest fresh result came.
	unrecordedSince time.Time
	// endRequested says that the end is to be recorded.
	endRequested bool
	// changed is closed at the next recorded change.
	changed chan struct{}
	// disowned says that another host owns the job.
	disowned bool
}

// item is an item of an owned job.
type item struct {
	Item
	job *job
	// hasResult says that the item has a result.
	hasResult bool
	running   bool
	// cancelRun ends the present run.
	cancelRun context.CancelFunc
	// eventData are the data of the events so far and lastID the id of the last.
	eventData   []string
	lastEventID string
	// failures counts answers of 500 and consecutiveFailures failed runs in a row.
	failures, consecutiveFailures int
	notBefore                     time.Time
}

func newJob(head Head, rev txn.Rev, items []Item, results []Result) *job {
	j := &job{head: head, rev: rev, recorded: results, changed: make(chan struct{})}
	recordedIDs := make(map[string]struct{}, len(results))
	for _, r := range results {
		recordedIDs[r.ID] = struct{}{}
	}
	for _, it := range items {
		_, ended := recordedIDs[it.ID]
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

// addOwned begins to run a job. One that this host runs already stays as it is.
func (m *Manager) addOwned(j *job) {
	m.mu.Lock()
	if known, ok := m.jobs[j.head.ID]; !ok || known.disowned {
		m.jobs[j.head.ID] = j
	}
	delete(m.cachedOwners, j.head.ID)
	m.mu.Unlock()
	signal(m.demandChanged)
}

// Serve writes results and tells the broker what waits, until ctx ends.
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

// String names the service in supervisor events.
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
