package slots

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// pollWait is how long a poll waits at the broker for grants, revocations or a
// change of the replica records or of the notice.
const pollWait = 400 * time.Millisecond

// isBrokerInterval is the time after which a broker checks its role again.
const isBrokerInterval = 50 * time.Millisecond

// Broker serves the decisions of a Scheduler to the hosts. It is safe for
// concurrent use. Its exported methods with two arguments are served by
// net/rpc.
type Broker struct {
	clock clockwork.Clock
	log   *logrus.Entry

	// free holds what hosts reported of other data centres.
	free freeReports

	mu    sync.Mutex
	sched *Scheduler
	// replicas holds the replica records by ID that hosts receive, and version
	// identifies them. replicas is nil until the first listing, which may be
	// empty.
	replicas map[string]replica.Replica
	version  int64
	// recordsRev is a revision of the store whose changes the replica records include; zero
	// means that none is known.
	recordsRev txn.Rev
	// storeAvailable reports whether the store answers this host; nil counts as
	// true.
	storeAvailable func() bool
	// storeAge returns the time since the store last answered this host; nil counts as zero.
	storeAge func() time.Duration
	// isBroker reports whether this host is the broker of its data centre; nil counts
	// as true. It was last called at isBrokerAt.
	isBroker   func() bool
	isBrokerAt time.Time
	// onLeaving is called with each replica that a host has found to be leaving; nil
	// has no effect.
	onLeaving func(replica.Replica)
	// configVersion is the version of the configuration in force on this host.
	configVersion int64
	// lastConfirmed returns the version of the configuration that was last confirmed as
	// the newest one, and the age of the confirmation, or false; nil counts as false.
	lastConfirmed func() (version int64, age time.Duration, ok bool)
	// hostsVersion changes whenever the set of known hosts changes.
	hostsVersion  int64
	waiting       map[*Waiter]chan Grant
	updatesByHost map[string]*pendingUpdates
	timer         clockwork.Timer

	// streams holds the software versions of streams, versions those of services.
	streams  *streamVersions
	versions versionHistory
	// uncopied holds the streams that no other host knows of; uncopiedChanged
	// signals new ones.
	uncopied        []StreamVersion
	uncopiedChanged chan struct{}
	// versionRecords is nil if this host reads no records of software versions.
	versionRecords VersionRecords

	// probe reports whether a replica accepts connections; nil finds no crashes.
	probe func(ctx context.Context, r replica.Replica) bool
	// cutOff reports whether this host finds itself cut off from the replicas; nil counts as
	// false.
	cutOff func() bool
	// probeElsewhere lets other hosts probe; nil means that there are none.
	probeElsewhere func(args ProbeArgs) (replies []ProbeReply, asked int)
	// onQuarantine is called with each change of what is known of requests that crash
	// replicas; nil has no effect.
	onQuarantine func(quarantine.Notice)
	// broken holds the exchanges that broke off lately.
	broken map[replica.Incarnation]*brokenRuns
	// quotas is nil if no request needs a token.
	quotas  Quotas
	charges charges
}

// pendingUpdates holds what the next poll of a host returns.
type pendingUpdates struct {
	granted []Grant
	revoked []GrantID
	wake    chan struct{}
}

// NewBroker returns a broker without replicas.
func NewBroker(clock clockwork.Clock, rng *rand.Rand, log *logrus.Entry) *Broker {
	return &Broker{
		clock: clock, log: log, sched: NewScheduler(rng), version: int64(rng.Uint64() >> 1), hostsVersion: int64(rng.Uint64() >> 1),
		waiting: make(map[*Waiter]chan Grant), updatesByHost: make(map[string]*pendingUpdates),
		streams: newStreamVersions(), uncopiedChanged: make(chan struct{}, 1),
		broken: make(map[replica.Incarnation]*brokenRuns),
	}
}

// SetReplicas sets the replica records, by ID. The broker hands out slots of
// the replicas in its own data centre. Records equal to the present ones are
// not sent to the hosts again.
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
	b.updateVersions()
	for _, updates := range b.updatesByHost {
		updates.signal()
	}
	b.plan()
}

// SetRecordsRev sets a revision of the store whose changes the replica records include, or zero
// if none is known. The records must be set before it is raised, and after it is lowered.
func (b *Broker) SetRecordsRev(rev txn.Rev) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordsRev = rev
}

