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
	// owners are the hosts that were last known to own other jobs.
	owners map[string]string
	runs   map[slots.GrantID]context.CancelFunc
	// accepting are the submissions that are being recorded.
	accepting map[string]*acceptance
	// searches are the jobs whose owner is being looked for.
	searches map[string]struct{}
	// stopping refuses new work.
	stopping bool
	running  sync.WaitGroup

	// writing is held while changes are collected and recorded, so that no
	// result is recorded twice.
	writing sync.Mutex
	// pause is the writer's after a refused write.
	pause *backoff.ExponentialBackOff
	// dirty wakes the writer, waiting wakes the call to the broker.
	dirty, waiting chan struct{}
}

// NewManager returns a manager without jobs.
func NewManager(o Options) *Manager {
	return &Manager{
		Options: o, jobs: make(map[string]*job), owners: make(map[string]string),
		runs: make(map[slots.GrantID]context.CancelFunc), accepting: make(map[string]*acceptance), searches: make(map[string]struct{}), dirty: make(chan struct{}, 1), waiting: make(chan struct{}, 1),
		pause: newRetryPause(),
	}
}

// job is a job that this host owns.
type job struct {
	head Head
	rev  txn.Rev
	// items are in the order of submission.
	items []*item
	// results are recorded in the store; fresh ones are not yet.
	results, fresh []Result
	// freshSince is when the oldest fresh result came.
	freshSince time.Time
	// ending says that the end is to be recorded.
	ending bool
	// changed is closed at the next recorded change.
	changed chan struct{}
	// lost says that another host owns the job.
	lost bool
}

// item is an item of an owned job.
type item struct {
	Item
	job *job
	// ended says that the item has a result.
	ended   bool
	running bool
	// stop ends the present run.
	stop context.CancelFunc
	// texts are the data of the events so far and lastID the id of the last.
	texts  []string
	lastID string
	// failures counts answers of 500 and pauses failed runs in a row.
	failures, pauses int
	notBefore        time.Time
}

func newJob(head Head, rev txn.Rev, items []Item, results []Result) *job {
	j := &job{head: head, rev: rev, results: results, changed: make(chan struct{})}
	listed := make(map[string]struct{}, len(results))
	for _, r := range results {
		listed[r.ID] = struct{}{}
	}
	for _, it := range items {
		_, ended := listed[it.ID]
		j.items = append(j.items, &item{Item: it, job: j, ended: ended})
	}
	return j
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// adopt begins to run a job. One that this host runs already stays as it is.
func (m *Manager) adopt(j *job) {
	m.mu.Lock()
	if known, ok := m.jobs[j.head.ID]; !ok || known.lost {
		m.jobs[j.head.ID] = j
	}
	delete(m.owners, j.head.ID)
	m.mu.Unlock()
	signal(m.waiting)
}

// Serve writes results and tells the broker what waits, until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	go m.tellBroker(ctx)
	for {
		wait := m.flush(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.dirty:
		case <-m.Clock.After(wait):
		}
	}
}

// String names the service in supervisor events.
func (m *Manager) String() string { return "batch jobs" }

func (m *Manager) tellBroker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.waiting:
			m.Slots.NotifyDemand(ctx)
		}
	}
}
