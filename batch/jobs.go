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

// Kinds of event of jobs.
const (
	EventAccepted  timeline.Kind = "batch.accepted"
	EventResent    timeline.Kind = "batch.resent"
	EventCancelled timeline.Kind = "batch.cancel-asked"
)

// Create implements API.
func (m *Manager) Create(ctx context.Context, who config.Identity, req CreateRequest) (Job, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	f, err := m.loadFile(ctx, who, req.InputFileID)
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
	due := req.Due
	if due == 0 {
		due = doc.Batch.Due
	}
	job, resent, err := m.acceptor.AcceptJob(ctx, &store.JobRequest{
		Origin: originOf(doc, f.Caller, req.Key), File: f, Endpoint: req.Endpoint, Metadata: req.Metadata,
		Due: due, Once: doc.Batch.Repeat == service.RepeatNever,
	})
	if err != nil {
		return Job{}, refused(err)
	}
	kind := EventAccepted
	if resent {
		kind = EventResent
	}
	m.o.Events.Record(timeline.Event{Kind: kind, Job: job.ID, Service: doc.Name})
	m.noticed(doc.Name, job.Record)
	out := m.jobOf(job.Record)
	out.Resent = resent
	return out, nil
}

// checkEndpoint compares the job's endpoint with that of the file's items,
// which are all alike.
func checkEndpoint(f *store.File, endpoint string) error {
	if f.URL == endpoint {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
		"The field endpoint must be %s, as in the file.", f.URL).WithParam("endpoint")
}

const (
	// readJobs and readAge bound the records kept to answer callers, so that
	// callers that poll cost the platform's service nothing.
	readJobs = 256
	readAge  = 500 * time.Millisecond
)

// read returns a job's record that is at most readAge old.
func (m *Manager) read(ctx context.Context, id string) (*store.Job, error) {
	if job, ok := m.reads.Get(id); ok {
		return job, nil
	}
	job, err := store.Load(ctx, m.o.KV, id)
	if err == nil {
		m.reads.Add(id, job)
	}
	return job, err
}

// load reads a job that the caller may see.
func (m *Manager) load(ctx context.Context, who config.Identity, id, what, asked string) (*store.Job, error) {
	job, err := m.read(ctx, id)
	if err == nil && (job.Status == store.StatusAbandoned || job.Caller == "" || !who.Allows(job.Service, job.Caller)) {
		err = kv.ErrNotFound
	}
	if err != nil {
		return nil, unreadable(err, what, asked)
	}
	return job, nil
}

// jobOf returns a job as callers see it.
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
func (m *Manager) Job(ctx context.Context, who config.Identity, id string) (Job, error) {
	rec, err := m.load(ctx, who, id, "job", id)
	if err != nil {
		return Job{}, err
	}
	return m.jobOf(rec.Record), nil
}

// List implements API.
func (m *Manager) List(ctx context.Context, who config.Identity, after string, limit int) ([]Job, bool, error) {
	var jobs []Job
	past := after == ""
	more := false
	for name, caller := range who.Callers {
		err := store.EachCallerJob(ctx, m.o.KV, name, caller, func(id string) (bool, error) {
			if !past {
				past = id == after
				return true, nil
			}
			if len(jobs) >= limit {
				more = true
				return false, nil
			}
			rec, err := m.read(ctx, id)
			if errors.Is(err, kv.ErrNotFound) || err == nil && rec.Status == store.StatusAbandoned {
				return true, nil
			}
			if err == nil {
				jobs = append(jobs, m.jobOf(rec.Record))
			}
			return true, err
		})
		if err != nil {
			return nil, false, unreadable(err, "job", after)
		}
	}
	return jobs, more, nil
}

// Cancel implements API.
func (m *Manager) Cancel(ctx context.Context, who config.Identity, id string) (Job, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeCancel)
	rec, err := m.load(ctx, who, id, "job", id)
	if err == nil {
		rec, err = store.Update(ctx, m.o.KV, id, nil, m.cancelChange)
		m.reads.Remove(id)
	}
	var final *verdict.Error
	if errors.As(err, &final) && final.Code == verdict.CodeNotFound {
		return Job{}, err
	}
	if err != nil {
		return Job{}, m.cancelUnrecorded(ctx, who, id, err)
	}
	m.o.Events.Record(timeline.Event{Kind: EventCancelled, Job: id, Service: rec.Service, Cause: string(rec.Status)})
	if rec.Status == store.StatusCancelling {
		m.tell(ctx, &StopArgs{Job: id}, ownersOf(rec.Record))
	}
	m.noticed(rec.Service, rec.Record)
	return m.jobOf(rec.Record), nil
}

func (m *Manager) cancelChange(r *store.Record) error {
	if r.Status != store.StatusInProgress {
		return store.ErrUnchanged
	}
	r.Cancel()
	now := m.o.Clock.Now()
	r.UpdateStatus(now, now.Add(-m.o.Timing.LeaseDuration-m.o.Timing.LeaseMargin))
	return nil
}

// cancelUnrecorded tells all hosts to stop a job whose cancellation can't be
// written now. A host that holds a part of it records it when it can.
func (m *Manager) cancelUnrecorded(ctx context.Context, who config.Identity, id string, cause error) error {
	m.tell(ctx, &StopArgs{Job: id, Callers: who.Callers}, m.everyone())
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodePlatformUnavailable,
		"The hosts were told to stop, but the cancellation isn't recorded yet; send it again.").WithRetryAfter(retryAdvice)
}

// ownersOf returns the addresses of a job's owners, those that lost a claim
// included.
func ownersOf(r *store.Record) []string {
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

// cancelTimeout bounds the calls that tell hosts to stop.
const cancelTimeout = time.Second
