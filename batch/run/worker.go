// Package run claims segments of batch jobs, hands out their items and records
// the results. It decides nothing about replicas; the caller runs the items.
package run

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Kinds of event that a worker records.
const (
	EventClaimed    timeline.Kind = "batch.claimed"
	EventTakenOver  timeline.Kind = "batch.taken-over"
	EventClaimLost  timeline.Kind = "batch.claim-lost"
	EventFlushed    timeline.Kind = "batch.flushed"
	EventEnded      timeline.Kind = "batch.ended"
	EventStopped    timeline.Kind = "batch.stopped"
	EventItemFailed timeline.Kind = "batch.item-failed"
)

// Reasons of wasted runs.
const (
	WasteClaimLost     = "claim lost"
	WasteJobCancelled  = "job cancelled"
	WasteItemFailed    = "item failed"
	WasteReplicaFailed = "replica lost"
)

// Timing bound a worker's claims and writes.
type Timing struct {
	// LeaseDuration is how long an owner may start items after it began the write that
	// last renewed its claim.
	LeaseDuration time.Duration
	// LeaseMargin is kept free at the end of a term.
	LeaseMargin time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// FlushDelay is the longest time that a result waits for its chunk.
	FlushDelay time.Duration
	// SegmentEndDelay is how long the end of a segment waits for another write of its
	// job, while further segments of it are held.
	SegmentEndDelay time.Duration
	// TakeOverTimeout is how long a claim must stay without renewal, while the
	// platform's service answers, before another host takes it.
	TakeOverTimeout time.Duration
	// JobPollInterval is the time between two looks at a job with nothing to claim.
	JobPollInterval time.Duration
	// PollInterval is the time between two looks at jobs in search of work.
	PollInterval time.Duration
	// MaintenanceInterval is the time between two looks at a job that the host keeps.
	MaintenanceInterval time.Duration
	// RetryDelay is the wait after a failed write.
	RetryDelay time.Duration
}

// DefaultTiming outlast an outage of the platform's service of ten minutes.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 15 * time.Minute, LeaseMargin: time.Second, RenewInterval: 20 * time.Second, FlushDelay: 20 * time.Second, SegmentEndDelay: time.Second,
		TakeOverTimeout: 75 * time.Second, JobPollInterval: 5 * time.Second,
		PollInterval: 500 * time.Millisecond, MaintenanceInterval: 2 * time.Minute, RetryDelay: 2 * time.Second,
	}
}

// Limits bound a worker's memory.
type Limits struct {
	// ChunkBytes is the size of results at which a chunk is cut early.
	ChunkBytes int
	// MemoryBytes bounds unrecorded results in memory, DiskBytes on disk.
	MemoryBytes int
	DiskBytes   int
	// SpillFolder takes results that wait for the platform; empty keeps them in
	// memory.
	SpillFolder string
}

// DefaultLimits keep a host within its memory for control.
func DefaultLimits() Limits {
	return Limits{ChunkBytes: 512 << 10, MemoryBytes: 16 << 20, DiskBytes: 1 << 30}
}

// Options make a Worker. All fields but Capacity and Gone are required.
type Options struct {
	KV     kv.Store
	Clock  clockwork.Clock
	Owner  store.Owner
	Events *timeline.Recorder
	Costs  *accounting.Counters
	Log    *logrus.Entry
	Rand   *rand.Rand
	Timing Timing
	Limits Limits
	// Document returns the document of a service in force.
	Document func(service string) (*service.Document, bool)
	// Capacity returns the items a second that all hosts finish for a service;
	// zero is unknown.
	Capacity func(service string) float64
	// OwnerEnded reports whether an owner is known to have ended.
	OwnerEnded func(store.Owner) bool
}

// Worker holds a host's claims on segments. Step does the I/O and is called by
// one goroutine; the other methods may be called by any.
type Worker struct {
	o Options

	mu            sync.Mutex
	jobs          map[string]*job
	bufferedBytes int
	spilledBytes  int
	// observationRound grows when the platform's service failed to answer: claims
	// seen before are looked at anew.
	observationRound uint64
	draining         bool
	nextPollAt       time.Time
	latePlans        map[string]latePlan
}

// job is what a worker knows of one announced job.
type job struct {
	service      string
	entry        store.ActiveEntry
	known        *store.Job
	held         map[int]*segment
	observations map[int]claimObservation
	// stopped ends the job here; cancel asks for it to be recorded.
	stopped       bool
	cancelPending bool
	// cancelSeenAt is when this host first saw the job being cancelled.
	cancelSeenAt time.Time
	retryAt      time.Time
	pollAt       time.Time
	maintainAt   time.Time
	unlisted     bool
	// readFirstWrites is the number of writes that will begin with a read.
	readFirstWrites int
}

// claimObservation is when a claim was first seen in its present state.
type claimObservation struct {
	epoch    uint32
	renewals uint64
	round    uint64
	since    time.Time
}

// New returns a worker without claims.
func New(o Options) *Worker {
	if o.OwnerEnded == nil {
		o.OwnerEnded = func(store.Owner) bool { return false }
	}
	if o.Capacity == nil {
		o.Capacity = func(string) float64 { return 0 }
	}
	return &Worker{o: o, jobs: make(map[string]*job), latePlans: make(map[string]latePlan)}
}

