// Package soak runs hosts of the system as separate processes on the users'
// platform, of which it holds stand-ins, breaks them and the connections between
// them by a seeded plan, and checks what callers and replicas see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Sizes of the world.
const (
	hostsPerCentre    = 2
	replicasPerCentre = 2
	slotsPerReplica   = 4
	// eventsPerAnswer are made one every eventPause.
	eventsPerAnswer = 6
	eventPause      = 8 * time.Millisecond
	// closeDelimitedEvery selects the responses that end with their connection.
	closeDelimitedEvery = 3
	// startTime is the time before traffic in which hosts that start together see each
	// other. The platform leaves ten seconds.
	startTime   = time.Second
	serviceName = "svc"
	region      = "r"
)

var dataCentres = []string{"east", "west"}

// softwareVersions are those of the replicas; both serve at any time.
var softwareVersions = []string{"v1", "v2"}

// Bounds of the platform's settings.
const (
	stopTimeout   = 8 * time.Second
	retention     = 10 * time.Minute
	configTimeout = 2500 * time.Millisecond
)

// Host is one host process with the proxies on its links.
type Host struct {
	*Process
	Name       string
	Address    string
	peers      string
	dataCentre string
	// store is the link to the store and links those to the other hosts.
	store *Proxy
	links map[string]*Proxy
	files *httptest.Server
	// life is held while the process is ended and started, pauses counts the times
	// that it was let stand still, and still how many of them go on.
	life   sync.Mutex
	pauses atomic.Int64
	still  atomic.Int64
}

// slot is a place for replicas, one after another, behind one proxy each.
type slot struct {
	name, dataCentre string
	number           int
	replica          *platformtest.Replica
	proxy            *Proxy
	starts           int
	// releases counts the starts of another software version.
	releases int
	// life is held while the replica is replaced.
	life sync.Mutex
}

// World is a deployment of a few hosts.
type World struct {
	store   *leasedStore
	hosts   []*Host
	crashes crashes
	// customers is nil if the configurations have none.
	customers *customers

	mu      sync.Mutex
	kinds   Kinds
	slots   []*slot
	retired []*platformtest.Replica
	version int
	// acknowledged is when the store had taken each version, and silences when connections
	// fell silent.
	acknowledged map[int]time.Time
	silences     []time.Time
	// versionsChecked counts the answers that CheckVersion held against the promises.
	versionsChecked int
	closers         []func()

	// replacing holds the replacements of crashed replicas. None begins once closing is closed,
	// with mu held.
	replacing sync.WaitGroup
	closing   chan struct{}
}

// Ports give free addresses on loopback.
type Ports struct {
	// Free returns an address, and Pair an IP address with the first of two free
	// ports in a row.
	Free func() string
	Pair func() (ip string, port int)
}

// NewWorld builds a deployment of a program in a folder, with customers or without, that
// suffers the given kinds of faults. The builds of the program run beside each other: each start
// of a host takes the next one.
func NewWorld(builds []string, folder string, ports Ports, withCustomers bool, kinds Kinds) (*World, error) {
	w := &World{kinds: kinds, store: newLeasedStore(), crashes: crashes{count: make(map[string]int)}, closing: make(chan struct{}), acknowledged: make(map[int]time.Time)}
	if withCustomers {
		w.customers = newCustomers()
	}
	if err := w.build(builds, folder, ports); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) build(builds []string, folder string, ports Ports) error {
	if err := w.Configure(); err != nil {
		return err
	}
	for _, dc := range dataCentres {
		for n := range replicasPerCentre {
			s := &slot{name: fmt.Sprintf("%s-%d", dc, n), dataCentre: dc, number: n}
			w.slots = append(w.slots, s)
			if err := w.StartReplica(s); err != nil {
				return err
			}
		}
		for n := range hostsPerCentre {
			w.hosts = append(w.hosts, &Host{
				Name: fmt.Sprintf("%s-%d", dc, n), dataCentre: dc, Address: ports.Free(), peers: ports.Free(),
				links: make(map[string]*Proxy),
			})
		}
	}
	for n, h := range w.hosts {
		h.Process = &Process{builds: builds, first: n}
		if err := w.provision(h, folder, ports); err != nil {
			return err
		}
	}
	return nil
}

