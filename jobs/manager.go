package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Places takes places back and is told that items wait.
type Places interface {
	Release(g slots.Grant, outcome slots.Outcome)
	Wanted(ctx context.Context)
}

// Caller calls other hosts.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options are what a Manager works with. All fields are required.
type Options struct {
	Store    txn.Store
	Places   Places
	Upstream forward.Upstream
	View     membership.View
	Caller   Caller
	// Table returns the configuration in force, or nil.
	Table func() *route.Table
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
	// stopping refuses new work.
	stopping bool
	running  sync.WaitGroup

	// writing is held while changes are collected and recorded, so that no
	// result is recorded twice.
	writing sync.Mutex
	// dirty wakes the writer, waiting wakes the call to the broker.
	dirty, waiting chan struct{}
}

// NewManager returns a manager without jobs.
func NewManager(o Options) *Manager {
	return &Manager{
		Options: o, jobs: make(map[string]*job), owners: make(map[string]string),
		runs: make(map[slots.GrantID]context.CancelFunc), dirty: make(chan struct{}, 1), waiting: make(chan struct{}, 1),
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

// Submit accepts a job once. It returns when the job is recorded.
func (m *Manager) Submit(ctx context.Context, s Submission) error {
	if m.refusing() {
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "The host is stopping.").WithRetryAfter(unsurePause)
	}
	if m.knows(s.ID) {
		return nil
	}
	self := m.View.Self()
	head := Head{
		ID: s.ID, Owner: self.Name, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Host: s.Host, Prefix: s.Prefix,
		CreatedMs: m.Clock.Now().UnixMilli(), RunTargetMs: s.RunTarget.Milliseconds(), RetentionMs: s.Retention.Milliseconds(),
		Total: len(s.Items), Write: 1,
	}
	req, err := acceptance(&head, s.Items)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The job can't be recorded.")
	}
	rev, err := m.record(ctx, req, &head)
	if errors.Is(err, txn.ErrConflict) {
		m.Log.WithField("job", s.ID).Info("job was accepted before")
		return nil
	}
	if err != nil {
		return err
	}
	m.adopt(newJob(head, rev, s.Items, nil))
	m.Log.WithFields(logrus.Fields{"job": s.ID, "items": len(s.Items), "rev": rev, "due": head.due()}).Info("job accepted")
	go m.announce(s.ID)
	return nil
}

func (m *Manager) refusing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

func (m *Manager) knows(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, owned := m.jobs[id]
	_, other := m.owners[id]
	return owned || other
}

// acceptance returns the transaction that records a new job.
func acceptance(head *Head, items []Item) (txn.Request, error) {
	chunks, err := itemChunks(items)
	if err != nil {
		return txn.Request{}, err
	}
	if len(chunks)+1 > txn.MaxEntries {
		return txn.Request{}, errors.New("the job is too large")
	}
	head.ItemChunks = len(chunks)
	req := txn.Request{If: []txn.Condition{{Key: headKey(head.ID)}}}
	value, err := cbor.Marshal(head)
	if err != nil {
		return txn.Request{}, errors.Wrap(err, "encode head")
	}
	req.Writes = append(req.Writes, txn.Write{Key: headKey(head.ID), Value: value})
	for n, chunk := range chunks {
		req.Writes = append(req.Writes, txn.Write{Key: itemKey(head.ID, n), Value: chunk})
	}
	return req, nil
}

// record writes a new job. After a lost answer the same transaction is sent
// again: at most one of them takes effect, and the head tells whose it was.
func (m *Manager) record(ctx context.Context, req txn.Request, head *Head) (txn.Rev, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	unknown := false
	for {
		rev, err := m.Store.Commit(ctx, req)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, txn.ErrConflict) && unknown:
			return m.whose(ctx, head)
		case errors.Is(err, txn.ErrConflict):
			return 0, err
		case !errors.Is(err, txn.ErrUnknown) && !unknown:
			return 0, verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The job can't be recorded now.").WithRetryAfter(unsurePause)
		}
		unknown = true
		select {
		case <-m.Clock.After(retryDelay):
		case <-ctx.Done():
			return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
		}
	}
}

// whose tells an own write whose answer was lost from that of another host.
func (m *Manager) whose(ctx context.Context, head *Head) (txn.Rev, error) {
	found, err := m.Store.Get(ctx, headKey(head.ID))
	if err != nil {
		return 0, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTimeout, "It is not known whether the job was recorded.")
	}
	other, err := decodeHead(found)
	if err != nil {
		return 0, err
	}
	if !other.sameWrite(head) {
		return 0, txn.ErrConflict
	}
	return found.Rev, nil
}

// adopt begins to run a job.
func (m *Manager) adopt(j *job) {
	m.mu.Lock()
	m.jobs[j.head.ID] = j
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
			m.Places.Wanted(ctx)
		}
	}
}
