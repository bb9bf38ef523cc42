package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Options configures a Manager. All fields are required.
type Options struct {
	KV             kv.Store
	Config         *config.Holder
	Client         *upstream.Client
	ActivityReader routing.ActivityReader
	Guard          quarantine.Guard
	Hosts          membership.View
	Upstreams      membership.UpstreamView
	Peers          peer.Invoker
	Events         *timeline.Recorder
	Costs          *accounting.Counters
	Clock          clockwork.Clock
	Log            *logrus.Entry
	// Owner identifies this incarnation of the host in claims.
	Owner  store.Owner
	Timing run.Timing
	Limits run.Limits
	// MaxLineBytes bounds the length of a line of an input file.
	MaxLineBytes int
}

// Manager handles the batch jobs of one host: it accepts jobs, claims segments,
// runs items on the replicas that the host owns, and reads results. It
// implements API and suture's Service.
type Manager struct {
	o          Options
	acceptor   *store.Acceptor
	worker     *run.Worker
	dispatcher *dispatcher
	collector  *store.Collector
	// controlWake ends the wait of control between two steps.
	controlWake chan struct{}
	// recordCache holds the head records read recently for callers.
	recordCache *expirable.LRU[string, *store.Job]

	mu sync.Mutex
	// activeJobs holds the entries of the active index, by service and shard.
	activeJobs map[string]map[int][]store.ActiveEntry
}

var _ API = (*Manager)(nil)

// NewManager returns a manager. It runs no items until Serve is called.
func NewManager(o Options) *Manager {
	m := &Manager{
		o: o, acceptor: &store.Acceptor{KV: o.KV, Clock: o.Clock}, collector: &store.Collector{KV: o.KV},
		recordCache: expirable.NewLRU[string, *store.Job](recordCacheSize, nil, recordCacheTTL),
		controlWake: make(chan struct{}, 1), activeJobs: make(map[string]map[int][]store.ActiveEntry),
	}
	processes := &processTracker{hosts: o.Hosts, incarnations: make(map[string]uint64)}
	m.worker = run.New(run.Options{
		KV: o.KV, Clock: o.Clock, Owner: o.Owner, Events: o.Events, Costs: o.Costs, Log: o.Log,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Timing: o.Timing, Limits: o.Limits,
		Document: m.document, Capacity: m.capacity, OwnerEnded: processes.ended,
	})
	m.dispatcher = newDispatcher(m)
	return m
}

// document returns the document of a service that is in force.
func (m *Manager) document(name string) (*service.Document, bool) {
	return m.o.Config.Current().Service(name)
}

// capacity estimates the rate, in items per second, at which all hosts together
// finish items of a service. It assumes that each finishes as many as this one.
func (m *Manager) capacity(service string) float64 {
	hosts := len(m.o.Hosts.Local()) + len(m.o.Hosts.Remote())
	return m.dispatcher.itemsPerSecond(service) * float64(max(1, hosts))
}

// Register registers the RPC methods that peers call.
func (m *Manager) Register(s *peer.Server) error { return s.Register(rpcName, &receiver{m}) }

// String returns the name of the service in supervisor events.
func (m *Manager) String() string { return "batch" }

// Serve runs batch jobs until ctx ends.
func (m *Manager) Serve(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { m.control(ctx) })
	group.Go(func() { m.collect(ctx) })
	m.dispatcher.serve(ctx)
	return ctx.Err()
}

const (
	// activeStepInterval and idleStepInterval are the times between two steps
	// of the worker while there are jobs and while there are none.
	activeStepInterval = 20 * time.Millisecond
	idleStepInterval   = 500 * time.Millisecond
	// maintainInterval is the time between two runs of the worker's
	// maintenance, collectInterval the time between two collections of expired
	// data.
	maintainInterval = 10 * time.Second
	collectInterval  = time.Hour
)

// control runs the worker's steps and its maintenance at intervals until ctx
// ends.
func (m *Manager) control(ctx context.Context) {
	maintainAt := m.o.Clock.Now()
	for ctx.Err() == nil {
		demands := m.dispatcher.demands()
		m.worker.Step(ctx, demands...)
		if now := m.o.Clock.Now(); !now.Before(maintainAt) {
			m.worker.Maintain(ctx, m.isResponsible)
			maintainAt = now.Add(maintainInterval)
		}
		m.dispatcher.wakeUp()
		wait := idleStepInterval
		if m.worker.HasJobs() {
			wait = activeStepInterval
		}
		m.sleep(ctx, wait, m.controlWake)
	}
}

// sleep returns after the duration, on a value on wake or when ctx ends,
// whichever is first.
func (m *Manager) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := m.o.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-wake:
	case <-ctx.Done():
	}
}

// wakeControl starts the next step of control without waiting for the interval.
func (m *Manager) wakeControl() {
	select {
	case m.controlWake <- struct{}{}:
	default:
	}
}

