//go:build review

// Command standin plays the platform of the review's scripts: the store, the replicas,
// the clients and the load balancer's health checks. Each case is a scenario of its own.
// A shell script starts and signals the system's processes as this program asks for on
// standard output, one command a line, and exits with the code of its last line.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Exit codes of a script.
const (
	codeHeld = iota
	codeBroken
	codeNotRun
)

// service is the service of all routes.
const service = "order-desk"

// Times of the start.
const (
	readyTimeout = 20 * time.Second
	// leadTime is the time between the start of the machines and of traffic.
	leadTime = 10 * time.Second
)

// world is the platform around the processes under test.
type world struct {
	dir, data string
	// trouble is false if the scenario plays without its disruption.
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string

	// jobPath is the path of the calls that read and end jobs.
	jobPath string

	store    *store
	address  string
	replicas []*platformtest.Replica
	hosts    []*machine
}

// machine is an entry host.
type machine struct {
	name, zone, region           string
	front, ready, control, first string
	starts                       int
}

// scenarios are the cases by name.
var scenarios = map[string]func(*world) error{
	"takeover": playTakeover,
	"ended":    playEnded,
	"gone":     playGone,
	"versions": playVersions,
}

func main() {
	dir := flag.String("dir", "", "temporary folder for settings files")
	data := flag.String("data", "", "folder of settings.json and config.json")
	record := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := scenarios[flag.Arg(0)]
	if !ok {
		verdict(codeNotRun, "no such scenario")
		return
	}
	file, err := os.Create(*record)
	if err != nil {
		verdict(codeNotRun, err.Error())
		return
	}
	w := &world{dir: *dir, data: *data, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	if err := w.open(); err != nil {
		verdict(codeNotRun, err.Error())
		return
	}
	w.note("trouble %t", w.trouble)
	if err := play(w); err != nil {
		w.note("the case can't run: %v", err)
		verdict(codeNotRun, err.Error())
		return
	}
	w.noteRuns()
	w.finish()
}

// finish tells the outcome.
func (w *world) finish() {
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	for _, b := range broken {
		w.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		verdict(codeBroken, broken[0])
		return
	}
	w.note("the rule held")
	verdict(codeHeld, "the rule held")
}

func verdict(code int, text string) { fmt.Printf("verdict %d %s\n", code, text) }

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("rule broken: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// noteRuns writes the runs at the replicas to the record.
func (w *world) noteRuns() {
	for _, r := range w.replicas {
		for _, s := range r.Starts() {
			begun, completed := r.RunCounts(s.Request)
			w.note("run at %9.3f on %s: %s (begun %d, completed %d there)", s.At.Sub(w.began).Seconds(), r.ID, s.Request, begun, completed)
		}
	}
}

// open starts the store with the configuration.
func (w *world) open() error {
	w.store = newStore(w)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: platformtest.StoreHandler(w.store)}).Serve(l) }()
	path, err := os.ReadFile(filepath.Join(w.data, "job-path.txt"))
	if err != nil {
		return err
	}
	w.jobPath = string(path)
	value, err := os.ReadFile(filepath.Join(w.data, "config.json"))
	if err != nil {
		return err
	}
	config := platformtest.Config(service)
	config.Value = value
	return w.store.put(config)
}

// addReplica starts a replica whose responses have events at an interval.
func (w *world) addReplica(zone string, events int, interval time.Duration) error {
	r := platformtest.NewReplica(fmt.Sprintf("i-%d", len(w.replicas)+1), events, interval)
	w.replicas = append(w.replicas, r)
	return w.store.put(r.Record(service, zone, "ready", 8))
}

// addMachine adds an entry host with free ports.
func (w *world) addMachine(name, zone, region string) error {
	m := &machine{name: name, zone: zone, region: region}
	for _, to := range []*string{&m.front, &m.ready, &m.control, &m.first} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*to = address
	}
	w.hosts = append(w.hosts, m)
	return nil
}

// Ports are below those that systems use for outgoing connections and apart from those of the
// project's tests.
const lowestPort, ports = 12000, 7000

func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port")
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

// start writes the settings of a host and asks for its start.
func (w *world) start(m *machine) error {
	template, err := os.ReadFile(filepath.Join(w.data, "settings.json"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range w.hosts[:min(len(w.hosts), 3)] {
		seeds = append(seeds, strconv.Quote(other.control))
	}
	for name, value := range map[string]string{
		"node": m.name, "zone": m.zone, "region": m.region, "front": m.front, "ready": m.ready, "control": m.control,
		"first_port": port(m.first), "last_port": port(m.first), "seeds": strings.Join(seeds, ", "),
		"bootstrap": strconv.FormatBool(m.starts == 0), "store": w.address,
	} {
		template = bytes.ReplaceAll(template, []byte("@"+name+"@"), []byte(value))
	}
	m.starts++
	if err := os.WriteFile(filepath.Join(w.dir, m.name+".json"), template, 0o600); err != nil {
		return err
	}
	w.note("start %s", m.name)
	fmt.Printf("start %s\n", m.name)
	return nil
}

// signal asks for a signal to the process of a host: KILL, TERM, STOP or CONT.
func (w *world) signal(name string, m *machine) {
	w.note("SIG%s to %s", name, m.name)
	fmt.Printf("signal %s %s\n", name, m.name)
}

func (m *machine) isReady() bool {
	res, err := platformtest.CheckReady(m.ready)
	return err == nil && res.Status == http.StatusOK
}

// startAll starts all hosts and waits until they are ready and traffic may begin.
func (w *world) startAll() error {
	began := time.Now()
	for _, m := range w.hosts {
		if err := w.start(m); err != nil {
			return err
		}
	}
	for _, m := range w.hosts {
		for !m.isReady() {
			if time.Since(began) > readyTimeout {
				return fmt.Errorf("%s doesn't get ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(leadTime - time.Since(began))
	w.note("all hosts are ready, traffic begins")
	return nil
}

// newClient returns a client. It opens a connection for each call unless it keeps them.
func newClient(keep bool, timeout time.Duration) *platformtest.Caller {
	transport := &http.Transport{DisableKeepAlives: !keep, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &platformtest.Caller{HTTP: &http.Client{Transport: transport, Timeout: timeout + time.Second}, Timeout: timeout}
}

// put writes a record as the operator or a replica does.
func (s *store) put(write txn.Write) error {
	_, err := s.Store.Commit(nil, txn.Request{Writes: []txn.Write{write}}) //nolint:staticcheck // the store in memory doesn't use it
	return err
}

// removeAll removes records, as those of replicas that have left are.
func (s *store) removeAll(records []txn.Write) error {
	var keys []string
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	_, err := s.Store.Commit(nil, txn.Request{Remove: keys}) //nolint:staticcheck // the store in memory doesn't use it
	return err
}

func newStore(w *world) *store {
	s := &store{Store: txntest.NewStore(), world: w, expires: make(map[txn.Lease]time.Time), ttl: make(map[txn.Lease]time.Duration)}
	go s.expire()
	return s
}
