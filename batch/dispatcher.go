package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// EventSlotsRemoved says that a replica's batch slots went to zero.
const EventSlotsRemoved timeline.Kind = "batch.slots"

// Times of the dispatcher.
const (
	activeTickInterval = 5 * time.Millisecond
	idleTickInterval   = 100 * time.Millisecond
	// loadPollInterval is the age of a load report after which a new one is asked for.
	loadPollInterval = 150 * time.Millisecond
	// averageTimeConstant is the time constant of the usual number of online requests.
	averageTimeConstant = 2 * time.Second
	// batchPeakWindow is how long the largest number of running items is remembered.
	batchPeakWindow = time.Second
	// loadReportLag is the lag of load reports allowed for.
	loadReportLag = 60 * time.Millisecond
	// busyNotifyInterval is the least time between two messages about one replica.
	busyNotifyInterval = 200 * time.Millisecond
	// rateWindow is the window over which finished items are counted.
	rateWindow = 10 * time.Second
)

// dispatcher runs items on the replicas that this host dispatches for.
type dispatcher struct {
	manager *Manager
	runner  *itemRunner
	wake    chan struct{}
	tasks   sync.WaitGroup

	mu       sync.Mutex
	replicas map[membership.UpstreamKey]*replica

	// onlineAverages and owners are used only by tick.
	onlineAverages map[string]*onlineAverage
	replicaOwners  replicaOwners

	// rateMu is apart from mu, which is held while the worker is called.
	rateMu sync.Mutex
	rates  map[string]*completionRate
}

func newDispatcher(m *Manager) *dispatcher {
	return &dispatcher{
		manager: m, runner: &itemRunner{client: m.o.Client, guard: m.o.Guard}, wake: make(chan struct{}, 1),
		replicas: make(map[membership.UpstreamKey]*replica), rates: make(map[string]*completionRate),
		onlineAverages: make(map[string]*onlineAverage),
	}
}

