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
	// nearWait is how long a request waits in its own data centre before others
	// are tried.
	nearWait = 30 * time.Millisecond
	// farWait is how long it waits in another data centre.
	farWait = 20 * time.Millisecond
	// callSlack is what a call may take beyond the wait that it asks for.
	callSlack = 120 * time.Millisecond
	// pollTimeout bounds a poll.
	pollTimeout = pollWait + 400*time.Millisecond
	// suspectTime is how long a broker that didn't answer is passed over. It
	// doubles with each further failure, up to maxSuspectTime.
	suspectTime    = time.Second
	maxSuspectTime = 8 * time.Second
	// outdatedTime is how long a broker that the store doesn't answer is passed
	// over.
	outdatedTime = 2 * time.Second
	// restTime is the pause of a poll loop that has nothing to do or failed, and
	// shortRest that after an empty reply.
	restTime  = 200 * time.Millisecond
	shortRest = 5 * time.Millisecond
	// staleTime is how old the last word of a broker may be before the host
	// reads the replicas' records by itself.
	staleTime = 1200 * time.Millisecond
	// maxBrokers bounds the brokers of one data centre that a request tries.
	maxBrokers = 3
	// maxHolders bounds the hosts of a data centre that hold the replicas'
	// records, of which one is the broker.
	maxHolders = 5
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
	holds    map[GrantID]Grant
	suspects map[string]suspicion
	// outdated holds until when brokers are passed over that the store doesn't
	// answer.
	outdated map[string]time.Time
	version  int64
	heardAt  time.Time
	// informed says that a broker with records of replicas has answered.
	informed bool
	releases map[string]*releaseQueue
}

// suspicion is about a broker that didn't answer.
type suspicion struct {
	until    time.Time
	failures int
}

// Init makes an empty state.
func (c *Client) Init() {
	c.holds = make(map[GrantID]Grant)
	c.suspects = make(map[string]suspicion)
	c.outdated = make(map[string]time.Time)
	c.releases = make(map[string]*releaseQueue)
}

// hosts returns the hosts that may be broker of a data centre, best first.
func (c *Client) hosts(dataCentre string) []membership.Host {
	var of []membership.Host
	for _, h := range membership.All(c.View) {
		if h.DataCentre == dataCentre {
			of = append(of, h)
		}
	}
	return membership.Rendezvous(of, "slots/"+dataCentre, len(of))
}

// brokers returns the brokers to try: first those that the store answers, last
// those that lately failed to answer. Hosts that don't hold the replicas' records
// come in only when none that does answers.
func (c *Client) brokers(dataCentre string) []membership.Host {
	of := c.hosts(dataCentre)
	self, current := c.View.Self().Name, c.StoreAvailable()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	doubt := func(h membership.Host) int {
		switch {
		case now.Before(c.suspects[h.Name].until):
			return 2
		case now.Before(c.outdated[h.Name]), h.Name == self && !current:
			return 1
		}
		return 0
	}
	holders := of[:min(len(of), maxHolders)]
	if slices.ContainsFunc(holders, func(h membership.Host) bool { return doubt(h) < 2 }) {
		of = holders
	}
	slices.SortStableFunc(of, func(a, b membership.Host) int { return doubt(a) - doubt(b) })
	return of[:min(len(of), maxBrokers)]
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
	s.until = now.Add(min(suspectTime<<min(s.failures, 8), maxSuspectTime))
	s.failures++
	c.suspects[h.Name] = s
	c.mu.Unlock()
	c.Peers.Forget(h.PeerAddress)
	c.Log.WithError(err).WithField("peer", h.Name).WithField("failures", s.failures).Warn("broker doesn't answer")
}

// trust ends the suspicion about a broker that has answered.
func (c *Client) trust(h membership.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.suspects[h.Name]; ok {
		delete(c.suspects, h.Name)
		c.Log.WithField("peer", h.Name).Info("broker answers again")
	}
}

// IsBroker reports whether this host is to be the broker of its data centre.
func (c *Client) IsBroker() bool {
	of := c.brokers(c.View.Self().DataCentre)
	return len(of) == 0 || of[0].Name == c.View.Self().Name
}

// RecordsStale reports whether no broker has told of the replicas lately.
func (c *Client) RecordsStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.heardAt) > staleTime
}

// ReceivedRecords reports whether a broker with records of replicas has ever answered.
func (c *Client) ReceivedRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.informed
}

