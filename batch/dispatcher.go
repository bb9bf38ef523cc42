package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
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

// replica is what the dispatcher keeps of one replica.
type replica struct {
	service  string
	upstream service.Upstream
	state    dispatch.Replica
	cause    dispatch.Cause
	running  []*flight
	polling  bool
	polledAt time.Time
	toldAt   time.Time
	seenAt   time.Time
	peakAt   time.Time
	// reportAt is when the newest report was taken, and idleAt when the newest
	// one was that showed no queue, both by the replica's clock.
	reportAt time.Time
	idleAt   time.Time
	// pending slots will be shown by the next report that counts.
	pending int
	shownAt time.Time
}

// flight is an item that runs on a replica.
type flight struct {
	work   *run.Work
	cancel context.CancelFunc
	// aside says that it was cancelled to make room.
	aside bool
}

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

// rate counts the finished items of a service.
type rate struct {
	since    time.Time
	count    int
	perSec   float64
	measured bool
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
		if d.manager.worker.Active() {
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
	plan := dispatch.Slots(&r.state, &doc.Batch, now)
	d.apply(r, plan, now)
	d.fill(ctx, doc, r)
	if len(r.running) > 0 || r.state.Slots > 0 && d.manager.worker.Active() {
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
		total += d.manager.o.Observer.Activity(doc.Upstreams[i].Address).Online
	}
	u, ok := d.usual[doc.Name]
	if !ok {
		u = &usual{}
		d.usual[doc.Name] = u
	}
	now := d.manager.o.Clock.Now()
	burst := dispatch.Burst(total, u.online)
	if !u.seenAt.IsZero() {
		part := min(1, now.Sub(u.seenAt).Seconds()/usualTime.Seconds())
		u.online += (float64(total) - u.online) * part
	}
	u.seenAt = now
	return burst
}

func (d *dispatcher) replica(name string, u *service.Upstream) *replica {
	key := membership.UpstreamKey{Service: name, Name: u.Name}
	r, ok := d.replicas[key]
	if !ok {
		r = &replica{service: name}
		d.replicas[key] = r
	}
	if r.upstream.Address != u.Address {
		r.state = dispatch.Replica{}
	}
	r.upstream = *u
	return r
}

// observe brings the state of a replica up to date.
func (d *dispatcher) observe(r *replica, now time.Time) {
	a := d.manager.o.Observer.Activity(r.upstream.Address)
	elapsed := now.Sub(r.seenAt)
	if r.seenAt.IsZero() {
		elapsed = 0
	}
	r.seenAt = now
	part := min(1, elapsed.Seconds()/usualTime.Seconds())
	r.state.Online = a.Online
	r.state.OnlineUsual += (float64(a.Online) - r.state.OnlineUsual) * part
	r.state.Batch = len(r.running)
	if r.state.Batch >= r.state.BatchPeak || now.Sub(r.peakAt) > peakTime {
		r.state.BatchPeak, r.peakAt = r.state.Batch, now
	}
	if a.Load != nil {
		r.report(a.Load, a.ReadAt)
	}
	key := membership.UpstreamKey{Service: r.service, Name: r.upstream.Name}
	r.state.Leaving = d.manager.o.Upstreams.State(key) != membership.Alive
}

// report keeps the newer of two load reports.
func (r *replica) report(l *upstream.Load, readAt time.Time) {
	if readAt.Sub(r.shownAt) >= shownTime {
		r.state.Shown, r.shownAt = r.pending, readAt
		r.pending = r.state.Slots
	}
	if !readAt.After(r.state.Reported.At) || l.At.Before(r.reportAt) {
		return
	}
	r.reportAt = l.At
	next := dispatch.Report{At: readAt, Running: l.Running, Waiting: l.Waiting, Interval: l.TokenInterval}
	if !next.Waits() || r.idleAt.IsZero() {
		r.idleAt = l.At
	}
	next.Queued = l.At.Sub(r.idleAt)
	r.state.Reported = next
	r.state.ObserveOthers(next, len(r.running), r.state.Online)
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
		if alone || doc.Quarantine.Enabled && work.Losses >= aloneAfter {
			d.launchAlone(ctx, doc, work)
			continue
		}
		d.launch(ctx, doc, r, work)
	}
}

// aloneAfter is the number of replicas lost with an item after which it runs
// alone.
const aloneAfter = 2

// launchAlone runs an item that may crash its replica alone on one.
func (d *dispatcher) launchAlone(ctx context.Context, doc *service.Document, work *run.Work) {
	work.Alone = true
	d.flights.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, doc.Routing.RequestTimeout)
		defer cancel()
		go func() {
			select {
			case <-work.Stopped:
				cancel()
			case <-ctx.Done():
			}
		}()
		o := d.runAlone(ctx, doc, work)
		d.settle(work, o, false)
		d.wakeUp()
	})
}

