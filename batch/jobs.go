package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Kinds of timeline events about jobs.
const (
	EventAccepted        timeline.Kind = "batch.accepted"
	EventResent          timeline.Kind = "batch.resent"
	EventCancelRequested timeline.Kind = "batch.cancel-asked"
)

// Create implements API.
func (m *Manager) Create(ctx context.Context, identity config.Identity, req CreateRequest) (Job, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	f, err := m.loadFile(ctx, identity, req.InputFileID)
	if err != nil {
		return Job{}, err
	}
	doc, ok := m.o.Config.Current().Service(f.Service)
	if !ok {
		return Job{}, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "Service %s is gone.", f.Service).WithParam("input_file_id")
	}
	if err := checkEndpoint(f, req.Endpoint); err != nil {
		return Job{}, err
	}
	due := req.CompletionWindow
	if due == 0 {
		due = doc.Batch.Due
	}
	job, resent, err := m.acceptor.AcceptJob(ctx, &store.JobRequest{
		Origin: originOf(doc, f.Caller, req.IdempotencyKey), File: f, Endpoint: req.Endpoint, Metadata: req.Metadata,
		Due: due, Once: doc.Batch.Repeat == service.RepeatNever,
	})
	if err != nil {
		return Job{}, acceptanceError(err)
	}
	kind := EventAccepted
	if resent {
		kind = EventResent
	}
	m.o.Events.Record(timeline.Event{Kind: kind, Job: job.ID, Service: doc.Name})
	m.jobChanged(doc.Name, job.Record)
	out := m.jobOf(job.Record)
	out.Resent = resent
	return out, nil
}

// checkEndpoint checks that the endpoint of a job is the URL of the file's items,
// which all have the same.
func checkEndpoint(f *store.File, endpoint string) error {
	if f.URL == endpoint {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
		"The field endpoint must be %s, as in the file.", f.URL).WithParam("endpoint")
}

const (
	// recordCacheSize and recordCacheTTL bound the cache of head records that
	// are read for callers. With it, callers that poll cause few store reads.
	recordCacheSize = 256
	recordCacheTTL  = 500 * time.Millisecond
)

// loadCached returns the head record of a job. It may be up to recordCacheTTL
// old.
func (m *Manager) loadCached(ctx context.Context, id string) (*store.Job, error) {
	if job, ok := m.recordCache.Get(id); ok {
		return job, nil
	}
	job, err := store.Load(ctx, m.o.KV, id)
	if err == nil {
		m.recordCache.Add(id, job)
	}
	return job, err
}

// loadForCaller returns the head record of a job if the identity may see it. The
// error names what was requested, which is a file of the job or the job itself.
func (m *Manager) loadForCaller(ctx context.Context, identity config.Identity, id, kind, requestedID string) (*store.Job, error) {
	job, err := m.loadCached(ctx, id)
	if err == nil && (job.Status == store.StatusAbandoned || job.Caller == "" || !identity.Allows(job.Service, job.Caller)) {
		err = kv.ErrNotFound
	}
	if err != nil {
		return nil, readError(err, kind, requestedID)
	}
	return job, nil
}

// jobOf returns the job of a head record as callers see it.
func (m *Manager) jobOf(r *store.Record) Job {
	j := Job{
		ID: r.ID, Service: r.Service, Caller: r.Caller, Endpoint: r.Endpoint, InputFileID: r.FileID,
		Metadata: r.Metadata, Status: r.Status, AcceptedAt: r.AcceptedAt, DueAt: r.DueAt, EndedAt: r.EndedAt,
	}
	j.Items, j.Completed, j.Failed = r.Counts()
	j.Late = r.Late(m.o.Clock.Now()) || !r.Status.Ended() && m.worker.Late(r.Service, r.ID)
	return j
}

// Job implements API.
func (m *Manager) Job(ctx context.Context, identity config.Identity, id string) (Job, error) {
	rec, err := m.loadForCaller(ctx, identity, id, "job", id)
	if err != nil {
		return Job{}, err
	}
	return m.jobOf(rec.Record), nil
}

// List implements API.
func (m *Manager) List(ctx context.Context, identity config.Identity, after string, limit int) ([]Job, bool, error) {
	var jobs []Job
	pastCursor := after == ""
	more := false
	for name, caller := range identity.Callers {
		err := store.EachCallerJob(ctx, m.o.KV, name, caller, func(id string) (bool, error) {
			if !pastCursor {
				pastCursor = id == after
				return true, nil
			}
			if len(jobs) >= limit {
				more = true
				return false, nil
			}
			rec, err := m.loadCached(ctx, id)
			if errors.Is(err, kv.ErrNotFound) || err == nil && rec.Status == store.StatusAbandoned {
				return true, nil
			}
			if err == nil {
				jobs = append(jobs, m.jobOf(rec.Record))
			}
			return true, err
		})
		if err != nil {
			return nil, false, readError(err, "job", after)
		}
	}
	return jobs, more, nil
}

// Cancel implements API.
func (m *Manager) Cancel(ctx context.Context, identity config.Identity, id string) (Job, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeCancel)
	rec, err := m.loadForCaller(ctx, identity, id, "job", id)
	if err == nil {
		rec, err = store.Update(ctx, m.o.KV, id, nil, m.applyCancel)
		m.recordCache.Remove(id)
	}
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) && verdictErr.Code == verdict.CodeNotFound {
		return Job{}, err
	}
	if err != nil {
		return Job{}, m.cancelUnrecorded(ctx, identity, id, err)
	}
	m.o.Events.Record(timeline.Event{Kind: EventCancelRequested, Job: id, Service: rec.Service, Cause: string(rec.Status)})
	if rec.Status == store.StatusCancelling {
		m.stopOnHosts(ctx, &StopArgs{Job: id}, segmentOwners(rec.Record))
	}
	m.jobChanged(rec.Service, rec.Record)
	return m.jobOf(rec.Record), nil
}

// applyCancel cancels the job in its head record. It ends the job at once if no
// owner can still run items of it.
func (m *Manager) applyCancel(r *store.Record) error {
	if r.Status != store.StatusInProgress {
		return store.ErrUnchanged
	}
	r.Cancel()
	now := m.o.Clock.Now()
	r.UpdateStatus(now, now.Add(-m.o.Timing.LeaseDuration-m.o.Timing.LeaseMargin))
	return nil
}

// cancelUnrecorded notifies all hosts to stop a job whose cancellation can't be
// recorded now, and returns the error for the caller. A host that owns segments
// of the job records the cancellation as soon as it can.
func (m *Manager) cancelUnrecorded(ctx context.Context, identity config.Identity, id string, cause error) error {
	m.stopOnHosts(ctx, &StopArgs{Job: id, Callers: identity.Callers}, m.allHostAddresses())
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodePlatformUnavailable,
		"The hosts were told to stop, but the cancellation isn't recorded yet; send it again.").WithRetryAfter(retryAfter)
}

// segmentOwners returns the addresses of the owners of a job's segments. It
// includes former owners, which may still run items.
func segmentOwners(r *store.Record) []string {
	seen := make(map[string]bool)
	var out []string
	add := func(o store.Owner) {
		if !seen[o.Address] {
			seen[o.Address] = true
			out = append(out, o.Address)
		}
	}
	for i := range r.Segments {
		if c := r.Segments[i].Claim; c != nil {
			add(c.Owner)
		}
	}
	for _, o := range r.FormerOwners {
		add(o.Owner)
	}
	return out
}

// notifyTimeout bounds the calls that notify hosts of stopped jobs or released
// segments.
const notifyTimeout = time.Second
