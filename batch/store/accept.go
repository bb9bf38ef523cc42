// Package store keeps batch jobs in the key-value store: input files in
// segments, one head record per job, chunks of results, and indexes of active
// and expiring jobs. Each step that must happen exactly once is a
// compare-and-swap on one key.
package store

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Errors of Acceptor and Upload.
var (
	// ErrContentMismatch means that an idempotency key was used before with
	// other content.
	ErrContentMismatch = errors.New("idempotency key was used with other content")
	// ErrAcceptanceExpired means that an acceptance exceeded acceptTimeout or
	// was abandoned by the collector. It has to start again.
	ErrAcceptanceExpired = errors.New("acceptance expired before the record was created")
	// ErrMayBeAccepted means that the outcome of the write that accepts the job
	// is unknown.
	ErrMayBeAccepted = errors.New("outcome of the acceptance is unknown")
)

const (
	// acceptTimeout bounds the time from the first index entry of an acceptance
	// to the creation of the head record.
	acceptTimeout = time.Hour
	// abandonAge is the age at which an announced job without a head record is
	// abandoned. It exceeds acceptTimeout, so that the acceptance has given up
	// by then.
	abandonAge = 2 * acceptTimeout
	// abandonedTTL is how long the record that marks an abandoned acceptance is
	// kept.
	abandonedTTL = 7 * 24 * time.Hour
)

// Acceptor accepts files and jobs.
type Acceptor struct {
	KV    kv.Store
	Clock clockwork.Clock
}

// Origin identifies the caller of a request and sets which later requests count
// as resends of it.
type Origin struct {
	Service string
	Caller  string
	// Key is the caller's idempotency key. It may be empty.
	Key string
	// Window is the time during which a request without a key counts as a
	// resend of an earlier one with the same content.
	Window time.Duration
	// Retention is how long the results of an ended job stay readable.
	Retention time.Duration
}

type firstRequest struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// assignID returns the id of a file or job. With an idempotency key the id is
// derived from the key. Without one, requests with the same content within the
// window get the candidate id of the first of them, on whichever hosts they
// arrive.
func (a *Acceptor) assignID(ctx context.Context, kind string, o Origin, content, candidate string) (string, error) {
	if o.Key != "" {
		return keyedID(kind, o), nil
	}
	now := a.Clock.Now()
	var first firstRequest
	key := resentPrefix + kind + "/" + digestOf(o.Service, o.Caller, content)
	err := updateValue(ctx, a.KV, key, 2*o.Window, func(r *firstRequest) (bool, error) {
		if r.ID != "" && now.Sub(r.At) < o.Window {
			first = *r
			return false, nil
		}
		*r = firstRequest{ID: candidate, At: now}
		first = *r
		return true, nil
	})
	return first.ID, err
}

func keyedID(kind string, o Origin) string { return kind + "-" + digestOf(o.Service, o.Caller, o.Key) }

// Upload is an input file that is being stored.
type Upload struct {
	*Writer
	acceptor  *Acceptor
	origin    Origin
	startedAt time.Time
	expiry    ExpiryEntry
}

// kindFile and kindJob are the prefixes of the ids of files and jobs.
const (
	kindFile = "file"
	kindJob  = "batch"
)

// BeginUpload starts an upload. It first enters the data id of the segments in
// the expiry index, so that the collector removes them if the upload is never
// accepted.
func (a *Acceptor) BeginUpload(ctx context.Context, o Origin, segmentItems int) (*Upload, error) {
	u := &Upload{Writer: NewWriter(a.KV, segmentItems), acceptor: a, origin: o, startedAt: a.Clock.Now()}
	u.expiry = ExpiryEntry{DataID: u.DataID(), ID: kindFile + "-" + u.DataID()}
	if o.Key != "" {
		u.expiry.ID = keyedID(kindFile, o)
	}
	return u, addExpiry(ctx, a.KV, o.Service, u.expireAt(), u.expiry)
}

func (u *Upload) expireAt() time.Time { return u.startedAt.Add(max(u.origin.Window, abandonAge)) }

