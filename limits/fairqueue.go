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

// Options configure a FairQueue. Hosts, Upstreams and Clock are required.
type Options struct {
	DataCentre string
	Region     string
	// Hosts lists the hosts, of which those in this data centre share its
	// upstreams.
	Hosts     membership.View
	Upstreams membership.UpstreamView
	Clock     clockwork.Clock
	Seed      uint64
	// Reports returns the load that a service's upstreams report; nil means
	// that there are no reports.
	Reports func(service string) LoadReport
	// CallerShare returns the fraction of a caller's limits that this host may
	// use; nil divides the limits evenly among all hosts that are alive.
	CallerShare func(service, caller string) float64
}

// hostCount returns the number of hosts that share the data centre's upstreams.
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

// evenCallerShare returns the same fraction on each host that is alive in any data
// centre, so that the hosts together don't exceed the limit.
func (o *Options) evenCallerShare(string, string) float64 {
	return 1 / float64(max(1, countAlive(o.Hosts.Local())+countAlive(o.Hosts.Remote())))
}

// FairQueue is an Admission with a bounded queue for each service: classes are
// served by priority, and the callers of a class by weighted fair queueing. It
// refuses at once a request that would wait longer than its class allows. It is
// safe for concurrent use.
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

// newWaitEndedError returns the error of a request whose context ended while it
// waited.
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
