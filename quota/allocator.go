package quota

import (
	"maps"
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Want is the number of tokens that a broker lacks for one customer. It returns tokens
// if the number is negative.
type Want struct {
	Customer string
	Tokens   int
	// PerSecond and Burst are the limit that the broker knows.
	PerSecond, Burst float64
}

// Answer is the answer to a Want.
type Answer struct {
	Tokens int
	// EmptyFor is set if Tokens is less than the broker lacks: for this time it refuses
	// the customer's requests without asking again.
	EmptyFor time.Duration
	// Level is what the bucket holds afterwards.
	Level float64
}

// FleetState is how many hosts there are, as far as a host knows, and when more than half
// of them were last attached to one allocator. Allocators and brokers pass it on to each
// other, so that it outlives an allocator.
type FleetState struct {
	// KnownHosts is the number of hosts that may be in service.
	KnownHosts int
	// HadMajority reports whether more than half of them were ever attached to one
	// allocator. MajorityAge is the time since they last were.
	HadMajority bool
	MajorityAge time.Duration
}

// IdleHost is a host that promises for a time to count no broker as allocator.
type IdleHost struct {
	Name string
	For  time.Duration
}

// ExchangeArgs is the argument of Exchange.
type ExchangeArgs struct {
	Broker     string
	Attachment Attachment
	// Hosts is the number of hosts attached to the broker, without the Pending ones that
	// another broker may still count.
	Hosts, Pending int
	// Idle holds the hosts that promise to count no broker as allocator.
	Idle []IdleHost
	// Departed holds the hosts that have lately announced their departure to the broker.
	Departed []string
	Fleet    FleetState
	// ConfigVersion is the version of the limits in Wants.
	ConfigVersion int64
	Wants         []Want
}

// ExchangeReply is the reply to Exchange. Answers has the order of the Wants.
type ExchangeReply struct {
	Stamp   Stamp
	Fleet   FleetState
	Answers []Answer
}

// Limits returns the limit of a customer by the configuration in force, and that
// configuration's version.
type Limits func(name string) (limit customer.Quota, version int64, ok bool)

// bucket is the token bucket of one customer.
type bucket struct {
	limit   customer.Quota
	version int64
	level   float64
	// refilledTo is the Allocator's refill up to which level is valid.
	refilledTo float64
	// usedAt is when a broker last asked for tokens or returned some.
	usedAt time.Duration
}

// pruneInterval is the time between two searches for buckets that are no longer needed, and
// the time for which they must not have been used.
const pruneInterval = time.Minute

// shareChange is a change of the share, when the refill had a value.
type shareChange struct{ refill, before float64 }

// maxShareChanges bounds the changes that an Allocator keeps.
const maxShareChanges = 256

// Allocator grants tokens to the brokers that are attached to it. Its buckets refill at
// the part of each limit that the attached hosts are of all hosts. It is not safe for
// concurrent use.
type Allocator struct {
	tolerance Tolerance
	limits    Limits
	brokers   *attachments
	members   *members

	// now is the time up to which the state is valid, share the part of the limits
	// that is granted, and refill the integral of share over time, in seconds.
	now    time.Duration
	share  float64
	refill float64
	// changes holds the last changes of share, and lost the refill at the last one that
	// is no longer held.
	changes []shareChange
	lost    float64

	known int
	// seenSince is when this allocator was first told which hosts there are.
	seenSince  time.Duration
	majority   bool
	majorityAt time.Duration

	buckets  map[string]*bucket
	prunedAt time.Duration

	// self is the name of this host.
	self string
	// complete is set from listedAt on, when this host had written its record and listed
	// the hosts.
	complete bool
	listedAt time.Duration
	// promisedUntil is the end of the last promise to count no broker, and attachedAt the
	// time of the last message of a broker that attached itself, if attachTried is set.
	promisedUntil, attachedAt time.Duration
	attachTried               bool
	// idle holds until when each host promises to count no broker. Until soleUntil all
	// other hosts do so.
	idle      map[string]time.Duration
	soleUntil time.Duration
}

// NewAllocator returns an allocator with empty buckets.
func NewAllocator(now time.Duration, t Tolerance, limits Limits) *Allocator {
	return &Allocator{
		tolerance: t, limits: limits, brokers: newAttachments(exchangeLease), members: &members{},
		now: now, idle: make(map[string]time.Duration), buckets: make(map[string]*bucket),
	}
}

// SetHosts sets the names of the hosts that this host sees.
func (a *Allocator) SetHosts(now time.Duration, names []string) {
	a.advance(now)
	if a.members.absentSince == nil {
		a.seenSince = a.now
	}
	a.members.update(now, names)
	a.updateSole(now)
	a.updateShare(now)
}

// Exchange grants tokens to a broker and counts its hosts.
func (a *Allocator) Exchange(now time.Duration, args *ExchangeArgs) ExchangeReply {
	a.advance(now)
	now = a.now
	a.mergeFleetState(now, args.Fleet)
	a.attach(now, args)
	a.updateShare(now)
	a.prune()
	reply := ExchangeReply{Stamp: a.brokers.stamp(now), Fleet: a.fleetState(), Answers: make([]Answer, len(args.Wants))}
	for i := range args.Wants {
		reply.Answers[i] = a.answer(&args.Wants[i], args.ConfigVersion)
	}
	return reply
}

// attach counts the hosts of a broker.
func (a *Allocator) attach(now time.Duration, args *ExchangeArgs) {
	if !a.brokers.valid(now, args.Attachment) {
		return
	}
	a.attachedAt, a.attachTried = now, true
	a.brokers.renew(now, a.promisedUntil, args.Broker, args.Attachment, attachedHosts{hosts: max(args.Hosts, 0), pending: max(args.Pending, 0)})
	for _, name := range args.Departed {
		a.members.depart(now, name)
	}
	for _, h := range args.Idle {
		// The promise is younger than the stamp that the message returns.
		a.idle[h.Name] = max(a.idle[h.Name], args.Attachment.Echo.At+min(h.For, idlePromise))
	}
	if len(args.Idle) > 0 || len(a.members.absentSince) == 1 {
		a.updateSole(now)
	}
}

// updateSole sets soleUntil. Only after a start are there promises.
func (a *Allocator) updateSole(now time.Duration) {
	maps.DeleteFunc(a.idle, func(_ string, until time.Duration) bool { return until <= now })
	a.soleUntil = 0
	if len(a.idle)+1 < len(a.members.absentSince) {
		return
	}
	until := now + idlePromise
	for name := range a.members.absentSince {
		if name != a.self {
			until = min(until, a.idle[name])
		}
	}
	a.soleUntil = until
}

// promise promises to count no broker for idlePromise, and reports whether this allocator can:
// it counts none and none has tried to attach itself lately.
func (a *Allocator) promise(now time.Duration) bool {
	a.advance(now)
	a.brokers.hosts(a.now)
	if len(a.brokers.byName) > 0 || a.attachTried && a.now-a.attachedAt < exchangeLease {
		return false
	}
	a.promisedUntil = a.now + idlePromise
	return true
}

// isSole reports whether no other host may count brokers as allocator: each of them has
// promised that. Whatever a host or broker was attached to before it was started again then
// counts nothing, so all attached hosts count here.
func (a *Allocator) isSole(now time.Duration) bool {
	return a.complete && now-a.listedAt >= listingDelay && now >= a.promisedUntil && now < a.soleUntil && a.known == len(a.members.absentSince)
}

// mergeFleetState applies what a broker knows of the hosts.
func (a *Allocator) mergeFleetState(now time.Duration, s FleetState) {
	if s.HadMajority && s.MajorityAge >= 0 {
		if at := now - s.MajorityAge; !a.majority || at > a.majorityAt {
			a.majority, a.majorityAt = true, at
		}
	}
	a.known = max(a.known, s.KnownHosts)
}

func (a *Allocator) fleetState() FleetState {
	return FleetState{KnownHosts: a.known, HadMajority: a.majority, MajorityAge: a.now - a.majorityAt}
}

// advance applies the time that has passed, with each change of the attachments at its
// own moment: an allocator that was suspended has granted nothing after they ended.
func (a *Allocator) advance(now time.Duration) {
	for a.now < now {
		next := a.brokers.nextChange(a.now, now)
		if fence := a.majorityAt + minorityLimit; a.majority && fence > a.now {
			next = min(next, fence)
		}
		for _, at := range []time.Duration{a.promisedUntil, a.soleUntil, a.listedAt + listingDelay} {
			if at > a.now {
				next = min(next, at)
			}
		}
		a.refill += a.share * (next - a.now).Seconds()
		a.now = next
		a.updateShare(next)
	}
}

// updateShare sets the share that the attached hosts are of all known ones. The number
// of known hosts falls only while more than half of them are attached, and not before this
// allocator has seen the hosts for departureHold: it doesn't know which hosts left before
// that, and they may go on. Without half of the known hosts the share ends after
// minorityLimit, before others cease to count them.
func (a *Allocator) updateShare(now time.Duration) {
	attached, seen := a.brokers.hosts(now), a.members.count(now)
	a.known = max(a.known, seen)
	if t := a.brokers.total(now); t.pending > 0 && a.isSole(now) {
		attached = min(t.hosts+t.pending, a.known)
	}
	// Departed hosts are no part of the majority that is required, as long as the number of
	// hosts includes them.
	required := a.known
	if gone := a.members.countGone(now); a.known >= seen+gone {
		required = a.known - gone
	}
	if seen > 0 && 2*attached > required {
		if now-a.seenSince >= departureHold {
			a.known = max(seen, attached)
		}
		a.majority, a.majorityAt = true, now
	}
	share := 0.0
	fenced := 2*attached < min(required, a.known) && (!a.majority || now-a.majorityAt >= minorityLimit)
	if a.known > 0 && seen > 0 && !fenced {
		share = min(float64(attached)/float64(a.known), 1)
	}
	if share == a.share {
		return
	}
	a.changes = append(a.changes, shareChange{refill: a.refill, before: a.share})
	if len(a.changes) > maxShareChanges {
		a.lost = a.changes[0].refill
		a.changes = append(a.changes[:0], a.changes[1:]...)
	}
	a.share = share
}

// capacity returns the most tokens that a bucket holds at a share.
func (a *Allocator) capacity(limit customer.Quota, share float64) float64 {
	capacity := a.tolerance.burst(limit) * share
	if share >= a.tolerance.wholeTokenShare() {
		capacity = max(capacity, 1)
	}
	return capacity
}

// refillBucket brings a bucket's level up to date. Between two changes of the share the
// level was never above the capacity at that time.
func (a *Allocator) refillBucket(b *bucket) {
	from := b.refilledTo
	if from < a.lost {
		// Some changes are no longer known, so the bucket may have been empty then.
		b.level, from = 0, a.lost
	}
	rate := b.limit.PerSecond
	level := b.level + rate*(a.refill-from)
	for i := len(a.changes) - 1; i >= 0 && a.changes[i].refill >= from; i-- {
		c := a.changes[i]
		level = min(level, a.capacity(b.limit, c.before)+rate*(a.refill-c.refill))
	}
	b.level, b.refilledTo = min(level, a.capacity(b.limit, a.share)), a.refill
}

// bucketOf returns a customer's bucket with the newest limit: the allocator's or that of
// the broker. A bucket that is first needed now has refilled since the allocator began.
func (a *Allocator) bucketOf(w *Want, version int64) *bucket {
	limit, known := customer.Quota{PerSecond: w.PerSecond, Burst: w.Burst}, version
	if own, ownVersion, ok := a.limits(w.Customer); ownVersion >= version {
		limit, known = own, ownVersion
		if !ok {
			// The customer has been removed: nothing is granted any more.
			limit = customer.Quota{}
		}
	}
	b, ok := a.buckets[w.Customer]
	if !ok {
		b = &bucket{limit: limit, version: known}
		a.buckets[w.Customer] = b
	}
	b.usedAt = a.now
	a.refillBucket(b)
	if known >= b.version && limit != b.limit {
		b.limit = limit
		a.refillBucket(b)
	}
	b.version = max(b.version, known)
	return b
}

// prune deletes the buckets that are not used and are as full as one that is first needed
// now, or that don't refill: those of removed customers.
func (a *Allocator) prune() {
	if a.now-a.prunedAt < pruneInterval {
		return
	}
	a.prunedAt = a.now
	for name, b := range a.buckets {
		if a.now-b.usedAt < pruneInterval {
			continue
		}
		a.refillBucket(b)
		if b.limit.PerSecond <= 0 || b.level >= a.capacity(b.limit, a.share) {
			delete(a.buckets, name)
		}
	}
}

func (a *Allocator) answer(w *Want, version int64) Answer {
	if own, ownVersion, ok := a.limits(w.Customer); ok && ownVersion >= version && !own.Limited() {
		return Answer{Tokens: max(w.Tokens, 0)}
	}
	b := a.bucketOf(w, version)
	if w.Tokens < 0 {
		b.level = min(b.level-float64(w.Tokens), a.capacity(b.limit, a.share))
		return Answer{Level: b.level}
	}
	granted := min(w.Tokens, int(b.level))
	b.level -= float64(granted)
	answer := Answer{Tokens: granted, Level: b.level}
	if granted < w.Tokens {
		answer.EmptyFor = minEmptyFor
		if rate := b.limit.PerSecond * a.share; rate > 0 {
			wait := min((1-b.level)/rate, maxEmptyFor.Seconds())
			answer.EmptyFor = max(time.Duration(wait*float64(time.Second)), minEmptyFor)
		}
	}
	return answer
}
