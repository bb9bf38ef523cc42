package slots

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// PeerName is the name under which net/rpc serves a broker.
const PeerName = "Slots"

// Time-outs, delays and limits of calls to brokers.
const (
	// localWait is how long a request waits in its own data centre before the
	// others are tried.
	localWait = 30 * time.Millisecond
	// remoteWait is how long a request waits in each other data centre.
	remoteWait = 20 * time.Millisecond
	// callMargin is what a call may take beyond the wait that it requests. The request may
	// wait at the broker for a token for quota.AnswerTimeout, which therefore ends first; the
	// rest is for the network and a busy broker. A call that ended before its token was
	// decided would make the host suspect a broker that works.
	callMargin = 2 * quota.AnswerTimeout
	// pollTimeout bounds a poll.
	pollTimeout = pollWait + 400*time.Millisecond
	// outdatedCooldown is how long a broker that the store does not answer is
	// passed over before it is asked again. One of the own data centre is passed over until
	// it says that it is current.
	outdatedCooldown = 2 * time.Second
	// idlePollDelay is the delay after a poll that failed or was not needed,
	// and pollDelay the delay after any other.
	idlePollDelay = 200 * time.Millisecond
	pollDelay     = 5 * time.Millisecond
	// recordsStaleTimeout is the age of the last reply of a broker with an
	// available store from which on the host reads the replica records by
	// itself.
	recordsStaleTimeout = 1200 * time.Millisecond
	// maxBrokerTries bounds the brokers of one data centre that a request
	// tries.
	maxBrokerTries = 3
	// maxRecordHolders bounds the hosts of a data centre that keep the replica
	// records. One of them is the broker.
	maxRecordHolders = 5
)

// PeerClient calls brokers on other hosts. After Retire new calls to an address use a new
// connection; those in progress go on.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Retire(address string)
}

// BatchItems runs the batch items of a host.
type BatchItems interface {
	// Granted starts an item in the slot of a grant, or releases the grant if
	// no item waits.
	Granted(g Grant)
	// Revoked stops the item that uses a grant.
	Revoked(id GrantID)
	// Demand returns the demand for slots in the host's own data centre or, if
	// remote, in the others.
	Demand(remote bool) []DemandMessage
}

// ReplicaStates knows what replicas have said to this host. The brokers may not know
// it yet.
type ReplicaStates interface {
	IsLeaving(r replica.Replica) bool
	// RecentlyLeaving returns the replicas of a service that were lately found to be
	// leaving.
	RecentlyLeaving(service string) []replica.Incarnation
	// RateLimit returns the last observation of a replica's rate limit, and
	// RateLimits those of all replicas that ever named one.
	RateLimit(r replica.Replica) replica.RateLimit
	RateLimits() map[replica.Replica]replica.RateLimit
	// LearnRateLimit records what a broker knows.
	LearnRateLimit(r replica.Replica, l replica.RateLimit)
	// LoadsSince returns the loads of the replicas of a data centre that this host has
	// observed after the given time.
	LoadsSince(since time.Time, dataCentre string) []replica.ObservedLoad
}

// RefusedError reports that no slot could be acquired in time.
type RefusedError struct {
	// RetryAfter is when a free slot is expected.
	RetryAfter time.Duration
	// Wait is the expected wait in the data centre that refused last, Replicas the
	// number of ready replicas there that may run the request, and RateLimited the
	// number of those that only their rate limit keeps from it.
	Wait                  time.Duration
	Replicas, RateLimited int
	// HeldBack is the number of replicas there with a free slot that the request may get
	// if it asks for the last time.
	HeldBack int
	// Suspect is the number of those of Replicas that got none or one request at a time
	// since several failed there.
	Suspect int
	// Quarantined reports that the request crashes replicas; RetryAfter is when it is no
	// longer refused.
	Quarantined bool
	// OverQuota reports that the customer's quota is used up, as described by Quota.
	OverQuota bool
	Quota     quota.Refusal
	// Share describes the customer's share in the data centre that refused last.
	Share ShareUse
	// QueueWait and Uneven are those of the reply of the broker that refused last.
	QueueWait time.Duration
	Uneven    bool
}

// Error implements error.
func (r *RefusedError) Error() string { return "no slot is free in time" }

