// Package host assembles one host of the system on the users' platform as a
// tree of supervised services: the host's record in the store, the
// configuration, the replica records, the slot broker, online requests, batch
// jobs and the listeners.
package host

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/jobs"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/membership/registry"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/shutdown"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/tunnel"
	"github.com/comfreyspindle/comfreyspindle/versions"
)

// Timeouts, delays and limits of a host.
const (
	// callTimeout bounds a call to a peer.
	callTimeout = 1500 * time.Millisecond
	// brokerCallTimeout is the corresponding timeout of calls to brokers.
	brokerCallTimeout = time.Second
	// softMemoryFraction is the fraction of the process's memory limit that is
	// set as the soft limit of the Go runtime, above which garbage is
	// collected more often.
	softMemoryFraction = 0.7
	// unfinishedFraction is the part of the process's memory limit that parts of responses may
	// use before they can be passed on. The buffers that hold them may be twice as large.
	unfinishedFraction = 0.125
	// recoveryDelay is the time after the start at which a host searches for
	// jobs whose owner is no longer a member. Leases of the host's earlier
	// incarnation have expired by then.
	recoveryDelay = leaseDuration + 3*time.Second
	// storeRetryDelay is the delay before a failed job recovery or report to
	// the store is tried again.
	storeRetryDelay = 700 * time.Millisecond
)

// Host is one host of the system.
type Host struct {
	settings *platform.Settings
	clock    clockwork.Clock
	log      *logrus.Entry
	registry *prometheus.Registry
	store    txn.Store
	view     *membership.Static
	// paths knows which replicas this host reaches directly, and tunnels, which may be nil,
	// carries connections of other hosts.
	paths   *tunnel.Paths
	tunnels *tunnel.Server
	// tunnelMetrics counts tunnels of both kinds.
	tunnelMetrics *tunnel.Metrics

	// dialer opens connections to peers; nil is a net.Dialer.
	dialer       peer.DialFunc
	peerServer   *peer.Server
	peerClient   *peer.Client
	brokerClient *peer.Client
	presence     *Presence
	config       *Config
	replicas     *Replicas
	versions     *versions.Recorder
	broker       *slots.Broker
	slotClient   *slots.Client
	quarantine   *quarantineRecords
	quotas       *quota.Service
	jobs         *jobs.Manager
	runner       *forward.Runner
	// confirmer is nil if the settings don't bound the time until removed keys are
	// refused. bootTime is the clock by which confirmations are aged.
	confirmer *confirmer
	bootTime  boottime.Clock

	callers, ready, metrics *listener
	writes                  *pendingWrites
	requests                *shutdown.Requests

	stopping atomic.Bool
	// storeDown is set while calls to the store fail, and storeContact knows when one was last
	// answered.
	storeDown    atomic.Bool
	storeContact *storeContact
	// intake bounds what callers' requests may hold; nil bounds nothing.
	intake *intake.Budget
	// configFetcher gets the configurations that brokers name.
	configFetcher *configFetcher
	// hostsVersion is the version of the membership view in the last notice of
	// a broker, or 0 after a failed fetch.
	hostsVersion atomic.Int64
	// lastNotice is nil before the first notice.
	lastNotice       atomic.Pointer[receivedNotice]
	recoveryRequests chan struct{}
	supervisor       *suture.Supervisor
	// cancel ends Serve, also if that has not begun yet, by closing quit.
	cancel     func()
	quit, done chan struct{}
}

