// Package slots assigns the slots of the replicas in a data centre to online
// requests and batch items. A slot is a replica's capacity for one request. One
// host of the data centre, the broker, decides for all. Replicas run requests
// in order of arrival and know no priorities, so the order is decided before a
// request reaches one.
//
// Scheduler makes the decisions, without input or output of its own. Broker
// serves them to the hosts of the data centre, and Client is the counterpart on
// each host.
package slots

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// Class is the kind of work that uses a slot.
type Class uint8

// The classes.
const (
	// Online is a request of a caller who waits for the response, Batch an item
	// of a job.
	Online Class = iota
	Batch
)

// GrantID identifies a grant across all brokers.
type GrantID uint64

// Grant assigns one slot of a replica to a host, for one request or batch item.
type Grant struct {
	ID      GrantID
	Class   Class
	Host    string
	Replica replica.Replica
	// Content is what of an online request may crash replicas.
	Content quarantine.Content
	// Due is when a batch item is due.
	Due time.Time
	// Since is when the slot was granted.
	Since time.Time
	// RateLimit is what the broker knew of the replica's rate limit.
	RateLimit RateLimitMessage
	// Mixed reports that the service has replicas of several software versions.
	Mixed bool
	// Broker is the name of the host that granted it, for logs. The client sets it.
	Broker string
	// Run is what the host observed of the response. The host sets it before it releases
	// the grant.
	Run Run
	// Share is the share that the request or item counts against.
	Share Share
	// token is the token that was taken with the grant, if the client knows it.
	token heldToken
}

// Demand is the number of batch items of a service that wait for a slot on a
// host.
type Demand struct {
	Service string
	Items   int
	// Due is when the most urgent item is due.
	Due time.Time
	// Shares splits the demand by the shares that the items count against. It is empty
	// if the configuration has no customers.
	Shares []ShareDemand
}

// Outcome is how the use of a slot ended.
type Outcome uint8

// Outcomes.
const (
	// Done means that the replica responded.
	Done Outcome = iota
	// Unused means that nothing was sent, that the host stopped the request, or that what
	// carried the connection ended.
	Unused
	// Failed means that the connection broke during the exchange.
	Failed
	// Unreachable means that the replica cannot be connected to or does not
	// respond.
	Unreachable
	// Full means that the replica rejected the request for lack of capacity.
	Full
	// Replaced means that another replica now has the address.
	Replaced
	// Errored means that the replica responded with an error of its own.
	Errored
	// Ended means that the replica responded and the response ended with its connection,
	// which the crash of the replica does too.
	Ended
)

// Bounds and weights of the decisions.
const (
	// initialServiceTime is the expected duration of an online request before
	// any has ended.
	initialServiceTime = 600 * time.Millisecond
	// serviceTimeWeight is the weight of the newest duration in the moving
	// average.
	serviceTimeWeight = 0.05
	// dueMargin is the time before its due time from which a batch item is not
	// stopped.
	dueMargin = 6 * time.Second
	// revokeTimeout is how long a host has to release a revoked grant before
	// another one is revoked.
	revokeTimeout = 150 * time.Millisecond
	// revokeCooldown is how long batch items get no slots after some were
	// revoked for requests.
	revokeCooldown = 400 * time.Millisecond
	// onlineReserve is the number of slots of each replica that batch items
	// leave free.
	onlineReserve = 1
	// reserveWindow is how long after the last request slots are kept free.
	reserveWindow = 10 * time.Second
	// hostTimeout is how long a host may fail to poll before its grants are
	// released.
	hostTimeout = 1500 * time.Millisecond
	// grantDeliveryTimeout is how long a grant for a batch item may wait for
	// the next poll of its host.
	grantDeliveryTimeout = 600 * time.Millisecond
	// unlistedGrantTimeout is how old a grant must be to be released when its
	// host does not list it.
	unlistedGrantTimeout = 1500 * time.Millisecond
	// onlineGrantTTL is the age at which the grant of an online request expires
	// if its host has not released it.
	onlineGrantTTL = 20 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers.
	minRetryAfter = 800 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
)

// Waiter is a queued request.
type Waiter struct {
	args    AcquireArgs
	startBy time.Time
	// firstEventBy is when the first event is due; zero means at no certain time.
	firstEventBy time.Time
	// share is that of its customer, nil while no customer has one, and tag its start
	// tag there.
	share *customerShare
	tag   float64
	// refusal is set when it is refused before its wait ends.
	refusal *Refusal
}