// Accept creates the file's head record. If the same file was accepted before,
// it returns that one with resent set.
func (u *Upload) Accept(ctx context.Context, name string) (file *File, resent bool, err error) {
	head, err := u.Close(ctx)
	if err != nil {
		return nil, false, err
	}
	id, err := u.acceptor.assignID(ctx, kindFile, u.origin, head.Digest, u.expiry.ID)
	if err != nil {
		return nil, false, err
	}
	if id != u.expiry.ID {
		u.expiry.ID = id
		if err := addExpiry(ctx, u.store, u.origin.Service, u.expireAt(), u.expiry); err != nil {
			return nil, false, err
		}
	}
	head.ID, head.Name, head.Service, head.Caller = id, name, u.origin.Service, u.origin.Caller
	head.CreatedAt = u.acceptor.Clock.Now()
	if head.CreatedAt.Sub(u.startedAt) > acceptTimeout {
		return nil, false, ErrAcceptanceExpired
	}
	return createFile(ctx, u.store, head)
}

func createFile(ctx context.Context, store kv.Store, head *FileHead) (*File, bool, error) {
	version, err := putFile(ctx, store, head, 0)
	if err == nil {
		return &File{FileHead: head, Version: version}, false, nil
	}
	if !errors.Is(err, kv.ErrConflict) {
		return nil, false, err
	}
	existing, err := LoadFile(ctx, store, head.ID)
	switch {
	case err != nil:
		return nil, false, err
	case existing.DataID == "":
		return nil, false, ErrAcceptanceExpired
	case existing.Digest != head.Digest:
		return nil, false, ErrContentMismatch
	default:
		return existing, existing.DataID != head.DataID, nil
	}
}

// JobRequest is a caller's request for a job over an input file.
type JobRequest struct {
	Origin
	File     *File
	Endpoint string
	Metadata map[string]string
	Due      time.Duration
	Once     bool
}

// AcceptJob accepts a job, or returns the same job with resent set if it was
// accepted before. It adds the job to the file's list of jobs, then to the
// active index, then to the caller's list, and last creates the head record.
// The job is accepted when the head record is created; until then, every
// earlier step can be repeated or undone.
func (a *Acceptor) AcceptJob(ctx context.Context, req *JobRequest) (job *Job, resent bool, err error) {
	content := req.File.Digest + "/" + req.Endpoint
	id, err := a.assignID(ctx, kindJob, req.Origin, content, kindJob+"-"+ulid.Make().String())
	if err != nil {
		return nil, false, err
	}
	if job, err := a.findAccepted(ctx, id, req); err == nil || !errors.Is(err, kv.ErrNotFound) {
		return job, err == nil, err
	}
	startedAt := a.Clock.Now()
	rec := newRecord(id, req, startedAt)
	if err := a.announce(ctx, rec, req, false); err != nil {
		return nil, false, err
	}
	if a.Clock.Now().Sub(startedAt) > acceptTimeout {
		return nil, false, ErrAcceptanceExpired
	}
	return a.createJob(ctx, rec, req)
}

// findAccepted returns the job if its head record exists. It returns
// kv.ErrNotFound for an abandoned acceptance.
func (a *Acceptor) findAccepted(ctx context.Context, id string, req *JobRequest) (*Job, error) {
	job, err := Load(ctx, a.KV, id)
	if err != nil {
		return nil, err
	}
	if job.Status == StatusAbandoned {
		return nil, kv.ErrNotFound
	}
	if job.Digest != req.File.Digest || job.Endpoint != req.Endpoint {
		return nil, ErrContentMismatch
	}
	return job, nil
}

func newRecord(id string, req *JobRequest, now time.Time) *Record {
	r := &Record{
		ID: id, Service: req.Service, Caller: req.Caller, Endpoint: req.Endpoint,
		FileID: req.File.ID, Digest: req.File.Digest, Metadata: req.Metadata,
		DataID: req.File.DataID, Run: ulid.Make().String(), Once: req.Once,
		Status: StatusInProgress, AcceptedAt: now, DueAt: now.Add(req.Due),
	}
	for _, s := range req.File.Segments {
		r.Segments = append(r.Segments, Segment{Items: s.Items})
	}
	return r
}

