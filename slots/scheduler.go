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
	// firstHold is the expected time that an online request takes while none
	// has ended.
	firstHold = 600 * time.Millisecond
	// holdWeight is the weight of the newest time in the moving average.
	holdWeight = 0.05
	// dueMargin protects a batch item from being stopped when it is due this
	// soon.
	dueMargin = 6 * time.Second
	// revokePatience is how long a host has to give a revoked place back before
	// another is asked for.
	revokePatience = 150 * time.Millisecond
	// revokeCooldown is how long batch items get no place after some had to
	// leave for requests.
	revokeCooldown = 400 * time.Millisecond
	// onlineReserve is the number of places of each replica that batch items
	// leave free.
	onlineReserve = 1
	// reserveWindow is how long after the last request places are kept free.
	reserveWindow = 10 * time.Second
	// hostPatience is how long a host may be silent before its places are free.
	hostPatience = 1500 * time.Millisecond
	// grantPatience is how long a grant for a batch item may wait for its host's
	// poll.
	grantPatience = 600 * time.Millisecond
	// adoptPatience is how long a grant may be missing from its host's list.
	adoptPatience = 1500 * time.Millisecond
	// onlineLimit is the age at which a place of an online request is free
	// although its host has said nothing.
	onlineLimit = 20 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 800 * time.Millisecond
	maxRetryAfter = 1600 * time.Millisecond
)

// Waiter is a queued request.
type Waiter struct {
	ask    AcquireArgs
	since  time.Time
	latest time.Time
}

// Scheduler decides. It is not safe for concurrent use.
type Scheduler struct {
	rng      *rand.Rand
	services map[string]*pool
	grants   map[GrantID]*held
	seen     map[string]time.Time
	nextID   GrantID
}

// pool is the state of one service.
type pool struct {
	replicas []*place
	queue    []*Waiter
	wants    map[string]Demand
	hold     time.Duration
	// askedAt is when the last request came and revokedAt when batch items last
	// had to leave for requests.
	askedAt   time.Time
	revokedAt time.Time
}

// place is a replica with the grants on it.
type place struct {
	replica.Replica
	used int
	// failures counts failures since the last answer, and brokenAt is when an
	// exchange last broke off.
	failures int
	brokenAt time.Time
	// errors is the part of failures among the last uses, as of errorsAt.
	errors   float64
	errorsAt time.Time
	// avoidUntil keeps requests away after failures.
	avoidUntil time.Time
}

// held is a grant with what is known of it.
type held struct {
	Grant
	place   *place
	revoked time.Time
}

// NewScheduler returns a scheduler without replicas.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		rng: rng, services: make(map[string]*pool), grants: make(map[GrantID]*held),
		seen: make(map[string]time.Time), nextID: GrantID(rng.Uint64()),
	}
}

func (s *Scheduler) pool(service string) *pool {
	p, ok := s.services[service]
	if !ok {
		p = &pool{wants: make(map[string]Demand), hold: firstHold}
		s.services[service] = p
	}
	return p
}

// SetReplicas takes the replicas that the broker hands out. Grants on replicas
// that are gone are forgotten.
func (s *Scheduler) SetReplicas(replicas []replica.Replica) {
	old := make(map[string]*place)
	for _, p := range s.services {
		for _, r := range p.replicas {
			old[r.ID] = r
		}
		p.replicas = nil
	}
	for _, r := range replicas {
		at, ok := old[r.ID]
		if !ok || at.Born != r.Born || at.Service != r.Service {
			at = &place{}
		}
		at.Replica = r
		p := s.pool(r.Service)
		p.replicas = append(p.replicas, at)
	}
	for _, p := range s.services {
		slices.SortFunc(p.replicas, func(a, b *place) int { return cmp.Compare(a.ID, b.ID) })
	}
	for id, g := range s.grants {
		if s.find(g.Replica.Service, g.Replica.ID) != g.place {
			delete(s.grants, id)
		}
	}
}

func (s *Scheduler) find(service, id string) *place {
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
func (s *Scheduler) Acquire(now time.Time, ask AcquireArgs) Decision {
	p := s.pool(ask.Service)
	p.askedAt = now
	d := Decision{Replicas: p.ready()}
	if len(p.queue) == 0 {
		if at := p.choose(now, ask.Avoid, s.rng); at != nil {
			d.Grant = s.grant(now, at, Grant{Class: Online, Host: ask.Host})
			return d
		}
	}
	d.Wait = s.expectedWait(now, p)
	if d.Replicas == 0 || d.Wait > ask.MaxWait {
		d.RetryAfter = s.retryAfter(d.Wait)
		return d
	}
	d.Waiter = &Waiter{ask: ask, since: now, latest: now.Add(ask.MaxWait)}
	p.queue = append(p.queue, d.Waiter)
	slices.SortStableFunc(p.queue, compareWaiters)
	return d
}

// compareWaiters orders by rank, then by the latest useful start.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), a.latest.Compare(b.latest))
}

// RemoveWaiter takes a waiter out of the queue and says when to come back.
func (s *Scheduler) RemoveWaiter(now time.Time, w *Waiter) time.Duration {
	p := s.pool(w.ask.Service)
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
			ends = append(ends, max(p.hold-now.Sub(g.Since), 0))
		}
	}
	if ahead < 0 {
		return 0
	}
	if len(ends) == 0 {
		return maxRetryAfter
	}
	slices.Sort(ends)
	rounds := time.Duration(ahead/len(ends)) * p.hold
	return rounds + ends[ahead%len(ends)]
}

// grant takes a place.
func (s *Scheduler) grant(now time.Time, at *place, g Grant) *Grant {
	s.nextID++
	g.ID, g.Replica, g.Since = s.nextID, at.Replica, now
	at.used++
	s.grants[g.ID] = &held{Grant: g, place: at}
	return &g
}

// Release gives a place back.
func (s *Scheduler) Release(now time.Time, id GrantID, outcome Outcome) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	delete(s.grants, id)
	g.place.used--
	if g.Class == Online && outcome == Done {
		p := s.pool(g.Replica.Service)
		p.hold += time.Duration(holdWeight * float64(now.Sub(g.Since)-p.hold))
	}
	g.place.note(now, outcome)
}

// fresh reports whether a grant may still be handed to its host.
func (s *Scheduler) fresh(now time.Time, id GrantID) bool {
	g, ok := s.grants[id]
	return ok && g.place.Ready && g.revoked.IsZero() && now.Sub(g.Since) <= grantPatience
}

// ready counts the replicas that take requests.
func (p *pool) ready() int {
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
func (p *pool) choose(now time.Time, avoid []string, rng *rand.Rand) *place {
	var best *place
	ties := 0
	for _, r := range p.replicas {
		if !r.open(now) || slices.Contains(avoid, r.ID) {
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
func compareLoad(now time.Time, a, b *place) int {
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
func (r *place) load(now time.Time) float64 {
	return float64(r.used)/float64(r.Slots) + r.errorPart(now)
}

// open reports whether a place may be given.
func (r *place) open(now time.Time) bool {
	places := r.Slots
	if r.suspect() {
		places = 1
	}
	return r.Ready && r.used < places && !now.Before(r.avoidUntil)
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"done", "unused", "failed", "unreachable", "full", "replaced", "errored"}[o]
}
