// Package store keeps batch jobs in the platform's key-value service: input
// files in segments, one record for each job, chunks of results, and indexes.
// Each step that must happen once is a compare-and-swap on one key.
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

// Errors of an acceptance.
var (
	// ErrContentMismatch means that an idempotency key came with other content.
	ErrContentMismatch = errors.New("the key was used with other content")
	// ErrAcceptanceExpired means that an acceptance took too long and has to begin anew.
	ErrAcceptanceExpired = errors.New("acceptance took too long")
	// ErrMayBeAccepted means that the outcome of the last step is unknown.
	ErrMayBeAccepted = errors.New("the job may have been accepted")
)

const (
	// acceptTimeout bounds an acceptance between its first index entry and its
	// head.
	acceptTimeout = time.Hour
	// abandonAge is the age after which an announced job without a head is
	// abandoned.
	abandonAge = 2 * acceptTimeout
	// abandonedTTL keeps the mark of an abandoned acceptance.
	abandonedTTL = 7 * 24 * time.Hour
)

// Acceptor accepts files and jobs.
type Acceptor struct {
	KV    kv.Store
	Clock clockwork.Clock
}

// Origin says whose request it is and what makes it the same as another.
type Origin struct {
	Service string
	Caller  string
	// Key is the caller's idempotency key; it may be empty.
	Key string
	// Window is how long the same content without a key is the same request.
	Window time.Duration
	// Retention is how long the outcome stays readable.
	Retention time.Duration
}

type firstRequest struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// assignID returns the id of a request: by its key, or by its content within
// the window, where the first request's candidate id wins on all hosts.
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

// Upload is a file that is being stored.
type Upload struct {
	*Writer
	acceptor  *Acceptor
	origin    Origin
	startedAt time.Time
	expiry    ExpiryEntry
}

// kindFile and kindJob begin the ids of files and jobs.
const (
	kindFile = "file"
	kindJob  = "batch"
)

// BeginUpload records where the segments of an upload will be, so that they are
// collected if it never finishes, and returns the upload.
func (a *Acceptor) BeginUpload(ctx context.Context, o Origin, segmentItems int) (*Upload, error) {
	u := &Upload{Writer: NewWriter(a.KV, segmentItems), acceptor: a, origin: o, startedAt: a.Clock.Now()}
	u.expiry = ExpiryEntry{DataID: u.DataID(), ID: kindFile + "-" + u.DataID()}
	if o.Key != "" {
		u.expiry.ID = keyedID(kindFile, o)
	}
	return u, addExpiry(ctx, a.KV, o.Service, u.expireAt(), u.expiry)
}

func (u *Upload) expireAt() time.Time { return u.startedAt.Add(max(u.origin.Window, abandonAge)) }

// Accept creates the file's head. The same file accepted before is returned
// with resent true.
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

// JobRequest asks for a job over a file.
type JobRequest struct {
	Origin
	File     *File
	Endpoint string
	Metadata map[string]string
	Due      time.Duration
	Once     bool
}

// AcceptJob accepts a job, or finds the same one accepted before. The steps are: the
// file's list of jobs, the announcement in the active index, the caller's list,
// and last the head, whose creation is the acceptance.
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

// findAccepted returns the job if its head exists.
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

// announce names the job wherever it must be found again.
func (a *Acceptor) announce(ctx context.Context, r *Record, req *JobRequest, renew bool) error {
	if err := a.addJobToFile(ctx, req.File.ID, r.ID, renew); err != nil {
		return err
	}
	e := ActiveEntry{Job: r.ID, Nonce: ulid.Make().String(), AddedAt: r.AcceptedAt, DueAt: r.DueAt, Items: req.File.Items}
	// A new nonce keeps the announcement from a collector that has just seen
	// an older one without a head.
	if err := Announce(ctx, a.KV, r.Service, e, true); err != nil {
		return err
	}
	return AddCallerJob(ctx, a.KV, r.Service, r.Caller, r.ID, req.Due+2*req.Retention)
}

// addJobToFile names the job in its file's head, so that the file is kept. With renew
// it writes also where the job is named already, so that a collector that has
// read the head before fails to delete it.
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
	return errors.Mark(errors.Newf("file %s: too many racing writers", file), kv.ErrConflict)
}

// createJob creates the head, also over the mark of an abandoned acceptance.
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
			// The collector may have withdrawn the announcement.
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
	return nil, false, errors.Mark(errors.Newf("job %s: too many racing writers", r.ID), kv.ErrConflict)
}

// Abandon marks the acceptance of an announced job that has no head and
// withdraws it. It reports false when there is a head or it may yet come.
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

// markAbandoned creates the mark of an abandoned acceptance unless the job has
// a head.
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