// StartStaleTimer gives the broker time to be heard for the first time.
func (c *Client) StartStaleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = c.Clock.Now()
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
	var of []membership.Host
	for _, dc := range c.otherDataCentres() {
		if ranked := c.brokers(dc); len(ranked) > 0 {
			of = append(of, ranked[0])
		}
	}
	return of
}

// RecordHolders returns the hosts that hold the replicas' records: those that may
// be the broker of any data centre.
func (c *Client) RecordHolders() []membership.Host {
	var of []membership.Host
	for _, dc := range append(c.otherDataCentres(), c.View.Self().DataCentre) {
		of = append(of, c.brokers(dc)...)
	}
	return of
}

// Acquire gets a place: in the own data centre if one is free or soon will be,
// else in another one, else after a longer wait in the own one.
func (c *Client) Acquire(ctx context.Context, ask AcquireArgs, wait time.Duration) (Grant, error) {
	own := c.View.Self().DataCentre
	ask.MaxWait = min(wait, nearWait)
	g, near := c.ask(ctx, own, ask)
	if near == nil {
		return g, nil
	}
	ask.MaxWait = min(wait, farWait)
	for _, dc := range c.otherDataCentres() {
		if ctx.Err() != nil {
			return Grant{}, ctx.Err()
		}
		if g, err := c.ask(ctx, dc, ask); err == nil {
			return g, nil
		}
	}
	if wait <= nearWait || ctx.Err() != nil {
		return Grant{}, near
	}
	ask.MaxWait = wait - nearWait
	if near.Wait > ask.MaxWait || near.Replicas == 0 {
		return Grant{}, near
	}
	if g, near = c.ask(ctx, own, ask); near == nil {
		return g, nil
	}
	return Grant{}, near
}

// ask asks the brokers of one data centre, in turn, until one answers.
func (c *Client) ask(ctx context.Context, dataCentre string, ask AcquireArgs) (Grant, *RefusedError) {
	for _, h := range c.brokers(dataCentre) {
		reply, err := c.acquire(ctx, h, ask)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			c.suspect(h, err)
			continue
		}
		c.trust(h)
		if reply.Moved {
			continue
		}
		if !reply.Granted {
			return Grant{}, &RefusedError{RetryAfter: reply.RetryAfter, Wait: reply.Wait, Replicas: reply.Replicas}
		}
		// From here on the time is this host's, not the broker's.
		reply.Grant.Since = c.Clock.Now()
		c.mu.Lock()
		c.holds[reply.Grant.ID] = reply.Grant
		c.mu.Unlock()
		return reply.Grant, nil
	}
	return Grant{}, &RefusedError{RetryAfter: minRetryAfter}
}

// acquire makes one call. A place that comes after its request has left is
// given back.
func (c *Client) acquire(ctx context.Context, h membership.Host, ask AcquireArgs) (*AcquireReply, error) {
	type result struct {
		reply *AcquireReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := new(AcquireReply)
		bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), ask.MaxWait+callSlack)
		defer cancel()
		err := c.call(bound, h, "Acquire", ask, reply)
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
	delete(c.holds, g.ID)
	c.mu.Unlock()
	if of := c.brokers(g.Replica.DataCentre); len(of) > 0 {
		c.release(of[0], g.ID, outcome)
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
	q, ok := c.releases[h.Name]
	if !ok {
		q = &releaseQueue{}
		c.releases[h.Name] = q
	}
	q.pending = append(q.pending, Released{ID: id, Outcome: outcome})
	if !q.running {
		q.running = true
		go c.drainReleases(h, q)
	}
}

// drainReleases sends what has gathered until nothing is left. A call that
// fails needs no repeat: the next poll says what the host still holds.
func (c *Client) drainReleases(h membership.Host, q *releaseQueue) {
	for {
		c.mu.Lock()
		batch := q.pending
		q.pending = nil
		q.running = len(batch) > 0
		c.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callSlack)
		err := c.call(ctx, h, "Release", ReleaseArgs{Released: batch}, new(Empty))
		cancel()
		if err != nil {
			c.suspect(h, err)
		}
	}
}

// NotifyDemand tells the own broker that items wait.
func (c *Client) NotifyDemand(ctx context.Context) {
	of := c.brokers(c.View.Self().DataCentre)
	if len(of) == 0 {
		return
	}
	for _, w := range c.BatchItems.Demand(false) {
		bound, cancel := context.WithTimeout(ctx, callSlack)
		err := c.call(bound, of[0], "Want", WantArgs{Host: c.View.Self().Name, Want: w}, new(Empty))
		cancel()
		if err != nil && ctx.Err() == nil {
			c.suspect(of[0], err)
		}
	}
}