// isResponsible reports whether this host is responsible for a role: the
// maintenance of the job with that id, or the collection of a shard.
func (m *Manager) isResponsible(role string) bool {
	hosts := append(m.o.Hosts.Local(), m.o.Hosts.Remote()...)
	best := membership.Rendezvous(hosts, role, 1)
	return len(best) == 1 && best[0].Name == m.o.Hosts.Self().Name
}

// Drain cancels the running items, hands over all claims with their progress and
// waits until that is recorded or ctx ends. It then notifies peers.
func (m *Manager) Drain(ctx context.Context) {
	jobs := m.worker.HeldJobs()
	m.worker.Drain()
	for ctx.Err() == nil && m.worker.State().Held > 0 {
		m.wakeControl()
		m.sleep(ctx, activeStepInterval, nil)
	}
	m.notifyReleased(ctx, jobs)
}

// collect periodically removes the expired data in the shards for which this
// host is responsible.
func (m *Manager) collect(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range m.o.Config.Current().Names() {
			m.collectService(ctx, name)
		}
		m.sleep(ctx, collectInterval, nil)
	}
}

// collectService collects the shards of one service. It stops at the first error.
func (m *Manager) collectService(ctx context.Context, name string) {
	doc, ok := m.document(name)
	if !ok {
		return
	}
	ctx = kv.WithPurpose(ctx, kv.PurposeOther)
	for shard := range store.Shards {
		if !m.isResponsible(store.CollectorRole(name, shard)) {
			continue
		}
		err := m.collector.Collect(ctx, name, shard, doc.Batch.Retention, m.o.Clock.Now())
		if err != nil && ctx.Err() == nil {
			m.o.Log.WithError(err).WithField("service", name).Info("collection of expired batch data failed; will retry in the next collection")
			return
		}
	}
}

// watch keeps the active index of all services up to date.
func (m *Manager) watch(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	watched := make(map[string]bool)
	for ctx.Err() == nil {
		changed := m.o.Config.Changed()
		for _, name := range m.o.Config.Current().Names() {
			if !watched[name] {
				watched[name] = true
				group.Go(func() { m.watchService(ctx, name) })
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

const (
	// watchTimeout bounds the wait for changes in one call of a watch.
	watchTimeout    = 30 * time.Second
	watchRetryDelay = time.Second
)

// watchService reads the active index of a service and then applies its changes.
// After a gap in the watch it reads the whole index again.
func (m *Manager) watchService(ctx context.Context, name string) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	w := kv.Watch{Key: store.ActivePrefix(name), Prefix: true, Wait: watchTimeout}
	for ctx.Err() == nil {
		changes, err := m.o.KV.Watch(ctx, w)
		if err == nil && w.After == 0 {
			err = m.readIndex(ctx, name)
		}
		if err != nil {
			if errors.Is(err, kv.ErrCompacted) {
				w.After = 0
			}
			m.sleep(ctx, watchRetryDelay+rand.N(watchRetryDelay), nil)
			continue
		}
		w.After = changes.Through
		m.applyEvents(name, changes.Events)
	}
}

// readIndex reads all shards of a service's active index.
func (m *Manager) readIndex(ctx context.Context, name string) error {
	for shard := range store.Shards {
		entries, err := store.ActiveJobs(ctx, m.o.KV, name, shard)
		if err != nil {
			return err
		}
		m.setShard(name, shard, entries)
	}
	m.publishActiveJobs(name)
	return nil
}

// applyEvents applies changes of a service's active index.
func (m *Manager) applyEvents(name string, events []kv.Event) {
	for _, e := range events {
		shard, ok := store.ParseActiveKey(name, e.Key)
		if !ok {
			continue
		}
		var entries []store.ActiveEntry
		if !e.Deleted {
			var err error
			if entries, err = store.DecodeActive(e); err != nil {
				m.o.Log.WithError(err).WithField("service", name).Error("cannot decode shard of the active index")
				continue
			}
		}
		m.setShard(name, shard, entries)
	}
	if len(events) > 0 {
		m.publishActiveJobs(name)
	}
}

func (m *Manager) setShard(name string, shard int, entries []store.ActiveEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.activeJobs[name] == nil {
		m.activeJobs[name] = make(map[int][]store.ActiveEntry)
	}
	m.activeJobs[name][shard] = entries
}

// publishActiveJobs passes a service's active jobs to the worker.
func (m *Manager) publishActiveJobs(name string) {
	m.mu.Lock()
	var all []store.ActiveEntry
	for _, entries := range m.activeJobs[name] {
		all = append(all, entries...)
	}
	m.mu.Unlock()
	m.worker.SetActiveJobs(name, all)
	m.wakeControl()
}

// jobChanged starts the next step of control after this host has changed a job.
func (m *Manager) jobChanged(string, *store.Record) { m.wakeControl() }
