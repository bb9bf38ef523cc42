package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
)

// Restart policy of every supervisor, and the length of the quiet period at a stop.
const (
	failureThreshold = 5
	failureDecay     = 30.0 // seconds
	failureBackoff   = 2 * time.Second
	stopTimeout      = 10 * time.Second
	// unboundedStop is the time of a stop whose context has no deadline.
	unboundedStop = 24 * time.Hour
	// quietDivisor is the divisor of the settings' balancer delay that gives the
	// period without requests for which awaitQuiet waits.
	quietDivisor = 4
)

// newTree returns the root supervisor. Control and serving components have separate
// supervisors, so that restarts of a failing control component interrupt no request.
func (n *Node) newTree() *suture.Supervisor {
	spec := suture.Spec{
		EventHook: n.logEvent, FailureThreshold: failureThreshold, FailureDecay: failureDecay,
		FailureBackoff: failureBackoff, Timeout: stopTimeout,
	}
	root := suture.New("spindled", spec)
	control := suture.New("control", spec)
	control.Add(n.peers)
	control.Add(n.hosts)
	control.Add(n.newHints())
	control.Add(n.config.distributor)
	control.Add(n.escrow)
	control.Add(n.orders)
	control.Add(n.online.guard)
	control.Add(n.operators)
	if p := n.newPoller(n.online.client); p != nil {
		control.Add(p)
	}
	serving := suture.New("serving", spec)
	serving.Add(n.gateway)
	serving.Add(n.admin)
	serving.Add(n.batch.manager)
	root.Add(control)
	root.Add(serving)
	return root
}

func (n *Node) logEvent(e suture.Event) {
	n.log.WithFields(logrus.Fields(e.Map())).Warn("supervisor: " + e.String())
}

// Serve runs the node until ctx ends or Stop is called.
func (n *Node) Serve(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	defer close(n.served)
	n.log.WithFields(logrus.Fields{
		"callers": n.CallersAddress(), "peers": n.PeersAddress(), "operators": n.OperatorsAddress(),
	}).Info("serving")
	err := n.tree.Serve(ctx)
	n.closePeers()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop drains and stops the node. It reports not ready and closes connections with
// their next response, waits until the load balancer has stopped sending requests
// while new connections are still served, closes the callers' listener, finishes
// running requests, hands over batch work and leaves the membership; then it stops
// all components. Requests that might outlive it are refused, see package shutdown. Serve must have been called. The context bounds the whole stop.
func (n *Node) Stop(ctx context.Context) error {
	delay := n.settings.Stop.BalancerDelay
	schedule := newSchedule(ctx, n.clock.Now(), delay)
	n.stopping.Store(true)
	n.online.gateway.Leave()
	n.online.gateway.Requests.BeginStop(schedule)
	n.hosts.AnnounceLeaving()
	wait.For(ctx, n.clock, delay)
	n.awaitQuiet(ctx)
	err := n.endRequests(ctx, schedule)
	n.online.gateway.Drain()
	n.drainBatch(ctx)
	n.leave(ctx)
	n.cancel()
	<-n.served
	n.log.Info("stopped")
	return err
}

// newSchedule returns the schedule of a stop that the context bounds.
func newSchedule(ctx context.Context, began time.Time, delay time.Duration) shutdown.Schedule {
	deadline, ok := ctx.Deadline()
	if !ok {
		return shutdown.NewSchedule(began, delay, unboundedStop)
	}
	return shutdown.NewSchedule(began, delay, time.Until(deadline))
}

// endRequests closes the callers' listener and waits for running requests. Those that are left
// no time are ended, so that their callers get an answer.
func (n *Node) endRequests(ctx context.Context, schedule shutdown.Schedule) error {
	answers, cancel := context.WithDeadline(ctx, schedule.AnswersDue)
	defer cancel()
	err := n.gateway.shutdown(answers)
	if err != nil {
		n.online.gateway.Requests.EndAll()
		exit, cancel := context.WithDeadline(ctx, schedule.Exit)
		defer cancel()
		err = n.gateway.shutdown(exit)
	}
	n.online.gateway.Requests.EndStop()
	return err
}

// awaitQuiet waits until no request has arrived for the balancer delay divided by
// quietDivisor, so that no request in flight from the load balancer reaches a closed
// listener or idle connection. If requests keep arriving, it returns after one
// balancer delay.
func (n *Node) awaitQuiet(ctx context.Context) {
	delay := n.settings.Stop.BalancerDelay
	end := n.clock.Now().Add(delay)
	for ctx.Err() == nil && n.clock.Now().Before(end) {
		left := delay/quietDivisor - n.online.gateway.Quiet()
		if left <= 0 {
			return
		}
		wait.For(ctx, n.clock, left)
	}
}
