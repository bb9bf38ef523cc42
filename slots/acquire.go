package slots

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// AcquireArgs is the argument of Acquire, a request for a slot for an online
// request.
type AcquireArgs struct {
	// Request is the ID of the request, for logs.
	Request string
	Host    string
	// CutOff reports that the host finds itself cut off from the replicas. The client sets
	// it.
	CutOff  bool
	Service string
	// Content is what of the request may crash replicas.
	Content quarantine.Content
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
	// FirstEventWithin is how long from now on the first event is due; zero means at no
	// certain time.
	FirstEventWithin time.Duration
	// Priority orders waiting requests, lower values first; 0 is the highest
	// priority of a route.
	Priority int
	// Customer is the name of the customer whose request it is, and CustomerPriority that
	// customer's priority, which goes before Priority. Customer is empty if the
	// configuration has no customers or the route is public.
	Customer         string
	CustomerPriority int
	// ConfigVersion is the version of the configuration by which the host has admitted the
	// request.
	ConfigVersion int64
	// Charged reports that the request has a token of its customer's quota: an earlier
	// attempt was granted a slot.
	Charged bool
	// Call identifies the call, which may be made twice, if it takes a token; else it is
	// zero.
	Call uint64
	// Avoid holds the IDs of replicas that the request must not be sent to.
	Avoid []string
	// Leaving holds the replicas that the host has found to be leaving.
	Leaving []replica.Incarnation
	// Pinned restricts the request to replicas of SoftwareVersion, since it resumes
	// a stream that such a replica began.
	Pinned          bool
	SoftwareVersion string
	// Stream is the ID of the request that begins the stream, if its caller may
	// resume it; empty otherwise.
	Stream string
}

// matchesVersion reports whether the replica's software may run the request.
func (a *AcquireArgs) matchesVersion(r *replicaState) bool {
	return !a.Pinned || r.SoftwareVersion == a.SoftwareVersion
}

// allows reports whether the request may be sent to the replica.
func (a *AcquireArgs) allows(r *replicaState) bool {
	return a.matchesVersion(r) && !slices.Contains(a.Avoid, r.ID) && !a.isLeaving(r)
}

func (a *AcquireArgs) isLeaving(r *replicaState) bool {
	return slices.ContainsFunc(a.Leaving, func(l replica.Incarnation) bool { return l.ID == r.ID && r.Born <= l.Born })
}

// AcquireReply is the reply to Acquire.
type AcquireReply struct {
	Granted bool
	Grant   Grant
	// Moved reports that this host is not the broker yet, since it has no replica
	// records, or stopped being it while the request waited.
	Moved bool
	// Wait is the expected wait of a refused request, and RetryAfter is when to
	// send it again.
	Wait, RetryAfter time.Duration
	// Replicas is the number of ready replicas of the service that may run the
	// request, and RateLimited is the number of those that only their rate limit
	// keeps from it.
	Replicas, RateLimited int
	// HeldBack is the number of replicas with a free slot that the request may get if it
	// asks for the last time.
	HeldBack int
	// Suspect is the number of those of Replicas that get none or one request at a time
	// since several failed there.
	Suspect int
	// Quarantined reports that the request is refused since it crashes replicas.
	Quarantined bool
	// OverQuota reports that the request is refused since its customer's quota is used
	// up, as described by Quota.
	OverQuota bool
	Quota     quota.Refusal
	// Share describes the customer's share, if the request is refused for its wait.
	Share ShareUse
	// Free is the number of slots of the service that are free for online requests, if
	// FreeKnown is set. QueueWait is the wait that a refused request has to expect now, also
	// after it has waited. Both are set for requests of customers and where replicas state
	// how slow they are, which Uneven reports.
	Free      int
	FreeKnown bool
	QueueWait time.Duration
	Uneven    bool
}

