package batch

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// replica is the dispatcher's state of one replica.
type replica struct {
	service    string
	upstream   service.Upstream
	state      dispatch.Replica
	cause      dispatch.Cause
	running    []*runningItem
	polling    bool
	polledAt   time.Time
	notifiedAt time.Time
	observedAt time.Time
	peakAt     time.Time
	// reportTakenAt is the time at which the newest load report was taken, and
	// noBacklogAt that of the newest report without a backlog, both by the
	// replica's clock.
	reportTakenAt time.Time
	noBacklogAt   time.Time
	// pendingSlots is the number of slots at slotsObservedAt. It becomes
	// ObservedSlots with the first report at least loadReportLag later.
	pendingSlots    int
	slotsObservedAt time.Time
}

// replica returns the state of a replica. If the address of the replica has
// changed, it resets the state used for planning. The caller holds the lock.
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

// updateState updates the state of a replica from the activity on it, its load
// report and its membership state. The caller holds the lock.
func (d *dispatcher) updateState(r *replica, now time.Time) {
	a := d.manager.o.ActivityReader.Activity(r.upstream.Address)
	elapsed := now.Sub(r.observedAt)
	if r.observedAt.IsZero() {
		elapsed = 0
	}
	r.observedAt = now
	weight := min(1, elapsed.Seconds()/averageTimeConstant.Seconds())
	r.state.Online = a.Online
	r.state.OnlineAverage += (float64(a.Online) - r.state.OnlineAverage) * weight
	r.state.Batch = len(r.running)
	if r.state.Batch >= r.state.BatchPeak || now.Sub(r.peakAt) > batchPeakWindow {
		r.state.BatchPeak, r.peakAt = r.state.Batch, now
	}
	if a.Load != nil {
		r.recordReport(a.Load, a.ReadAt)
	}
	key := membership.UpstreamKey{Service: r.service, Name: r.upstream.Name}
	r.state.Leaving = d.manager.o.Upstreams.State(key) != membership.Alive
}

// recordReport stores a load report that was read at readAt, unless a newer one
// is stored already.
func (r *replica) recordReport(l *upstream.Load, readAt time.Time) {
	if readAt.Sub(r.slotsObservedAt) >= loadReportLag {
		r.state.ObservedSlots, r.slotsObservedAt = r.pendingSlots, readAt
		r.pendingSlots = r.state.Slots
	}
	if !readAt.After(r.state.LastReport.At) || l.At.Before(r.reportTakenAt) {
		return
	}
	r.reportTakenAt = l.At
	report := dispatch.Report{At: readAt, Running: l.Running, Waiting: l.Waiting, TokenInterval: l.TokenInterval}
	if !report.HasBacklog() || r.noBacklogAt.IsZero() {
		r.noBacklogAt = l.At
	}
	report.QueuedFor = l.At.Sub(r.noBacklogAt)
	r.state.LastReport = report
	r.state.ObservePeerRequests(report, len(r.running), r.state.Online)
}

// pollLoad requests a load report from a replica if the newest one is at least
// loadPollInterval old. The caller holds the lock.
func (d *dispatcher) pollLoad(ctx context.Context, r *replica, now time.Time) {
	if r.polling || now.Sub(r.polledAt) < loadPollInterval || now.Sub(r.state.LastReport.At) < loadPollInterval {
		return
	}
	r.polling, r.polledAt = true, now
	u := r.upstream
	d.tasks.Go(func() {
		l, ok := d.runner.fetchLoad(ctx, &u)
		d.mu.Lock()
		defer d.mu.Unlock()
		r.polling = false
		if ok {
			r.recordReport(l, d.manager.o.Clock.Now())
		}
	})
}
