// Package host assembles one host of the system on the users' platform as a
// supervisor tree: its record among the hosts, the configuration, the replicas,
// the broker of places, online requests, batch jobs and the listeners.
package host

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
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
	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/jobs"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// Times and sizes of a host.
const (
	// callTimeout bounds a call to another host; a connection that is silent
	// for so long is given up.
	callTimeout = 1500 * time.Millisecond
	// brokerTimeout is the same for calls to brokers.
	brokerTimeout = time.Second
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.7
	// settleTime is how long after its start a host looks for jobs without an
	// owner: leases of an earlier start have lapsed by then.
	settleTime = leaseTime + 3*time.Second
	// recoverRetry is the pause before another try to take jobs over.
	recoverRetry = 700 * time.Millisecond
)

// Host is one host of the system.
type Host struct {
	settings *platform.Settings
	clock    clockwork.Clock
	log      *logrus.Entry
	registry *prometheus.Registry
	store    txn.Store
	view     *membership.Static

	peers    *peer.Server
	calls    *peer.Client
	polls    *peer.Client
	presence *Presence
	config   *Config
	replicas *Replicas
	broker   *slots.Broker
	places   *slots.Client
	jobs     *jobs.Manager
	runner   *forward.Runner

	callers, ready, metrics *listener

	stopping atomic.Bool
	// away says that the store has not answered lately.
	away atomic.Bool
	// hostsSeen is the version of the hosts that the broker told last.
	hostsSeen atomic.Int64
	recover   chan struct{}
	tree      *suture.Supervisor
	cancel    context.CancelFunc
	served    chan struct{}
}

// listener is an HTTP server with its bound address.
type listener struct {
	name   string
	bound  net.Listener
	server *http.Server
}

// Serve serves until ctx ends.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.bound)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// String names the service in supervisor events.
func (l *listener) String() string { return l.name }

func (h *Host) listen(name, address string, handler http.Handler) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	return &listener{
		name:   name,
		bound:  &boundedListener{Listener: inner, clock: h.clock, limits: h.limits},
		server: &http.Server{Handler: handler, ConnState: noteState},
	}, nil
}

// limits returns what the configuration in force allows callers, with times for
// what it leaves open.
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

// New provisions a host: it binds all addresses and starts nothing.
func New(s *platform.Settings, logs io.Writer) (*Host, error) {
	runtime.GOMAXPROCS(s.Cores)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	clock := clockwork.NewRealClock()
	reg := prometheus.NewRegistry()
	h := &Host{
		settings: s, clock: clock, registry: reg, store: platform.NewStore(s.Store),
		log:     newLogger(logs, reg).WithFields(logrus.Fields{"host": s.Host, "data_centre": s.DataCentre}),
		recover: make(chan struct{}, 1), served: make(chan struct{}),
	}
	h.view = membership.NewStatic(membership.Host{
		Name: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: s.Peers,
		OperatorsAddress: s.Metrics, Incarnation: uint64(clock.Now().UnixNano()),
	})
	if err := h.provision(); err != nil {
		return nil, err
	}
	h.tree = h.newTree()
	return h, nil
}

func (h *Host) provision() error {
	s := h.settings
	metrics := peer.NewMetrics(h.registry)
	h.calls = peer.NewClient(callTimeout, nil, peer.WithMetrics(metrics))
	h.polls = peer.NewClient(brokerTimeout, nil, peer.WithMetrics(metrics))
	h.config = &Config{log: h.log, retire: h.retire, inForce: func(version int64) { h.broker.SetConfigVersion(version) }}
	h.provisionPresence()
	h.provisionWork()
	var err error
	if h.peers, err = peer.Listen(s.Peers, nil, peer.WithMetrics(metrics)); err != nil {
		return err
	}
	for name, receiver := range map[string]any{
		slots.PeerName: h.broker, jobs.PeerName: h.jobs.Peer(), neighbourName: &Neighbour{host: h},
	} {
		if err := h.peers.Register(name, receiver); err != nil {
			return err
		}
	}
	return h.provisionListeners()
}