// Acquire grants a slot to an online request or refuses it. It waits for a free
// slot for at most args.MaxWait.
func (b *Broker) Acquire(args AcquireArgs, reply *AcquireReply) error {
	// A host that starts has neither records nor tokens. The host that asked tries the
	// next broker, which it would not do after a refusal for lack of tokens.
	if !b.hasRecords() {
		reply.Moved = true
		return nil
	}
	returnUnused, ok := b.takeToken(&args, reply)
	if !ok {
		return nil
	}
	defer returnUnused()
	waiter, granted := b.decide(&args, reply)
	if waiter == nil {
		return nil
	}
	timer := b.clock.NewTimer(args.MaxWait)
	defer timer.Stop()
	select {
	case g, ok := <-granted:
		reply.setResult(waiter, &g, ok)
	case <-timer.Chan():
		b.endWait(waiter, granted, reply)
	}
	return nil
}

func (b *Broker) hasRecords() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replicas != nil
}

// decide decides on a request for a slot. A request that has to wait gets a waiter and
// the channel on which its grant arrives.
func (b *Broker) decide(args *AcquireArgs, reply *AcquireReply) (*Waiter, chan Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replicas == nil {
		reply.Moved = true
		return nil, nil
	}
	now := b.clock.Now()
	b.updateRateShare(now)
	b.sched.RecordStatement(now, args.Host, args.CutOff)
	d := b.sched.Acquire(now, *args)
	*reply = AcquireReply{Wait: d.Wait, RetryAfter: d.RetryAfter, Replicas: d.Replicas, RateLimited: d.RateLimited, HeldBack: d.HeldBack, Suspect: d.Suspect, Quarantined: d.Quarantined, Share: d.Share}
	if d.Waiter == nil {
		if d.Grant != nil {
			b.recordGrant(args, d.Grant)
		}
		reply.setGrant(d.Grant)
		b.addForecast(args, reply)
		return nil, nil
	}
	granted := make(chan Grant, 1)
	b.waiting[d.Waiter] = granted
	b.plan()
	return d.Waiter, granted
}

// setGrant sets the grant; nil leaves the reply a refusal.
func (r *AcquireReply) setGrant(g *Grant) {
	if g != nil {
		r.Granted, r.Grant = true, *g
	}
}

// setResult sets the result of a wait that ended before its time: a grant, a refusal, or
// neither if this host stopped being the broker.
func (r *AcquireReply) setResult(w *Waiter, g *Grant, granted bool) {
	switch {
	case granted:
		r.setGrant(g)
	case w.refusal != nil:
		r.Wait, r.RetryAfter, r.Share = w.refusal.Wait, w.refusal.RetryAfter, w.refusal.Share
	default:
		r.Moved = true
	}
}

// endWait removes a waiter whose time is up, unless it was granted a slot
// meanwhile.
func (b *Broker) endWait(w *Waiter, granted chan Grant, reply *AcquireReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case g, ok := <-granted:
		reply.setResult(w, &g, ok)
	default:
		delete(b.waiting, w)
		p := b.sched.pool(w.args.Service)
		reply.Share, reply.Suspect = b.sched.shareUse(p, &w.args), p.countSuspect(&w.args)
		reply.RetryAfter = b.sched.RemoveWaiter(b.clock.Now(), w)
		b.addForecast(&w.args, reply)
	}
}

// Acquire acquires a slot. It first requests one in the host's own data centre
// for at most localWait, then in each other one for at most remoteWait, then for
// the rest of the wait in the own one again. If that has no replica for a pinned
// request, the rest of the wait is spent where there is one. Requests of customers and
// those to replicas that state how slow they are go to others only if they can't be in
// time in their own data centre, and only to those that may have a free slot.
func (c *Client) Acquire(ctx context.Context, args AcquireArgs, wait time.Duration) (Grant, error) {
	args.CutOff = c.isCutOff()
	var token heldToken
	g, err := c.acquire(ctx, args, wait, &token)
	if err != nil {
		c.returnToken(token)
		return g, err
	}
	g.token = token
	return g, nil
}

