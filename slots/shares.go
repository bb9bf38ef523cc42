package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/fairqueue"
)

const (
	// debtHorizon is the time in which a customer works off what it has used beyond its
	// share; anything above is forgotten. A customer that has neither asked for nor
	// released a slot for this long starts anew.
	debtHorizon = 2 * time.Second
	// itemDebtHorizon is debtHorizon for batch items, which use a slot for seconds.
	itemDebtHorizon = 20 * time.Second
	// customerServiceTimeWeight is the weight of the newest slot time in the moving
	// average of a customer.
	customerServiceTimeWeight = 0.1
	// shareRetryJitter is the part of maxRetryAfter over which retries of customers are
	// spread at least.
	shareRetryJitter = 0.25
)

// Share says what share of the slot time a request or batch item counts against: that of
// its customer among the requests, or the items, of equal priorities.
type Share struct {
	Customer                   string
	CustomerPriority, Priority int
}

// ShareUse describes the share of a customer, for logs. Both are fractions of the slots
// of the service in the data centre.
type ShareUse struct {
	// Share is the customer's part if all customers that were served lately want more
	// than theirs, and Used what it uses.
	Share, Used float64
	// Displaced reports that the request was queued and then refused, since requests of
	// customers that had used less of their shares went before it.
	Displaced bool
}

// Refusal describes why a waiter was refused.
type Refusal struct {
	Wait, RetryAfter time.Duration
	Share            ShareUse
}

// share returns the share that the request counts against.
func (a *AcquireArgs) share() Share {
	return Share{Customer: a.Customer, CustomerPriority: a.CustomerPriority, Priority: a.Priority}
}

// shares holds the slot time that customers use of one service. Without customers it is
// empty and changes no decision.
type shares struct {
	classes map[shareKey]*shareClass
	// displaced holds the waiters that were refused since the last plan.
	displaced []*Waiter
	// unordered reports that the tags of waiters are out of date.
	unordered bool
}

// shareKey names a class of requests of equal priorities.
type shareKey struct{ customerPriority, priority int }

// shareClass is the virtual time of the customers with requests of equal priorities.
type shareClass struct {
	key       shareKey
	clock     fairqueue.Clock
	customers map[string]*customerShare
	// prunedAt is when idle customers were last removed.
	prunedAt time.Time
}

// customerShare is the share of one customer in a class.
type customerShare struct {
	flow  fairqueue.Flow
	class *shareClass
	// serviceTime is the moving average of how long its requests use a slot.
	serviceTime time.Duration
	// activeUntil is until when it is known to want slots.
	activeUntil time.Time
	// tagged is the virtual time of its waiters that already have a tag, while the
	// queue is put in order.
	tagged float64
}

// shareOf returns the share that a request counts against, or nil while no customer has
// one in its class. Requests without a customer share as one.
func (p *pool) shareOf(now time.Time, of Share) *customerShare {
	return p.shares.of(now, of, p.serviceTime)
}

// of returns the share that a request or item counts against, or nil while no customer
// has one in its class. A new one begins with the given slot time.
func (s *shares) of(now time.Time, of Share, slotTime time.Duration) *customerShare {
	key := shareKey{of.CustomerPriority, of.Priority}
	class, ok := s.classes[key]
	if !ok {
		if of.Customer == "" {
			return nil
		}
		class = &shareClass{key: key, customers: make(map[string]*customerShare), prunedAt: now}
		if s.classes == nil {
			s.classes = make(map[shareKey]*shareClass)
		}
		s.classes[key] = class
	}
	c, ok := class.customers[of.Customer]
	if !ok {
		c = &customerShare{class: class, flow: fairqueue.Flow{Weight: 1}, serviceTime: slotTime}
		class.customers[of.Customer] = c
	}
	return c
}

// requestShare returns the share of a new request and records that its customer wants
// slots.
func (p *pool) requestShare(now time.Time, args *AcquireArgs) *customerShare {
	c := p.shareOf(now, args.share())
	if c != nil {
		c.activate(now.Add(max(args.MaxWait, debtHorizon)))
	}
	return c
}

// activate records that a customer wants slots until the given time.
func (c *customerShare) activate(until time.Time) {
	if until.After(c.activeUntil) {
		c.activeUntil = until
	}
}