func (d *dispatcher) runAlone(ctx context.Context, doc *service.Document, work *run.Work) outcome {
	fp := quarantine.FingerprintOf(work.Service, work.Item.Body)
	reserved, err := d.manager.o.Guard.Reserve(ctx, doc, fp)
	if err != nil {
		return outcome{err: err}
	}
	defer reserved.Release()
	for i := range doc.Upstreams {
		if u := doc.Upstreams[i]; u.Name == reserved.Upstream {
			return d.engine.run(ctx, doc, &u, work, d.manager.worker.MayStart)
		}
	}
	return outcome{}
}

func (d *dispatcher) launch(ctx context.Context, doc *service.Document, r *replica, work *run.Work) {
	ctx, cancel := context.WithTimeout(ctx, doc.Routing.RequestTimeout)
	f := &flight{work: work, cancel: cancel}
	r.running = append(r.running, f)
	u := r.upstream
	d.flights.Go(func() {
		defer cancel()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-work.Stopped:
				cancel()
			case <-stop:
			}
		}()
		outcome := d.engine.run(ctx, doc, &u, work, d.manager.worker.MayStart)
		d.landed(r, f, outcome)
	})
}

// landed takes the outcome of an item.
func (d *dispatcher) landed(r *replica, f *flight, o outcome) {
	d.mu.Lock()
	r.running = slices.DeleteFunc(r.running, func(other *flight) bool { return other == f })
	if o.load != nil {
		r.report(o.load, d.manager.o.Clock.Now())
	}
	if o.leaving {
		key := membership.UpstreamKey{Service: r.service, Name: r.upstream.Name}
		d.manager.o.Upstreams.Report(key, membership.Leaving, "refused a batch item")
	}
	aside := f.aside
	if o.result != nil {
		d.count(r.service)
	}
	d.mu.Unlock()
	d.settle(f.work, o, aside)
	d.wakeUp()
}

func (d *dispatcher) settle(work *run.Work, o outcome, aside bool) {
	w := d.manager.worker
	stopped := false
	select {
	case <-work.Stopped:
		stopped = true
	default:
	}
	switch {
	case o.result != nil:
		w.Finish(work, o.result)
	case !o.begun && o.err == nil:
		w.Reject(work)
	case aside || stopped:
		d.accountWaste(work, o)
		w.Yield(work, o.partial)
	case o.lost && !work.Alone:
		w.Lose(work, o.err)
	default:
		w.Fail(work, o.err)
	}
}

// count notes a finished item for the rate.
func (d *dispatcher) count(service string) {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	r, ok := d.rates[service]
	now := d.manager.o.Clock.Now()
	if !ok {
		r = &rate{since: now}
		d.rates[service] = r
	}
	r.count++
	if elapsed := now.Sub(r.since); elapsed >= rateTime {
		r.perSec, r.measured = float64(r.count)/elapsed.Seconds(), true
		r.since, r.count = now, 0
	}
}

// rate returns the items a second that this host finishes; zero is unknown.
func (d *dispatcher) rate(service string) float64 {
	d.rateMu.Lock()
	defer d.rateMu.Unlock()
	if r, ok := d.rates[service]; ok && r.measured {
		return r.perSec
	}
	return 0
}

// readyPerSlot is how many items are claimed ahead for each slot.
const readyPerSlot = 2

// wants returns how many items should be ready to start, by service.
func (d *dispatcher) wants() []run.Want {
	d.mu.Lock()
	defer d.mu.Unlock()
	items := make(map[string]int)
	for _, r := range d.replicas {
		items[r.service] += r.state.Slots * readyPerSlot
	}
	var out []run.Want
	for name, n := range items {
		if n > 0 {
			out = append(out, run.Want{Service: name, Items: n})
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
	plan := dispatch.Slots(&r.state, &doc.Batch, now)
	if plan.Cause != dispatch.CauseBurst && plan.Cause != dispatch.CauseWaiting {
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

// poll asks a replica for its load when the last report is old.
func (d *dispatcher) poll(ctx context.Context, r *replica, now time.Time) {
	if r.polling || now.Sub(r.polledAt) < loadTime || now.Sub(r.state.Reported.At) < loadTime {
		return
	}
	r.polling, r.polledAt = true, now
	u := r.upstream
	d.flights.Go(func() {
		l, ok := d.engine.load(ctx, &u)
		d.mu.Lock()
		defer d.mu.Unlock()
		r.polling = false
		if ok {
			r.report(l, d.manager.o.Clock.Now())
		}
	})
}