// acquire acquires a slot and sets the token that the request has taken, which it keeps if it
// gets none.
func (c *Client) acquire(ctx context.Context, args AcquireArgs, wait time.Duration, token *heldToken) (Grant, error) {
	own := c.View.Self().DataCentre
	args.Leaving = c.Replicas.RecentlyLeaving(args.Service)
	args.MaxWait = min(wait, localWait)
	started := c.Clock.Now()
	firstEventBy := args.firstEventBy(started)
	g, refusal := c.acquireFrom(ctx, own, &args, token)
	informed := refusal != nil && (args.Customer != "" || refusal.Uneven)
	if informed && !refusal.final() {
		args.FirstEventWithin = c.timeLeft(firstEventBy)
		g, refusal = c.stay(ctx, own, &args, token, wait-localWait, refusal)
	}
	if refusal == nil {
		return g, nil
	}
	if refusal.final() {
		return Grant{}, refusal
	}
	args.MaxWait = min(wait, remoteWait)
	g, waitIn, refusal, err := c.acquireElsewhere(ctx, &args, token, firstEventBy, informed, refusal)
	if err != nil || refusal == nil {
		return g, err
	}
	args.MaxWait = wait - localWait
	if informed {
		args.MaxWait = min(args.MaxWait, wait-c.Clock.Now().Sub(started))
	}
	if refusal.final() || args.MaxWait <= 0 || ctx.Err() != nil || !refusal.mayWait(args.MaxWait) {
		return Grant{}, refusal
	}
	args.FirstEventWithin = c.timeLeft(firstEventBy)
	if g, refusal = c.acquireFrom(ctx, waitIn, &args, token); refusal == nil {
		return g, nil
	}
	return Grant{}, refusal
}

// acquireElsewhere requests a slot in other data centres after the own one has refused. If
// none grants one, it returns the data centre in which to wait and the last refusal there,
// or one that is final.
func (c *Client) acquireElsewhere(
	ctx context.Context, args *AcquireArgs, token *heldToken, firstEventBy time.Time, informed bool, refusal *RefusedError,
) (Grant, string, *RefusedError, error) {
	waitIn, tries := c.View.Self().DataCentre, maxBrokerTries
	if informed {
		tries = 1
	}
	for _, dc := range c.remoteTargets(args, informed) {
		if ctx.Err() != nil {
			return Grant{}, "", nil, ctx.Err()
		}
		args.FirstEventWithin = c.timeLeft(firstEventBy)
		g, remoteRefusal := c.acquireFromFirst(ctx, dc, args, token, tries)
		if remoteRefusal == nil || remoteRefusal.final() {
			return g, dc, remoteRefusal, nil
		}
		if args.Pinned && refusal.Replicas == 0 && remoteRefusal.Replicas > 0 {
			waitIn, refusal = dc, remoteRefusal
		}
	}
	return Grant{}, waitIn, refusal, nil
}

// mayWait reports whether a request that may wait for a time is worth another call to the
// broker that refused it.
func (r *RefusedError) mayWait(wait time.Duration) bool {
	return r.Replicas > 0 && (r.Wait <= wait || r.HeldBack > 0)
}

// timeLeft returns the time left until a request's first event is due, or zero if that
// is at no certain time or is over.
func (c *Client) timeLeft(firstEventBy time.Time) time.Duration {
	if firstEventBy.IsZero() {
		return 0
	}
	return max(firstEventBy.Sub(c.Clock.Now()), 0)
}

// acquireFrom requests a slot from the brokers of one data centre, in turn,
// until one answers. It sets args.Charged and the token if the request has taken one.
func (c *Client) acquireFrom(ctx context.Context, dataCentre string, args *AcquireArgs, token *heldToken) (Grant, *RefusedError) {
	return c.acquireFromFirst(ctx, dataCentre, args, token, maxBrokerTries)
}