// Scheduler decides which requests and batch items get slots. It is not safe
// for concurrent use.
type Scheduler struct {
	rng      *rand.Rand
	services map[string]*pool
	grants   map[GrantID]*grantState
	lastPoll map[string]time.Time
	nextID   GrantID
	// rateShare is the fraction of the replicas' rate limits that is granted here.
	rateShare float64
	// requests holds what is known of requests that crash replicas.
	requests *quarantine.State
	// contacts is what is known of which hosts the replicas respond to, and cutOffChanges
	// holds its changes since the last plan.
	contacts      *contacts
	cutOffChanges []CutOffChange
	// paceChanges holds the changes of paces since the last plan.
	paceChanges []PaceChange
	// ran holds the requests that are known to have run on replicas that crashed lately, by
	// upstream of the crash.
	ran map[string]crashedRuns
	// onUse is called with the slot time of each grant of a customer that ends; nil has no
	// effect.
	onUse func(now time.Time, customer string, class Class, used time.Duration)
}

// pool is the state of one service. Its serviceTime is the moving average of
// how long online requests use a slot.
type pool struct {
	replicas    []*replicaState
	queue       []*Waiter
	demands     map[string]Demand
	serviceTime time.Duration
	// lastRequestAt is when the last request came, and lastRevokedAt is when
	// grants of batch items were last revoked for requests.
	lastRequestAt time.Time
	lastRevokedAt time.Time
	speed         serviceSpeed
	// shares are those of online requests, itemShares those of batch items.
	shares, itemShares shares
	itemCapacity       itemCapacity
}

// replicaState is a replica with the number of its used slots and its recent
// failures.
type replicaState struct {
	replica.Replica
	used int
	// failures counts failures since the last success, and brokenAt is when an
	// exchange last broke off.
	failures int
	brokenAt time.Time
	// errorRate is the fraction of recent requests that failed, as of
	// errorRateAt.
	errorRate   float64
	errorRateAt time.Time
	// avoidUntil is the end of the cooldown, and busyUntil that of the part of it that is no
	// consequence of failures.
	avoidUntil, busyUntil time.Time
	// unreached is set if the replica is a suspect since it was not reached, and trials is
	// the number of its grants that were made while it was a suspect.
	unreached bool
	trials    int
	// failedAt is when a failure to reach the replica last counted.
	failedAt time.Time
	// accusers holds the hosts whose failures made the replica a suspect, with the times of
	// the last ones. The empty name stands for what is known otherwise.
	accusers map[string]time.Time
	budget   rateBudget
	speed    speedEstimate
	pace     paceState
}

// grantState is a grant with its replica and the time at which it was last
// revoked.
type grantState struct {
	Grant
	replicaState *replicaState
	revokedAt    time.Time
	// listedAt is when its host last listed the grant.
	listedAt time.Time
	// slowness and reported are what was expected of the replica for the run: its
	// slowness and the part of it that the replica reports. beside is the number of
	// requests that ran there already. They are zero unless the service's replicas
	// report their slowness.
	slowness, reported float64
	beside             int
	// trial is set if the replica was a suspect when the slot was granted.
	trial bool
	// reclaimed is set once the slot was given to others, since the host is cut off and the
	// replica has run the request meanwhile.
	reclaimed bool
	// share is what the slot time counts against, if anything, and charged is the time
	// that it was charged when the slot was granted.
	share   *customerShare
	charged time.Duration
}

