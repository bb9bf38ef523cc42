package store

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// ExpiryEntry names what may have expired by a day. With DataID it is an
// upload: its input segments and, if it was accepted, the file with the id.
// Without DataID it is the job with the id.
type ExpiryEntry struct {
	ID     string `json:"id"`
	DataID string `json:"data,omitempty"`
}

type expiryShard struct {
	Entries []ExpiryEntry `json:"e"`
}

// day is the time that one key of the expiry index covers.
const day = 24 * time.Hour

// dayOf returns the number of the day since the Unix epoch.
func dayOf(t time.Time) int64 { return t.Unix() / int64(day/time.Second) }

func expiryKey(service string, d int64, shard int) string {
	return fmt.Sprintf("%s%s/%d/%d", expiryPrefix, service, d, shard)
}

func cursorKey(service string, shard int) string {
	return fmt.Sprintf("%s%s/cursor/%d", expiryPrefix, service, shard)
}

// CollectorRole returns the name of the role that collects one shard of a
// service, for assigning the role to a host.
func CollectorRole(service string, shard int) string { return cursorKey(service, shard) }

// addExpiry adds e to the expiry index under the day after t. An entry there
// with the same data id gets the id of e.
func addExpiry(ctx context.Context, store kv.Store, service string, t time.Time, e ExpiryEntry) error {
	shard := shardOf(e.DataID)
	if e.DataID == "" {
		shard = shardOf(e.ID)
	}
	return updateValue(ctx, store, expiryKey(service, dayOf(t)+1, shard), 0, func(s *expiryShard) (bool, error) {
		i := slices.IndexFunc(s.Entries, func(o ExpiryEntry) bool { return o.DataID == e.DataID && (o.ID == e.ID || e.DataID != "") })
		switch {
		case i >= 0 && s.Entries[i] == e:
			return false, nil
		case i >= 0:
			s.Entries[i] = e
		default:
			s.Entries = append(s.Entries, e)
		}
		return true, nil
	})
}

// Retire moves an ended job from the active index to the expiry index.
func Retire(ctx context.Context, store kv.Store, r *Record, e ActiveEntry, retention time.Duration) error {
	if err := addExpiry(ctx, store, r.Service, r.EndedAt.Add(retention), ExpiryEntry{ID: r.ID}); err != nil {
		return err
	}
	return Withdraw(ctx, store, r.Service, e)
}

// Collector removes files and jobs whose retention has passed and the data of
// uploads that were never accepted.
type Collector struct {
	KV kv.Store
}

type cursor struct {
	// Done is the last day of which all entries have been collected.
	Done int64 `json:"d"`
}

// Collect removes what has expired by now from one shard of a service.
func (c *Collector) Collect(ctx context.Context, service string, shard int, retention time.Duration, now time.Time) error {
	var position cursor
	if _, err := readValue(ctx, c.KV, cursorKey(service, shard), &position); err != nil {
		return err
	}
	today := dayOf(now)
	if position.Done == 0 {
		position.Done = today - 1 - int64(retention/day)
	}
	from := position.Done
	for d := position.Done + 1; d <= today; d++ {
		if err := c.collectDay(ctx, service, d, shard, retention, now); err != nil {
			return err
		}
		if d < today {
			position.Done = d
		}
	}
	if position.Done == from {
		return nil
	}
	return updateValue(ctx, c.KV, cursorKey(service, shard), 0, func(v *cursor) (bool, error) {
		if v.Done >= position.Done {
			return false, nil
		}
		*v = position
		return true, nil
	})
}

func (c *Collector) collectDay(ctx context.Context, service string, d int64, shard int, retention time.Duration, now time.Time) error {
	key := expiryKey(service, d, shard)
	var s expiryShard
	version, err := readValue(ctx, c.KV, key, &s)
	if err != nil || version == 0 {
		return err
	}
	for _, e := range s.Entries {
		if err := c.expire(ctx, service, e, retention, now); err != nil {
			return errors.Wrapf(err, "collect expiry entry %s", e.ID)
		}
	}
	// If an entry was added meanwhile, the version differs and the key stays;
	// the next call collects the day again.
	return ignoreMissingOrChanged(c.KV.Delete(ctx, key, version))
}