func (d *dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// serve plans and fills slots until ctx ends, then waits for running items.
func (d *dispatcher) serve(ctx context.Context) {
	defer d.tasks.Wait()
	for ctx.Err() == nil {
		d.tick(ctx)
		wait := idleTickInterval
		if d.manager.worker.HasJobs() {
			wait = activeTickInterval
		}
		d.manager.sleep(ctx, wait, d.wake)
	}
}

// tick plans each replica's slots and carries the plans out.
func (d *dispatcher) tick(ctx context.Context) {
	d.replicaOwners.refresh(d.manager.o.Hosts.Changed())
	hosts := d.manager.o.Hosts.Local()
	snapshot := d.manager.o.Config.Current()
	self := d.manager.o.Hosts.Self()
	for _, name := range snapshot.Names() {
		doc, ok := snapshot.Service(name)
		if !ok || doc.Kind != service.KindEngine || !doc.Batch.Enabled {
			continue
		}
		burst := d.isBurst(doc)
		for i := range doc.Upstreams {
			u := &doc.Upstreams[i]
			if u.DataCentre != self.DataCentre {
				continue
			}
			d.tickReplica(ctx, doc, u, d.replicaOwners.of(hosts, name+"/"+u.Name), burst)
		}
	}
}

func (d *dispatcher) tickReplica(ctx context.Context, doc *service.Document, u *service.Upstream, owner []membership.Host, burst bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replica(doc.Name, u)
	now := d.manager.o.Clock.Now()
	d.updateState(r, now)
	if burst {
		r.state.BurstAt = now
	}
	if len(owner) == 0 || owner[0].Name != d.manager.o.Hosts.Self().Name {
		d.applyPlan(r, dispatch.Plan{}, now)
		d.notifyReplicaOwner(ctx, r, doc, owner, now)
		return
	}
	plan := dispatch.PlanSlots(&r.state, &doc.Batch, now)
	d.applyPlan(r, plan, now)
	d.startItems(ctx, doc, r)
	if len(r.running) > 0 || r.state.Slots > 0 && d.manager.worker.HasJobs() {
		d.pollLoad(ctx, r, now)
	}
}

// onlineAverage is a moving average of a service's online requests on this host.
type onlineAverage struct {
	value     float64
	updatedAt time.Time
}

// isBurst reports whether this host's online requests of a service burst.
func (d *dispatcher) isBurst(doc *service.Document) bool {
	total := 0
	for i := range doc.Upstreams {
		total += d.manager.o.ActivityReader.Activity(doc.Upstreams[i].Address).Online
	}
	average, ok := d.onlineAverages[doc.Name]
	if !ok {
		average = &onlineAverage{}
		d.onlineAverages[doc.Name] = average
	}
	now := d.manager.o.Clock.Now()
	burst := dispatch.IsBurst(total, average.value)
	if !average.updatedAt.IsZero() {
		weight := min(1, now.Sub(average.updatedAt).Seconds()/averageTimeConstant.Seconds())
		average.value += (float64(total) - average.value) * weight
	}
	average.updatedAt = now
	return burst
}

// applyPlan sets the slots and cancels items that have none.
func (d *dispatcher) applyPlan(r *replica, plan dispatch.Plan, now time.Time) {
	switch {
	case plan.Slots < r.state.Slots:
		r.state.LoweredAt = now
	case plan.Slots > r.state.Slots:
		r.state.RaisedAt = now
	}
	if plan.Slots == 0 && r.state.Slots > 0 {
		d.manager.o.Events.Record(timeline.Event{
			Kind: EventSlotsRemoved, Service: r.service, Upstream: r.upstream.Name, Cause: string(plan.Cause),
		})
	}
	r.state.Slots, r.state.Ceiling, r.state.CeilingAt, r.cause = plan.Slots, plan.Ceiling, plan.CeilingAt, plan.Cause
	excess := len(r.running) - plan.Slots
	for _, item := range slices.Backward(r.running) {
		if excess <= 0 {
			return
		}
		// An item that may run at most once can't go on elsewhere.
		if item.attempt.Once {
			continue
		}
		item.preempted = true
		item.cancel()
		excess--
	}
}

// startItems starts items in free slots.
func (d *dispatcher) startItems(ctx context.Context, doc *service.Document, r *replica) {
	if slices.Contains(d.manager.o.Guard.ExcludedUpstreams(doc.Name), r.upstream.Name) {
		// It was lost and is not back, or a suspect runs there alone.
		return
	}
	for len(r.running) < r.state.Slots {
		attempt, ok := d.manager.worker.Next(doc.Name)
		if !ok {
			return
		}
		alone, err := d.runner.checkQuarantine(attempt)
		if err != nil {
			d.manager.worker.Fail(attempt, err)
			continue
		}
		if alone || doc.Quarantine.Enabled && attempt.ReplicaFailures >= aloneThreshold {
			d.startAlone(ctx, doc, attempt)
			continue
		}
		d.startItem(ctx, doc, r, attempt)
	}
}

// readyItemsPerSlot is how many items are claimed ahead for each slot.
const readyItemsPerSlot = 2

// demands returns how many items should be ready to start, by service.
func (d *dispatcher) demands() []run.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make(map[string]int)
	for _, r := range d.replicas {
		items[r.service] += r.state.Slots * readyItemsPerSlot
	}
	var out []run.Demand
	for name, n := range items {
		if n > 0 {
			out = append(out, run.Demand{Service: name, Items: n})
		}
	}
	return out
}

// handleBusy takes a replica's slots away because another host has online work there.
func (d *dispatcher) handleBusy(service, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.replicas[membership.UpstreamKey{Service: service, Name: upstream}]
	if !ok {
		return
	}
	now := d.manager.o.Clock.Now()
	r.state.BurstAt = now
	d.applyPlan(r, dispatch.Plan{Cause: dispatch.CauseBurst}, now)
}

// notifyReplicaOwner tells a replica's dispatcher when this host's online work there
// bursts or waits.
func (d *dispatcher) notifyReplicaOwner(ctx context.Context, r *replica, doc *service.Document, owner []membership.Host, now time.Time) {
	if len(owner) == 0 || now.Sub(r.notifiedAt) < busyNotifyInterval || r.state.Online == 0 {
		return
	}
	plan := dispatch.PlanSlots(&r.state, &doc.Batch, now)
	if plan.Cause != dispatch.CauseBurst && plan.Cause != dispatch.CauseOnlineQueued {
		return
	}
	r.notifiedAt = now
	address, args := owner[0].PeerAddress, &BusyArgs{Service: r.service, Upstream: r.upstream.Name}
	d.tasks.Go(func() {
		if err := d.manager.o.Peers.Call(ctx, address, rpcName+".Busy", args, &BusyReply{}); err != nil {
			d.manager.o.Log.WithError(err).Debug("dispatcher not told of online work")
		}
	})
}