// provision prepares a host's links, settings and process.
func (w *World) provision(h *Host, folder string, ports Ports) error {
	for _, other := range w.hosts {
		if other == h {
			continue
		}
		p, err := NewProxy(other.peers)
		if err != nil {
			return err
		}
		h.links[other.Name] = p
		w.closers = append(w.closers, p.Close)
	}
	h.files = httptest.NewServer(platformtest.StoreHandler(&hostView{Store: w.store, translate: w.translator(h)}))
	p, err := NewProxy(strings.TrimPrefix(h.files.URL, "http://"))
	if err != nil {
		return err
	}
	h.store = p
	w.closers = append(w.closers, p.Close, func() { h.files.CloseClientConnections(); h.files.Close() })
	ip, port := ports.Pair()
	text := platformtest.SettingsFile(&platform.Settings{
		Host: h.Name, DataCentre: h.dataCentre, Region: region, Callers: h.Address, Ready: ports.Free(), Peers: h.peers,
		Store: p.Address(), StopTimeout: stopTimeout, ResultRetention: retention,
		ConfigTimeout: configTimeout, DrainTimeout: configTimeout,
		KeyRevocation: keyRevocation, QuotaWindow: quotaWindow, QuotaExcess: quotaExcess, QuotaSlack: quotaSlack,
	}, ip, port)
	path := filepath.Join(folder, h.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.Create(filepath.Join(folder, h.Name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	h.args, h.settingsVariable, h.settingsPath, h.log = []string{"edge"}, platform.SettingsVariable, path, log
	w.closers = append(w.closers, func() { _ = log.Close() })
	return nil
}

// translator replaces the addresses of other hosts by those of a host's links.
func (w *World) translator(h *Host) func([]byte) []byte {
	var pairs []string
	for _, other := range w.hosts {
		if link, ok := h.links[other.Name]; ok {
			pairs = append(pairs, other.peers, link.Address())
		}
	}
	replacer := strings.NewReplacer(pairs...)
	return func(value []byte) []byte { return []byte(replacer.Replace(string(value))) }
}

// Start starts all hosts and waits until each serves.
func (w *World) Start(limit time.Duration) error {
	for _, h := range w.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitServing(h, limit); err != nil {
			return err
		}
	}
	time.Sleep(startTime)
	return nil
}

// awaitServing waits until a host answers requests.
func (w *World) awaitServing(h *Host, limit time.Duration) error {
	c := &platformtest.Caller{HTTP: &http.Client{Timeout: time.Second}, Timeout: time.Second, Key: w.customers.steady()}
	var last error
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		a, err := c.Call(h.Address, http.MethodPost, "/s/x", fmt.Sprintf("wait-%s-%d-%d", h.Name, h.Starts(), n), "")
		if err == nil && a.Status == http.StatusOK {
			return nil
		}
		last = errors.CombineErrors(err, errors.Newf("status %d", a.Status))
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Wrapf(last, "host %s doesn't serve", h.Name)
}

// Configure puts the next version of the configuration in force.
func (w *World) Configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	if err := w.putVersion(); err != nil {
		return err
	}
	w.acknowledged[w.version] = time.Now()
	return nil
}

func (w *World) putVersion() error {
	if w.customers == nil {
		return w.put(platformtest.ConfigVersion(w.version, serviceName))
	}
	if err := w.putConfig(platformtest.ConfigOfCustomers(w.version, serviceName, w.customers.next()...)); err != nil {
		return err
	}
	w.customers.acknowledge()
	return nil
}

// Version returns the newest version of the configuration.
func (w *World) Version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// put writes to the store as the platform itself does.
func (w *World) put(write txn.Write) error { return w.commit(txn.Request{Writes: []txn.Write{write}}) }

// commit tries until the store has taken a change.
func (w *World) commit(req txn.Request) error {
	for {
		_, err := w.store.Commit(context.Background(), req)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, txn.ErrRefused) && !errors.Is(err, txn.ErrUnknown):
			return errors.Wrap(err, "write to the store")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// suffers reports whether the run suffers a kind of faults.
func (w *World) suffers(kind string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds.has(kind)
}

// Heal ends all harm: links carry, the store answers, hosts and replicas run.
func (w *World) Heal() {
	w.store.harm(nil, 0)
	w.store.ReleaseLate()
	for _, h := range w.hosts {
		for _, p := range h.proxies() {
			p.Set(LinkState{})
		}
	}
	w.mu.Lock()
	slots := append([]*slot(nil), w.slots...)
	w.kinds = nil
	w.mu.Unlock()
	for _, r := range w.allReplicas() {
		r.SetFaults(platformtest.Faults{})
	}
	for _, s := range slots {
		w.proxyOf(s).Set(LinkState{})
	}
}

func (h *Host) proxies() []*Proxy {
	all := []*Proxy{h.store}
	for _, p := range h.links {
		all = append(all, p)
	}
	return all
}

// Close ends all that the world started.
func (w *World) Close() {
	w.mu.Lock()
	close(w.closing)
	w.mu.Unlock()
	for _, h := range w.hosts {
		if h.Process != nil && h.Starts() > 0 {
			h.Kill()
		}
	}
	w.replacing.Wait()
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func pick[T any](rng *rand.Rand, of []T) T { return of[rng.IntN(len(of))] }

// run returns the present run of the host.
func (h *Host) run() hostRun {
	return hostRun{hostStart{h.Name, h.Starts()}, h.pauses.Load()}
}