// limits returns the limits of callers' connections from the configuration in
// force, with defaults for timeouts that it doesn't set.
func (h *Host) limits() route.Limits {
	var limits route.Limits
	if table := h.config.Table(); table != nil {
		limits = table.Limits
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// New creates a host: it binds all addresses but starts no service.
func New(s *platform.Settings, logs io.Writer) (*Host, error) { return newHost(s, logs, nil) }

// newHost is New with a function that opens connections to peers.
func newHost(s *platform.Settings, logs io.Writer, dialer peer.DialFunc) (*Host, error) {
	runtime.GOMAXPROCS(s.Cores)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.MemoryBytes)))
	}
	clock := clockwork.NewRealClock()
	reg := prometheus.NewRegistry()
	h := &Host{
		settings: s, clock: clock, registry: reg,
		log:              newLogger(logs, reg).WithFields(logrus.Fields{"host": s.Host, "data_centre": s.DataCentre}),
		recoveryRequests: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}), bootTime: boottime.Now, dialer: dialer,
	}
	h.storeContact = h.newStoreContact()
	h.store = h.newStore()
	h.cancel = sync.OnceFunc(func() { close(h.quit) })
	h.view = membership.NewStatic(membership.Host{
		Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.Peers,
		OperatorsAddress: s.Metrics, TunnelAddress: s.Tunnels, CPU: s.CPU, Incarnation: uint64(clock.Now().UnixNano()),
	})
	if err := h.provision(); err != nil {
		return nil, err
	}
	h.supervisor = h.newSupervisor()
	return h, nil
}

// newStore returns a client of the store.
func (h *Host) newStore() *platform.Store {
	silent := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "comfreyspindle_store_silent_connections_total", Help: "Calls to the store that got their response only on another connection.",
	})
	h.registry.MustRegister(silent)
	options := []platform.StoreOption{platform.WithSilenceLog(h.log, silent.Inc), platform.WithAnswers(h.storeContact.record)}
	if d := responseTime(h.settings.ConfigTimeout, h.settings.DrainTimeout); d > 0 {
		options = append(options, platform.WithResponseTime(d))
	}
	return platform.NewStore(h.settings.Store, options...)
}

func (h *Host) provision() error {
	s := h.settings
	metrics := peer.NewMetrics(h.registry)
	h.peerClient = h.newPeerClient(callTimeout, metrics)
	h.brokerClient = h.newPeerClient(brokerCallTimeout, metrics)
	h.config = &Config{log: h.log, onRetire: h.retire, onVersion: h.versionInForce}
	h.registerGauge("comfreyspindle_config_behind_seconds", "Time since this host first heard of a newer configuration than the one in force; 0 if it has heard of none.",
		nil, func() float64 { return h.config.lag.behind().Seconds() })
	h.configFetcher = h.newConfigFetcher()
	h.provisionPresence()
	h.provisionWork()
	h.provisionRevocation()
	var err error
	if h.peerServer, err = peer.Listen(s.Peers, nil, peer.WithMetrics(metrics), peer.WithLog(h.log),
		peer.WithIntake(intake.NewBudget(int64(peerIntakeFraction*float64(s.MemoryBytes)), h.clock, h.log)),
		peer.WithMaxConns(descriptorShare(peersFraction, s.Descriptors))); err != nil {
		return err
	}
	for name, receiver := range map[string]any{
		slots.PeerName: h.broker, jobs.PeerName: h.jobs.Peer(), peerName: &Peer{host: h}, quota.PeerName: h.quotas.Peer(),
	} {
		if err := h.peerServer.Register(name, receiver); err != nil {
			return err
		}
	}
	if err := h.provisionTunnels(); err != nil {
		return err
	}
	return h.provisionListeners()
}

func (h *Host) newPeerClient(timeout time.Duration, metrics *peer.Metrics) *peer.Client {
	options := []peer.Option{peer.WithMetrics(metrics), peer.WithLog(h.log)}
	if h.dialer != nil {
		options = append(options, peer.WithDialer(h.dialer))
	}
	return peer.NewClient(timeout, nil, options...)
}

func (h *Host) provisionPresence() {
	h.presence = &Presence{
		store: h.store, view: h.view, clock: h.clock, log: h.log, leaseDuration: max(leaseDuration, h.settings.MinLease),
		ping: func(ctx context.Context, to membership.Host, alone bool) error {
			call := h.peerClient.Call
			if alone {
				call = h.peerClient.CallAlone
			}
			return call(ctx, to.PeerAddress, peerName+".Ping", StateArgs{}, new(PingReply))
		},
		watching: h.shouldWatch, bootTime: h.bootTime,
		onRemoved: h.hostRemoved, onRejoin: h.requestRecovery, onChange: func() { h.broker.HostsChanged() },
		onStoreUnavailable: h.markStoreUnavailable, onStoreAvailable: h.markStoreAvailable,
		table: registry.NewTable(), pinging: make(map[string]struct{}), recheckRequested: make(chan struct{}, 1),
	}
}

