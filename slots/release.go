package slots

import (
	"context"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// Released describes a grant that has ended.
type Released struct {
	ID      GrantID
	Outcome Outcome
	// Leaving reports that the host has found the replica to be leaving.
	Leaving bool
}

// ReleaseArgs is the argument of Release.
type ReleaseArgs struct{ Released []Released }

// Empty is an empty reply.
type Empty struct{}

// Release frees the slots of grants that have ended.
func (b *Broker) Release(args ReleaseArgs, _ *Empty) error {
	for _, r := range b.release(args.Released) {
		b.onLeaving(r)
	}
	return nil
}

// release frees the slots of grants and returns the replicas that were found to be
// leaving.
func (b *Broker) release(ended []Released) []replica.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var leaving []replica.Replica
	for _, r := range ended {
		if g, ok := b.sched.grants[r.ID]; ok && r.Leaving && b.onLeaving != nil {
			leaving = append(leaving, g.Replica)
		}
		b.sched.Release(now, r.ID, r.Outcome)
	}
	b.plan()
	return leaving
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

// releaseQueue collects the ended grants for one broker while a call to it is
// in progress.
type releaseQueue struct {
	pending []Released
	running bool
}

// release queues an ended grant and starts sending unless that is in progress.
func (c *Client) release(h membership.Host, g Grant, outcome Outcome) {
	released := Released{ID: g.ID, Outcome: outcome, Leaving: c.Leaving.IsLeaving(g.Replica)}
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.releaseQueues[h.Name]
	if !ok {
		q = &releaseQueue{}
		c.releaseQueues[h.Name] = q
	}
	q.pending = append(q.pending, released)
	if !q.running {
		q.running = true
		go c.sendReleases(h, q)
	}
}

// sendReleases sends the queued releases until none are left. A failed call is
// not repeated: the next poll reports which grants the host still uses.
func (c *Client) sendReleases(h membership.Host, q *releaseQueue) {
	for {
		c.mu.Lock()
		released := q.pending
		q.pending = nil
		q.running = len(released) > 0
		c.mu.Unlock()
		if len(released) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callMargin)
		err := c.call(ctx, h, "Release", ReleaseArgs{Released: released}, new(Empty))
		cancel()
		if err != nil {
			c.suspect(h, err)
		}
	}
}