// cost returns the virtual time that one more request is expected to take.
func (c *customerShare) cost() float64 { return c.serviceTime.Seconds() }

// start returns the start tag of the customer's next request.
func (c *customerShare) start() float64 { return c.flow.Start(&c.class.clock) }

// limitDebt forgets what the customer can't work off within the horizon.
func (p *pool) limitDebt(c *customerShare, horizon time.Duration) {
	perSecond := float64(p.readySlots()) / float64(max(len(c.class.customers), 1))
	c.flow.LimitLead(&c.class.clock, horizon.Seconds()*perSecond)
}

// sharesOf returns the shares of a class of work, the slot time with which new ones begin,
// and the horizon of their debts.
func (p *pool) sharesOf(class Class) (*shares, time.Duration, time.Duration) {
	if class == Batch {
		return &p.itemShares, p.speed.itemDuration(), itemDebtHorizon
	}
	return &p.shares, p.serviceTime, debtHorizon
}

func (p *pool) readySlots() int {
	n := 0
	for _, r := range p.replicas {
		if r.Ready {
			n += r.Slots
		}
	}
	return n
}

// charge counts a granted slot against the share of its customer, with the mean slot
// time, and advances the virtual time; for batch items takeItem does.
func (s *Scheduler) charge(now time.Time, g *grantState) {
	all, slotTime, horizon := s.pool(g.Replica.Service).sharesOf(g.Class)
	c := all.of(now, g.Share, slotTime)
	if c == nil {
		return
	}
	c.activate(now.Add(horizon))
	g.share, g.charged = c, c.serviceTime
	start, _ := c.flow.Tag(&c.class.clock, g.charged.Seconds())
	if g.Class == Online {
		c.class.clock.Advance(start)
	}
}

// chargeAdopted counts a slot that another broker granted against the share of its
// customer. The virtual time stays: nothing is known of the order of such grants.
func (s *Scheduler) chargeAdopted(now time.Time, g *grantState) {
	p := s.pool(g.Replica.Service)
	all, slotTime, horizon := p.sharesOf(g.Class)
	c := all.of(now, g.Share, slotTime)
	if c == nil {
		return
	}
	c.activate(now.Add(horizon))
	g.share, g.charged = c, c.serviceTime
	c.flow.Tag(&c.class.clock, g.charged.Seconds())
	p.limitDebt(c, horizon)
	all.unordered = true
}

// settle corrects what a grant was charged by the time that its slot was used.
func (s *Scheduler) settle(now time.Time, g *grantState, outcome Outcome) {
	used := max(now.Sub(g.Since), 0)
	if s.onUse != nil && g.Share.Customer != "" {
		s.onUse(now, g.Share.Customer, g.Class, used)
	}
	c := g.share
	if c == nil {
		return
	}
	if outcome == Done || outcome == Ended {
		c.serviceTime += time.Duration(customerServiceTimeWeight * float64(used-c.serviceTime))
	}
	p := s.pool(g.Replica.Service)
	all, _, horizon := p.sharesOf(g.Class)
	c.flow.Correct((used - g.charged).Seconds())
	p.limitDebt(c, horizon)
	c.activate(now.Add(horizon))
	all.unordered = true
	all.prune(now, c.class)
}

// prune removes the customers of a class that are idle, and the class when no customer
// is left in it.
func (s *shares) prune(now time.Time, class *shareClass) {
	if now.Sub(class.prunedAt) < debtHorizon {
		return
	}
	class.prunedAt = now
	maps.DeleteFunc(class.customers, func(_ string, c *customerShare) bool { return now.After(c.activeUntil) })
	_, unnamed := class.customers[""]
	if named := len(class.customers) > 1 || len(class.customers) == 1 && !unnamed; !named && s.classes[class.key] == class {
		delete(s.classes, class.key)
	}
}

