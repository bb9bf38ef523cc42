package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
)

// Restart policy of every supervisor.
const (
	failureThreshold = 5
	failureDecay     = 30.0 // seconds
	failureBackoff   = 2 * time.Second
	stopTimeout      = 10 * time.Second
	// quietDivisor divides the balancer's delay: so long must no request come.
	quietDivisor = 4
)

// newTree returns the root supervisor. Control parts and serving parts restart
// apart from each other, so that a failing control part cuts off no request.
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

// Stop stops the node in order: readiness off and connections closed by their
// next answer, wait for the balancer while new connections are still served,
// close the listener, finish running requests, then stop all parts. Serve must
// have been called. The context bounds the whole stop.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.online.gateway.Leave()
	n.log.Info("stopping: readiness off")
	n.hosts.AnnounceLeaving()
	wait.For(ctx, n.clock, n.settings.Stop.BalancerDelay)
	n.awaitQuiet(ctx)
	err := n.gateway.shutdown(ctx)
	n.online.gateway.Drain()
	n.drainBatch(ctx)
	n.leave(ctx)
	n.cancel()
	<-n.served
	n.log.Info("stopped")
	return err
}

// awaitQuiet waits until the balancer has sent nothing for a part of its delay:
// a request on its way must not meet the end of the listener or of an idle
// connection. A balancer that goes on sending is waited for no longer than
// another delay.
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