// announce adds the job to its file's list of jobs, the active index and the
// caller's list.
func (a *Acceptor) announce(ctx context.Context, r *Record, req *JobRequest, renew bool) error {
	if err := a.addJobToFile(ctx, req.File.ID, r.ID, renew); err != nil {
		return err
	}
	e := ActiveEntry{Job: r.ID, Nonce: ulid.Make().String(), AddedAt: r.AcceptedAt, DueAt: r.DueAt, Items: req.File.Items}
	// The new nonce prevents a collector that found an older announcement
	// without a head record from withdrawing this one.
	if err := Announce(ctx, a.KV, r.Service, e, true); err != nil {
		return err
	}
	return AddCallerJob(ctx, a.KV, r.Service, r.Caller, r.ID, req.Due+2*req.Retention)
}

// addJobToFile adds the job to the list in the file's head record, which keeps
// the file from being removed. With renew it writes the record even if the job
// is listed already: the new version makes the deletion fail of a collector
// that has read the record before.
func (a *Acceptor) addJobToFile(ctx context.Context, file, job string, renew bool) error {
	for range maxSwapAttempts {
		f, err := LoadFile(ctx, a.KV, file)
		if err != nil {
			return err
		}
		named := slices.Contains(f.Jobs, job)
		if named && !renew {
			return nil
		}
		if !named {
			f.Jobs = append(f.Jobs, job)
		}
		_, err = putFile(ctx, a.KV, f.FileHead, f.Version)
		if err == nil || !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	return errors.Mark(errors.Newf("add job to file %s: too many concurrent writers", file), kv.ErrConflict)
}

// createJob creates the head record. It replaces the record of an abandoned
// acceptance.
func (a *Acceptor) createJob(ctx context.Context, r *Record, req *JobRequest) (*Job, bool, error) {
	var version kv.Version
	for range maxSwapAttempts {
		v, err := putRecord(ctx, a.KV, r, version)
		if err == nil {
			return &Job{Record: r, Version: v}, false, nil
		}
		if errors.Is(err, kv.ErrUnknown) {
			return nil, false, errors.Mark(err, ErrMayBeAccepted)
		}
		if !errors.Is(err, kv.ErrConflict) {
			return nil, false, err
		}
		job, err := Load(ctx, a.KV, r.ID)
		switch {
		case errors.Is(err, kv.ErrNotFound):
			version = 0
		case err != nil:
			return nil, false, err
		case job.Status == StatusAbandoned:
			// The collector may have withdrawn the announcement, so the job is
			// announced again.
			if err := a.announce(ctx, r, req, true); err != nil {
				return nil, false, err
			}
			version = job.Version
		case job.Run == r.Run:
			return job, false, nil
		default:
			job, err := a.findAccepted(ctx, r.ID, req)
			return job, true, err
		}
	}
	return nil, false, errors.Mark(errors.Newf("create job %s: too many concurrent writers", r.ID), kv.ErrConflict)
}

// Abandon marks the acceptance of an announced job without a head record as
// abandoned and withdraws the announcement. It reports false if there is a head
// record or if the announcement is younger than abandonAge, so that the record
// may yet be created.
func Abandon(ctx context.Context, store kv.Store, service string, e ActiveEntry, now time.Time) (bool, error) {
	if now.Sub(e.AddedAt) < abandonAge {
		return false, nil
	}
	if err := markAbandoned(ctx, store, service, e.Job); err != nil {
		return false, err
	}
	job, err := Load(ctx, store, e.Job)
	if err != nil || job.Status != StatusAbandoned {
		return false, err
	}
	return true, Withdraw(ctx, store, service, e)
}

// markAbandoned creates a record with StatusAbandoned in place of the head
// record. It does nothing if there is a head record.
func markAbandoned(ctx context.Context, store kv.Store, service, id string) error {
	value, err := encode(&Record{ID: id, Service: service, Status: StatusAbandoned})
	if err != nil {
		return err
	}
	_, err = kv.Swap(ctx, store, kv.Put{Key: jobPrefix + id, Value: value, TTL: abandonedTTL})
	if errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}