func (h *Host) provisionWork() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.broker = slots.NewBroker(h.clock, rng, h.log)
	h.broker.SetMetrics(slots.NewMetrics(h.registry))
	h.broker.SetStoreAvailable(h.hasStore)
	h.provisionStoreContact()
	h.replicas = newReplicas(h.broker, h.settings.DataCentre, h.clock, h.log, h.storeContact.lasted)
	h.versions = versions.NewRecorder(h.store, h.clock, h.log, h.settings.FirstStart, h.replicas.versionsRecorded)
	h.replicas.versions = h.versions
	h.broker.SetVersions(versions.NewReader(h.store))
	dials := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "comfreyspindle_upstream_connections_total", Help: "New connections to replicas.",
	})
	h.registry.MustRegister(dials)
	for _, source := range replica.Sources() {
		h.registerGauge("comfreyspindle_replicas_leaving", "Replicas that are leaving, by what this host has it from.",
			prometheus.Labels{"source": string(source)}, func() float64 { return float64(h.replicas.countLeaving(source)) })
	}
	h.registerGauge("comfreyspindle_replicas_rate_limited", "Replicas of which this host knows that they limit the rate of requests.",
		nil, func() float64 { return float64(h.replicas.countRateLimited()) })
	h.registerSpeedMetrics()
	h.broker.SetOnLeaving(func(r replica.Replica) { h.replicas.markLeaving(r, replica.FromPeer) })
	engine := h.provisionPaths(dials.Inc)
	h.slotClient = &slots.Client{
		View: h.view, Peers: h.brokerClient, Broker: h.broker, Clock: h.clock, Log: h.log, OnReplicas: h.replicas.replaceFromPeer,
		OnNotice: h.recordNotice, StoreAvailable: h.hasStore, Replicas: h.replicas,
		CutOff: h.paths.CutOff,
	}
	h.slotClient.Init()
	h.broker.SetIsBroker(h.slotClient.IsBroker)
	h.provisionQuarantine(engine)
	h.provisionQuotas()
	h.replicas.onRateLimit = h.slotClient.ReportRateLimit
	unfinished := forward.NewUnfinished(int64(unfinishedFraction * float64(h.settings.MemoryBytes)))
	h.registerGauge("comfreyspindle_unfinished_response_bytes", "Bytes of responses that replicas have begun and that can't be passed on yet, beyond 16 KiB each.",
		nil, func() float64 { return float64(unfinished.Bytes()) })
	h.jobs = jobs.NewManager(jobs.Options{
		MaxBodyBytes: int64(jobsFraction * float64(h.settings.MemoryBytes)),
		Unfinished:   unfinished,
		Store:        h.store, Slots: h.slotClient, Upstream: engine, View: h.view, Peers: h.peerClient, Table: h.config.Table,
		ReplicaGone:      func(ctx context.Context, r replica.Replica) bool { return !h.paths.CutOff() && !engine.Accepts(ctx, r) },
		StoreUnavailable: h.storeUnavailable, IsRegistered: h.presence.IsRegistered, Retention: h.settings.ResultRetention, Clock: h.clock, Log: h.log, Metrics: jobs.NewMetrics(h.registry),
	})
	h.slotClient.BatchItems = h.jobs
	h.runner = &forward.Runner{
		Host: h.settings.Host, Slots: h.slotClient, Upstream: engine, Clock: h.clock, Log: h.log,
		Metrics: forward.NewMetrics(h.registry), ReplicasSilentFor: h.paths.SilentFor, Unfinished: unfinished,
	}
}

