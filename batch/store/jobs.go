package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// maxSwapAttempts bounds the tries of one change against racing writers.
const maxSwapAttempts = 64

// ErrUnchanged is returned by a change that wants no write.
var ErrUnchanged = errors.New("unchanged")

// Job is a record at one version.
type Job struct {
	*Record
	Version kv.Version
}

// Load reads a job's record.
func Load(ctx context.Context, store kv.Store, id string) (*Job, error) {
	r, err := kv.Read(ctx, store, jobPrefix+id)
	if err != nil {
		return nil, err
	}
	job := &Job{Record: &Record{}, Version: r.Version}
	return job, decode(r.Payload, job.Record)
}

// Update changes a job's record by compare-and-swap, from known when it is not
// nil. The change may be called again on a newer record, also when an earlier
// call took effect with its reply lost, so it must be idempotent.
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
	return nil, errors.Mark(errors.Newf("job %s: too many racing writers", id), kv.ErrConflict)
}

func putRecord(ctx context.Context, store kv.Store, r *Record, version kv.Version) (kv.Version, error) {
	value, err := encode(r)
	if err != nil {
		return 0, err
	}
	return kv.Swap(ctx, store, kv.Put{Key: jobPrefix + r.ID, Value: value, If: version})
}
