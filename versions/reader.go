package versions

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Reader reads records from the store. Many streams are resumed at the same time, after the
// failure of a host, and share reads. It is safe for concurrent use.
type Reader struct {
	store txn.Store

	mu sync.Mutex
	// waiting holds, by service, the read that has not begun yet. Only such a read can be
	// shared: one that has begun may have seen the record as it was before.
	waiting map[string]*read
	// running holds, by service, the number of reads that have begun.
	running map[string]int
}

// maxReads bounds the reads of one record at the same time. While the store is slow, those
// that wait for a read to end would wait too long with only one.
const maxReads = 4

// read is one read of a record.
type read struct {
	done chan struct{}
	// The results may be read once done is closed.
	record Record
	err    error
}

// NewReader returns a Reader of a store.
func NewReader(store txn.Store) *Reader {
	return &Reader{store: store, waiting: make(map[string]*read), running: make(map[string]int)}
}

// Only returns the software version at which all streams of a service began that can be
// resumed now, if there is only one. The record is read after the call.
func (r *Reader) Only(ctx context.Context, service string) (version string, ok bool, err error) {
	shared := r.join(service)
	select {
	case <-shared.done:
	case <-ctx.Done():
		return "", false, errors.Wrapf(ctx.Err(), "read the software versions of service %s", service)
	}
	if shared.err != nil {
		return "", false, shared.err
	}
	version, ok = shared.record.only()
	return version, ok, nil
}

// join returns the read of a service's record that begins next.
func (r *Reader) join(service string) *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.waiting[service]
	if ok {
		return next
	}
	next = &read{done: make(chan struct{})}
	r.waiting[service] = next
	if r.running[service] < maxReads {
		r.begin(service)
	}
	return next
}

// begin starts the waiting read of a service. r.mu must be held.
func (r *Reader) begin(service string) {
	next := r.waiting[service]
	delete(r.waiting, service)
	r.running[service]++
	go r.run(service, next)
}

func (r *Reader) run(service string, current *read) {
	// The store bounds the call; the callers' contexts end only their waits.
	item, err := r.store.Get(context.Background(), key(service))
	switch {
	case err == nil:
		current.record, current.err = decode(item)
	case !errors.Is(err, txn.ErrNotFound):
		current.err = err
	}
	close(current.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[service]--; r.running[service] == 0 {
		delete(r.running, service)
	}
	if _, ok := r.waiting[service]; ok {
		r.begin(service)
	}
}
