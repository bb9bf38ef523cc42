package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// maxSwapAttempts bounds the attempts at one compare-and-swap against
// concurrent writers.
const maxSwapAttempts = 64

// ErrUnchanged is returned by a change function to leave the record as it is.
var ErrUnchanged = errors.New("record unchanged")

// Job is a job's record at one version.
type Job struct {
	*Record
	Version kv.Version
}

// Load reads a job's record from the store.
func Load(ctx context.Context, store kv.Store, id string) (*Job, error) {
	r, err := kv.Read(ctx, store, jobPrefix+id)
	if err != nil {
		return nil, err
	}
	job := &Job{Record: &Record{}, Version: r.Version}
	return job, decode(r.Payload, job.Record)
}

// Update changes a job's record by compare-and-swap, starting from current
// unless it is nil. After a conflict, change is called again on the record as
// stored, which may already contain the effect of an earlier call whose reply
// was lost: change must be idempotent. If change returns ErrUnchanged, Update
// returns the record without a write.
func Update(ctx context.Context, store kv.Store, id string, current *Job, change func(*Record) error) (*Job, error) {
	for range maxSwapAttempts {
		if current == nil {
			var err error
			if current, err = Load(ctx, store, id); err != nil {
				return nil, err
			}
		}
		next := current.Clone()
		if err := change(next); err != nil {
			if errors.Is(err, ErrUnchanged) {
				return current, nil
			}
			return current, err
		}
		version, err := putRecord(ctx, store, next, current.Version)
		if err == nil {
			return &Job{Record: next, Version: version}, nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			return current, err
		}
		current = nil
	}
	return nil, errors.Mark(errors.Newf("update job %s: too many concurrent writers", id), kv.ErrConflict)
}

func putRecord(ctx context.Context, store kv.Store, r *Record, version kv.Version) (kv.Version, error) {
	value, err := encode(r)
	if err != nil {
		return 0, err
	}
	return kv.Swap(ctx, store, kv.Put{Key: jobPrefix + r.ID, Value: value, If: version})
}