// SetStoreAvailable sets the function that reports whether the store answers
// this host. It must be called before the broker is used.
func (b *Broker) SetStoreAvailable(storeAvailable func() bool) { b.storeAvailable = storeAvailable }

// SetVersions sets where the broker reads at which software versions streams began. It must
// be called before the broker is used.
func (b *Broker) SetVersions(records VersionRecords) { b.versionRecords = records }

// SetIsBroker sets the function that reports whether this host is the broker of its
// data centre. It must be called before the broker is used.
func (b *Broker) SetIsBroker(isBroker func() bool) { b.isBroker = isBroker }

// updateRateShare sets the fraction of the replicas' rate limits that this host grants.
// The lock is held.
func (b *Broker) updateRateShare(now time.Time) {
	if b.isBroker == nil || now.Sub(b.isBrokerAt) < isBrokerInterval || !b.sched.hasRateLimits() {
		return
	}
	b.isBrokerAt = now
	share := standbyRateShare
	if b.isBroker() {
		share = 1
	}
	b.sched.SetRateShare(now, share)
}

// SetOnLeaving sets the function that is called with each replica that a host has
// found to be leaving. It must be called before the broker is used.
func (b *Broker) SetOnLeaving(onLeaving func(replica.Replica)) { b.onLeaving = onLeaving }

// SetStoreAge sets the function that returns the time since the store last answered this host.
// It must be called before the broker is used.
func (b *Broker) SetStoreAge(storeAge func() time.Duration) { b.storeAge = storeAge }

// SetConfigVersion sets the version of the configuration in force on this host
// and ends waiting polls, so that other hosts see it at once.
func (b *Broker) SetConfigVersion(version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configVersion = version
	for _, updates := range b.updatesByHost {
		updates.signal()
	}
}

// SetLastConfirmed sets the function that returns the last confirmation of the
// configuration. It must be called before the broker is used.
func (b *Broker) SetLastConfirmed(lastConfirmed func() (version int64, age time.Duration, ok bool)) {
	b.lastConfirmed = lastConfirmed
}

// EndPolls ends waiting polls, so that other hosts see a changed notice at once.
func (b *Broker) EndPolls() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, updates := range b.updatesByHost {
		updates.signal()
	}
}

// HostsChanged records that the set of known hosts has changed and ends waiting
// polls, so that other hosts see it at once.
func (b *Broker) HostsChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hostsVersion++
	for _, updates := range b.updatesByHost {
		updates.signal()
	}
}

// signal wakes a poll that waits for updates.
func (u *pendingUpdates) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

func (b *Broker) pendingUpdates(host string) *pendingUpdates {
	updates, ok := b.updatesByHost[host]
	if !ok {
		updates = &pendingUpdates{wake: make(chan struct{}, 1)}
		b.updatesByHost[host] = updates
	}
	return updates
}

// plan applies what the scheduler decides. The lock is held.
func (b *Broker) plan() {
	now := b.clock.Now()
	b.updateRateShare(now)
	plan := b.sched.Plan(now)
	for _, p := range plan.Granted {
		b.recordGrant(&p.Waiter.args, &p.Grant)
		b.waiting[p.Waiter] <- p.Grant
		delete(b.waiting, p.Waiter)
	}
	b.logPaces(plan.Paces)
	b.logCutOff(plan.CutOff)
	for _, w := range plan.Refused {
		close(b.waiting[w])
		delete(b.waiting, w)
	}
	for _, g := range plan.Batch {
		updates := b.pendingUpdates(g.Host)
		updates.granted = append(updates.granted, g)
		updates.signal()
	}
	for _, g := range plan.Revoked {
		updates := b.pendingUpdates(g.Host)
		updates.revoked = append(updates.revoked, g.ID)
		updates.signal()
		b.log.WithFields(logrus.Fields{"grant": g.ID, "to": g.Host, "replica": g.Replica.ID}).Debug("slot of a batch item revoked")
	}
	if !plan.Next.IsZero() {
		b.planAfter(plan.Next.Sub(now))
	}
}

func (b *Broker) planAfter(d time.Duration) {
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = b.clock.AfterFunc(max(d, time.Millisecond), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.plan()
	})
}

