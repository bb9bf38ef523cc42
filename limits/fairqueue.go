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
	Reports func(service string) LoadReport
	// CallerShare returns the part of a caller's limits that this host may use; nil
	// takes an even part for each known host.
	CallerShare func(service, caller string) float64
}

// hostCount returns the number of hostCount that share the data centre's upstreams.
func (o *Options) hostCount() int { return max(1, countAlive(o.Hosts.Local())) }

func countAlive(hosts []membership.Host) int {
	n := 0
	for _, h := range hosts {
		if h.State == membership.Alive {
			n++
		}
	}
	return n
}

// evenCallerShare returns an even part for each host that is alive anywhere, so that
// the sum over the hosts is never more than the whole.
func (o *Options) evenCallerShare(string, string) float64 {
	return 1 / float64(max(1, countAlive(o.Hosts.Local())+countAlive(o.Hosts.Remote())))
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
		f.opts.Reports = func(string) LoadReport { return LoadReport{} }
	}
	if f.opts.CallerShare == nil {
		f.opts.CallerShare = f.opts.evenCallerShare
	}
	return f
}

func (f *FairQueue) queueFor(name string) *queue {
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
		opts: &f.opts, name: name, factor: 1, limiters: make(map[string]*callerLimiters),
		random: rand.New(rand.NewPCG(f.opts.Seed, xxhash.Sum64String(name))),
	}
	f.queues[name] = q
	return q
}

// Admit implements Admission.
func (f *FairQueue) Admit(ctx context.Context, req Request) (func(), error) {
	q := f.queueFor(req.Doc.Name)
	w, err := q.submit(&req)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.decision:
	case <-ctx.Done():
		if q.cancel(w) {
			return nil, newWaitEndedError(ctx)
		}
		err = <-w.decision
	}
	if err != nil {
		return nil, err
	}
	start := f.opts.Clock.Now()
	var once sync.Once
	return func() { once.Do(func() { q.finish(w.tokens, f.opts.Clock.Since(start)) }) }, nil
}

// newWaitEndedError returns the error of a request whose context newWaitEndedError while it waited.
func newWaitEndedError(ctx context.Context) error {
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