// Client acquires slots from the brokers and polls them for this host. Its
// exported fields are required unless stated otherwise.
type Client struct {
	View       membership.View
	Peers      PeerClient
	Broker     *Broker
	BatchItems BatchItems
	Clock      clockwork.Clock
	Log        *logrus.Entry
	// OnReplicas receives the replica records that a broker sent, with PollReply.RecordsRev. If
	// those of this host are newer it keeps them and returns their revision, otherwise zero.
	OnReplicas func(all []replica.Replica, rev txn.Rev) (newer txn.Rev)
	// StoreAvailable reports whether the store answers this host.
	StoreAvailable func() bool
	// Replicas knows what replicas have said to this host.
	Replicas ReplicaStates
	// OnNotice receives the notice of the broker of the own data centre, when
	// that is another host.
	OnNotice func(broker membership.Host, n Notice)
	// OnConfirmed receives the confirmation of the configuration in the notice of any
	// other broker, with the time of BootTime at which the poll was sent. Both may be nil.
	OnConfirmed func(version int64, sent, age time.Duration)
	BootTime    boottime.Clock
	// Quotas is nil if hosts are not counted for quotas.
	Quotas Quotas
	// CutOff reports whether this host finds itself cut off from the replicas, so that its
	// requests say nothing about them. Nil counts as false. It must not block.
	CutOff func() bool
	// Random returns a number in [0, 1); nil is rand.Float64.
	Random func() float64

	// free holds what brokers of other data centres reported, and usesReports is set once a
	// request was sent to one by these reports.
	free        freeReports
	usesReports atomic.Bool

	mu       sync.Mutex
	grants   map[GrantID]Grant
	suspects map[string]suspicion
	// polls holds what ends the poll in progress at each broker.
	polls map[string]context.CancelFunc
	// polled is the broker of the own data centre to which the last poll went.
	polled string
	// outdatedUntil holds the time from which on a broker that the store did not
	// answer may be asked again, by host name.
	outdatedUntil map[string]time.Time
	// version is the version of the replica records that this host has, and
	// lastUpdate is when a broker with an available store last replied.
	version    int64
	lastUpdate time.Time
	// recordsAt is when a broker with an available store last replied that this host
	// has its records, or sent them.
	recordsAt time.Time
	// awaitedRev is the revision of the records of this host while those of the broker are
	// older, and awaitedOf the broker. Zero means that they are not.
	awaitedRev txn.Rev
	awaitedOf  string
	// receivedRecords is set once a broker that has replica records has
	// replied.
	receivedRecords bool
	// reported holds the other data centres whose brokers know of demand or grants
	// of this host.
	reported      map[string]bool
	releaseQueues map[string]*releaseQueue
	// loadsSentAt is the time of the last observed load that each broker was told of.
	loadsSentAt map[string]time.Time
}

// Init prepares the client for use.
func (c *Client) Init() {
	c.grants = make(map[GrantID]Grant)
	c.suspects = make(map[string]suspicion)
	c.polls = make(map[string]context.CancelFunc)
	c.outdatedUntil = make(map[string]time.Time)
	c.releaseQueues = make(map[string]*releaseQueue)
	c.reported = make(map[string]bool)
	c.loadsSentAt = make(map[string]time.Time)
	c.Broker.probeElsewhere, c.Broker.cutOff = c.probeElsewhere, c.isCutOff
}

// rankedHosts returns the hosts that may be the broker of a data centre, in the
// order that all hosts agree on. A broker answers all hosts of its data centre, so those with the
// most processor time come first.
func (c *Client) rankedHosts(dataCentre string) []membership.Host {
	var candidates []membership.Host
	for _, h := range membership.All(c.View) {
		if h.DataCentre == dataCentre {
			candidates = append(candidates, h)
		}
	}
	ranked := membership.Rendezvous(candidates, "slots/"+dataCentre, len(candidates))
	membership.MostCPUFirst(ranked)
	return ranked
}

