package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// PeerName is the name under which net/rpc serves a Peer.
const PeerName = "Quota"

const (
	// rendezvousKey ranks the hosts that may be the allocator.
	rendezvousKey = "quota"
	// maxCandidates is the number of hosts that a broker tries before it is its own
	// allocator.
	maxCandidates = 3
	// maxFailures is the number of failures in a row after which a broker passes over
	// an allocator. A single one may be a broken connection or a slow host.
	maxFailures = 2
	// firstAnswerTimeout is the time after its start for which a broker tries only the first
	// candidate, unless an allocator has answered: the candidate may be starting too.
	firstAnswerTimeout = 2 * time.Second
	// departureRepeat is how long a broker passes on the announced departure of a host, since
	// an exchange may fail.
	departureRepeat = 2 * time.Second
	// probeInterval is the time between the calls to an allocator that is passed over.
	probeInterval = time.Second
	// lowCreditDelay is the least time between two exchanges if no request waits.
	lowCreditDelay = 50 * time.Millisecond
	// minGap is the least time between the end of an exchange and the next one, so that
	// a broker of a large fleet asks for many requests at once.
	minGap = 10 * time.Millisecond
	// idleTimeout is how long a host that no other polls exchanges after its last
	// request.
	idleTimeout = 5 * time.Second
)

// PeerClient calls peers.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options are the dependencies of a Service. All fields are required.
type Options struct {
	Tolerance Tolerance
	View      membership.View
	// Listed reports whether View holds all hosts in service, and Registered whether this
	// host has read them from the store and written its own record.
	Listed, Registered func() bool
	Peers              PeerClient
	// Enabled reports whether the configuration in force has customers. Without them
	// nothing is sent or counted.
	Enabled func() bool
	Limits  Limits
	// Now is CLOCK_BOOTTIME, which counts the time in which a host is suspended. Clock
	// serves for timers.
	Now     boottime.Clock
	Clock   clockwork.Clock
	Log     *logrus.Entry
	Metrics *Metrics
}

// Service is a host's part in the quotas: as host that polls a broker, as broker, and as
// allocator. It is safe for concurrent use.
type Service struct {
	Options

	mu        sync.Mutex
	allocator *Allocator
	account   *Account
	// hosts are attached to this broker. This host is attached to a broker, and this
	// broker to an allocator.
	hosts                 *attachments
	toBroker, toAllocator *attachedSide
	// idle holds until when each host promises to count no broker as allocator.
	idle      map[string]time.Duration
	startedAt time.Duration
	lastTake  time.Duration
	taken     bool
	// leaving is set once this host shuts down. departed holds when each host last announced
	// its departure to this broker.
	leaving  bool
	departed map[string]time.Duration
	// answered is set once an allocator has answered an exchange.
	answered bool

	// viewChanged is closed when the hosts that were last read from View are outdated.
	viewChanged <-chan struct{}
	candidates  []membership.Host
	failures    map[string]*failures
	// current is the allocator in use, and leavingAt the time at which this broker goes
	// over from it to another one, if that is not zero.
	current   membership.Host
	leavingAt time.Duration

	// exchangeNow signals that the next exchange is due at once: a request waits for a
	// token, or the first host has polled this broker. exchangeSoon signals low credit.
	exchangeNow, exchangeSoon chan struct{}
}

// failures describes an allocator that did not answer.
type failures struct {
	count    int
	probedAt time.Duration
}

// NewService returns a service that grants nothing yet.
func NewService(o Options) *Service {
	now := o.Now()
	s := &Service{
		Options: o, hosts: newAttachments(pollLease), toBroker: newAttachedSide(now, pollLease+exchangeLease), toAllocator: newAttachedSide(now, exchangeLease),
		startedAt: now, idle: make(map[string]time.Duration), departed: make(map[string]time.Duration), failures: make(map[string]*failures), exchangeNow: make(chan struct{}, 1), exchangeSoon: make(chan struct{}, 1),
	}
	s.allocator = NewAllocator(now, o.Tolerance, o.Limits)
	s.allocator.self = o.View.Self().Name
	s.account = NewAccount(o.Tolerance, o.Limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return s
}

// Take takes a token for a request of a customer that a host has admitted by a version of the
// configuration, and reports whether there is one. It waits for the allocator's answer if the
// credit is used up.
func (s *Service) Take(name string, admittedBy int64) (Refusal, bool) {
	limit, _, ok := s.Limits(name)
	if ok && !limit.Limited() {
		return Refusal{}, true
	}
	s.mu.Lock()
	now := s.Now()
	if ok {
		s.lastTake, s.taken = now, true
	}
	d := s.account.Take(now, name, admittedBy)
	s.mu.Unlock()
	switch {
	case d.Waiter != nil:
		signal(s.exchangeNow)
		d = s.await(d.Waiter)
	case d.Ask:
		signal(s.exchangeSoon)
	}
	if ok || !d.Admitted {
		s.Metrics.count(name, limit.PerSecond, d.Admitted)
	}
	return d.Refusal, d.Admitted
}

// signal sends to a channel with a buffer of one, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// await waits for the decision on a request.
func (s *Service) await(w *Waiter) Decision {
	timer := s.Clock.NewTimer(AnswerTimeout)
	defer timer.Stop()
	select {
	case d := <-w.Decided:
		return d
	case <-timer.Chan():
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.account.GiveUp(s.Now(), w)
	}
}

// Return gives back the token of a request that was admitted and did not run.
func (s *Service) Return(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Return(name)
}

// Peer serves the calls of brokers to this host as allocator.
type Peer struct{ service *Service }

// Peer returns the receiver for net/rpc.
func (s *Service) Peer() *Peer { return &Peer{s} }

// Exchange grants tokens to a broker.
func (p *Peer) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateView()
	*reply = s.allocator.Exchange(s.Now(), &args)
	s.Metrics.share.Set(s.allocator.share)
	return nil
}

