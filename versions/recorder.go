package versions

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// idleInterval is the time between two looks at the records while nothing changes, so
	// that versions without replicas are retired and removed.
	idleInterval = time.Second
	// writeRetryDelay is the delay after a failed write. It doubles with each further
	// failure, up to maxWriteRetryDelay.
	writeRetryDelay    = 100 * time.Millisecond
	maxWriteRetryDelay = time.Second
)

// Recorder keeps the records of all services up to date on a host that reads the replica
// records from the store. It is safe for concurrent use.
type Recorder struct {
	store      txn.Store
	clock      clockwork.Clock
	log        *logrus.Entry
	firstStart bool
	// onRecorded is called after a version was recorded.
	onRecorded func()
	wake       chan struct{}

	mu       sync.Mutex
	services map[string]*knowledge
	// observing is set while this host reads the replica records from the store.
	observing bool
}

// NewRecorder returns a Recorder without records. FirstStart says that the whole system
// starts for the first time, so that no stream has begun yet. OnRecorded is called when
// replicas that Admits refused may be used.
func NewRecorder(store txn.Store, clock clockwork.Clock, log *logrus.Entry, firstStart bool, onRecorded func()) *Recorder {
	return &Recorder{
		store: store, clock: clock, log: log, firstStart: firstStart, onRecorded: onRecorded,
		wake: make(chan struct{}, 1), services: make(map[string]*knowledge),
	}
}

// Refresh reads all records anew. It is called when the replica records are listed: what this
// host knows of the records may be out of date by then.
func (r *Recorder) Refresh(ctx context.Context) error {
	items, at, err := txn.List(ctx, r.store, Prefix)
	if err != nil {
		return errors.Wrap(err, "list the recorded software versions")
	}
	r.applyItems(items)
	r.applyMissing(items, at)
	r.signal()
	return nil
}

// applyMissing notes which records were not among all that were listed at a revision.
func (r *Recorder) applyMissing(items []txn.Item, at txn.Rev) {
	listed := make(map[string]struct{}, len(items))
	for _, item := range items {
		listed[item.Key] = struct{}{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, k := range r.services {
		if _, ok := listed[key(name)]; !ok {
			k.learnUnreadable(txn.Item{Rev: at, Deleted: true})
		}
	}
}

// applyUnreadable notes that a record was deleted or replaced by something else. What this
// host knew of it still holds, so it is written anew. r.mu must be held.
func (r *Recorder) applyUnreadable(item txn.Item, err error) {
	for name, k := range r.services {
		if key(name) == item.Key {
			r.log.WithError(err).WithFields(logrus.Fields{"service": name, "rev": item.Rev}).Warn("the recorded software versions were deleted or can't be decoded; writing them anew")
			k.learnUnreadable(item)
		}
	}
}

// Apply applies records as they were read, or as they have changed. Another host may have
// recorded a version that waits to be used.
func (r *Recorder) Apply(items []txn.Item) {
	if len(items) == 0 {
		return
	}
	r.applyItems(items)
	r.signal()
	r.onRecorded()
}

// applyItems notes what is known by records as they were read.
func (r *Recorder) applyItems(items []txn.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		record, err := decode(item)
		if item.Deleted || err != nil {
			r.applyUnreadable(item, err)
			continue
		}
		r.service(record.Service).learn(r.clock.Now(), record, item.Rev)
	}
}

// service returns what is known of a service. r.mu must be held.
func (r *Recorder) service(name string) *knowledge {
	k, ok := r.services[name]
	if !ok {
		k = newKnowledge(name)
		r.services[name] = k
	}
	return k
}

// Observe sets the replicas as this host sees them in the store.
func (r *Recorder) Observe(replicas map[string]replica.Replica) {
	present := make(map[string]map[string]struct{})
	for _, rep := range replicas {
		if present[rep.Service] == nil {
			present[rep.Service] = make(map[string]struct{})
		}
		present[rep.Service][rep.SoftwareVersion] = struct{}{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observing = true
	for name := range present {
		r.service(name)
	}
	for name, k := range r.services {
		k.observe(r.clock.Now(), present[name])
	}
	r.signal()
}

// Pause says that this host no longer reads the replica records from the store.
func (r *Recorder) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observing = false
}

// Admits reports whether streams may begin at a replica's version.
func (r *Recorder) Admits(of replica.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.services[of.Service]
	return ok && k.record.admits(of.SoftwareVersion)
}

// IsPending reports whether a record is to be written.
func (r *Recorder) IsPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.due()) > 0
}

// due returns the records that are to be written. r.mu must be held.
func (r *Recorder) due() []Record {
	var records []Record
	if !r.observing {
		return nil
	}
	for _, k := range r.services {
		if next, ok := k.next(r.clock.Now(), r.firstStart); ok {
			records = append(records, next)
		}
	}
	return records
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// String names the service in supervisor events.
func (r *Recorder) String() string { return "software versions" }

// Serve writes records until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	retryDelay := &backoff.ExponentialBackOff{InitialInterval: writeRetryDelay, Multiplier: 2, MaxInterval: maxWriteRetryDelay, RandomizationFactor: 0.2}
	for {
		wait := idleInterval
		if err := r.writeDue(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("can't record software versions; retrying")
			wait = retryDelay.NextBackOff()
		} else {
			retryDelay.Reset()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-r.clock.After(wait):
		}
	}
}

// writeDue writes the records that are due.
func (r *Recorder) writeDue(ctx context.Context) error {
	r.mu.Lock()
	due := r.due()
	r.mu.Unlock()
	var failed error
	for _, record := range due {
		failed = errors.CombineErrors(failed, r.write(ctx, record))
	}
	return failed
}

// write writes a record if it is still as this host knows it, and else reads it.
func (r *Recorder) write(ctx context.Context, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode software versions")
	}
	r.mu.Lock()
	known := r.service(record.Service).rev
	r.mu.Unlock()
	recordKey := key(record.Service)
	rev, err := r.store.Commit(ctx, txn.Request{
		If:     []txn.Condition{{Key: recordKey, Rev: known}},
		Writes: []txn.Write{{Key: recordKey, Value: value}},
	})
	if err != nil {
		return r.readAfter(ctx, record.Service, known, err)
	}
	r.log.WithFields(logrus.Fields{"service": record.Service, "software_versions": record.Versions, "rev": rev}).Info("software versions recorded")
	r.mu.Lock()
	r.service(record.Service).learn(r.clock.Now(), record, rev)
	r.mu.Unlock()
	r.onRecorded()
	return nil
}

// readAfter reads a record whose write, after the revision known, failed with err: another
// writer has changed or deleted it, or the write may have taken effect. It returns err unless
// it was a conflict.
func (r *Recorder) readAfter(ctx context.Context, service string, known txn.Rev, err error) error {
	if !errors.Is(err, txn.ErrConflict) && !errors.Is(err, txn.ErrUnknown) {
		return err
	}
	item, readErr := r.store.Get(ctx, key(service))
	if errors.Is(readErr, txn.ErrNotFound) {
		item, readErr = txn.Item{Key: key(service), Rev: known, Deleted: true}, nil
	}
	if readErr != nil {
		return errors.CombineErrors(err, readErr)
	}
	r.applyItems([]txn.Item{item})
	r.onRecorded()
	if errors.Is(err, txn.ErrConflict) {
		r.signal()
		return nil
	}
	return err
}