// brokers returns the brokers to try, in this order: those that the store
// answers, those that it does not answer, and those that failed to answer this
// host. Hosts that don't keep the replica records are included only when no
// host that keeps them answers.
func (c *Client) brokers(dataCentre string) []membership.Host {
	ranked := c.rankedHosts(dataCentre)
	self, storeAvailable := c.View.Self().Name, c.StoreAvailable()
	own := dataCentre == c.View.Self().DataCentre
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	penalty := func(h membership.Host) int {
		switch {
		case now.Before(c.suspects[h.Name].until):
			return 2
		case c.isOutdated(h, own, now), h.Name == self && !storeAvailable:
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

// IsBroker reports whether this host should act as the broker of its data
// centre.
func (c *Client) IsBroker() bool {
	ranked := c.brokers(c.View.Self().DataCentre)
	return len(ranked) == 0 || ranked[0].Name == c.View.Self().Name
}

// LocalBroker returns the name of the broker of the own data centre that the next poll goes to.
func (c *Client) LocalBroker() string {
	if ranked := c.brokers(c.View.Self().DataCentre); len(ranked) > 0 {
		return ranked[0].Name
	}
	return ""
}

// RecordsStale reports whether no broker with an available store has replied
// within recordsStaleTimeout, or whether the store answers none of those that this host may poll.
func (c *Client) RecordsStale() bool {
	c.mu.Lock()
	stale, outdated := c.Clock.Now().Sub(c.lastUpdate) > recordsStaleTimeout, len(c.outdatedUntil) > 0
	c.mu.Unlock()
	return stale || outdated && c.isBrokerOutdated()
}

// ReceivesRecords reports whether this host keeps the replica records and a broker with
// an available store has updated them within recordsStaleTimeout.
func (c *Client) ReceivesRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.recordsAt) <= recordsStaleTimeout
}

// ReceivedRecords reports whether a broker that has replica records has ever
// replied.
func (c *Client) ReceivedRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedRecords
}

// StartStaleTimer starts the time after which the records count as stale, so
// that a broker has time for its first reply.
func (c *Client) StartStaleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUpdate = c.Clock.Now()
}

// otherDataCentres returns the sorted names of all data centres but the host's
// own.
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

// RemoteBrokers returns the broker of each other data centre.
func (c *Client) RemoteBrokers() []membership.Host {
	var hosts []membership.Host
	for _, dc := range c.otherDataCentres() {
		if ranked := c.brokers(dc); len(ranked) > 0 {
			hosts = append(hosts, ranked[0])
		}
	}
	return hosts
}

// RecordHolders returns the hosts that keep the replica records: those that may
// become the broker of a data centre.
func (c *Client) RecordHolders() []membership.Host {
	var hosts []membership.Host
	for _, dc := range append(c.otherDataCentres(), c.View.Self().DataCentre) {
		hosts = append(hosts, c.brokers(dc)...)
	}
	return hosts
}

func (c *Client) isCutOff() bool { return c.CutOff != nil && c.CutOff() }

// callPeer calls a broker on another host. A call whose connection breaks off or is silent is
// made a second time, for the same time at most, since that says little about the broker. All
// calls may be repeated: the next poll reports which grants the host uses.
func (c *Client) callPeer(ctx context.Context, h membership.Host, timeout time.Duration, method string, args, reply any) error {
	err := c.callPeerOnce(ctx, h, timeout, method, args, reply)
	if !errors.IsAny(err, peer.ErrBroken, peer.ErrSilent) || ctx.Err() != nil || c.isSuspect(h) {
		return err
	}
	return c.callPeerOnce(ctx, h, timeout, method, args, reply)
}

func (c *Client) callPeerOnce(ctx context.Context, h membership.Host, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Peers.Call(ctx, h.PeerAddress, PeerName+"."+method, args, reply)
}

// call calls a broker, which may be this host's own. The timeout bounds a call of another one,
// see callPeer.
func (c *Client) call(ctx context.Context, h membership.Host, timeout time.Duration, method string, args, reply any) error {
	if h.Name != c.View.Self().Name {
		return c.callPeer(ctx, h, timeout, method, args, reply)
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
	case StreamVersionArgs:
		return c.Broker.StreamVersion(args, reply.(*StreamVersionReply))
	case RecordStreamsArgs:
		return c.Broker.RecordStreams(args, reply.(*Empty))
	}
	return errors.AssertionFailedf("no broker method takes arguments of type %T", args)
}

// NotifyDemand sends the present demand to the broker of the own data centre
// without waiting for the next poll.
func (c *Client) NotifyDemand(ctx context.Context) {
	ranked := c.brokers(c.View.Self().DataCentre)
	if len(ranked) == 0 {
		return
	}
	for _, w := range c.BatchItems.Demand(false) {
		err := c.call(ctx, ranked[0], callMargin, "Want", WantArgs{Host: c.View.Self().Name, Want: w}, new(Empty))
		if err != nil && ctx.Err() == nil {
			c.suspect(ranked[0], err)
		}
	}
}
