package store

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

const (
	// Shards is the number of shards of each service's active index and expiry
	// index.
	Shards = 16
	// maxShardEntries bounds the number of entries in one shard of the active
	// index.
	maxShardEntries = 4096
)

// ErrShardFull means that the job's shard of the active index holds
// maxShardEntries.
var ErrShardFull = errors.New("active index shard is full")

func shardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// updateValue changes the value of a key by compare-and-swap. A key that does
// not exist has the zero value. The change function reports whether to write
// the value; after a conflict it is called again on the stored value.
func updateValue[T any](ctx context.Context, store kv.Store, key string, ttl time.Duration, change func(*T) (bool, error)) error {
	for range maxSwapAttempts {
		var value T
		version, err := readValue(ctx, store, key, &value)
		if err != nil {
			return err
		}
		write, err := change(&value)
		if err != nil || !write {
			return err
		}
		text, err := encode(&value)
		if err != nil {
			return err
		}
		_, err = kv.Swap(ctx, store, kv.Put{Key: key, Value: text, If: version, TTL: ttl})
		if err == nil || !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	return errors.Mark(errors.Newf("update key %s: too many concurrent writers", key), kv.ErrConflict)
}

// readValue decodes the value of a key into v. If the key does not exist, v is
// unchanged and the version is zero.
func readValue[T any](ctx context.Context, store kv.Store, key string, v *T) (kv.Version, error) {
	r, err := kv.Read(ctx, store, key)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return r.Version, decode(r.Payload, v)
}

// ActiveEntry announces, in the active index of a service, a job that hosts may
// work on.
type ActiveEntry struct {
	Job string `json:"j"`
	// Nonce distinguishes announcements of the same job.
	Nonce   string    `json:"x"`
	AddedAt time.Time `json:"t"`
	DueAt   time.Time `json:"d"`
	Items   int       `json:"n"`
}

type activeShard struct {
	Entries []ActiveEntry `json:"e"`
}

func (s *activeShard) find(job string) int {
	return slices.IndexFunc(s.Entries, func(e ActiveEntry) bool { return e.Job == job })
}

// ActivePrefix returns the prefix of the keys of a service's active index, for
// a watch.
func ActivePrefix(service string) string { return activePrefix + service + "/" }

func activeKey(service string, shard int) string {
	return fmt.Sprintf("%s%d", ActivePrefix(service), shard)
}

// ParseActiveKey returns the shard number in a key of a service's active index.
// It returns false for other keys.
func ParseActiveKey(service, key string) (int, bool) {
	text, ok := strings.CutPrefix(key, ActivePrefix(service))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Announce adds a job to the active index of its service. An existing
// announcement of the job is replaced if renew is set and left as it is
// otherwise.
func Announce(ctx context.Context, store kv.Store, service string, e ActiveEntry, renew bool) error {
	return updateValue(ctx, store, activeKey(service, shardOf(e.Job)), 0, func(s *activeShard) (bool, error) {
		i := s.find(e.Job)
		switch {
		case i >= 0 && (!renew || s.Entries[i].Nonce == e.Nonce):
			return false, nil
		case i >= 0:
			s.Entries[i] = e
		case len(s.Entries) >= maxShardEntries:
			return false, ErrShardFull
		default:
			s.Entries = append(s.Entries, e)
		}
		return true, nil
	})
}

// Withdraw removes an announcement from the active index unless the job has
// been announced again since.
func Withdraw(ctx context.Context, store kv.Store, service string, e ActiveEntry) error {
	return updateValue(ctx, store, activeKey(service, shardOf(e.Job)), 0, func(s *activeShard) (bool, error) {
		i := s.find(e.Job)
		if i < 0 || s.Entries[i].Nonce != e.Nonce {
			return false, nil
		}
		s.Entries = slices.Delete(s.Entries, i, i+1)
		return true, nil
	})
}

// ActiveJobs returns the announcements in one shard of a service's active
// index.
func ActiveJobs(ctx context.Context, store kv.Store, service string, shard int) ([]ActiveEntry, error) {
	var s activeShard
	_, err := readValue(ctx, store, activeKey(service, shard), &s)
	return s.Entries, err
}

// DecodeActive returns the announcements in a shard of the active index that a
// watch reported as changed.
func DecodeActive(e kv.Event) ([]ActiveEntry, error) {
	r, err := kv.RecordOf(e.Entry)
	if err != nil {
		return nil, err
	}
	var s activeShard
	return s.Entries, decode(r.Payload, &s)
}

// Limits of a caller's list of jobs: the jobs on one page, and the pages that
// are read.
const (
	pageEntries = 256
	maxPages    = 64
)

type callerPage struct {
	// Jobs holds the ids of the jobs, oldest first.
	Jobs []string `json:"j"`
	// Older is the name of the page with the next older jobs.
	Older string `json:"o,omitempty"`
	Depth int    `json:"p,omitempty"`
}

func callerKey(service, caller, page string) string {
	return callerPrefix + service + "/" + caller + "/" + page
}

// newestPage is the name of the page to which jobs are added.
const newestPage = "newest"

// AddCallerJob adds a job to its caller's list. When the newest page is full,
// its content moves to an immutable page named by its digest. Pages expire ttl
// after their last write.
func AddCallerJob(ctx context.Context, store kv.Store, service, caller, job string, ttl time.Duration) error {
	return updateValue(ctx, store, callerKey(service, caller, newestPage), ttl, func(p *callerPage) (bool, error) {
		if slices.Contains(p.Jobs, job) {
			return false, nil
		}
		if len(p.Jobs) >= pageEntries {
			name := digestOf(p.Jobs...)
			text, err := encode(p)
			if err != nil {
				return false, err
			}
			_, err = kv.Swap(ctx, store, kv.Put{Key: callerKey(service, caller, name), Value: text, TTL: ttl})
			if err != nil && !errors.Is(err, kv.ErrConflict) {
				return false, err
			}
			*p = callerPage{Older: name, Depth: p.Depth + 1}
		}
		p.Jobs = append(p.Jobs, job)
		return true, nil
	})
}

// EachCallerJob calls visit with the ids of a caller's jobs, newest first,
// until it returns false.
func EachCallerJob(ctx context.Context, store kv.Store, service, caller string, visit func(job string) (bool, error)) error {
	page := newestPage
	for range maxPages {
		var p callerPage
		if _, err := readValue(ctx, store, callerKey(service, caller, page), &p); err != nil {
			return err
		}
		for _, job := range slices.Backward(p.Jobs) {
			more, err := visit(job)
			if err != nil || !more {
				return err
			}
		}
		if p.Older == "" {
			return nil
		}
		page = p.Older
	}
	return nil
}
