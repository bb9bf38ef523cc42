// Package slots hands out the places of a data centre's replicas to online
// requests and batch items. One host of the data centre, the broker, decides;
// engines admit requests in order of arrival and know no priorities, so the
// order is decided before a request reaches one.
//
// Scheduler is the decision, a function of its snapshot and the time. Broker
// serves it to the hosts of the data centre, and Client is a host's side.
package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// Class tells online requests from batch items.
type Class uint8

// Classes.
const (
	Online Class = iota
	Batch
)

// GrantID identifies a grant over all brokers.
type GrantID uint64

// Grant is the right to one place of a replica.
type Grant struct {
	ID      GrantID
	Class   Class
	Host    string
	Replica replica.Replica
	// Due is when a batch item is due.
	Due time.Time
	// Since is when the place was taken.
	Since time.Time
}

// AcquireArgs asks for a place for an online request.
type AcquireArgs struct {
	// Request is the request's id, for logs.
	Request string
	Host    string
	Service string
	// MaxWait is how long the request may wait for a place.
	MaxWait time.Duration
	// Priority is the rank; 0 is the highest.
	Priority int
	// Avoid are ids of replicas that the request is not to be sent to.
	Avoid []string
}

// Demand says how many batch items a host has waiting for a service.
type Demand struct {
	Service string
	Items   int
	// Due is when the most urgent item is due.
	Due time.Time
}

// Outcome is how the use of a place ended.
type Outcome uint8

// Outcomes.
const (
	// Done means that the replica answered.
	Done Outcome = iota
	// Unused means that nothing was sent, or that the host ended the run.
	Unused
	// Failed means that the exchange broke off.
	Failed
	// Unreachable means that the replica can't be connected to or is silent.
	Unreachable
	// Full means that the replica refused for want of room.
	Full
	// Replaced means that another replica has the address.
	Replaced
	// Errored means that the replica answered that it failed.
	Errored
)

// Bounds and weights of the decisions.
const (
	// initialServiceTime is the expected time that an online request takes while none
	// has ended.
	initialServiceTime = 600 * time.Millisecond
	// serviceTimeWeight is the weight of the newest time in the moving average.
	serviceTimeWeight = 0.05
	// dueMargin protects a batch item from being stopped when it is due this
	// soon.
	dueMargin = 6 * time.Second
	// revokeTimeout is how long a host has to give a revoked place back before
	// another is asked for.
	revokeTimeout = 150 * time.Millisecond
	// revokeCooldown is how long batch items get no place after some had to
	// leave for requests.
	revokeCooldown = 400 * time.Millisecond
	// onlineReserve is the number of places of each replica that batch items
	// leave free.
	onlineReserve = 1
	// reserveWindow is how long after the last request places are kept free.
	reserveWindow = 10 * time.Second
	// hostTimeout is how long a host may be silent before its places are free.
	hostTimeout = 1500 * time.Millisecond
	// grantDeliveryTimeout is how long a grant for a batch item may wait for its host's
	// poll.
	grantDeliveryTimeout = 600 * time.Millisecond
	// unlistedGrantTimeout is how long a grant may be missing from its host's list.
	unlistedGrantTimeout = 1500 * time.Millisecond
	// onlineGrantTTL is the age at which a place of an online request is free
	// although its host has said nothing.
	onlineGrantTTL = 20 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 800 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
)

// Waiter is a queued request.
type Waiter struct {
	args    AcquireArgs
	since   time.Time
	startBy time.Time
}

// Scheduler decides. It is not safe for concurrent use.
type Scheduler struct {
	rng      *rand.Rand
	services map[string]*pool
	grants   map[GrantID]*grantState
	lastPoll map[string]time.Time
	nextID   GrantID
}

// pool is the state of one service.
type pool struct {
	replicas    []*replicaState
	queue       []*Waiter
	demands     map[string]Demand
	serviceTime time.Duration
	// lastRequestAt is when the last request came and revokedAt when batch items last
	// had to leave for requests.
	lastRequestAt time.Time
	lastRevokedAt time.Time
}

