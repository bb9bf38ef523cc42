// Package run claims segments of batch jobs, hands out their items and records
// the results. It does not choose replicas; its caller runs the items.
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

// Kinds of timeline events that a worker records.
const (
	EventClaimed    timeline.Kind = "batch.claimed"
	EventTakenOver  timeline.Kind = "batch.taken-over"
	EventClaimLost  timeline.Kind = "batch.claim-lost"
	EventFlushed    timeline.Kind = "batch.flushed"
	EventEnded      timeline.Kind = "batch.ended"
	EventStopped    timeline.Kind = "batch.stopped"
	EventItemFailed timeline.Kind = "batch.item-failed"
)

// Reasons for which runs count as wasted.
const (
	WasteClaimLost     = "claim lost"
	WasteJobCancelled  = "job cancelled"
	WasteItemFailed    = "item failed"
	WasteReplicaFailed = "replica lost"
)

// Timing holds the durations that govern a worker's claims and writes.
type Timing struct {
	// LeaseDuration is the length of a claim's lease: how long an owner may
	// start items, counted from the start of the write that last renewed the
	// claim.
	LeaseDuration time.Duration
	// LeaseMargin is the time at the end of a lease in which no item starts.
	LeaseMargin time.Duration
	// RenewInterval is the time between two renewals of a claim.
	RenewInterval time.Duration
	// FlushDelay is the longest time for which a result waits to be put into a
	// chunk.
	FlushDelay time.Duration
	// SegmentEndDelay is how long the end of a segment waits to be recorded
	// together with another write of its job, while further segments of the job
	// are held.
	SegmentEndDelay time.Duration
	// TakeOverTimeout is how long a claim must go without renewal, while the
	// store answers, before another host may take the segment over.
	TakeOverTimeout time.Duration
	// JobPollInterval is the time between two polls of a job that has nothing
	// to claim.
	JobPollInterval time.Duration
	// PollInterval is the time between two polls, of any job, for segments to
	// claim.
	PollInterval time.Duration
	// MaintenanceInterval is the time between two polls of a job for which the
	// host is responsible.
	MaintenanceInterval time.Duration
	// RetryDelay is the mean wait after a failed write.
	RetryDelay time.Duration
}

// DefaultTiming returns the timing for production. Its leases outlast an outage
// of the store of ten minutes.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration: 15 * time.Minute, LeaseMargin: time.Second, RenewInterval: 20 * time.Second, FlushDelay: 20 * time.Second, SegmentEndDelay: time.Second,
		TakeOverTimeout: 75 * time.Second, JobPollInterval: 5 * time.Second,
		PollInterval: 500 * time.Millisecond, MaintenanceInterval: 2 * time.Minute, RetryDelay: 2 * time.Second,
	}
}

// Limits bounds the unrecorded results that a worker keeps.
type Limits struct {
	// ChunkBytes is the size of a segment's results at which a chunk is built
	// before FlushDelay has passed.
	ChunkBytes int
	// MemoryBytes bounds the unrecorded results in memory, DiskBytes those on
	// disk.
	MemoryBytes int
	DiskBytes   int
	// SpillFolder is the folder for results that wait while the store is
	// unavailable. If it is empty, they stay in memory.
	SpillFolder string
}

// DefaultLimits returns limits that fit into the memory planned for the control
// of batch jobs on a host.
func DefaultLimits() Limits {
	return Limits{ChunkBytes: 512 << 10, MemoryBytes: 16 << 20, DiskBytes: 1 << 30}
}

// Options configures a Worker. All fields but Capacity and OwnerEnded are
// required.
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
	// Document returns the service document that is in force.
	Document func(service string) (*service.Document, bool)
	// Capacity returns the rate, in items per second, at which all hosts
	// together finish items of a service; zero if it is unknown.
	Capacity func(service string) float64
	// OwnerEnded reports whether the process of an owner is known to have
	// ended.
	OwnerEnded func(store.Owner) bool
}

// Worker holds a host's claims on segments. Step and Maintain access the store
// and must be called by one goroutine; the other methods may be called
// concurrently.
type Worker struct {
	o Options

	mu sync.Mutex
	// jobs holds the announced jobs and those with held segments, by id.
	jobs map[string]*job
	// bufferedBytes and spilledBytes are the sizes of the unrecorded results in
	// memory and on disk.
	bufferedBytes int
	spilledBytes  int
	// observationRound grows with each failed store call. Observations of
	// claims from earlier rounds are void, because the owners may have been
	// unable to renew as well.
	observationRound uint64
	draining         bool
	// nextPollAt is the time from which jobs may be polled for segments to
	// claim.
	nextPollAt time.Time
	latePlans  map[string]latePlan
}

