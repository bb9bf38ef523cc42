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

// EventSlots says that a replica's batch slots went to zero.
const EventSlots timeline.Kind = "batch.slots"

// Times of the dispatcher.
const (
	tickBusy = 5 * time.Millisecond
	tickIdle = 100 * time.Millisecond
	// loadTime is the age of a load report after which a new one is asked for.
	loadTime = 150 * time.Millisecond
	// usualTime is the time constant of the usual number of online requests.
	usualTime = 2 * time.Second
	// peakTime is how long the largest number of running items is remembered.
	peakTime = time.Second
	// shownTime is the lag of load reports allowed for.
	shownTime = 60 * time.Millisecond
	// busyTime is the least time between two messages about one replica.
	busyTime = 200 * time.Millisecond
	// rateTime is the window over which finished items are counted.
	rateTime = 10 * time.Second
)

// dispatcher runs items on the replicas that this host dispatches for.
type dispatcher struct {
	manager *Manager
	engine  *engine
	wake    chan struct{}
	flights sync.WaitGroup

	mu       sync.Mutex
	replicas map[membership.UpstreamKey]*replica

	// usual and owners are used only by tick.
	usual  map[string]*usual
	owners owners

	// rateMu is apart from mu, which is held while the worker is called.
	rateMu sync.Mutex
	rates  map[string]*rate
}

func newDispatcher(m *Manager) *dispatcher {
	return &dispatcher{
		manager: m, engine: &engine{client: m.o.Client, guard: m.o.Guard}, wake: make(chan struct{}, 1),
		replicas: make(map[membership.UpstreamKey]*replica), rates: make(map[string]*rate),
		usual: make(map[string]*usual),
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
	defer d.flights.Wait()
	for ctx.Err() == nil {
		d.tick(ctx)
		wait := tickIdle
		if d.manager.worker.HasJobs() {
			wait = tickBusy
		}
		d.manager.sleep(ctx, wait, d.wake)
	}
}

// tick plans each replica's slots and carries the plans out.
func (d *dispatcher) tick(ctx context.Context) {
	d.owners.refresh(d.manager.o.Hosts.Changed())
	hosts := d.manager.o.Hosts.Local()
	snapshot := d.manager.o.Config.Current()
	self := d.manager.o.Hosts.Self()
	for _, name := range snapshot.Names() {
		doc, ok := snapshot.Service(name)
		if !ok || doc.Kind != service.KindEngine || !doc.Batch.Enabled {
			continue
		}
		burst := d.bursts(doc)
		for i := range doc.Upstreams {
			u := &doc.Upstreams[i]
			if u.DataCentre != self.DataCentre {
				continue
			}
			d.tickReplica(ctx, doc, u, d.owners.of(hosts, name+"/"+u.Name), burst)
		}
	}
}

func (d *dispatcher) tickReplica(ctx context.Context, doc *service.Document, u *service.Upstream, owner []membership.Host, burst bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.replica(doc.Name, u)
	now := d.manager.o.Clock.Now()
	d.observe(r, now)
	if burst {
		r.state.BurstAt = now
	}
	if len(owner) == 0 || owner[0].Name != d.manager.o.Hosts.Self().Name {
		d.apply(r, dispatch.Plan{}, now)
		d.tellOwner(ctx, r, doc, owner, now)
		return
	}
	plan := dispatch.PlanSlots(&r.state, &doc.Batch, now)
	d.apply(r, plan, now)
	d.fill(ctx, doc, r)
	if len(r.running) > 0 || r.state.Slots > 0 && d.manager.worker.HasJobs() {
		d.poll(ctx, r, now)
	}
}

// usual is a moving average of a service's online requests on this host.
type usual struct {
	online float64
	seenAt time.Time
}

// bursts reports whether this host's online requests of a service burst.
func (d *dispatcher) bursts(doc *service.Document) bool {
	total := 0
	for i := range doc.Upstreams {
		total += d.manager.o.ActivityReader.Activity(doc.Upstreams[i].Address).Online
	}
	u, ok := d.usual[doc.Name]
	if !ok {
		u = &usual{}
		d.usual[doc.Name] = u
	}
	now := d.manager.o.Clock.Now()
	burst := dispatch.IsBurst(total, u.online)
	if !u.seenAt.IsZero() {
		part := min(1, now.Sub(u.seenAt).Seconds()/usualTime.Seconds())
		u.online += (float64(total) - u.online) * part
	}
	u.seenAt = now
	return burst
}

// apply sets the slots and cancels items that have none.
func (d *dispatcher) apply(r *replica, plan dispatch.Plan, now time.Time) {
	switch {
	case plan.Slots < r.state.Slots:
		r.state.LoweredAt = now
	case plan.Slots > r.state.Slots:
		r.state.RaisedAt = now
	}
	if plan.Slots == 0 && r.state.Slots > 0 {
		d.manager.o.Events.Record(timeline.Event{
			Kind: EventSlots, Service: r.service, Upstream: r.upstream.Name, Cause: string(plan.Cause),
		})
	}
	r.state.Slots, r.state.Ceiling, r.state.CeilingAt, r.cause = plan.Slots, plan.Ceiling, plan.CeilingAt, plan.Cause
	over := len(r.running) - plan.Slots
	for _, f := range slices.Backward(r.running) {
		if over <= 0 {
			return
		}
		// An item that may run at most once can't go on elsewhere.
		if f.work.Once {
			continue
		}
		f.aside = true
		f.cancel()
		over--
	}
}

// fill starts items in free slots.
func (d *dispatcher) fill(ctx context.Context, doc *service.Document, r *replica) {
	if slices.Contains(d.manager.o.Guard.Avoid(doc.Name), r.upstream.Name) {
		// It was lost and is not back, or a suspect runs there alone.
		return
	}
	for len(r.running) < r.state.Slots {
		work, ok := d.manager.worker.Next(doc.Name)
		if !ok {
			return
		}
		alone, err := d.engine.check(work)
		if err != nil {
			d.manager.worker.Fail(work, err)
			continue
		}
		if alone || doc.Quarantine.Enabled && work.ReplicaFailures >= aloneAfter {
			d.launchAlone(ctx, doc, work)
			continue
		}
		d.launch(ctx, doc, r, work)
	}
}

// readyPerSlot is how many items are claimed ahead for each slot.
const readyPerSlot = 2

// wants returns how many items should be ready to start, by service.
func (d *dispatcher) wants() []run.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make(map[string]int)
	for _, r := range d.replicas {
		items[r.service] += r.state.Slots * readyPerSlot
	}
	var out []run.Demand
	for name, n := range items {
		if n > 0 {
			out = append(out, run.Demand{Service: name, Items: n})
		}
	}
	return out
}