// Poll records the grants and the demand of a host. It replies as soon as there
// are updates for the host, and after pollWait at the latest.
func (b *Broker) Poll(args PollArgs, reply *PollReply) error {
	updates := b.sync(args)
	b.countPoll(&args)
	defer b.stampPoll(&args, reply)
	b.free.observe(b.clock.Now(), args.Free...)
	defer func() { reply.Free = b.free.recent(b.clock.Now()) }()
	if args.NoWait || b.stampWanted(&args) {
		b.collect(updates, args.Version, reply)
		return nil
	}
	timer := b.clock.NewTimer(pollWait)
	defer timer.Stop()
	if !b.collect(updates, args.Version, reply) {
		select {
		case <-updates.wake:
		case <-timer.Chan():
		}
		b.collect(updates, args.Version, reply)
	}
	return nil
}

// sync passes the grants and the demand of a host to the scheduler and returns
// the pending updates of the host.
func (b *Broker) sync(args PollArgs) *pendingUpdates {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	grants := make([]Grant, len(args.Holds))
	for i, h := range args.Holds {
		grants[i] = Grant{ID: h.ID, Class: h.Class, Host: args.Host, Replica: h.Replica, Content: h.Content, Since: now.Add(-h.Age), Due: now.Add(h.DueIn), Share: h.Share}
	}
	demands := make([]Demand, len(args.Wants))
	for i, w := range args.Wants {
		demands[i] = w.demand(now)
	}
	b.sched.observeLoads(now, args.Loads)
	b.sched.RecordStatement(now, args.Host, args.CutOff)
	b.sched.Sync(now, args.Host, grants, demands, args.Partial)
	b.sched.Expire(now)
	b.plan()
	return b.pendingUpdates(args.Host)
}

// collect moves pending updates to a reply and reports whether the host must
// act on any of it. A version other than that of the broker's records adds the
// records, except for skipRecords.
func (b *Broker) collect(updates *pendingUpdates, version int64, reply *PollReply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Granted = b.takeGrants(updates)
	reply.Revoked = updates.revoked
	updates.revoked = nil
	reply.Version, reply.Known, reply.RecordsRev = b.version, b.replicas != nil, b.recordsRev
	reply.Notice = b.notice()
	stale := version != b.version && version != skipRecords
	if stale {
		reply.Replicas = slices.Collect(maps.Values(b.replicas))
	}
	return len(reply.Granted) > 0 || len(reply.Revoked) > 0 || stale
}

// notice returns the state of the broker. The lock is held.
func (b *Broker) notice() Notice {
	n := Notice{
		ConfigVersion: b.configVersion, HostsVersion: b.hostsVersion, Current: b.storeAvailable == nil || b.storeAvailable(),
	}
	if b.storeAge != nil {
		n.StoreAge = b.storeAge()
	}
	if b.lastConfirmed != nil {
		if version, age, ok := b.lastConfirmed(); ok {
			n.ConfirmedVersion, n.ConfirmedAge = version, age
		}
	}
	return n
}

// takeGrants removes and returns the pending grants that the host may still
// use. The slots of the others are released. The lock is held.
func (b *Broker) takeGrants(updates *pendingUpdates) []Grant {
	var out []Grant
	now := b.clock.Now()
	released := false
	for _, g := range updates.granted {
		if b.sched.deliverable(now, g.ID) {
			g.RateLimit = newRateLimitMessage(now, b.sched.grants[g.ID].replicaState.budget.limit)
			out = append(out, g)
			continue
		}
		b.sched.Release(now, g.ID, Unused)
		released = true
	}
	updates.granted = nil
	if released {
		b.plan()
	}
	return out
}

// StepDown ends all waits with Moved set, so that the waiting requests acquire
// slots from the next broker: slots are released there from now on.
func (b *Broker) StepDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w, granted := range b.waiting {
		b.sched.RemoveWaiter(b.clock.Now(), w)
		delete(b.waiting, w)
		close(granted)
	}
}

// Want records a change of a host's demand between its polls.
func (b *Broker) Want(args WantArgs, _ *Empty) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sched.SetDemand(args.Host, args.Want.demand(b.clock.Now()))
	b.plan()
	return nil
}
