package limits

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Options are what a FairQueue works with. Hosts, Upstreams and Clock are
// required.
type Options struct {
	DataCentre string
	Region     string
	// Hosts gives the hosts that share the upstreams of the data centre.
	Hosts     membership.View
	Upstreams membership.UpstreamView
	Clock     clockwork.Clock
	Seed      uint64
	// Reports returns the load that a service's upstreams report; nil means
	// that there are no reports.
	Reports func(service string) Report
	// Share returns the part of a caller's limits that this host may use; nil
	// takes an even part for each known host.
	Share func(service, caller string) float64
}

// hosts returns the number of hosts that share the data centre's upstreams.
func (o *Options) hosts() int { return max(1, alive(o.Hosts.Local())) }

func alive(hosts []membership.Host) int {
	n := 0
	for _, h := range hosts {
		if h.State == membership.Alive {
			n++
		}
	}
	return n
}

// evenShare returns an even part for each host that is alive anywhere, so that
// the sum over the hosts is never more than the whole.
func (o *Options) evenShare(string, string) float64 {
	return 1 / float64(max(1, alive(o.Hosts.Local())+alive(o.Hosts.Remote())))
}

// FairQueue is an Admission: for each service a bounded queue, by urgency
// between classes and fair by weight between the callers of a class. A request
// that would wait longer than its class allows is refused at once. It is safe
// for concurrent use.
type FairQueue struct {
	opts Options

	mu     sync.RWMutex
	queues map[string]*queue
}

var _ Admission = (*FairQueue)(nil)

// NewFairQueue returns an empty FairQueue.
func NewFairQueue(o Options) *FairQueue {
	f := &FairQueue{opts: o, queues: make(map[string]*queue)}
	if f.opts.Reports == nil {
		f.opts.Reports = func(string) Report { return Report{} }
	}
	if f.opts.Share == nil {
		f.opts.Share = f.opts.evenShare
	}
	return f
}

func (f *FairQueue) queue(name string) *queue {
	f.mu.RLock()
	q, ok := f.queues[name]
	f.mu.RUnlock()
	if ok {
		return q
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if q, ok := f.queues[name]; ok {
		return q
	}
	q = &queue{
		opts: &f.opts, name: name, factor: 1, limits: make(map[string]*callerLimit),
		random: rand.New(rand.NewPCG(f.opts.Seed, xxhash.Sum64String(name))),
	}
	f.queues[name] = q
	return q
}

// Admit implements Admission.
func (f *FairQueue) Admit(ctx context.Context, ask Request) (func(), error) {
	q := f.queue(ask.Doc.Name)
	w, err := q.enter(&ask)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.granted:
	case <-ctx.Done():
		if q.abandon(w) {
			return nil, ended(ctx)
		}
		err = <-w.granted
	}
	if err != nil {
		return nil, err
	}
	start := f.opts.Clock.Now()
	var once sync.Once
	return func() { once.Do(func() { q.leave(w.tokens, f.opts.Clock.Since(start)) }) }, nil
}

// ended returns the error of a request whose context ended while it waited.
func ended(ctx context.Context) error {
	code := verdict.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = verdict.CodeTimeout
	}
	return verdict.Wrap(ctx.Err(), verdict.NotRun, code, "The request ended while it waited.")
}

// Waiting implements Admission.
func (f *FairQueue) Waiting(service string) int {
	f.mu.RLock()
	q, ok := f.queues[service]
	f.mu.RUnlock()
	if !ok {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}