// job is a worker's state of one announced job.
type job struct {
	service string
	entry   store.ActiveEntry
	// known is the newest record that was read or written.
	known *store.Job
	// held holds the claimed segments and observations the claims of other
	// hosts, by segment number.
	held         map[int]*segment
	observations map[int]claimObservation
	// stopped prevents further starts of the job's items on this host.
	// cancelPending reports that the cancellation has yet to be recorded.
	stopped       bool
	cancelPending bool
	// cancelSeenAt is the time at which this host first saw that the job is
	// being cancelled.
	cancelSeenAt time.Time
	// The job is not written, polled or maintained before retryAt. It is not
	// polled for segments before pollAt and not maintained before maintainAt.
	retryAt    time.Time
	pollAt     time.Time
	maintainAt time.Time
	// unlisted reports that the job is no longer announced.
	unlisted bool
	// readFirstWrites is the number of coming writes that begin with a read.
	readFirstWrites int
}

// claimObservation is the state of another host's claim and the time since
// which it has been unchanged.
type claimObservation struct {
	epoch    uint32
	renewals uint64
	round    uint64
	since    time.Time
}

// New returns a worker without jobs or claims.
func New(o Options) *Worker {
	if o.OwnerEnded == nil {
		o.OwnerEnded = func(store.Owner) bool { return false }
	}
	if o.Capacity == nil {
		o.Capacity = func(string) float64 { return 0 }
	}
	return &Worker{o: o, jobs: make(map[string]*job), latePlans: make(map[string]latePlan)}
}

// SetActiveJobs replaces the announced jobs of a service. Jobs that are no
// longer announced are removed once no segment of them is held and no
// cancellation of them is pending.
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

// removeIfDone removes a job that is no longer announced and needs no further
// writes. The caller holds the lock.
func (w *Worker) removeIfDone(id string, j *job) {
	if j.unlisted && len(j.held) == 0 && !j.cancelPending {
		delete(w.jobs, id)
	}
}

// Stop stops a job on this host at once: none of its items starts any more, and
// running ones are cancelled. The following steps record the cancellation. Stop
// returns the number of items that were running.
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

// stopJob stops a job without recording a cancellation and returns the number
// of its running items. The caller holds the lock.
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

// Drain stops all items and makes the following steps release all claims with
// their progress, so that other hosts can continue.
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

// PollNow permits the worker to poll the given jobs at once, because segments
// of them have become free.
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

// State summarizes what a worker holds.
type State struct {
	// Ready is the number of items that may start now, Running the number that
	// are handed out, and Held the number of claimed segments.
	Ready   int
	Running int
	Held    int
	// Unrecorded is the number of results that the store does not have yet.
	Unrecorded int
	// BufferedBytes and SpilledBytes are the sizes of the unrecorded results in
	// memory and on disk.
	BufferedBytes int
	SpilledBytes  int
}

// State returns a summary of what the worker holds.
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

// recordEvent adds an event about a job to the timeline.
func (w *Worker) recordEvent(kind timeline.Kind, id, service, cause string) {
	w.o.Events.Record(timeline.Event{Kind: kind, Job: id, Service: service, Cause: cause})
}

// recordFailure handles a failed store call: it voids all observations of
// claims and defers the next write of the job.
func (w *Worker) recordFailure(ctx context.Context, id string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observationRound++
	if j, ok := w.jobs[id]; ok {
		wait := w.o.Timing.RetryDelay/2 + time.Duration(w.o.Rand.Int64N(int64(w.o.Timing.RetryDelay)))
		j.retryAt = w.o.Clock.Now().Add(wait)
	}
	if ctx.Err() == nil {
		w.o.Log.WithError(err).WithField("job", id).Debug("store call for batch job failed; retrying later")
	}
}

func isNotFound(err error) bool { return errors.Is(err, kv.ErrNotFound) }

// latePlanTTL is how long the set of late jobs is used before it is planned
// anew.
const latePlanTTL = time.Second

// latePlan is the set of a service's jobs that are planned to be late.
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
