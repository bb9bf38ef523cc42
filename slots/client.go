package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// PeerName is the name under which a broker serves its calls.
const PeerName = "Slots"

// Times of calls to brokers.
const (
	// localWait is how long a request waits in its own data centre before others
	// are tried.
	localWait = 30 * time.Millisecond
	// remoteWait is how long it waits in another data centre.
	remoteWait = 20 * time.Millisecond
	// callMargin is what a call may take beyond the wait that it asks for.
	callMargin = 120 * time.Millisecond
	// pollTimeout bounds a poll.
	pollTimeout = pollWait + 400*time.Millisecond
	// suspectCooldown is how long a broker that didn't answer is passed over. It
	// doubles with each further failure, up to maxSuspectTime.
	suspectCooldown    = time.Second
	maxSuspectCooldown = 8 * time.Second
	// outdatedCooldown is how long a broker that the store doesn't answer is passed
	// over.
	outdatedCooldown = 2 * time.Second
	// idlePollDelay is the pause of a poll loop that has nothing to do or failed, and
	// shortRest that after an empty reply.
	idlePollDelay = 200 * time.Millisecond
	pollDelay     = 5 * time.Millisecond
	// recordsStaleTimeout is how old the last word of a broker may be before the host
	// reads the replicas' records by itself.
	recordsStaleTimeout = 1200 * time.Millisecond
	// maxBrokerTries bounds the brokers of one data centre that a request tries.
	maxBrokerTries = 3
	// maxRecordHolders bounds the hosts of a data centre that hold the replicas'
	// records, of which one is the broker.
	maxRecordHolders = 5
)

// PeerClient calls brokers on other hosts.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Forget(address string)
}

// BatchItems is the batch side of a host.
type BatchItems interface {
	// Granted takes a place for an item; it is given back when none waits.
	Granted(g Grant)
	// Revoked stops the item that runs on a place.
	Revoked(id GrantID)
	// Demand says what waits, for the own data centre or for others.
	Demand(remote bool) []DemandMessage
}

// RefusedError says that no place was to be had.
type RefusedError struct {
	// RetryAfter is when a place is expected.
	RetryAfter time.Duration
	// Wait is the expected wait in the own data centre and Replicas the number
	// of replicas there.
	Wait     time.Duration
	Replicas int
}

// Error implements error.
func (r *RefusedError) Error() string { return "no place is free in time" }

// Client is a host's side of the brokers. Its fields are required.
type Client struct {
	View       membership.View
	Peers      PeerClient
	Broker     *Broker
	BatchItems BatchItems
	Clock      clockwork.Clock
	Log        *logrus.Entry
	// OnReplicas takes the replicas' records that a broker tells.
	OnReplicas func([]replica.Replica)
	// StoreAvailable reports whether the store answers this host.
	StoreAvailable func() bool
	// OnNotice takes what another host, the broker of the own data centre, knows.
	OnNotice func(broker membership.Host, n Notice)

	mu       sync.Mutex
	grants   map[GrantID]Grant
	suspects map[string]suspicion
	// outdatedUntil holds until when brokers are passed over that the store doesn't
	// answer.
	outdatedUntil map[string]time.Time
	version       int64
	lastUpdate    time.Time
	// receivedRecords says that a broker with records of replicas has answered.
	receivedRecords bool
	releaseQueues   map[string]*releaseQueue
}

// suspicion is about a broker that didn't answer.
type suspicion struct {
	until    time.Time
	failures int
}

// Init makes an empty state.
func (c *Client) Init() {
	c.grants = make(map[GrantID]Grant)
	c.suspects = make(map[string]suspicion)
	c.outdatedUntil = make(map[string]time.Time)
	c.releaseQueues = make(map[string]*releaseQueue)
}

// rankedHosts returns the rankedHosts that may be broker of a data centre, best first.
func (c *Client) rankedHosts(dataCentre string) []membership.Host {
	var candidates []membership.Host
	for _, h := range membership.All(c.View) {
		if h.DataCentre == dataCentre {
			candidates = append(candidates, h)
		}
	}
	return membership.Rendezvous(candidates, "slots/"+dataCentre, len(candidates))
}