// SetActiveJobs tells the worker of the jobs that are active in a service. Jobs that
// are no longer announced are forgotten once nothing is held of them.
func (w *Worker) SetActiveJobs(service string, entries []store.ActiveEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Job] = true
		j, ok := w.jobs[e.Job]
		if !ok {
			j = &job{service: service, held: make(map[int]*segment), observations: make(map[int]claimObservation)}
			w.jobs[e.Job] = j
		}
		j.entry, j.unlisted = e, false
	}
	for id, j := range w.jobs {
		if j.service == service && !listed[id] {
			j.unlisted = true
			w.removeIfDone(id, j)
		}
	}
}

// removeIfDone drops a job that nothing is left to do for. The caller holds the lock.
func (w *Worker) removeIfDone(id string, j *job) {
	if j.unlisted && len(j.held) == 0 && !j.cancelPending {
		delete(w.jobs, id)
	}
}

// Stop stops a job on this host at once: no item of it starts and running ones
// are cancelled. The next steps record the cancellation. It returns the number
// of items that were running.
func (w *Worker) Stop(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return 0
	}
	if !j.stopped {
		w.recordEvent(EventStopped, id, j.service, "told to stop")
	}
	j.cancelPending = j.cancelPending || !j.stopped
	return w.stopJob(j)
}

// stopJob stops a job. The caller holds the lock.
func (w *Worker) stopJob(j *job) int {
	j.stopped = true
	j.retryAt = time.Time{}
	running := 0
	for _, s := range j.held {
		running += len(s.running)
		s.cancel()
	}
	return running
}

// Drain makes the next steps hand over all claims, with their progress.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	for _, j := range w.jobs {
		j.retryAt = time.Time{}
		for _, s := range j.held {
			s.cancel()
		}
	}
}

// PollNow lets the worker look at jobs at once, because segments became free.
func (w *Worker) PollNow(jobs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextPollAt = time.Time{}
	for _, id := range jobs {
		if j, ok := w.jobs[id]; ok {
			j.pollAt = time.Time{}
		}
	}
}

// State is a summary of what a worker holds.
type State struct {
	// Ready items may start now; Running ones have started.
	Ready   int
	Running int
	Held    int
	// Unrecorded results wait for the platform's service.
	Unrecorded int
	// BufferedBytes and Spilled are the bytes of unrecorded results.
	BufferedBytes int
	SpilledBytes  int
}

// State returns what the worker holds.
func (w *Worker) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := State{BufferedBytes: w.bufferedBytes, SpilledBytes: w.spilledBytes}
	for _, j := range w.jobs {
		for _, s := range j.held {
			st.Held++
			st.Running += len(s.running)
			st.Unrecorded += len(s.results)
			for _, c := range s.chunks {
				st.Unrecorded += len(c.Items)
			}
			if w.mayStart(s) {
				st.Ready += s.ready()
			}
		}
	}
	return st
}

// HasJobs reports whether any job is announced or held.
func (w *Worker) HasJobs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs) > 0
}

// LastRecord returns the newest record of a job that the worker has seen.
func (w *Worker) LastRecord(id string) (*store.Record, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j, ok := w.jobs[id]; ok && j.known != nil {
		return j.known.Record, true
	}
	return nil, false
}

// HeldJobs returns the ids of the jobs of which segments are held, sorted.
func (w *Worker) HeldJobs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, j := range w.jobs {
		if len(j.held) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) recordEvent(kind timeline.Kind, id, service, cause string) {
	w.o.Events.Record(timeline.Event{Kind: kind, Job: id, Service: service, Cause: cause})
}

// recordFailure notes a recordFailure call: claims are sighted anew, and the job waits.
func (w *Worker) recordFailure(ctx context.Context, id string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observationRound++
	if j, ok := w.jobs[id]; ok {
		wait := w.o.Timing.RetryDelay/2 + time.Duration(w.o.Rand.Int64N(int64(w.o.Timing.RetryDelay)))
		j.retryAt = w.o.Clock.Now().Add(wait)
	}
	if ctx.Err() == nil {
		w.o.Log.WithError(err).WithField("job", id).Debug("batch step failed")
	}
}

func isNotFound(err error) bool { return errors.Is(err, kv.ErrNotFound) }

// latePlanTTL is how long a plan of late jobs is used.
const latePlanTTL = time.Second

// latePlan holds the jobs of a service that are planned to be late.
type latePlan struct {
	at   time.Time
	jobs map[string]bool
}

// Late reports whether a job is planned to miss its due time, given the jobs
// that are due before it.
func (w *Worker) Late(service, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	p, ok := w.latePlans[service]
	if !ok || now.Sub(p.at) > latePlanTTL {
		p = latePlan{at: now, jobs: make(map[string]bool)}
		for _, s := range w.planShares(service, now) {
			if s.Late {
				p.jobs[s.ID] = true
			}
		}
		w.latePlans[service] = p
	}
	return p.jobs[id]
}