// busy takes a replica's slots away because another host has online work there.
func (d *dispatcher) busy(service, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.replicas[membership.UpstreamKey{Service: service, Name: upstream}]
	if !ok {
		return
	}
	now := d.manager.o.Clock.Now()
	r.state.BurstAt = now
	d.apply(r, dispatch.Plan{Cause: dispatch.CauseBurst}, now)
}

// tellOwner tells a replica's dispatcher when this host's online work there
// bursts or waits.
func (d *dispatcher) tellOwner(ctx context.Context, r *replica, doc *service.Document, owner []membership.Host, now time.Time) {
	if len(owner) == 0 || now.Sub(r.toldAt) < busyTime || r.state.Online == 0 {
		return
	}
	plan := dispatch.PlanSlots(&r.state, &doc.Batch, now)
	if plan.Cause != dispatch.CauseBurst && plan.Cause != dispatch.CauseOnlineQueued {
		return
	}
	r.toldAt = now
	address, args := owner[0].PeerAddress, &BusyArgs{Service: r.service, Upstream: r.upstream.Name}
	d.flights.Go(func() {
		if err := d.manager.o.Peers.Call(ctx, address, rpcName+".Busy", args, &BusyReply{}); err != nil {
			d.manager.o.Log.WithError(err).Debug("dispatcher not told of online work")
		}
	})
}