// brokers returns the brokers to try: first those that the store answers, last
// those that lately failed to answer. Hosts that don't hold the replicas' records
// come in only when none that does answers.
func (c *Client) brokers(dataCentre string) []membership.Host {
	ranked := c.rankedHosts(dataCentre)
	self, storeAvailable := c.View.Self().Name, c.StoreAvailable()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	penalty := func(h membership.Host) int {
		switch {
		case now.Before(c.suspects[h.Name].until):
			return 2
		case now.Before(c.outdatedUntil[h.Name]), h.Name == self && !storeAvailable:
			return 1
		}
		return 0
	}
	holders := ranked[:min(len(ranked), maxRecordHolders)]
	if slices.ContainsFunc(holders, func(h membership.Host) bool { return penalty(h) < 2 }) {
		ranked = holders
	}
	slices.SortStableFunc(ranked, func(a, b membership.Host) int { return penalty(a) - penalty(b) })
	return ranked[:min(len(ranked), maxBrokerTries)]
}

func (c *Client) suspect(h membership.Host, err error) {
	c.mu.Lock()
	now := c.Clock.Now()
	s := c.suspects[h.Name]
	if now.Before(s.until) {
		// Calls that fail together are one failure.
		c.mu.Unlock()
		return
	}
	s.until = now.Add(min(suspectCooldown<<min(s.failures, 8), maxSuspectCooldown))
	s.failures++
	c.suspects[h.Name] = s
	c.mu.Unlock()
	c.Peers.Forget(h.PeerAddress)
	c.Log.WithError(err).WithField("peer", h.Name).WithField("failures", s.failures).Warn("broker doesn't answer")
}

// clearSuspicion ends the suspicion about a broker that has answered.
func (c *Client) clearSuspicion(h membership.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.suspects[h.Name]; ok {
		delete(c.suspects, h.Name)
		c.Log.WithField("peer", h.Name).Info("broker answers again")
	}
}

// IsBroker reports whether this host is to be the broker of its data centre.
func (c *Client) IsBroker() bool {
	ranked := c.brokers(c.View.Self().DataCentre)
	return len(ranked) == 0 || ranked[0].Name == c.View.Self().Name
}

// RecordsStale reports whether no broker has told of the replicas lately.
func (c *Client) RecordsStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.lastUpdate) > recordsStaleTimeout
}

// ReceivedRecords reports whether a broker with records of replicas has ever answered.
func (c *Client) ReceivedRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedRecords
}

// StartStaleTimer gives the broker time to be heard for the first time.
func (c *Client) StartStaleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUpdate = c.Clock.Now()
}