func (h *Host) provisionListeners() (err error) {
	h.provisionIntake()
	h.writes = newPendingWrites(h.settings.MemoryBytes, h.log)
	h.requests = shutdown.NewRequests(h.clock, h.log)
	h.registerSlowReaderMetrics()
	handler := &platform.Handler{
		Table: h.config.Table, Run: h.runner.Run, Jobs: h.jobs, Requests: h.requests, Log: h.log, Intake: h.intake,
		KeysUsable: h.tableUsable, ConfigSource: h.configSource,
	}
	if h.callers, err = h.listen("callers", h.settings.Callers, handler.Echo(), maxCallerConnections(h.settings.MemoryBytes, h.settings.Descriptors)); err != nil {
		return err
	}
	if h.ready, err = h.listen("readiness", h.settings.Ready, platform.NewReadyHandler(h.isReady), maxOperatorConnections); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	h.metrics, err = h.listen("metrics", h.settings.Metrics, mux, maxOperatorConnections)
	return err
}

// isReady reports whether the load balancer may send requests to this host: it
// has a configuration by which it may accept keys, is not stopping, and it or a broker
// that replied to it has the replica records.
func (h *Host) isReady() bool {
	return !h.stopping.Load() && h.config.Table() != nil && h.keysUsable() && (h.replicas.haveRecords() || h.slotClient.ReceivedRecords())
}

// storeUnavailable reports whether the last calls to the store failed.
func (h *Host) storeUnavailable() bool { return h.storeDown.Load() }

func (h *Host) markStoreUnavailable() { h.storeDown.Store(true) }

func (h *Host) markStoreAvailable() { h.storeDown.Store(false) }

func (h *Host) requestRecovery() {
	select {
	case h.recoveryRequests <- struct{}{}:
	default:
	}
}

// Restart policy of the supervisors.
const (
	failureThreshold    = 5
	failureDecaySeconds = 30.0 // seconds
	failureBackoff      = time.Second
)

func (h *Host) newSupervisor() *suture.Supervisor {
	spec := suture.Spec{
		EventHook:        func(e suture.Event) { h.log.WithFields(logrus.Fields(e.Map())).Warn("supervisor: " + e.String()) },
		FailureThreshold: failureThreshold, FailureDecay: failureDecaySeconds, FailureBackoff: failureBackoff,
	}
	root := suture.New("host", spec)
	control := suture.New("control", spec)
	control.Add(h.peerServer)
	control.Add(h.presence)
	control.Add(pinger{h.presence})
	control.Add(h.storeContact)
	control.Add(h.versions)
	control.Add(h.configFetcher)
	for _, w := range h.watchers() {
		control.Add(w)
	}
	control.Add(&stateFetcher{host: h, seeds: h.settings.Seeds, clock: h.clock, rng: rand.New(rand.NewPCG(rand.Uint64(), 1)), log: h.log})
	if h.confirmer != nil {
		control.Add(h.confirmer)
		control.Add(h.confirmer.source)
	}
	serving := suture.New("serving", spec)
	serving.Add(h.paths)
	if h.tunnels != nil {
		serving.Add(h.tunnels)
	}
	serving.Add(h.slotClient)
	serving.Add(h.quotas)
	serving.Add(h.jobs)
	serving.Add(recovery{h})
	for _, l := range []*listener{h.callers, h.ready, h.metrics} {
		serving.Add(l)
	}
	root.Add(control)
	root.Add(serving)
	return root
}

// responseTime returns how long a connection to the store may be silent once a response is
// due, so that changes take effect by the earliest of the deadlines. It returns zero if all are.
func responseTime(deadlines ...time.Duration) time.Duration {
	deadlines = slices.DeleteFunc(deadlines, func(d time.Duration) bool { return d <= 0 })
	if len(deadlines) == 0 {
		return 0
	}
	return time.Duration(responseTimeFraction * float64(slices.Min(deadlines)))
}

// fleetPrefix is the prefix of the host records, of the end marks of jobs, and of the
// records of software versions and of requests that crash replicas.
const fleetPrefix = "fleet/"

// Serve runs the host until ctx ends or Stop is called.
func (h *Host) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-h.quit:
			cancel()
		case <-ctx.Done():
		}
	}()
	defer close(h.done)
	h.log.WithFields(logrus.Fields{
		"callers": h.settings.Callers, "peers": h.settings.Peers, "metrics": h.settings.Metrics, "store": h.settings.Store,
	}).Info("serving")
	err := h.supervisor.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// balancerDelay is how long the load balancer may still open new connections after
// readiness is off.
const balancerDelay = 3200 * time.Millisecond
