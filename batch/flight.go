package batch

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/batch/run"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// runningItem is an item that runs in a slot of a replica.
type runningItem struct {
	attempt *run.Attempt
	cancel  context.CancelFunc
	// preempted reports that the item was cancelled because slots were removed.
	preempted bool
}

// aloneThreshold is the number of replicas that must fail while they run an item
// for it to run alone from then on.
const aloneThreshold = 2

// startAlone starts an item that may crash its replica. It runs on a replica
// that is reserved for it.
func (d *dispatcher) startAlone(ctx context.Context, doc *service.Document, attempt *run.Attempt) {
	attempt.Alone = true
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, doc.Routing.RequestTimeout)
		defer cancel()
		go func() {
			select {
			case <-attempt.Stopped:
				cancel()
			case <-ctx.Done():
			}
		}()
		o := d.runAlone(ctx, doc, attempt)
		d.endAttempt(attempt, o, false)
		d.wakeUp()
	})
}

// runAlone reserves a replica and runs an item on it. The item does not start if
// the replica is not in doc.
func (d *dispatcher) runAlone(ctx context.Context, doc *service.Document, attempt *run.Attempt) outcome {
	fp := quarantine.FingerprintOf(attempt.Service, attempt.Item.Body)
	reserved, err := d.manager.o.Guard.Reserve(ctx, doc, fp)
	if err != nil {
		return outcome{err: err, postponed: true}
	}
	defer reserved.Release()
	for i := range doc.Upstreams {
		if u := doc.Upstreams[i]; u.Name == reserved.Upstream {
			return d.runner.run(ctx, doc, &u, attempt, d.manager.worker.TryStart)
		}
	}
	return outcome{}
}

// startItem starts an item in a slot of a replica. The caller holds the lock.
func (d *dispatcher) startItem(ctx context.Context, doc *service.Document, r *replica, attempt *run.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, doc.Routing.RequestTimeout)
	item := &runningItem{attempt: attempt, cancel: cancel}
	r.running = append(r.running, item)
	u := r.upstream
	d.tasks.Go(func() {
		defer cancel()
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-attempt.Stopped:
				cancel()
			case <-done:
			}
		}()
		o := d.runner.run(ctx, doc, &u, attempt, d.manager.worker.TryStart)
		d.finishItem(r, item, o)
	})
}

// finishItem frees the slot of an item, updates the state of the replica from the
// outcome and passes the outcome to the worker.
func (d *dispatcher) finishItem(r *replica, item *runningItem, o outcome) {
	d.mu.Lock()
	r.running = slices.DeleteFunc(r.running, func(other *runningItem) bool { return other == item })
	if o.load != nil {
		r.recordReport(o.load, d.manager.o.Clock.Now())
	}
	if o.leaving {
		key := membership.UpstreamKey{Service: r.service, Name: r.upstream.Name}
		d.manager.o.Upstreams.Report(key, membership.Leaving, "refused a batch item")
	}
	preempted := item.preempted
	if o.result != nil {
		d.countFinished(r.service)
	}
	d.mu.Unlock()
	d.endAttempt(item.attempt, o, preempted)
	d.wakeUp()
}

// postpone lets an item wait that the quarantine doesn't let start now.
func (d *dispatcher) postpone(attempt *run.Attempt, err error) {
	d.manager.o.Log.WithError(err).WithFields(logrus.Fields{"job": attempt.Job, "item": attempt.Item.CustomID}).Info("item postponed")
	d.manager.worker.Postpone(attempt)
}

// endAttempt passes the outcome of an attempt to the worker.
func (d *dispatcher) endAttempt(attempt *run.Attempt, o outcome, preempted bool) {
	w := d.manager.worker
	stopped := false
	select {
	case <-attempt.Stopped:
		stopped = true
	default:
	}
	switch {
	case o.result != nil:
		w.Finish(attempt, o.result)
	case !o.started && o.err == nil:
		w.Requeue(attempt)
	case o.postponed:
		d.postpone(attempt, o.err)
	case preempted || stopped:
		d.countWastedTokens(attempt, o)
		w.Preempt(attempt, o.partial)
	case o.replicaFailed:
		w.FailWithReplica(attempt, o.err)
	default:
		w.Fail(attempt, o.err)
	}
}