// otherDataCentres returns the data centres besides the host's own, sorted.
func (c *Client) otherDataCentres() []string {
	var names []string
	for _, h := range c.View.Remote() {
		if !slices.Contains(names, h.DataCentre) {
			names = append(names, h.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// RemoteBrokers returns the brokers of the other data centres.
func (c *Client) RemoteBrokers() []membership.Host {
	var hosts []membership.Host
	for _, dc := range c.otherDataCentres() {
		if ranked := c.brokers(dc); len(ranked) > 0 {
			hosts = append(hosts, ranked[0])
		}
	}
	return hosts
}

// RecordHolders returns the hosts that hold the replicas' records: those that may
// be the broker of any data centre.
func (c *Client) RecordHolders() []membership.Host {
	var hosts []membership.Host
	for _, dc := range append(c.otherDataCentres(), c.View.Self().DataCentre) {
		hosts = append(hosts, c.brokers(dc)...)
	}
	return hosts
}

// Acquire gets a place: in the own data centre if one is free or soon will be,
// else in another one, else after a longer wait in the own one.
func (c *Client) Acquire(ctx context.Context, args AcquireArgs, wait time.Duration) (Grant, error) {
	own := c.View.Self().DataCentre
	args.MaxWait = min(wait, localWait)
	g, localRefusal := c.acquireFrom(ctx, own, args)
	if localRefusal == nil {
		return g, nil
	}
	args.MaxWait = min(wait, remoteWait)
	for _, dc := range c.otherDataCentres() {
		if ctx.Err() != nil {
			return Grant{}, ctx.Err()
		}
		if g, err := c.acquireFrom(ctx, dc, args); err == nil {
			return g, nil
		}
	}
	if wait <= localWait || ctx.Err() != nil {
		return Grant{}, localRefusal
	}
	args.MaxWait = wait - localWait
	if localRefusal.Wait > args.MaxWait || localRefusal.Replicas == 0 {
		return Grant{}, localRefusal
	}
	if g, localRefusal = c.acquireFrom(ctx, own, args); localRefusal == nil {
		return g, nil
	}
	return Grant{}, localRefusal
}

// acquireFrom asks the brokers of one data centre, in turn, until one answers.
func (c *Client) acquireFrom(ctx context.Context, dataCentre string, args AcquireArgs) (Grant, *RefusedError) {
	for _, h := range c.brokers(dataCentre) {
		reply, err := c.callAcquire(ctx, h, args)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			c.suspect(h, err)
			continue
		}
		c.clearSuspicion(h)
		if reply.Moved {
			continue
		}
		if !reply.Granted {
			return Grant{}, &RefusedError{RetryAfter: reply.RetryAfter, Wait: reply.Wait, Replicas: reply.Replicas}
		}
		// From here on the time is this host's, not the broker's.
		reply.Grant.Since = c.Clock.Now()
		c.mu.Lock()
		c.grants[reply.Grant.ID] = reply.Grant
		c.mu.Unlock()
		return reply.Grant, nil
	}
	return Grant{}, &RefusedError{RetryAfter: minRetryAfter}
}

// callAcquire makes one call. A place that comes after its request has left is
// given back.
func (c *Client) callAcquire(ctx context.Context, h membership.Host, args AcquireArgs) (*AcquireReply, error) {
	type result struct {
		reply *AcquireReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := new(AcquireReply)
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), args.MaxWait+callMargin)
		defer cancel()
		err := c.call(callCtx, h, "Acquire", args, reply)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		go func() {
			if r := <-done; r.err == nil && r.reply.Granted {
				c.release(h, r.reply.Grant.ID, Unused)
			}
		}()
		return nil, ctx.Err()
	}
}

// call calls a broker, which may be the host's own. A connection that breaks off
// says little of the broker, so the call is made once more: all calls may be
// repeated, since the next poll tells the broker what the host holds.
func (c *Client) call(ctx context.Context, h membership.Host, method string, args, reply any) error {
	if h.Name != c.View.Self().Name {
		err := c.Peers.Call(ctx, h.PeerAddress, PeerName+"."+method, args, reply)
		if errors.Is(err, peer.ErrBroken) && ctx.Err() == nil {
			err = c.Peers.Call(ctx, h.PeerAddress, PeerName+"."+method, args, reply)
		}
		return err
	}
	switch args := args.(type) {
	case AcquireArgs:
		return c.Broker.Acquire(args, reply.(*AcquireReply))
	case ReleaseArgs:
		return c.Broker.Release(args, reply.(*Empty))
	case PollArgs:
		return c.Broker.Poll(args, reply.(*PollReply))
	case WantArgs:
		return c.Broker.Want(args, reply.(*Empty))
	}
	return errors.AssertionFailedf("no broker call takes %T", args)
}

// Release gives a place back.
func (c *Client) Release(g Grant, outcome Outcome) {
	c.mu.Lock()
	delete(c.grants, g.ID)
	c.mu.Unlock()
	if ranked := c.brokers(g.Replica.DataCentre); len(ranked) > 0 {
		c.release(ranked[0], g.ID, outcome)
	}
}

// releaseQueue gathers the places that go back to one broker while a call to it
// is under way.
type releaseQueue struct {
	pending []Released
	running bool
}

func (c *Client) release(h membership.Host, id GrantID, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.releaseQueues[h.Name]
	if !ok {
		q = &releaseQueue{}
		c.releaseQueues[h.Name] = q
	}
	q.pending = append(q.pending, Released{ID: id, Outcome: outcome})
	if !q.running {
		q.running = true
		go c.sendReleases(h, q)
	}
}

// sendReleases sends what has gathered until nothing is left. A call that
// fails needs no repeat: the next poll says what the host still holds.
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

// NotifyDemand tells the own broker that items wait.
func (c *Client) NotifyDemand(ctx context.Context) {
	ranked := c.brokers(c.View.Self().DataCentre)
	if len(ranked) == 0 {
		return
	}
	for _, w := range c.BatchItems.Demand(false) {
		callCtx, cancel := context.WithTimeout(ctx, callMargin)
		err := c.call(callCtx, ranked[0], "Want", WantArgs{Host: c.View.Self().Name, Want: w}, new(Empty))
		cancel()
		if err != nil && ctx.Err() == nil {
			c.suspect(ranked[0], err)
		}
	}
}