// replicaState is a replica with the grants on it.
type replicaState struct {
	replica.Replica
	used int
	// failures counts failures since the last answer, and brokenAt is when an
	// exchange last broke off.
	failures int
	brokenAt time.Time
	// errorRate is the part of failures among the last uses, as of errorsAt.
	errorRate   float64
	errorRateAt time.Time
	// avoidUntil keeps requests away after failures.
	avoidUntil time.Time
}

// grantState is a grant with what is known of it.
type grantState struct {
	Grant
	replicaState *replicaState
	revokedAt    time.Time
}

// NewScheduler returns a scheduler without replicas.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		rng: rng, services: make(map[string]*pool), grants: make(map[GrantID]*grantState),
		lastPoll: make(map[string]time.Time), nextID: GrantID(rng.Uint64()),
	}
}

func (s *Scheduler) pool(service string) *pool {
	p, ok := s.services[service]
	if !ok {
		p = &pool{demands: make(map[string]Demand), serviceTime: initialServiceTime}
		s.services[service] = p
	}
	return p
}

// SetReplicas takes the replicas that the broker hands out. Grants on replicas
// that are gone are forgotten.
func (s *Scheduler) SetReplicas(replicas []replica.Replica) {
	previous := make(map[string]*replicaState)
	for _, p := range s.services {
		for _, r := range p.replicas {
			previous[r.ID] = r
		}
		p.replicas = nil
	}
	for _, r := range replicas {
		state, ok := previous[r.ID]
		if !ok || state.Born != r.Born || state.Service != r.Service {
			state = &replicaState{}
		}
		state.Replica = r
		p := s.pool(r.Service)
		p.replicas = append(p.replicas, state)
	}
	for _, p := range s.services {
		slices.SortFunc(p.replicas, func(a, b *replicaState) int { return cmp.Compare(a.ID, b.ID) })
	}
	for id, g := range s.grants {
		if s.find(g.Replica.Service, g.Replica.ID) != g.replicaState {
			delete(s.grants, id)
		}
	}
}

func (s *Scheduler) find(service, id string) *replicaState {
	for _, r := range s.pool(service).replicas {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// Decision is the answer to an Ask: a grant, a place in the queue or, when both
// are nil, a refusal.
type Decision struct {
	Grant  *Grant
	Waiter *Waiter
	// Wait is the expected wait and RetryAfter when a refused request is best
	// sent again.
	Wait, RetryAfter time.Duration
	// Replicas is the number of replicas in service.
	Replicas int
}

// Acquire decides on a request. One that would have to wait too long is refused at
// once.
func (s *Scheduler) Acquire(now time.Time, args AcquireArgs) Decision {
	p := s.pool(args.Service)
	p.lastRequestAt = now
	d := Decision{Replicas: p.countReady()}
	if len(p.queue) == 0 {
		if target := p.choose(now, args.Avoid, s.rng); target != nil {
			d.Grant = s.grant(now, target, Grant{Class: Online, Host: args.Host})
			return d
		}
	}
	d.Wait = s.expectedWait(now, p)
	if d.Replicas == 0 || d.Wait > args.MaxWait {
		d.RetryAfter = s.retryAfter(d.Wait)
		return d
	}
	d.Waiter = &Waiter{args: args, since: now, startBy: now.Add(args.MaxWait)}
	p.queue = append(p.queue, d.Waiter)
	slices.SortStableFunc(p.queue, compareWaiters)
	return d
}

// compareWaiters orders by rank, then by the latest useful start.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.args.Priority, b.args.Priority), a.startBy.Compare(b.startBy))
}

// RemoveWaiter takes a waiter out of the queue and says when to come back.
func (s *Scheduler) RemoveWaiter(now time.Time, w *Waiter) time.Duration {
	p := s.pool(w.args.Service)
	p.queue = slices.DeleteFunc(p.queue, func(other *Waiter) bool { return other == w })
	return s.retryAfter(s.expectedWait(now, p))
}

// retryAfter spreads those who return between the expected wait and the longest
// one that callers take: requests that are refused come in a peak, and a second
// refusal in the same peak is final.
func (s *Scheduler) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(s.rng.Float64()*float64(maxRetryAfter-base))
}