func ignoreMissingOrChanged(err error) error {
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

func (c *Collector) expire(ctx context.Context, service string, e ExpiryEntry, retention time.Duration, now time.Time) error {
	if e.DataID == "" {
		return c.expireJob(ctx, service, e, retention, now)
	}
	f, err := LoadFile(ctx, c.KV, e.ID)
	if errors.Is(err, kv.ErrNotFound) {
		return c.abandonUpload(ctx, e)
	}
	if err != nil {
		return err
	}
	if f.DataID != e.DataID {
		return c.removeData(ctx, e.DataID)
	}
	until, err := c.keepUntil(ctx, f, retention, now)
	if err != nil {
		return err
	}
	if until.After(now) {
		return addExpiry(ctx, c.KV, service, maxTime(until, now), e)
	}
	if err := c.KV.Delete(ctx, filePrefix+f.ID, f.Version); err != nil {
		return err
	}
	return c.removeData(ctx, e.DataID)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keepUntil returns the time until which a file is kept: the retention after
// its creation and after the end of each job that reads it. A file with a job
// that has not ended is kept for at least another day.
func (c *Collector) keepUntil(ctx context.Context, f *File, retention time.Duration, now time.Time) (time.Time, error) {
	until := f.CreatedAt.Add(retention)
	for _, id := range f.Jobs {
		job, err := c.loadOrAbandon(ctx, f.Service, id)
		switch {
		case err != nil:
			return until, err
		case !job.Status.Ended():
			until = maxTime(until, now.Add(day))
		case job.Status != StatusAbandoned:
			until = maxTime(until, job.EndedAt.Add(retention))
		}
	}
	return until, nil
}

// loadOrAbandon returns the record of a job. If there is none, it marks the
// acceptance as abandoned, so that a late acceptance has to add the job to its
// file again.
func (c *Collector) loadOrAbandon(ctx context.Context, service, id string) (*Job, error) {
	job, err := Load(ctx, c.KV, id)
	if !errors.Is(err, kv.ErrNotFound) {
		return job, err
	}
	if err := markAbandoned(ctx, c.KV, service, id); err != nil {
		return nil, err
	}
	return Load(ctx, c.KV, id)
}

// abandonUpload creates an empty head record under the id of the file, so that
// a late upload cannot create it, and removes the data.
func (c *Collector) abandonUpload(ctx context.Context, e ExpiryEntry) error {
	value, err := encode(&FileHead{ID: e.ID})
	if err != nil {
		return err
	}
	if _, err := kv.Swap(ctx, c.KV, kv.Put{Key: filePrefix + e.ID, Value: value, TTL: abandonedTTL}); err != nil {
		return err
	}
	return c.removeData(ctx, e.DataID)
}

// removeData removes the input segments stored under a data id.
func (c *Collector) removeData(ctx context.Context, dataID string) error {
	return c.removeNumbered(ctx, func(n int) string { return dataKey(dataID, n) })
}

// removeNumbered removes keys that are numbered from 0 without gaps. It removes
// the last first, so that an interrupted removal leaves no gap and can be
// repeated.
func (c *Collector) removeNumbered(ctx context.Context, key func(n int) string) error {
	var found []kv.Entry
	for n := 0; ; n++ {
		e, err := c.KV.Get(ctx, key(n))
		if errors.Is(err, kv.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		found = append(found, kv.Entry{Key: e.Key, Version: e.Version})
	}
	for _, e := range slices.Backward(found) {
		if err := ignoreMissingOrChanged(c.KV.Delete(ctx, e.Key, e.Version)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Collector) expireJob(ctx context.Context, service string, e ExpiryEntry, retention time.Duration, now time.Time) error {
	job, err := Load(ctx, c.KV, e.ID)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !job.Status.Ended() {
		return nil
	}
	if until := job.EndedAt.Add(retention); until.After(now) {
		return addExpiry(ctx, c.KV, service, until, e)
	}
	for n := range job.Segments {
		if err := c.removeChunks(ctx, job.Record, n); err != nil {
			return err
		}
	}
	return ignoreMissingOrChanged(c.KV.Delete(ctx, jobPrefix+job.ID, job.Version))
}

// removeChunks removes a segment's chunks: those that the record lists and
// those that failed owners wrote but did not record.
func (c *Collector) removeChunks(ctx context.Context, r *Record, n int) error {
	s := &r.Segments[n]
	for _, ref := range s.Chunks {
		if err := ignoreMissingOrChanged(c.KV.Delete(ctx, chunkKey(r.Run, ref, n), ref.Version)); err != nil {
			return err
		}
	}
	for epoch := uint32(1); epoch <= s.Epoch; epoch++ {
		if epoch == s.Epoch && s.Done() {
			continue
		}
		err := c.removeNumbered(ctx, func(i int) string {
			return chunkKey(r.Run, ChunkRef{Epoch: epoch, Sequence: s.NextSequence(epoch) + uint32(i)}, n)
		})
		if err != nil {
			return err
		}
	}
	return nil
}
