//go:build review

package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/comfreyspindle/comfreyspindle/e2e/soak"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Texts in the platform's formats, which Go files outside of package platform don't hold.
var (
	//go:embed settings.json.tmpl
	settingsText string
	//go:embed config.json.tmpl
	configText string
	//go:embed protocol.json
	protocolText []byte

	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	configTemplate   = template.Must(template.New("config").Parse(configText))
)

// protocol holds names of the interface for callers.
var protocol = func() (p struct {
	RequestID, TimeoutMs, Jobs, Items, Ready, Seal, ExpectInstance, NotRun string
	DeskHost, SlipsHost, SlipsPrefix, RipenessPrefix, PairingPrefix        string
},
) {
	if err := json.Unmarshal(protocolText, &p); err != nil {
		panic(err)
	}
	return p
}()

const serviceName = "order-desk"

// storeDelay is how long the platform's store takes to answer: 4 ms on the sheet.
const storeDelay = 4 * time.Millisecond

// regionDelay is the one-way delay between regions: 8 ms on the sheet.
const regionDelay = 8 * time.Millisecond

// leasedStore is a store whose leases end in time.
type leasedStore struct {
	*txntest.Store
	mu     sync.Mutex
	timers map[txn.Lease]*leaseTimer
}

type leaseTimer struct {
	ttl   time.Duration
	timer *time.Timer
}

func newLeasedStore() *leasedStore {
	return &leasedStore{Store: txntest.NewStore(), timers: make(map[txn.Lease]*leaseTimer)}
}

// Grant implements txn.Store.
func (s *leasedStore) Grant(ctx context.Context, ttl time.Duration) (txn.Lease, error) {
	id, err := s.Store.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers[id] = &leaseTimer{ttl, time.AfterFunc(ttl, func() { _ = s.Expire(id) })}
	return id, nil
}

// Keep implements txn.Store.
func (s *leasedStore) Keep(ctx context.Context, id txn.Lease) error {
	if err := s.Store.Keep(ctx, id); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.timers[id]; ok {
		t.timer.Reset(t.ttl)
	}
	return nil
}

// edge is a process of the role edge.
type edge struct {
	Name, Zone, Region, IP, Front, Ready, Control, Store string
	FirstPort, LastPort                                  int
	SeedList                                             []string
	Bootstrap                                            bool

	path, log string
	cmd       *exec.Cmd
	done      chan struct{}
}

// Zones returns the zones with their regions.
func (e *edge) Zones() string { return `{"kingston-a": "kingston", "montego-a": "montego"}` }

// Seeds returns the addresses of the seeds as JSON.
func (e *edge) Seeds() string {
	text, err := json.Marshal(e.SeedList)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// world is a small deployment.
type world struct {
	rec      *record
	folder   string
	store    *leasedStore
	server   *httptest.Server
	edges    []*edge
	replicas []*platformtest.Replica
	closers  []func()
	version  int
	proxies  map[string]*soak.Proxy
	nextPort int
}

func newWorld(rec *record) (*world, error) {
	folder, err := os.MkdirTemp("", "spindle-review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, folder: folder, store: newLeasedStore(), proxies: make(map[string]*soak.Proxy), nextPort: lowestPort + rand.IntN(highestPort-lowestPort)}
	inner := platformtest.StoreHandler(w.store)
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		inner.ServeHTTP(rw, r)
	}))
	return w, nil
}

// close ends all processes and servers.
func (w *world) close() {
	for _, e := range w.edges {
		e.kill()
	}
	for _, c := range w.closers {
		c()
	}
	for _, r := range w.replicas {
		r.Close()
	}
	w.server.CloseClientConnections()
	w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

// Ports are taken from below the range that the system uses for outgoing connections.
const (
	lowestPort  = 12000
	highestPort = 19800
)

// freePorts returns the first of n free ports in a row on loopback. No two calls return the same.
func (w *world) freePorts(n int) (int, error) {
	for range 500 {
		first := w.nextPort
		w.nextPort += n
		if w.nextPort >= highestPort {
			w.nextPort = lowestPort
			continue
		}
		if portsFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func portsFree(first, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addEdge adds a process that is not started yet.
func (w *world) addEdge(name, zone, region string) (*edge, error) {
	const ports = 8
	first, err := w.freePorts(ports)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	e := &edge{
		Name: name, Zone: zone, Region: region, IP: "127.0.0.1", Front: at(0), Ready: at(1), Control: at(2),
		FirstPort: first + 3, LastPort: first + ports - 1, Bootstrap: true,
		Store: strings.TrimPrefix(w.server.URL, "http://"),
		path:  filepath.Join(w.folder, name+".json"), log: filepath.Join(w.folder, name+".log"),
	}
	w.edges = append(w.edges, e)
	return e, nil
}

// start starts the program with the command of the deploy file.
func (e *edge) start() error {
	var text bytes.Buffer
	if err := settingsTemplate.Execute(&text, e); err != nil {
		return err
	}
	if err := os.WriteFile(e.path, text.Bytes(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/spindled", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.path + ".home", platform.SettingsVariable + "=" + e.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(e.done)
	return nil
}

func (e *edge) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (e *edge) kill() {
	if e.cmd == nil {
		return
	}
	e.signal(syscall.SIGKILL)
	<-e.done
}

// hasEnded reports whether the process has ended.
func (e *edge) hasEnded() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// addReplica starts a replica and writes its record.
func (w *world) addReplica(id, zone string, events int, interval time.Duration) (*platformtest.Replica, error) {
	r := platformtest.NewReplica(id, events, interval)
	r.SetSoftwareVersion("v1")
	r.SetBorn(time.Now().UnixMilli())
	w.replicas = append(w.replicas, r)
	_, err := w.store.Commit(context.Background(), txn.Request{Writes: []txn.Write{r.Record(serviceName, zone, "ready", 8)}})
	return r, err
}

// configure writes the next version of the configuration, with the batch route or without.
func (w *world) configure(batch bool) error {
	w.version++
	write := platformtest.ConfigVersion(w.version, serviceName)
	var text bytes.Buffer
	if err := configTemplate.Execute(&text, map[string]any{"Version": w.version, "Batch": batch}); err != nil {
		return err
	}
	write.Value = text.Bytes()
	_, err := w.store.Commit(context.Background(), txn.Request{Writes: []txn.Write{write}})
	w.rec.add("operator: version %d is written and acknowledged (batch route: %t)", w.version, batch)
	return err
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(edges ...*edge) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range edges {
		for !isReady(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(e *edge) bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + e.Ready + protocol.Ready)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// isRegistered reports whether the store has the record of a process.
func (w *world) isRegistered(e *edge) bool {
	_, err := w.store.Get(context.Background(), "fleet/hosts/"+e.Name)
	return err == nil
}

// proxy returns the address of a proxy to a process's peer address that delays each direction.
func (w *world) proxy(to *edge) (string, error) {
	p, err := soak.NewProxy(to.Control)
	if err != nil {
		return "", err
	}
	p.Set(soak.LinkState{Delay: regionDelay})
	w.closers = append(w.closers, p.Close)
	w.proxies[to.Name] = p
	return p.Address(), nil
}
