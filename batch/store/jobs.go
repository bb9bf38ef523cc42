package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// maxSwaps bounds the tries of one change against racing writers.
const maxSwaps = 64

// ErrUnchanged is returned by a change that wants no write.
var ErrUnchanged = errors.New("unchanged")

// Job is a record at one version.
type Job struct {
	*Record
	Version kv.Version
}

// Load reads a job's record.
func Load(ctx context.Context, platform kv.Store, id string) (*Job, error) {
	r, err := kv.Read(ctx, platform, keyJob+id)
	if err != nil {
		return nil, err
	}
	job := &Job{Record: &Record{}, Version: r.Version}
	return job, decode(r.Payload, job.Record)
}

// Update changes a job's record by compare-and-swap, from known when it is not
// nil. The change may be called again on a newer record, also when an earlier
// call took effect with its reply lost, so it must be idempotent.
func Update(ctx context.Context, platform kv.Store, id string, known *Job, change func(*Record) error) (*Job, error) {
	for range maxSwaps {
		if known == nil {
			var err error
			if known, err = Load(ctx, platform, id); err != nil {
				return nil, err
			}
		}
		next := known.Clone()
		if err := change(next); err != nil {
			if errors.Is(err, ErrUnchanged) {
				return known, nil
			}
			return known, err
		}
		version, err := putRecord(ctx, platform, next, known.Version)
		if err == nil {
			return &Job{Record: next, Version: version}, nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			return known, err
		}
		known = nil
	}
	return nil, errors.Mark(errors.Newf("job %s: too many racing writers", id), kv.ErrConflict)
}

func putRecord(ctx context.Context, platform kv.Store, r *Record, version kv.Version) (kv.Version, error) {
	value, err := encode(r)
	if err != nil {
		return 0, err
	}
	return kv.Swap(ctx, platform, kv.Put{Key: keyJob + r.ID, Value: value, If: version})
}