// acquireFromFirst is acquireFrom with at most the given number of brokers. Where a link is
// cut, each of them costs the time of a call that ends without a reply.
func (c *Client) acquireFromFirst(ctx context.Context, dataCentre string, args *AcquireArgs, token *heldToken, tries int) (Grant, *RefusedError) {
	ranked := c.brokers(dataCentre)
	for _, h := range ranked[:min(len(ranked), tries)] {
		reply, err := c.acquireWithinRateLimits(ctx, h, dataCentre, args, token)
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
		if reply.FreeKnown && dataCentre != c.View.Self().DataCentre {
			c.free.observe(c.Clock.Now(), FreeSlots{DataCentre: dataCentre, Service: args.Service, Free: reply.Free})
		}
		if !reply.Granted {
			return Grant{}, &RefusedError{
				RetryAfter: reply.RetryAfter, Wait: reply.Wait, Replicas: reply.Replicas, RateLimited: reply.RateLimited, HeldBack: reply.HeldBack, Suspect: reply.Suspect,
				Quarantined: reply.Quarantined, OverQuota: reply.OverQuota, Quota: reply.Quota, Share: reply.Share,
				QueueWait: reply.QueueWait, Uneven: reply.Uneven,
			}
		}
		// The broker's clock may differ, so Since becomes a time of this host.
		reply.Grant.Since = c.Clock.Now()
		reply.Grant.Broker = h.Name
		c.mu.Lock()
		c.grants[reply.Grant.ID] = reply.Grant
		c.mu.Unlock()
		return reply.Grant, nil
	}
	return Grant{}, &RefusedError{RetryAfter: minRetryAfter}
}

// acquireWithinRateLimits requests a slot from a broker. If the broker grants one of a
// replica without knowing of its rate limit, it is told and asked once more. The token of
// the first grant counts for all that the request asks for from then on.
func (c *Client) acquireWithinRateLimits(ctx context.Context, h membership.Host, dataCentre string, args *AcquireArgs, token *heldToken) (*AcquireReply, error) {
	args.Call = c.newCall(args)
	reply, err := c.callAcquire(ctx, h, *args)
	if err == nil && reply.Granted && args.Call != 0 {
		*token = heldToken{broker: h, call: args.Call}
	}
	if err != nil || !reply.Granted || c.reconcileRateLimit(h, reply.Grant) {
		return reply, err
	}
	c.release(h, reply.Grant, Unused)
	if err := c.reportRateLimits(ctx, h, dataCentre); err != nil {
		return nil, err
	}
	args.Charged, args.Call = true, 0
	reply, err = c.callAcquire(ctx, h, *args)
	if err != nil || !reply.Granted || c.reconcileRateLimit(h, reply.Grant) {
		return reply, err
	}
	c.release(h, reply.Grant, Unused)
	return &AcquireReply{RetryAfter: minRetryAfter, Replicas: reply.Replicas}, nil
}

// newCall returns the ID of a call that takes a token, or 0.
func (c *Client) newCall(args *AcquireArgs) uint64 {
	if c.Quotas == nil || args.Customer == "" || args.Charged {
		return 0
	}
	return rand.Uint64() | 1
}

// callAcquire makes one call to a broker. If ctx ends first, a slot that the
// broker still grants is released. The token of a call whose reply isn't used is returned.
func (c *Client) callAcquire(ctx context.Context, h membership.Host, args AcquireArgs) (*AcquireReply, error) {
	type result struct {
		reply *AcquireReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply := new(AcquireReply)
		err := c.call(context.WithoutCancel(ctx), h, args.MaxWait+callMargin, "Acquire", args, reply)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			c.returnToken(heldToken{h, args.Call})
		}
		return r.reply, r.err
	case <-ctx.Done():
		go func() {
			r := <-done
			if r.err == nil && r.reply.Granted {
				c.release(h, r.reply.Grant, Unused)
			}
			if r.err != nil || r.reply.Granted {
				c.returnToken(heldToken{h, args.Call})
			}
		}()
		return nil, ctx.Err()
	}
}
