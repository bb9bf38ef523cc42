package batch

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
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
	a := d.manager.o.ActivityReader.Activity(r.upstream.Address)
	elapsed := now.Sub(r.seenAt)
	if r.seenAt.IsZero() {
		elapsed = 0
	}
	r.seenAt = now
	part := min(1, elapsed.Seconds()/usualTime.Seconds())
	r.state.Online = a.Online
	r.state.OnlineAverage += (float64(a.Online) - r.state.OnlineAverage) * part
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
		r.state.ObservedSlots, r.shownAt = r.pending, readAt
		r.pending = r.state.Slots
	}
	if !readAt.After(r.state.LastReport.At) || l.At.Before(r.reportAt) {
		return
	}
	r.reportAt = l.At
	next := dispatch.Report{At: readAt, Running: l.Running, Waiting: l.Waiting, TokenInterval: l.TokenInterval}
	if !next.HasBacklog() || r.idleAt.IsZero() {
		r.idleAt = l.At
	}
	next.QueuedFor = l.At.Sub(r.idleAt)
	r.state.LastReport = next
	r.state.ObservePeerRequests(next, len(r.running), r.state.Online)
}

// poll asks a replica for its load when the last report is old.
func (d *dispatcher) poll(ctx context.Context, r *replica, now time.Time) {
	if r.polling || now.Sub(r.polledAt) < loadTime || now.Sub(r.state.LastReport.At) < loadTime {
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
