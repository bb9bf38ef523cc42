package slots

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// pollWait is how long a host's poll waits for something to tell.
const pollWait = 400 * time.Millisecond

// Broker serves a scheduler to hosts. It is safe for concurrent use. Its
// exported methods with two arguments are the calls of package net/rpc.
type Broker struct {
	clock clockwork.Clock
	log   *logrus.Entry

	mu    sync.Mutex
	sched *Scheduler
	// replicas, by id, and version are the records that hosts are told of; nil
	// until there was a listing, which may be empty.
	replicas map[string]replica.Replica
	version  int64
	// current reports whether the store answers this host; nil is always.
	current func() bool
	// configVersion is that of the configuration in force here.
	configVersion int64
	// hostsVersion changes with the hosts that are known here.
	hostsVersion int64
	waiting      map[*Waiter]chan Grant
	inboxes      map[string]*inbox
	timer        clockwork.Timer
}

// inbox holds what a host's next poll is told.
type inbox struct {
	granted []Grant
	revoked []GrantID
	wake    chan struct{}
}

// NewBroker returns a broker without replicas.
func NewBroker(clock clockwork.Clock, rng *rand.Rand, log *logrus.Entry) *Broker {
	return &Broker{
		clock: clock, log: log, sched: NewScheduler(rng), version: int64(rng.Uint64() >> 1), hostsVersion: int64(rng.Uint64() >> 1),
		waiting: make(map[*Waiter]chan Grant), inboxes: make(map[string]*inbox),
	}
}

// SetReplicas takes all replicas by id; those of the broker's data centre are handed
// out. Records that are the same as before are not told again.
func (b *Broker) SetReplicas(all map[string]replica.Replica, dataCentre string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replicas != nil && maps.Equal(all, b.replicas) {
		return
	}
	var own []replica.Replica
	for _, r := range all {
		if r.DataCentre == dataCentre {
			own = append(own, r)
		}
	}
	b.sched.SetReplicas(own)
	b.replicas = all
	b.version++
	for _, in := range b.inboxes {
		in.signal()
	}
	b.plan()
}

// SetStoreAvailable sets how to learn whether the store answers this host. It must be
// called before the broker is used.
func (b *Broker) SetStoreAvailable(current func() bool) { b.current = current }

// SetConfigVersion says which configuration is in force here. Hosts hear of it
// at once.
func (b *Broker) SetConfigVersion(version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configVersion = version
	for _, in := range b.inboxes {
		in.signal()
	}
}

// HostsChanged says that this host knows other hosts than before.
func (b *Broker) HostsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hostsVersion++
	for _, in := range b.inboxes {
		in.signal()
	}
}

func (in *inbox) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

func (b *Broker) inbox(host string) *inbox {
	in, ok := b.inboxes[host]
	if !ok {
		in = &inbox{wake: make(chan struct{}, 1)}
		b.inboxes[host] = in
	}
	return in
}

// plan carries out what the scheduler decides. The lock is held.
func (b *Broker) plan() {
	now := b.clock.Now()
	plan := b.sched.Plan(now)
	for _, p := range plan.Granted {
		b.waiting[p.Waiter] <- p.Grant
		delete(b.waiting, p.Waiter)
	}
	for _, g := range plan.Batch {
		in := b.inbox(g.Host)
		in.granted = append(in.granted, g)
		in.signal()
	}
	for _, g := range plan.Revoked {
		in := b.inbox(g.Host)
		in.revoked = append(in.revoked, g.ID)
		in.signal()
		b.log.WithFields(logrus.Fields{"grant": g.ID, "to": g.Host, "replica": g.Replica.ID}).Debug("place of a batch item revoked")
	}
	if !plan.Next.IsZero() {
		b.planAt(plan.Next.Sub(now))
	}
}

func (b *Broker) planAt(d time.Duration) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = b.clock.AfterFunc(max(d, time.Millisecond), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.plan()
	})
}

// AcquireReply answers an Ask.
type AcquireReply struct {
	Granted bool
	Grant   Grant
	// Moved says that another host is the broker now.
	Moved bool
	// Wait is the expected wait of a refused request and RetryAfter when to
	// come back.
	Wait, RetryAfter time.Duration
	// Replicas is the number of replicas in service.
	Replicas int
}

// Acquire gives a place or a refusal; it waits as long as the request may.
func (b *Broker) Acquire(ask AcquireArgs, reply *AcquireReply) error {
	b.mu.Lock()
	d := b.sched.Acquire(b.clock.Now(), ask)
	*reply = AcquireReply{Wait: d.Wait, RetryAfter: d.RetryAfter, Replicas: d.Replicas}
	if d.Waiter == nil {
		b.mu.Unlock()
		reply.take(d.Grant)
		return nil
	}
	placed := make(chan Grant, 1)
	b.waiting[d.Waiter] = placed
	b.plan()
	b.mu.Unlock()
	timer := b.clock.NewTimer(ask.MaxWait)
	defer timer.Stop()
	select {
	case g, ok := <-placed:
		reply.Moved = !ok
		if ok {
			reply.take(&g)
		}
	case <-timer.Chan():
		b.expire(d.Waiter, placed, reply)
	}
	return nil
}

