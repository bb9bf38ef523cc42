package slots

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// longUnusedSlot is the time from which on the use of a slot that ended without a response
// is logged: one that is given back sooner kept no other request waiting for long.
const longUnusedSlot = time.Second

// Released describes a grant that has ended.
type Released struct {
	ID      GrantID
	Outcome Outcome
	// Replica and Content are those of the grant if the outcome is Failed or Ended, since
	// another broker may have made it.
	Replica replica.Replica
	Content quarantine.Content
	// Leaving reports that the host has found the replica to be leaving.
	Leaving bool
	// Run is what the host observed of the response.
	Run Run
}

// ReleaseArgs is the argument of Release.
type ReleaseArgs struct {
	// Host is the host whose grants have ended, and CutOff reports that it finds itself cut
	// off from the replicas. Builds without these fields leave both empty.
	Host     string
	CutOff   bool
	Released []Released
	// RateLimits holds what replicas have said to the host.
	RateLimits []RateLimitReport
	// Loads holds what replicas have said of their load since the last call that did.
	Loads []LoadReport
	// Tokens holds the calls of requests that have taken a token and didn't run.
	Tokens []uint64
}

// Empty is an empty reply.
type Empty struct{}

// Release frees the slots of grants that have ended, and applies what replicas have said
// about their rate limits.
func (b *Broker) Release(args ReleaseArgs, _ *Empty) error {
	b.returnTokens(args.Tokens)
	leaving, broken := b.release(args)
	for _, r := range leaving {
		b.onLeaving(r)
	}
	for _, r := range broken {
		go b.checkCrash(r)
	}
	return nil
}

// release frees the slots of grants and returns the replicas that were found to be
// leaving, and those that may have crashed.
func (b *Broker) release(args ReleaseArgs) (leaving, broken []replica.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if args.Host != "" {
		b.sched.RecordStatement(now, args.Host, args.CutOff)
	}
	for _, report := range args.RateLimits {
		b.sched.ObserveRateLimit(now, report.Replica, report.RateLimit.rateLimit(now))
	}
	b.sched.observeLoads(now, args.Loads)
	for i := range args.Released {
		r := &args.Released[i]
		b.sched.ObserveRun(now, r.ID, r.Outcome, r.Run)
		if b.recordRunEnd(now, r) {
			broken = append(broken, r.Replica)
		}
		g, ok := b.sched.grants[r.ID]
		if ok && r.Leaving && b.onLeaving != nil {
			leaving = append(leaving, g.Replica)
		}
		b.sched.Release(now, r.ID, r.Outcome)
		if ok {
			b.logUnanswered(now, g, r.Outcome)
		}
	}
	b.plan()
	return leaving, broken
}

// logUnanswered logs the use of a slot in which the replica gave no response that counts, and
// for how long the replica gets no requests now.
func (b *Broker) logUnanswered(now time.Time, g *grantState, outcome Outcome) {
	held := now.Sub(g.Since)
	switch outcome {
	case Unreachable, Failed:
	case Unused:
		if held < longUnusedSlot {
			return
		}
	default:
		return
	}
	b.log.WithFields(logrus.Fields{
		"replica": g.Replica.ID, "reported_by": g.Host, "outcome": outcome.String(), "class": g.Class.label(), "held_ms": held.Milliseconds(),
		"failures": g.replicaState.failures, "avoided_for_ms": max(g.replicaState.avoidUntil.Sub(now), 0).Milliseconds(),
	}).Info("slot released without a response")
}

// Release ends a grant and frees its slot.
func (c *Client) Release(g Grant, outcome Outcome) {
	c.mu.Lock()
	delete(c.grants, g.ID)
	c.mu.Unlock()
	if ranked := c.brokers(g.Replica.DataCentre); len(ranked) > 0 {
		c.release(ranked[0], g, outcome)
	}
}

// releaseQueue collects what one broker is to be told while a call to it is in
// progress: the ended grants, what replicas have said about their rate limits, and the tokens
// of requests that didn't run.
type releaseQueue struct {
	pending    []Released
	rateLimits []RateLimitReport
	tokens     []uint64
	running    bool
}

// release queues an ended grant.
func (c *Client) release(h membership.Host, g Grant, outcome Outcome) {
	released := Released{ID: g.ID, Outcome: outcome, Run: c.reportedRun(h, g), Leaving: c.Replicas.IsLeaving(g.Replica)}
	if outcome == Failed || outcome == Ended {
		released.Replica, released.Content = g.Replica, g.Content
	}
	c.queue(h, func(q *releaseQueue) { q.pending = append(q.pending, released) })
}

// queue adds to what a broker is to be told and starts sending unless that is in
// progress.
func (c *Client) queue(h membership.Host, add func(*releaseQueue)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.releaseQueues[h.Name]
	if !ok {
		q = &releaseQueue{}
		c.releaseQueues[h.Name] = q
	}
	add(q)
	if !q.running {
		q.running = true
		go c.sendReleases(h, q)
	}
}

// sendReleases sends what is queued until nothing is left. A failed call is not
// repeated: the next poll reports which grants the host still uses, and the next grant
// shows that the broker doesn't know a rate limit.
func (c *Client) sendReleases(h membership.Host, q *releaseQueue) {
	for {
		args, ok := c.takeQueued(q)
		if !ok {
			return
		}
		args.Loads, args.CutOff = c.takeLoads(h, h.DataCentre), c.isCutOff()
		if err := c.call(context.Background(), h, callMargin, "Release", args, new(Empty)); err != nil {
			c.suspect(h, err)
		}
	}
}

// takeQueued empties a queue. It returns false, and the queue is no longer running, if
// it was empty.
func (c *Client) takeQueued(q *releaseQueue) (ReleaseArgs, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := ReleaseArgs{Host: c.View.Self().Name, Released: q.pending, RateLimits: q.rateLimits, Tokens: q.tokens}
	q.pending, q.rateLimits, q.tokens = nil, nil, nil
	q.running = len(args.Released)+len(args.RateLimits)+len(args.Tokens) > 0
	return args, q.running
}