// orderQueue puts the waiters in the order in which they get slots. Among equal
// priorities the customer that has used least of its share goes first, and the waiters
// of a customer stay in order of their latest useful starts.
func (p *pool) orderQueue(now time.Time) {
	p.shares.unordered = false
	slices.SortStableFunc(p.queue, compareWaiters)
	if len(p.shares.classes) == 0 {
		return
	}
	for _, w := range p.queue {
		w.share = p.shareOf(now, w.args.share())
		if w.share != nil {
			w.share.tagged = 0
		}
	}
	for _, w := range p.queue {
		w.tag = 0
		if w.share != nil {
			w.tag = w.share.start() + w.share.tagged
			w.share.tagged += w.share.cost()
		}
	}
	slices.SortStableFunc(p.queue, compareByShare)
}

// comparePriorities orders requests that resume a stream first, then by the customer's
// priority and the route's priority.
func comparePriorities(a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.args.resumedRank(), b.args.resumedRank()),
		cmp.Compare(a.args.CustomerPriority, b.args.CustomerPriority),
		cmp.Compare(a.args.Priority, b.args.Priority),
	)
}

// compareWaiters orders waiters by priorities, then by their latest useful starts.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(comparePriorities(a, b), a.startBy.Compare(b.startBy))
}

// compareByShare orders waiters by priorities, then by their start tags.
func compareByShare(a, b *Waiter) int {
	return cmp.Or(comparePriorities(a, b), cmp.Compare(a.tag, b.tag), a.startBy.Compare(b.startBy))
}

// countAheadByShare returns the number of waiters that go before a new one that resumes
// no stream. While no customer has a share, all do.
func (p *pool) countAheadByShare(now time.Time, args *AcquireArgs) int {
	if len(p.shares.classes) == 0 {
		return len(p.queue)
	}
	w := &Waiter{args: *args, startBy: now.Add(args.MaxWait), share: p.shareOf(now, args.share())}
	if w.share != nil {
		w.tag = w.share.start()
		for _, other := range p.queue {
			if other.share == w.share && !other.startBy.After(w.startBy) {
				w.tag += w.share.cost()
			}
		}
	}
	n := 0
	for _, other := range p.queue {
		if compareByShare(other, w) <= 0 {
			n++
		}
	}
	return n
}

// displace refuses the waiters that now come after a new one and can't start in time any
// more. They are of customers that have used more of their shares.
func (s *Scheduler) displace(now time.Time, p *pool, newest *Waiter) {
	if len(p.shares.classes) == 0 || p.queue[len(p.queue)-1] == newest {
		return
	}
	f := newForecast(p.speed.active(now), s.expectedStarts(now, p, &newest.args))
	behind := false
	remaining := p.queue[:0]
	for _, w := range p.queue {
		wait := f.waitBehind(len(remaining), p.serviceTime)
		if behind && w.share != nil && !w.args.Pinned && now.Add(wait).After(w.startBy) {
			w.refusal = &Refusal{Wait: wait, RetryAfter: s.retryAfterIn(w.share, wait), Share: s.shareUse(p, &w.args)}
			w.refusal.Share.Displaced = true
			p.shares.displaced = append(p.shares.displaced, w)
			continue
		}
		behind = behind || w == newest
		remaining = append(remaining, w)
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

// takeDisplaced returns the waiters that were refused since the last plan.
func (s *shares) takeDisplaced() []*Waiter {
	displaced := s.displaced
	s.displaced = nil
	return displaced
}

// retryAfterIn returns the retry delay of a refused request with the given expected wait.
// Those of customers stay spread also when the wait is long, since all that one customer
// sends over its share is refused at once.
func (s *Scheduler) retryAfterIn(share *customerShare, wait time.Duration) time.Duration {
	if share != nil {
		wait = min(wait, time.Duration((1-shareRetryJitter)*float64(maxRetryAfter)))
	}
	return s.retryAfter(wait)
}

// shareUse returns the share of a request's customer and what the customer uses.
func (s *Scheduler) shareUse(p *pool, args *AcquireArgs) ShareUse {
	class, ok := p.shares.classes[shareKey{args.CustomerPriority, args.Priority}]
	slots := float64(p.readySlots())
	if !ok || slots == 0 {
		return ShareUse{}
	}
	c, ok := class.customers[args.Customer]
	if !ok {
		return ShareUse{}
	}
	used := 0
	for _, g := range s.grants {
		if g.share == c {
			used++
		}
	}
	return ShareUse{Share: 1 / float64(len(class.customers)), Used: float64(used) / slots}
}
