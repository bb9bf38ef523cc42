package slots

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Serve polls the brokers until ctx ends: always that of the own data centre,
// and those of other data centres while items wait for a slot or run there.
func (c *Client) Serve(ctx context.Context) error {
	go c.copyStreams(ctx)
	loops := make(map[string]struct{})
	for {
		changed := c.View.Changed()
		for _, dc := range append(c.otherDataCentres(), c.View.Self().DataCentre) {
			if _, ok := loops[dc]; !ok {
				loops[dc] = struct{}{}
				go c.pollLoop(ctx, dc)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String returns the name in supervisor events.
func (c *Client) String() string { return "slots client" }

func (c *Client) pollLoop(ctx context.Context, dataCentre string) {
	for ctx.Err() == nil {
		delay := idlePollDelay
		if c.pollOnce(ctx, dataCentre) {
			delay = pollDelay
		}
		wait.For(ctx, c.Clock, delay)
	}
}

// pollOnce makes one poll and reports whether the next one should follow soon.
func (c *Client) pollOnce(ctx context.Context, dataCentre string) bool {
	self := c.View.Self()
	remote := dataCentre != self.DataCentre
	grants := c.grantsIn(dataCentre, remote)
	demands := c.BatchItems.Demand(remote)
	idle := remote && len(grants) == 0 && len(demands) == 0
	if idle && !c.isReported(dataCentre) && !c.needsProbe(dataCentre) {
		return false
	}
	ranked := c.brokers(dataCentre)
	if len(ranked) == 0 {
		return false
	}
	h := ranked[0]
	version := c.knownVersion(h, remote)
	if outdated, ok := c.outdatedToAsk(h); ok {
		h, version = outdated, c.recordsVersion(outdated)
	}
	args := PollArgs{Host: self.Name, CutOff: c.isCutOff(), Holds: grants, Wants: demands, Partial: remote, Version: version, Quota: c.quotaAttachment(h, remote), Loads: c.takeLoads(h, dataCentre)}
	if !remote {
		args.Free = c.free.recent(c.Clock.Now())
		args.NoWait = c.isNewBroker(h)
	}
	var reply PollReply
	sent := c.bootTime()
	if err := c.poll(ctx, h, args, &reply); err != nil {
		if ctx.Err() == nil {
			c.suspect(h, err)
		}
		return false
	}
	c.clearSuspicion(h)
	c.applyQuotaStamp(h, &reply)
	c.setReported(dataCentre, remote && !idle)
	if !remote {
		c.free.observe(c.Clock.Now(), reply.Free...)
	}
	c.passConfirmation(h, sent, reply.Notice)
	c.applyReply(h, reply, remote, args.Version != skipRecords)
	return true
}

// isNewBroker records a poll of the broker of the own data centre and reports whether the last
// one went to another. A new broker is asked for a reply at once: it may not be current either, or
// have a newer configuration.
func (c *Client) isNewBroker(h membership.Host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.polled != h.Name
	c.polled = h.Name
	return isNew
}

// poll calls Poll. It ends when the broker becomes suspect.
func (c *Client) poll(ctx context.Context, h membership.Host, args PollArgs, reply *PollReply) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.polls[h.Name] = cancel
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.polls, h.Name)
	}()
	return c.call(ctx, h, pollTimeout, "Poll", args, reply)
}

// bootTime returns the time by which confirmations are aged, if they are wanted.
func (c *Client) bootTime() time.Duration {
	if c.BootTime == nil {
		return 0
	}
	return c.BootTime()
}

// passConfirmation passes on the confirmation in the reply to a poll. A call that was
// repeated counts from when it was sent first.
func (c *Client) passConfirmation(h membership.Host, sent time.Duration, n Notice) {
	if c.OnConfirmed != nil && n.ConfirmedVersion != 0 && h.Name != c.View.Self().Name {
		c.OnConfirmed(n.ConfirmedVersion, sent, n.ConfirmedAge)
	}
}

// isReported reports whether the broker of another data centre has to be told that
// the host has neither demand nor grants there any more.
func (c *Client) isReported(dataCentre string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported[dataCentre]
}

func (c *Client) setReported(dataCentre string, reported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported[dataCentre] = reported
}

// knownVersion returns the version of the replica records to send in a poll.
// Records are received only by the hosts that keep them, and neither from
// brokers of other data centres nor from those that the store does not answer.
func (c *Client) knownVersion(h membership.Host, remote bool) int64 {
	c.mu.Lock()
	outdated := c.isOutdated(h, true, c.Clock.Now())
	c.mu.Unlock()
	if remote || outdated {
		return skipRecords
	}
	return c.recordsVersion(h)
}

// recordsVersion returns the version of the replica records of this host, or skipRecords if it
// does not keep any or has newer ones than the broker.
func (c *Client) recordsVersion(h membership.Host) int64 {
	if !c.isRecordHolder() {
		return skipRecords
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitedRev != 0 && c.awaitedOf == h.Name {
		return skipRecords
	}
	return c.version
}

// skipRecords is the version in a poll that requests no replica records.
const skipRecords int64 = -1

// grantsIn lists the grants in a data centre. Online requests in other data
// centres are left out, since they are short.
func (c *Client) grantsIn(dataCentre string, remote bool) []GrantMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var grants []GrantMessage
	for _, g := range c.grants {
		if g.Replica.DataCentre != dataCentre || remote && g.Class == Online {
			continue
		}
		grants = append(grants, GrantMessage{ID: g.ID, Class: g.Class, Replica: g.Replica, Content: g.Content, Age: max(now.Sub(g.Since), 0), DueIn: g.Due.Sub(now), Share: g.Share})
	}
	return grants
}

// addGrants records new grants. Since becomes a time of this host, as the
// broker's clock may differ. The lock is held.
func (c *Client) addGrants(now time.Time, broker string, granted []Grant) {
	for i := range granted {
		granted[i].Since = now
		granted[i].Broker = broker
		c.grants[granted[i].ID] = granted[i]
	}
}

// applyReply processes the reply to a poll. withRecords reports that the poll
// requested the replica records.
func (c *Client) applyReply(h membership.Host, reply PollReply, remote, withRecords bool) {
	c.mu.Lock()
	now := c.Clock.Now()
	c.addGrants(now, h.Name, reply.Granted)
	if reply.Notice.Current {
		c.forgetOutdated(h, now)
	} else if h.Name != c.View.Self().Name {
		c.outdatedUntil[h.Name] = now.Add(outdatedCooldown)
	}
	c.mu.Unlock()
	if !remote {
		c.applyRecords(h, reply, withRecords)
	}
	for _, id := range reply.Revoked {
		c.BatchItems.Revoked(id)
	}
	for _, g := range reply.Granted {
		if c.Replicas.IsLeaving(g.Replica) {
			c.Release(g, Unused)
			continue
		}
		if !c.reconcileRateLimit(h, g) {
			c.ReportRateLimit(g.Replica, c.Replicas.RateLimit(g.Replica))
			c.Release(g, Unused)
			continue
		}
		c.BatchItems.Granted(g)
	}
}

// applyRecords processes the replica records and the notice from the broker of
// the own data centre. Those of a broker that the store does not answer are
// used only while the store does not answer this host either.
func (c *Client) applyRecords(h membership.Host, reply PollReply, withRecords bool) {
	usable := h.Name != c.View.Self().Name && (reply.Notice.Current || !c.StoreAvailable())
	withRecords = withRecords && reply.Known
	var newer txn.Rev
	if usable && withRecords && c.lacksRecords(reply.Version) {
		newer = c.OnReplicas(reply.Replicas, reply.RecordsRev)
	}
	c.recordReceipt(h, &reply, usable, withRecords, newer)
	if usable {
		c.OnNotice(h, reply.Notice)
	}
}

func (c *Client) lacksRecords(version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version != c.version
}

// recordReceipt records which replica records this host has after a reply of the broker of the
// own data centre, and when it got them. If those of this host are newer than the broker's, newer
// is their revision.
func (c *Client) recordReceipt(h membership.Host, reply *PollReply, usable, withRecords bool, newer txn.Rev) {
	own := h.Name == c.View.Self().Name
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Name != c.awaitedOf || reply.RecordsRev >= c.awaitedRev || reply.RecordsRev == 0 {
		c.awaitedRev = 0
	}
	switch {
	case newer != 0:
		c.awaitedRev, c.awaitedOf = newer, h.Name
		c.Log.WithFields(logrus.Fields{"peer": h.Name, "rev": reply.RecordsRev, "own_rev": newer}).Info("replica records of a peer are older than those of this host")
	case withRecords && (usable || own):
		c.version = reply.Version
	}
	if !own && reply.Notice.Current {
		c.lastUpdate = c.Clock.Now()
		if withRecords || c.awaitedRev != 0 {
			c.recordsAt = c.lastUpdate
		}
	}
	c.receivedRecords = c.receivedRecords || usable && reply.Known
}

// isRecordHolder reports whether this host is one of those in its data centre
// that keep the replica records.
func (c *Client) isRecordHolder() bool {
	self := c.View.Self()
	ranked := c.rankedHosts(self.DataCentre)
	return slices.ContainsFunc(ranked[:min(len(ranked), maxRecordHolders)], func(h membership.Host) bool { return h.Name == self.Name })
}
