package batch

import (
	"context"
	"slices"

	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// flight is an item that runs on a replica.
type flight struct {
	work   *run.Attempt
	cancel context.CancelFunc
	// aside says that it was cancelled to make room.
	aside bool
}

// aloneAfter is the number of replicas lost with an item after which it runs
// alone.
const aloneAfter = 2

// launchAlone runs an item that may crash its replica alone on one.
func (d *dispatcher) launchAlone(ctx context.Context, doc *service.Document, work *run.Attempt) {
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

func (d *dispatcher) runAlone(ctx context.Context, doc *service.Document, work *run.Attempt) outcome {
	fp := quarantine.FingerprintOf(work.Service, work.Item.Body)
	reserved, err := d.manager.o.Guard.Reserve(ctx, doc, fp)
	if err != nil {
		return outcome{err: err}
	}
	defer reserved.Release()
	for i := range doc.Upstreams {
		if u := doc.Upstreams[i]; u.Name == reserved.Upstream {
			return d.engine.run(ctx, doc, &u, work, d.manager.worker.TryStart)
		}
	}
	return outcome{}
}

func (d *dispatcher) launch(ctx context.Context, doc *service.Document, r *replica, work *run.Attempt) {
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
		outcome := d.engine.run(ctx, doc, &u, work, d.manager.worker.TryStart)
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

func (d *dispatcher) settle(work *run.Attempt, o outcome, aside bool) {
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
		w.Requeue(work)
	case aside || stopped:
		d.accountWaste(work, o)
		w.Preempt(work, o.partial)
	case o.lost && !work.Alone:
		w.FailWithReplica(work, o.err)
	default:
		w.Fail(work, o.err)
	}
}