func (h *Host) provisionPresence() {
	h.presence = &Presence{
		store: h.store, view: h.view, clock: h.clock, log: h.log, lease: max(leaseTime, h.settings.MinLease),
		ping: func(ctx context.Context, to membership.Host) error {
			return h.calls.Call(ctx, to.PeerAddress, neighbourName+".Ping", StateArgs{}, new(PingReply))
		},
		gone: h.gone, back: h.wantRecovery, changed: func() { h.broker.HostsChanged() },
		lost: h.lost, regained: h.regained,
		known: make(map[string]membership.Host), lapsed: make(map[string]struct{}),
	}
}

func (h *Host) provisionWork() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.broker = slots.NewBroker(h.clock, rng, h.log)
	h.broker.SetStoreAvailable(h.storeAnswers)
	h.replicas = newReplicas(h.broker, h.settings.DataCentre, h.clock, h.log)
	dials := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "comfreyspindle_upstream_connections_total", Help: "New connections to replicas.",
	})
	h.registry.MustRegister(dials)
	engine := platform.NewReplicaClient(dials.Inc)
	h.places = &slots.Client{
		View: h.view, Peers: h.polls, Broker: h.broker, Clock: h.clock, Log: h.log, OnReplicas: h.replicas.learned,
		OnNotice: h.told, StoreAvailable: h.storeAnswers,
	}
	h.places.Init()
	h.jobs = jobs.NewManager(jobs.Options{
		Store: h.store, Slots: h.places, Upstream: engine, View: h.view, Peers: h.calls, Table: h.config.Table,
		StoreUnavailable: h.storeAway, Retention: h.settings.ResultRetention, Clock: h.clock, Log: h.log, Metrics: jobs.NewMetrics(h.registry),
	})
	h.places.BatchItems = h.jobs
	h.runner = &forward.Runner{
		Host: h.settings.Host, Slots: h.places, Upstream: engine, Clock: h.clock, Log: h.log,
		Metrics: forward.NewMetrics(h.registry),
	}
}

func (h *Host) provisionListeners() (err error) {
	handler := &platform.Handler{
		Table: h.config.Table, Run: h.runner.Run, Jobs: h.jobs, Draining: h.stopping.Load, Log: h.log,
	}
	if h.callers, err = h.listen("callers", h.settings.Callers, handler.Echo()); err != nil {
		return err
	}
	if h.ready, err = h.listen("readiness", h.settings.Ready, platform.NewReadyHandler(h.isReady)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}))
	h.metrics, err = h.listen("metrics", h.settings.Metrics, mux)
	return err
}

// isReady reports whether the balancer may send requests here.
func (h *Host) isReady() bool {
	return !h.stopping.Load() && h.config.Table() != nil && (h.replicas.haveRecords() || h.places.ReceivedRecords())
}

// storeAway reports whether the store has not answered lately.
func (h *Host) storeAway() bool { return h.away.Load() }

func (h *Host) storeAnswers() bool { return !h.storeAway() }

func (h *Host) lost() { h.away.Store(true) }

func (h *Host) regained() { h.away.Store(false) }

func (h *Host) wantRecovery() {
	select {
	case h.recover <- struct{}{}:
	default:
	}
}

// Restart policy of the supervisors.
const (
	failureThreshold = 5
	failureDecay     = 30.0 // seconds
	failureBackoff   = time.Second
)

func (h *Host) newTree() *suture.Supervisor {
	spec := suture.Spec{
		EventHook:        func(e suture.Event) { h.log.WithFields(logrus.Fields(e.Map())).Warn("supervisor: " + e.String()) },
		FailureThreshold: failureThreshold, FailureDecay: failureDecay, FailureBackoff: failureBackoff,
	}
	root := suture.New("host", spec)
	control := suture.New("control", spec)
	control.Add(h.peers)
	control.Add(h.presence)
	for _, w := range h.watchers() {
		control.Add(w)
	}
	control.Add(&asker{host: h, seeds: h.settings.Seeds, clock: h.clock, rng: rand.New(rand.NewPCG(rand.Uint64(), 1)), log: h.log})
	serving := suture.New("serving", spec)
	serving.Add(h.places)
	serving.Add(h.jobs)
	serving.Add(recovery{h})
	for _, l := range []*listener{h.callers, h.ready, h.metrics} {
		serving.Add(l)
	}
	root.Add(control)
	root.Add(serving)
	return root
}