// updateView reads the hosts if they have changed. The lock is held.
func (s *Service) updateView() {
	if !s.Listed() {
		return
	}
	if !s.allocator.complete && s.Registered() {
		s.allocator.complete, s.allocator.listedAt = true, s.Now()
	}
	if s.viewChanged != nil {
		select {
		case <-s.viewChanged:
		default:
			return
		}
	}
	s.viewChanged = s.View.Changed()
	all := membership.All(s.View)
	names := make([]string, 0, len(all))
	for _, h := range all {
		names = append(names, h.Name)
	}
	s.allocator.SetHosts(s.Now(), names)
	maps.DeleteFunc(s.failures, func(name string, _ *failures) bool { return !slices.Contains(names, name) })
	s.candidates = membership.Rendezvous(all, rendezvousKey, maxCandidates)
}

// Serve exchanges with the allocator while other hosts poll this one or requests come,
// until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		active, again := s.exchangeOnce(ctx)
		if active {
			wait.For(ctx, s.Clock, minGap)
		}
		if !again {
			s.pause(ctx, active)
		}
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (s *Service) String() string { return "quotas" }

// pause waits until the next exchange is due.
func (s *Service) pause(ctx context.Context, active bool) {
	var due <-chan time.Time
	if active {
		// Brokers that exchange right after another one would find its bucket empty
		// each time if the intervals were equal.
		timer := s.Clock.NewTimer(time.Duration((0.8 + 0.2*rand.Float64()) * float64(exchangeInterval)))
		defer timer.Stop()
		due = timer.Chan()
	}
	s.mu.Lock()
	changed := s.viewChanged
	s.mu.Unlock()
	if !s.Enabled() {
		changed = nil
	}
	soon := s.exchangeSoon
	for {
		select {
		case <-s.exchangeNow:
			return
		case <-due:
			return
		case <-changed:
			return
		case <-soon:
			soon = nil
			timer := s.Clock.NewTimer(lowCreditDelay)
			defer timer.Stop()
			due = timer.Chan()
		case <-ctx.Done():
			return
		}
	}
}

// exchangeOnce makes one exchange if this host is a broker, and reports whether it is, and
// whether the next exchange should follow at once.
func (s *Service) exchangeOnce(ctx context.Context) (active, again bool) {
	x, ok := s.prepare()
	if !ok {
		return false, false
	}
	for _, h := range x.probes {
		go s.probe(ctx, h)
	}
	reply := new(ExchangeReply)
	err := s.call(ctx, x.to, x.args, reply)
	return true, s.finish(x, reply, err)
}

// pendingExchange is an exchange that has been prepared and not yet been answered.
type pendingExchange struct {
	to     membership.Host
	args   *ExchangeArgs
	sentAt time.Duration
	// unattached reports that the exchange doesn't attach this broker, since it has no
	// recent stamp of the allocator.
	unattached bool
	// probes holds the allocators to probe at the same time.
	probes []membership.Host
}

// prepare returns the next exchange, and false if none is needed.
func (s *Service) prepare() (pendingExchange, bool) {
	if !s.Enabled() {
		return pendingExchange{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateView()
	now := s.Now()
	s.account.SetHosts(s.hosts.hosts(now))
	t, departed := s.hosts.total(now), s.departedHosts(now)
	if t.hosts+t.pending+len(departed) == 0 && (!s.taken || now-s.lastTake > idleTimeout) {
		return pendingExchange{}, false
	}
	x := pendingExchange{sentAt: now}
	x.to, x.probes = s.chooseAllocator(now)
	x.args = &ExchangeArgs{
		Broker: s.View.Self().Name, Hosts: t.hosts, Pending: t.pending, Idle: s.idleHosts(now), Departed: departed, Fleet: s.account.Fleet(now),
	}
	if s.leavingAt == 0 {
		x.unattached = !s.toAllocator.fresh(now, x.to.Name)
		x.args.Attachment = s.toAllocator.next(now, x.to.Name)
	}
	x.args.Wants, x.args.ConfigVersion = s.account.Wants(now)
	return x, true
}

// finish applies the reply to an exchange, or its failure, and reports whether the next one should follow at
// once.
func (s *Service) finish(x pendingExchange, reply *ExchangeReply, err error) (again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return s.failed(x.to, err)
	}
	s.Metrics.exchanges.WithLabelValues("answered").Inc()
	s.answered = true
	delete(s.failures, x.to.Name)
	now := s.Now()
	s.toAllocator.received(now, x.to.Name, reply.Stamp)
	waiting := s.account.Exchanged(now, x.sentAt, x.args.Wants, reply)
	return waiting || x.unattached
}

// call sends an exchange to an allocator, which may be this host.
func (s *Service) call(ctx context.Context, to membership.Host, args *ExchangeArgs, reply *ExchangeReply) error {
	if to.Name == s.View.Self().Name {
		return s.Peer().Exchange(*args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return s.Peers.Call(ctx, to.PeerAddress, PeerName+".Exchange", *args, reply)
}
