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

// EventSlotsRemoved records that the number of a replica's batch slots was set
// to zero.
const EventSlotsRemoved timeline.Kind = "batch.slots"

const (
	// activeTickInterval and idleTickInterval are the times between two ticks
	// while there are jobs and while there are none.
	activeTickInterval = 5 * time.Millisecond
	idleTickInterval   = 100 * time.Millisecond
	// loadPollInterval is the age of a load report at which a new one is
	// requested, and the minimum time between two such requests.
	loadPollInterval = 150 * time.Millisecond
	// averageTimeConstant is the time constant of the moving averages of online
	// requests.
	averageTimeConstant = 2 * time.Second
	// batchPeakWindow is the time after which a peak of the number of running
	// items is replaced by the current number.
	batchPeakWindow = time.Second
	// loadReportLag is the time after which load reports are assumed to include
	// the effect of a change of slots.
	loadReportLag = 60 * time.Millisecond
	// busyNotifyInterval is the minimum time between two notifications of a
	// replica's owner about one replica.
	busyNotifyInterval = 200 * time.Millisecond
	// rateWindow is the time over which the rate of finished items is measured.
	rateWindow = 10 * time.Second
)

// dispatcher runs batch items on replicas. Each replica has one owner among the
// hosts of its data centre, and only the owner's dispatcher runs items on it.
type dispatcher struct {
	manager *Manager
	runner  *itemRunner
	wake    chan struct{}
	// tasks counts the goroutines that run items, poll load reports or notify
	// owners.
	tasks sync.WaitGroup

	mu       sync.Mutex
	replicas map[membership.UpstreamKey]*replica

	// onlineAverages holds the averages by service. It and replicaOwners are
	// used only by tick and need no lock.
	onlineAverages map[string]*onlineAverage
	replicaOwners  replicaOwners

	// rateMu is separate from mu to avoid a deadlock: mu is held during calls
	// of the worker, and the worker reads the rates while it holds its own lock.
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

// wakeUp starts the next tick without waiting for the interval.
func (d *dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// serve runs ticks until ctx ends, then waits for all tasks.
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

// tick plans the batch slots of each replica in this data centre and applies
// the plans.
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

// tickReplica updates the state of one replica. On the replica's owner it then
// plans the slots and starts items; on other hosts it notifies the owner of
// online requests. The slice owner has one host, or none if there is no owner.
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

// onlineAverage is a moving average of the number of this host's online requests
// of one service.
type onlineAverage struct {
	value     float64
	updatedAt time.Time
}

// isBurst reports whether this host has a burst of online requests of a service,
// and updates their average.
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

// applyPlan sets the number of slots of a replica and preempts the newest items
// in excess of it. The caller holds the lock.
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
		// An item that may run at most once can't be started again.
		if item.attempt.Once {
			continue
		}
		item.preempted = true
		item.cancel()
		excess--
	}
}

// startItems starts items in the free slots of a replica. The caller holds the
// lock.
func (d *dispatcher) startItems(ctx context.Context, doc *service.Document, r *replica) {
	if slices.Contains(d.manager.o.Guard.ExcludedUpstreams(doc.Name), r.upstream.Name) {
		// The replica failed and has not recovered, or a suspect has it to
		// itself.
		return
	}
	for len(r.running) < r.state.Slots {
		attempt, ok := d.manager.worker.Next(doc.Name)
		if !ok {
			return
		}
		alone, err := d.runner.checkQuarantine(attempt)
		if err != nil {
			d.postpone(attempt, err)
			continue
		}
		if alone || doc.Quarantine.Enabled && attempt.ReplicaFailures >= aloneThreshold {
			d.startAlone(ctx, doc, attempt)
			continue
		}
		d.startItem(ctx, doc, r, attempt)
	}
}

// readyItemsPerSlot is the number of items per slot that are to be claimed and
// ready to start.
const readyItemsPerSlot = 2

// demands returns the number of items that should be ready to start, for each
// service with slots on this host's replicas.
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

// handleBusy removes all batch slots of a replica after a peer reported a burst
// of online requests, or online requests that wait, on it.
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

// notifyReplicaOwner notifies the owner of a replica if this host's online
// requests on the replica burst or wait. The caller holds the lock.
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
			d.manager.o.Log.WithError(err).Debug("cannot notify the owner of a replica of online requests")
		}
	})
}