// NewScheduler returns a scheduler without replicas.
func NewScheduler(rng *rand.Rand) *Scheduler {
	requests := quarantine.NewState()
	// An incarnation of a replica crashes once.
	requests.SameCrashWindow = quarantineDuration
	requests.MomentWindow = crashMomentWindow
	return &Scheduler{
		requests: requests,
		rng:      rng, services: make(map[string]*pool), grants: make(map[GrantID]*grantState),
		lastPoll: make(map[string]time.Time), nextID: GrantID(rng.Uint64()), rateShare: 1, ran: make(map[string]crashedRuns),
		contacts: newContacts(),
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

// SetReplicas sets the replicas whose slots are assigned. Grants on replicas
// that were removed or started again are dropped.
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
		if !ok || state.Born != r.Born || state.Service != r.Service || state.SoftwareVersion != r.SoftwareVersion {
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

// Decision is the result of Acquire: a grant, a waiter in the queue or, when
// both are nil, a refusal.
type Decision struct {
	Grant  *Grant
	Waiter *Waiter
	// Wait is the expected wait, and RetryAfter is when a refused request
	// should be sent again.
	Wait, RetryAfter time.Duration
	// Replicas is the number of ready replicas of the service that may run the
	// request, and RateLimited is the number of those that have a free slot but
	// whose rate limit is used up.
	Replicas, RateLimited int
	// HeldBack is the number of replicas with a free slot that a request gets only if it
	// would otherwise not start in time.
	HeldBack int
	// Suspect is the number of those of Replicas that get none or one request at a time
	// since several failed there, if the request is refused.
	Suspect int
	// Quarantined reports that the request is refused since it crashes replicas, and Held
	// that this is known within crashMomentWindow.
	Quarantined, Held bool
	// Share describes the customer's share, if the request is refused for its wait.
	Share ShareUse
}

// Acquire decides on a request. One that is expected to wait longer than it may
// is refused at once.
func (s *Scheduler) Acquire(now time.Time, args AcquireArgs) Decision {
	p := s.pool(args.Service)
	p.lastRequestAt = now
	s.updatePaces(now, p)
	if refusedFor, ok := s.refusedFor(now, &args); ok {
		return Decision{Quarantined: true, RetryAfter: refusedFor}
	}
	d := Decision{Replicas: p.countReady(&args)}
	occupied := s.occupancy(now)
	firstEventBy := args.firstEventBy(now)
	if target := s.chooseOnline(now, p, s.placement(now, occupied, &args), firstEventBy); target != nil && !s.hasWaiterFor(now, occupied, p, target) {
		d.Grant = s.grant(now, target, Grant{Class: Online, Host: args.Host, Content: args.Content, Share: args.share()})
		return d
	}
	d.RateLimited = p.countRateLimited(now, &args)
	share := p.requestShare(now, &args)
	d.Wait = s.expectedWait(now, p, &args)
	d.Held = s.isHeld(now, &args)
	if d.Replicas == 0 || d.Wait > args.MaxWait && (!d.Held || args.MaxWait == 0) {
		var target *replicaState
		if target, d.HeldBack = s.lastResort(now, p, occupied, &args); target != nil {
			d.Grant = s.grant(now, target, Grant{Class: Online, Host: args.Host, Content: args.Content, Share: args.share()})
			return d
		}
		d.RetryAfter = s.retryAfterIn(share, d.Wait)
		d.Share, d.Suspect = s.shareUse(p, &args), p.countSuspect(&args)
		return d
	}
	d.Waiter = &Waiter{args: args, startBy: now.Add(args.MaxWait), firstEventBy: firstEventBy, share: share}
	p.queue = append(p.queue, d.Waiter)
	p.orderQueue(now)
	s.displace(now, p, d.Waiter)
	return d
}

// resumedRank returns 0 for requests that resume a stream and 1 for all others. A request
// is pinned to a software version only because its stream has begun there, so Pinned tells
// them apart.
func (a *AcquireArgs) resumedRank() int {
	if a.Pinned {
		return 0
	}
	return 1
}

// RemoveWaiter removes a waiter from the queue and returns when to retry.
func (s *Scheduler) RemoveWaiter(now time.Time, w *Waiter) time.Duration {
	p := s.pool(w.args.Service)
	p.queue = slices.DeleteFunc(p.queue, func(other *Waiter) bool { return other == w })
	p.shares.displaced = slices.DeleteFunc(p.shares.displaced, func(other *Waiter) bool { return other == w })
	return s.retryAfterIn(w.share, s.expectedWait(now, p, &w.args))
}

// grant assigns a slot of the replica.
func (s *Scheduler) grant(now time.Time, target *replicaState, g Grant) *Grant {
	s.nextID++
	g.ID, g.Replica, g.Since = s.nextID, target.Replica, now
	target.used++
	s.contacts.host(g.Host).grantedAt = now
	target.budget.take(now)
	s.requests.Started(crashScope, g.Content, now)
	g.RateLimit = newRateLimitMessage(now, target.budget.limit)
	state := s.newGrantState(now, g, target)
	if state.trial = target.suspect(); state.trial {
		target.trials++
	}
	s.charge(now, state)
	s.grants[g.ID] = state
	return &g
}

// Release frees the slot of a grant. Unknown grants are ignored.
func (s *Scheduler) Release(now time.Time, id GrantID, outcome Outcome) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	delete(s.grants, id)
	if !g.reclaimed {
		g.replicaState.used--
	}
	if g.trial {
		g.replicaState.trials--
	}
	s.settle(now, g, outcome)
	if g.Class == Online && (outcome == Done || outcome == Ended) {
		p := s.pool(g.Replica.Service)
		p.serviceTime += time.Duration(serviceTimeWeight * float64(g.atNormalSpeed(now.Sub(g.Since))-p.serviceTime))
	}
	s.recordReplicaOutcome(now, g, outcome)
}

// deliverable reports whether a grant may still be delivered to its host.
func (s *Scheduler) deliverable(now time.Time, id GrantID) bool {
	g, ok := s.grants[id]
	return ok && g.replicaState.Ready && g.revokedAt.IsZero() && now.Sub(g.Since) <= grantDeliveryTimeout
}

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"done", "unused", "failed", "unreachable", "full", "replaced", "errored", "ended"}[o]
}
