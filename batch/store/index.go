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
	// Shards is the number of shards of each service's indexes.
	Shards = 16
	// maxShardEntries bounds the entries of one shard.
	maxShardEntries = 4096
)

// ErrShardFull means that an index shard has no room.
var ErrShardFull = errors.New("index shard is full")

func shardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// updateValue changes the value under a key by compare-and-swap; an absent key has
// the zero value. The updateValue reports whether it wants a write, and may be
// called again after a lost race.
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
	return errors.Mark(errors.Newf("key %s: too many racing writers", key), kv.ErrConflict)
}

// readValue decodes the value under a key; an absent key leaves v and has version zero.
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

// ActiveEntry announces a job that hosts may work on.
type ActiveEntry struct {
	Job string `json:"j"`
	// Nonce tells two announcements of one job apart.
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

// ActivePrefix returns the prefix of a service's active shards, for a watch.
func ActivePrefix(service string) string { return activePrefix + service + "/" }

func activeKey(service string, shard int) string {
	return fmt.Sprintf("%s%d", ActivePrefix(service), shard)
}

// ParseActiveKey returns the number of a service's active shard with the key.
func ParseActiveKey(service, key string) (int, bool) {
	text, ok := strings.CutPrefix(key, ActivePrefix(service))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Announce adds a job to the active index. With renew it replaces an
// announcement that is already there.
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

// Withdraw removes an announcement, but not a newer one of the same job.
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

// ActiveJobs returns the announced jobs of one shard of a service.
func ActiveJobs(ctx context.Context, store kv.Store, service string, shard int) ([]ActiveEntry, error) {
	var s activeShard
	_, err := readValue(ctx, store, activeKey(service, shard), &s)
	return s.Entries, err
}

// DecodeActive decodes a shard that a watch saw.
func DecodeActive(e kv.Event) ([]ActiveEntry, error) {
	r, err := kv.RecordOf(e.Entry)
	if err != nil {
		return nil, err
	}
	var s activeShard
	return s.Entries, decode(r.Payload, &s)
}

// Page of a caller's jobs.
const (
	pageEntries = 256
	maxPages    = 64
)

type callerPage struct {
	// Jobs are oldest first.
	Jobs []string `json:"j"`
	// Older names the page before this one.
	Older string `json:"o,omitempty"`
	Depth int    `json:"p,omitempty"`
}

func callerKey(service, caller, page string) string {
	return callerPrefix + service + "/" + caller + "/" + page
}

// newestPage is the key's end of the newest page.
const newestPage = "newest"

// AddCallerJob adds a job to its caller's list. A full page becomes an immutable
// one. Pages vanish after ttl.
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

// EachCallerJob calls take for a caller's jobs, newest first, until it returns false.
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