func (r *AcquireReply) take(g *Grant) {
	if g != nil {
		r.Granted, r.Grant = true, *g
	}
}

// expire ends a wait, unless a place came meanwhile.
func (b *Broker) expire(w *Waiter, placed chan Grant, reply *AcquireReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case g, ok := <-placed:
		reply.Moved = !ok
		if ok {
			reply.take(&g)
		}
	default:
		delete(b.waiting, w)
		reply.RetryAfter = b.sched.RemoveWaiter(b.clock.Now(), w)
	}
}

// Released is the end of a grant.
type Released struct {
	ID      GrantID
	Outcome Outcome
}

// ReleaseArgs are grants that have ended.
type ReleaseArgs struct{ Released []Released }

// Empty is an empty reply.
type Empty struct{}

// Release gives places back.
func (b *Broker) Release(args ReleaseArgs, _ *Empty) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, r := range args.Released {
		b.sched.Release(now, r.ID, r.Outcome)
	}
	b.plan()
	return nil
}

// DemandMessage is a Want on the way; clocks of hosts differ.
type DemandMessage struct {
	Service string
	Items   int
	DueIn   time.Duration
}

func (m DemandMessage) want(now time.Time) Demand {
	return Demand{Service: m.Service, Items: m.Items, Due: now.Add(m.DueIn)}
}

// GrantMessage is a grant on the way.
type GrantMessage struct {
	ID         GrantID
	Class      Class
	Replica    replica.Replica
	Age, DueIn time.Duration
}

// PollArgs say what a host holds and wants.
type PollArgs struct {
	Host  string
	Holds []GrantMessage
	Wants []DemandMessage
	// Partial says that Holds leaves out online requests.
	Partial bool
	// Version is that of the replica records that the host has.
	Version int64
}

// PollReply is what the broker has to tell.
type PollReply struct {
	Granted []Grant
	Revoked []GrantID
	// Version is that of the broker's replica records; Replicas is set when
	// the host has others. Known says that there are records.
	Version  int64
	Replicas []replica.Replica
	Known    bool
	Notice   Notice
}

// Notice says what a broker knows, so that other hosts need not watch the store.
type Notice struct {
	// ConfigVersion is that of the configuration in force at the broker.
	ConfigVersion int64
	// HostsVersion changes with the hosts that the broker knows.
	HostsVersion int64
	// Current says that the store answers the broker.
	Current bool
}

// Poll takes a host's state and waits for something to tell.
func (b *Broker) Poll(args PollArgs, reply *PollReply) error {
	in := b.sync(args)
	timer := b.clock.NewTimer(pollWait)
	defer timer.Stop()
	if !b.collect(in, args.Version, reply) {
		select {
		case <-in.wake:
		case <-timer.Chan():
		}
		b.collect(in, args.Version, reply)
	}
	return nil
}

func (b *Broker) sync(args PollArgs) *inbox {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	holds := make([]Grant, len(args.Holds))
	for i, h := range args.Holds {
		holds[i] = Grant{ID: h.ID, Class: h.Class, Host: args.Host, Replica: h.Replica, Since: now.Add(-h.Age), Due: now.Add(h.DueIn)}
	}
	wants := make([]Demand, len(args.Wants))
	for i, w := range args.Wants {
		wants[i] = w.want(now)
	}
	b.sched.Sync(now, args.Host, holds, wants, args.Partial)
	b.sched.Expire(now)
	b.plan()
	return b.inbox(args.Host)
}

// collect moves what an inbox holds to a reply and reports whether there was
// anything.
func (b *Broker) collect(in *inbox, version int64, reply *PollReply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Granted = b.handOut(in)
	reply.Revoked = in.revoked
	in.revoked = nil
	reply.Version, reply.Known = b.version, b.replicas != nil
	reply.Notice = Notice{
		ConfigVersion: b.configVersion, HostsVersion: b.hostsVersion, Current: b.current == nil || b.current(),
	}
	stale := version != b.version && version != anyVersion
	if stale {
		reply.Replicas = slices.Collect(maps.Values(b.replicas))
	}
	return len(reply.Granted) > 0 || len(reply.Revoked) > 0 || stale
}

// handOut empties an inbox of its grants. Those that are void by now are free
// for others. The lock is held.
func (b *Broker) handOut(in *inbox) []Grant {
	var out []Grant
	now := b.clock.Now()
	void := false
	for _, g := range in.granted {
		if b.sched.fresh(now, g.ID) {
			out = append(out, g)
			continue
		}
		b.sched.Release(now, g.ID, Unused)
		void = true
	}
	in.granted = nil
	if void {
		b.plan()
	}
	return out
}

// StepDown sends all waiters to the next broker: the places that become free are
// given back there.
func (b *Broker) StepDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w, placed := range b.waiting {
		b.sched.RemoveWaiter(b.clock.Now(), w)
		delete(b.waiting, w)
		close(placed)
	}
}

// WantArgs say what a host wants now.
type WantArgs struct {
	Host string
	Want DemandMessage
}

// Want takes a change of what a host wants.
func (b *Broker) Want(args WantArgs, _ *Empty) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.SetDemand(args.Host, args.Want.want(b.clock.Now()))
	b.plan()
	return nil
}
