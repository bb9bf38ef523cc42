package slots

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// crashWindow is the time within which exchanges with one replica that break off
	// are attributed to the same crash.
	crashWindow = time.Second
	// crashProbeTimeout bounds the check whether a replica still accepts connections, and
	// crashProbeInterval is the time between two checks of one replica.
	crashProbeTimeout  = 200 * time.Millisecond
	crashProbeInterval = 20 * time.Millisecond
	// quarantineCallTimeout bounds a call that tells a host of a change.
	quarantineCallTimeout = 500 * time.Millisecond
)

// brokenRuns are requests whose exchange with one incarnation of a replica ended with
// its connection.
type brokenRuns struct {
	contents []quarantine.Content
	// complete holds those of contents whose response is complete unless the replica has
	// crashed.
	complete []quarantine.Content
	since    time.Time
	// probing is set while the replica is being probed.
	probing bool
	// crashed is set once it is known that the replica has crashed.
	crashed bool
}

// SetCrashProbe sets the function that reports whether a replica accepts connections.
// Without it no crash is found. It must be called before the broker is used.
func (b *Broker) SetCrashProbe(probe func(ctx context.Context, r replica.Replica) bool) {
	b.probe = probe
}

// SetOnQuarantine sets the function that is called with each change of what is known of
// requests that crash replicas. It must not block, and must be set before the broker is
// used.
func (b *Broker) SetOnQuarantine(onQuarantine func(quarantine.Notice)) {
	b.onQuarantine = onQuarantine
}

// Quarantine applies what another host has found out about requests that crash
// replicas. The reply names those parts of it that this host knows as harmless.
func (b *Broker) Quarantine(n quarantine.Notice, reply *quarantine.Notice) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	*reply = b.sched.ApplyNotice(b.clock.Now(), n)
	b.plan()
	return nil
}

// Quarantined returns the requests and the parts of prompts that are refused.
func (b *Broker) Quarantined() quarantine.Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return quarantine.Notice{Service: crashScope, Confirmed: b.sched.requests.Confirmed(crashScope)}
}

// recordHarmless records that another host knows parts as harmless.
func (b *Broker) recordHarmless(parts []quarantine.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, changed := b.sched.RecordHarmless(b.clock.Now(), parts); changed {
		b.tell(n)
	}
	b.plan()
}

// QuarantineCounts returns the number of requests that were in progress when replicas
// crashed and have not run to their end since, and of those that are refused.
func (b *Broker) QuarantineCounts() (suspects, refused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	suspects, _ = b.sched.requests.SuspectCount(crashScope)
	return suspects, len(b.sched.requests.Confirmed(crashScope))
}

// IsRefused reports whether a request or a part of prompts is refused now.
func (b *Broker) IsRefused(f quarantine.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.requests.IsConfirmed(crashScope, f, b.clock.Now())
}

// recordRunEnd learns from the end of a run whether its request crashes replicas. It
// reports whether the replica has to be probed. The lock is held.
func (b *Broker) recordRunEnd(now time.Time, r *Released) (probe bool) {
	switch r.Outcome {
	case Done, Errored:
		if g, ok := b.sched.grants[r.ID]; ok {
			b.recordFinished(now, g.Content)
		}
	case Unreachable:
		if n, changed := b.sched.RecordUnreached(now, r.ID); changed {
			b.tell(n)
		}
	case Failed, Ended:
		return b.probe != nil && b.recordBroken(now, r)
	default:
	}
	return false
}

// recordFinished records that a replica ran a request to its end. The lock is held.
func (b *Broker) recordFinished(now time.Time, c quarantine.Content) {
	if n, changed := b.sched.RecordFinished(now, c); changed {
		b.tell(n)
	}
}

// recordBroken records an exchange that ended with its connection, and reports whether it
// is the first one with this incarnation of the replica. The lock is held.
func (b *Broker) recordBroken(now time.Time, r *Released) (first bool) {
	for key, runs := range b.broken {
		if !runs.probing && now.Sub(runs.since) > crashWindow {
			delete(b.broken, key)
		}
	}
	key := r.Replica.Incarnation()
	runs, ok := b.broken[key]
	if !ok {
		runs = &brokenRuns{since: now, probing: true}
		b.broken[key] = runs
	}
	if r.Content.Fingerprint != 0 {
		runs.contents = append(runs.contents, r.Content)
	}
	if r.Outcome == Ended {
		runs.complete = append(runs.complete, r.Content)
	}
	if runs.crashed {
		b.recordCrash(r.Replica, runs)
	}
	return !ok
}