// expectedWait returns when a new waiter would get a place: batch items that may
// be stopped leave at once, online requests when they are expected to end.
func (s *Scheduler) expectedWait(now time.Time, p *pool) time.Duration {
	ahead := len(p.queue)
	var ends []time.Duration
	for _, g := range s.grants {
		switch {
		case s.services[g.Replica.Service] != p:
		case g.Class == Batch && !g.protected(now):
			ahead--
		case g.Class == Online:
			ends = append(ends, max(p.serviceTime-now.Sub(g.Since), 0))
		}
	}
	if ahead < 0 {
		return 0
	}
	if len(ends) == 0 {
		return maxRetryAfter
	}
	slices.Sort(ends)
	rounds := time.Duration(ahead/len(ends)) * p.serviceTime
	return rounds + ends[ahead%len(ends)]
}

// grant takes a place.
func (s *Scheduler) grant(now time.Time, target *replicaState, g Grant) *Grant {
	s.nextID++
	g.ID, g.Replica, g.Since = s.nextID, target.Replica, now
	target.used++
	s.grants[g.ID] = &grantState{Grant: g, replicaState: target}
	return &g
}

// Release gives a place back.
func (s *Scheduler) Release(now time.Time, id GrantID, outcome Outcome) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	delete(s.grants, id)
	g.replicaState.used--
	if g.Class == Online && outcome == Done {
		p := s.pool(g.Replica.Service)
		p.serviceTime += time.Duration(serviceTimeWeight * float64(now.Sub(g.Since)-p.serviceTime))
	}
	g.replicaState.recordOutcome(now, outcome)
}

// deliverable reports whether a grant may still be handed to its host.
func (s *Scheduler) deliverable(now time.Time, id GrantID) bool {
	g, ok := s.grants[id]
	return ok && g.replicaState.Ready && g.revokedAt.IsZero() && now.Sub(g.Since) <= grantDeliveryTimeout
}

// countReady counts the replicas that take requests.
func (p *pool) countReady() int {
	n := 0
	for _, r := range p.replicas {
		if r.Ready {
			n++
		}
	}
	return n
}

// choose returns the replica with the smallest load, or nil when none has a free
// place. Equal ones are drawn by lot.
func (p *pool) choose(now time.Time, avoid []string, rng *rand.Rand) *replicaState {
	var best *replicaState
	ties := 0
	for _, r := range p.replicas {
		if !r.available(now) || slices.Contains(avoid, r.ID) {
			continue
		}
		switch c := compareLoad(now, r, best); {
		case c < 0:
			best, ties = r, 1
		case c == 0:
			ties++
			if rng.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// compareLoad compares the loads of two replicas; any is below none, and a
// suspect comes last.
func compareLoad(now time.Time, a, b *replicaState) int {
	switch {
	case b == nil:
		return -1
	case a.suspect() != b.suspect():
		if a.suspect() {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.load(now), b.load(now))
}

// load is the taken part of the places and the part of the uses that fail.
func (r *replicaState) load(now time.Time) float64 {
	return float64(r.used)/float64(r.Slots) + r.currentErrorRate(now)
}

// available reports whether a place may be given.
func (r *replicaState) available(now time.Time) bool {
	limit := r.Slots
	if r.suspect() {
		limit = 1
	}
	return r.Ready && r.used < limit && !now.Before(r.avoidUntil)
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"done", "unused", "failed", "unreachable", "full", "replaced", "errored"}[o]
}
