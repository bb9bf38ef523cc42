package slots

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Serve polls the brokers until ctx ends: the own data centre's always, those
// of others while items wait for a place or run there.
func (c *Client) Serve(ctx context.Context) error {
	loops := make(map[string]struct{})
	for {
		changed := c.View.Changed()
		for _, dc := range append(c.otherDataCentres(), c.View.Self().DataCentre) {
			if _, ok := loops[dc]; !ok {
				loops[dc] = struct{}{}
				go c.poll(ctx, dc)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in supervisor events.
func (c *Client) String() string { return "slots client" }

func (c *Client) poll(ctx context.Context, dataCentre string) {
	for ctx.Err() == nil {
		rest := restTime
		if c.pollOnce(ctx, dataCentre) {
			rest = shortRest
		}
		wait.For(ctx, c.Clock, rest)
	}
}

// pollOnce makes one poll and reports whether another is to follow soon.
func (c *Client) pollOnce(ctx context.Context, dataCentre string) bool {
	self := c.View.Self()
	remote := dataCentre != self.DataCentre
	holds := c.holdsIn(dataCentre, remote)
	wants := c.BatchItems.Demand(remote)
	if remote && len(holds) == 0 && len(wants) == 0 {
		return false
	}
	of := c.brokers(dataCentre)
	if len(of) == 0 {
		return false
	}
	h := of[0]
	args := PollArgs{Host: self.Name, Holds: holds, Wants: wants, Partial: remote, Version: c.knownVersion(h, remote)}
	var reply PollReply
	bound, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := c.call(bound, h, "Poll", args, &reply); err != nil {
		if ctx.Err() == nil {
			c.suspect(h, err)
		}
		return false
	}
	c.trust(h)
	c.take(h, reply, remote, args.Version != anyVersion)
	return true
}

// knownVersion returns the version of the replica records to compare with. They
// are taken only by the hosts that hold them, and not from brokers of other data
// centres or those that the store doesn't answer.
func (c *Client) knownVersion(h membership.Host, remote bool) int64 {
	if !c.holdsRecords() {
		return anyVersion
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote || c.Clock.Now().Before(c.outdated[h.Name]) {
		return anyVersion
	}
	return c.version
}

// anyVersion asks for no replica records.
const anyVersion int64 = -1

// holdsIn lists the places that are held in a data centre. Online requests in
// other data centres are short and left out.
func (c *Client) holdsIn(dataCentre string, remote bool) []GrantMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var holds []GrantMessage
	for _, g := range c.holds {
		if g.Replica.DataCentre != dataCentre || remote && g.Class == Online {
			continue
		}
		holds = append(holds, GrantMessage{ID: g.ID, Class: g.Class, Replica: g.Replica, Age: max(now.Sub(g.Since), 0), DueIn: g.Due.Sub(now)})
	}
	return holds
}

// hold notes new grants. The lock is held.
func (c *Client) hold(now time.Time, granted []Grant) {
	for i := range granted {
		granted[i].Since = now
		c.holds[granted[i].ID] = granted[i]
	}
}

// take carries out what a broker tells. Asked says that the poll asked for the
// replicas' records.
func (c *Client) take(h membership.Host, reply PollReply, remote, asked bool) {
	c.mu.Lock()
	now := c.Clock.Now()
	c.hold(now, reply.Granted)
	if !reply.Notice.Current && h.Name != c.View.Self().Name {
		c.outdated[h.Name] = now.Add(outdatedTime)
	}
	c.mu.Unlock()
	if !remote {
		c.learn(h, reply, asked)
	}
	for _, id := range reply.Revoked {
		c.BatchItems.Revoked(id)
	}
	for _, g := range reply.Granted {
		c.BatchItems.Granted(g)
	}
}

// learn takes what the broker of the own data centre knows. The records of one
// that the store doesn't answer are taken only while this host has no better
// ones.
func (c *Client) learn(h membership.Host, reply PollReply, asked bool) {
	own := h.Name == c.View.Self().Name
	usable := !own && (reply.Notice.Current || !c.StoreAvailable())
	c.mu.Lock()
	fresh := usable && asked && reply.Version != c.version
	if asked && (usable || own) {
		c.version = reply.Version
	}
	if !own && reply.Notice.Current {
		c.heardAt = c.Clock.Now()
	}
	c.informed = c.informed || usable && reply.Known
	c.mu.Unlock()
	if fresh {
		c.OnReplicas(reply.Replicas)
	}
	if usable {
		c.OnNotice(h, reply.Notice)
	}
}

// holdsRecords reports whether the host is among those of its data centre that
// hold the replicas' records.
func (c *Client) holdsRecords() bool {
	self := c.View.Self()
	of := c.hosts(self.DataCentre)
	return slices.ContainsFunc(of[:min(len(of), maxHolders)], func(h membership.Host) bool { return h.Name == self.Name })
}