// checkCrash determines whether a replica with a broken exchange has crashed. Exchanges
// that end during a probe need another one.
func (b *Broker) checkCrash(r replica.Replica) {
	for {
		n := b.brokenCount(r)
		if b.recordProbe(r, n, b.findState(r)) {
			return
		}
		b.clock.Sleep(crashProbeInterval)
	}
}

// brokenCount returns the number of exchanges with a replica that ended with their
// connection lately.
func (b *Broker) brokenCount(r replica.Replica) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs, ok := b.broken[r.Incarnation()]
	if !ok {
		return 0
	}
	return len(runs.contents)
}

// recordProbe records what was found of a replica since n exchanges had ended with their
// connections. It reports whether no further probe is needed. If nothing is known of the
// replica, nothing is learnt of the requests.
func (b *Broker) recordProbe(r replica.Replica, n int, state probedState) (done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs, ok := b.broken[r.Incarnation()]
	if ok {
		b.log.WithFields(logrus.Fields{
			"replica": r.ID, "born": r.Born, "state": string(state), "broken": len(runs.contents), "after_ms": b.clock.Now().Sub(runs.since).Milliseconds(),
		}).Info("replica probed after a broken exchange")
	}
	switch {
	case !ok:
		return true
	case state == probedCrashed:
		runs.crashed, runs.probing = true, false
		b.recordCrash(r, runs)
		b.plan()
		return true
	case len(runs.contents) > n:
		return false
	}
	if state == probedRunning {
		for _, c := range runs.complete {
			b.recordFinished(b.clock.Now(), c)
		}
	}
	delete(b.broken, r.Incarnation())
	return true
}

// recordCrash records a crash and tells the other hosts. The lock is held.
func (b *Broker) recordCrash(r replica.Replica, runs *brokenRuns) {
	n, ok := b.sched.RecordCrash(b.clock.Now(), r, runs.contents)
	if !ok {
		return
	}
	b.log.WithFields(logrus.Fields{
		"replica": r.ID, "born": r.Born, "suspects": n.Crash.Suspects, "only_suspect": n.Crash.Trial,
	}).Warn("replica crashed")
	b.tell(n)
	b.clock.AfterFunc(crashMomentWindow, b.decidePendingCrashes)
}

// decidePendingCrashes decides on crashes and tells the other hosts what is refused.
func (b *Broker) decidePendingCrashes() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.sched.DecidePendingCrashes(b.clock.Now()) {
		if len(n.Confirmed) > 0 {
			b.log.WithField("refused_from_now", n.Confirmed).Warn("requests that crash replicas are refused")
		}
		b.tell(n)
	}
	b.plan()
}

// tell passes a change on to the other hosts. The lock is held.
func (b *Broker) tell(n quarantine.Notice) {
	if b.onQuarantine != nil {
		b.onQuarantine(n)
	}
}

// TellQuarantine tells the hosts that may be brokers what this host has found out about
// requests that crash replicas. It doesn't wait for them.
func (c *Client) TellQuarantine(n quarantine.Notice) {
	go func() {
		for _, h := range c.RecordHolders() {
			if h.Name != c.View.Self().Name {
				go c.tellQuarantine(h, n)
			}
		}
	}()
}

func (c *Client) tellQuarantine(h membership.Host, n quarantine.Notice) {
	var reply quarantine.Notice
	// A notice may be received twice: each crash of a replica counts once.
	if err := c.callPeer(context.Background(), h, quarantineCallTimeout, "Quarantine", n, &reply); err != nil {
		c.Log.WithError(err).WithField("peer", h.Name).Info("can't tell a host of requests that crash replicas")
		return
	}
	if len(reply.Harmless) > 0 {
		c.Broker.recordHarmless(reply.Harmless)
	}
}