func (h *Host) watchers() []*Watcher {
	base := Watcher{store: h.store, clock: h.clock, log: h.log, wait: watchWait(h.settings), active: h.watches}
	config, hosts, replicas := base, base, base
	hosts.away, replicas.away = h.storeAway, h.storeAway
	config.name, config.prefix = "configuration", platform.OperatorPrefix
	config.listed, config.changed = h.config.apply, h.config.apply
	config.lost, config.regained = h.lost, h.regained
	hosts.wait = longWait
	hosts.active = func() bool { return !h.presence.wasListed() || h.watches() }
	hosts.name, hosts.prefix, hosts.gather = "hosts", fleetPrefix, gatherTime
	hosts.listed = func(ctx context.Context, items []txn.Item) {
		records, ended := splitFleet(items)
		if !h.presence.wasListed() {
			h.places.StartStaleTimer()
		}
		h.presence.Replace(ctx, records)
		h.jobs.HandleEndMarks(ctx, ended)
	}
	hosts.changed = func(ctx context.Context, items []txn.Item) {
		records, ended := splitFleet(items)
		h.presence.Apply(ctx, records)
		h.jobs.HandleEndMarks(ctx, ended)
	}
	replicas.name, replicas.prefix = "replicas", platform.ReplicaPrefix
	replicas.listed, replicas.changed = h.replicas.listed, h.replicas.changed
	replicas.lost, replicas.regained = h.replicas.lost, func() {}
	return []*Watcher{&config, &hosts, &replicas}
}

// watchWait returns how long one watch waits for changes that must be in force
// in time.
func watchWait(s *platform.Settings) time.Duration {
	bound := min(s.ConfigTimeout, s.DrainTimeout)
	if bound <= 0 {
		return defaultWait
	}
	return time.Duration(watchShare * float64(bound))
}

// watches reports whether this host watches the store: a broker does, and a host
// that the store answers and no broker tells of changes. Who is broker shows once
// the hosts are known.
func (h *Host) watches() bool {
	return h.presence.wasListed() && (h.places.IsBroker() || h.places.RecordsStale() && !h.storeAway())
}

// fleetPrefix is the prefix of the records that every host watches.
const fleetPrefix = "fleet/"

// splitFleet tells the records of hosts from the ends of jobs.
func splitFleet(items []txn.Item) (records, ended []txn.Item) {
	for _, item := range items {
		if strings.HasPrefix(item.Key, hostPrefix) {
			records = append(records, item)
			continue
		}
		ended = append(ended, item)
	}
	return records, ended
}

// Serve runs the host until ctx ends or Stop is called.
func (h *Host) Serve(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(ctx)
	defer close(h.served)
	h.log.WithFields(logrus.Fields{
		"callers": h.settings.Callers, "peers": h.settings.Peers, "metrics": h.settings.Metrics, "store": h.settings.Store,
	}).Info("serving")
	err := h.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Times of a planned stop, within the time that the platform gives.
const (
	// balancerTime is how long the balancer may still send new connections.
	balancerTime = 3200 * time.Millisecond
	// exitMargin is left before the process would be killed.
	exitMargin = 600 * time.Millisecond
)

// Stop stops the host in order: readiness off and connections closed by their
// next answer, jobs handed over, new connections served until the balancer has
// noticed, running requests finished, then all parts stopped.
func (h *Host) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(h.settings.StopTimeout-exitMargin, balancerTime))
	defer cancel()
	h.stopping.Store(true)
	h.view.SetState(membership.Leaving)
	h.broker.StepDown()
	h.log.Info("stopping: readiness off")
	var handed sync.WaitGroup
	handed.Go(func() {
		h.jobs.HandOver(ctx)
		h.presence.Leave(ctx)
	})
	wait.For(ctx, h.clock, balancerTime)
	err := h.callers.server.Shutdown(ctx)
	handed.Wait()
	h.cancel()
	<-h.served
	h.log.WithError(err).Info("stopped")
	return nil
}

// Reload reads the settings anew and says what would need a restart.
func (h *Host) Reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		h.log.WithError(err).Error("settings not reloaded")
		return
	}
	same := s.Callers == h.settings.Callers && s.Peers == h.settings.Peers && s.Store == h.settings.Store
	h.log.WithField("addresses_unchanged", same).Info("settings reloaded")
}
