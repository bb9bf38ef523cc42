package host

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/porttest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// These tests run complete hosts on loopback with a store and replicas that
// speak the platform's protocol.

type fleet struct {
	t        *testing.T
	store    *txntest.Store
	address  string
	replicas []*platformtest.Replica
	hosts    map[string]*Host
	// logs receives the logs of the hosts.
	logs io.Writer
	// dialers open the connections to peers, by host.
	dialers map[string]*peertest.Dialer
	// prepare is called with each host before it serves; it may be nil.
	prepare func(h *Host)
	// links are the links between the hosts; nil are as fast as the machine.
	links *peertest.Links
}

func newFleet(t *testing.T, eventInterval time.Duration) *fleet {
	f := newEmptyFleet(t)
	for i := range 2 {
		f.addReplica(fmt.Sprintf("r%d", i), "", eventInterval)
	}
	return f
}

// newEmptyFleet returns a fleet without replicas.
func newEmptyFleet(t *testing.T) *fleet {
	f := &fleet{t: t, logs: fleetLog, store: txntest.NewStore(), hosts: make(map[string]*Host), dialers: make(map[string]*peertest.Dialer)}
	server := httptest.NewServer(platformtest.StoreHandler(f.store))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.put(platformtest.Config("svc"))
	return f
}

// addReplica starts a replica and writes its record.
func (f *fleet) addReplica(id, softwareVersion string, eventInterval time.Duration) {
	r := platformtest.NewReplica(id, 8, eventInterval)
	r.SetSoftwareVersion(softwareVersion)
	f.t.Cleanup(r.Close)
	f.replicas = append(f.replicas, r)
	f.put(r.Record("svc", "dc", "ready", 4))
}

func (f *fleet) put(w txn.Write) {
	_, err := f.store.Commit(context.Background(), txn.Request{Writes: []txn.Write{w}})
	require.NoError(f.t, err)
}

// start starts a host in data centre "dc" and waits until it is ready.
func (f *fleet) start(name string) *Host { return f.startAt(name, "dc", f.address) }

// startAt starts a host in a data centre with its own address of the store,
// and waits until it is ready.
func (f *fleet) startAt(name, dataCentre, store string) *Host {
	return f.serve(f.newSettings(name, dataCentre, store))
}

func (f *fleet) newSettings(name, dataCentre, store string) *platform.Settings {
	return &platform.Settings{
		Host: name, DataCentre: dataCentre, Region: "r", Callers: porttest.Free(f.t), Ready: porttest.Free(f.t), Peers: porttest.Free(f.t),
		Metrics: porttest.Free(f.t), Tunnels: porttest.Free(f.t), Store: store, Cores: 4, StopTimeout: 8 * time.Second, ResultRetention: time.Minute,
		ConfigTimeout: 2500 * time.Millisecond, DrainTimeout: 2500 * time.Millisecond,
	}
}

// serve starts a host with settings and waits until it is ready.
func (f *fleet) serve(s *platform.Settings) *Host {
	f.dialers[s.Host] = peertest.NewDialer()
	f.dialers[s.Host].SetLinks(f.links)
	h, err := newHost(s, f.logs, f.dialers[s.Host].Dial)
	require.NoError(f.t, err)
	f.run(h)
	require.Eventually(f.t, h.isReady, 10*time.Second, 10*time.Millisecond)
	return h
}

// run starts a host.
func (f *fleet) run(h *Host) {
	if f.prepare != nil {
		f.prepare(h)
	}
	go func() { _ = h.Serve(context.Background()) }()
	f.hosts[h.settings.Host] = h
	f.t.Cleanup(func() { f.kill(h.settings.Host) })
}

// kill stops a host without an orderly stop.
func (f *fleet) kill(name string) {
	h, ok := f.hosts[name]
	if !ok {
		return
	}
	delete(f.hosts, name)
	h.cancel()
	<-h.done
}

func call(h *Host, id string) (platformtest.Response, error) {
	return platformtest.Call(h.settings.Callers, http.MethodPost, "/s/x", id, "body")
}

func completeStream() string {
	var b bytes.Buffer
	for n := 1; n <= 8; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", n, n)
	}
	return b.String()
}

func (f *fleet) submit(h *Host, id string, items int) {
	a, err := platformtest.Submit(h.settings.Callers, id, items)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusAccepted, a.Status)
}

// countResults returns the number of results of a job that a host returns, or
// -1 if it returns none. Each result must be complete.
func (f *fleet) countResults(h *Host, id string) int {
	outputs, err := platformtest.Results(h.settings.Callers, id)
	if err != nil {
		return -1
	}
	for _, output := range outputs {
		require.Equal(f.t, "e1\ne2\ne3\ne4\ne5\ne6\ne7\ne8", output)
	}
	return len(outputs)
}

func TestStreamsAndJobsAreServed(t *testing.T) {
	f := newFleet(t, 2*time.Millisecond)
	a, b := f.start("a"), f.start("b")
	for i, h := range []*Host{a, b, a} {
		got, err := call(h, fmt.Sprint("q", i))
		require.NoError(t, err)
		require.Equal(t, platformtest.Response{Status: http.StatusOK, Seal: fmt.Sprint("seal-q", i), Body: completeStream(), Replica: got.Replica}, got)
	}
	f.submit(a, "job", 12)
	require.Eventually(t, func() bool { return f.countResults(b, "job") == 12 }, 20*time.Second, 50*time.Millisecond)
}

func TestStreamResumesWhenItsReplicaFails(t *testing.T) {
	f := newFleet(t, 100*time.Millisecond)
	a := f.start("a")
	type result struct {
		platformtest.Response
		err error
	}
	done := make(chan result, 1)
	go func() {
		got, err := call(a, "q")
		done <- result{got, err}
	}()
	require.Eventually(t, func() bool {
		for _, r := range f.replicas {
			if begun, _ := r.RunCounts("q"); begun > 0 {
				time.Sleep(250 * time.Millisecond)
				r.Close()
				return true
			}
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	got := <-done
	require.NoError(t, got.err)
	require.Equal(t, completeStream(), got.Body)
}

func TestStoppedHostHandsOverItsJobAndFinishesStreams(t *testing.T) {
	f := newFleet(t, 60*time.Millisecond)
	a, b := f.start("a"), f.start("b")
	require.Eventually(t, func() bool { return len(a.view.Local()) == 2 && len(b.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	f.submit(a, "job", 20)
	errs := make(chan error, 1)
	go func() {
		got, err := call(a, "q")
		if err == nil && got.Body != completeStream() {
			err = errors.Newf("got %+v", got)
		}
		errs <- err
	}()
	time.Sleep(100 * time.Millisecond)
	delete(f.hosts, "a")
	require.NoError(t, a.Stop(context.Background()))
	require.NoError(t, <-errs)
	require.Eventually(t, func() bool { return f.countResults(b, "job") == 20 }, 20*time.Second, 50*time.Millisecond)
}

func TestKilledHostsJobIsTakenOver(t *testing.T) {
	f := newFleet(t, 60*time.Millisecond)
	a, b := f.start("a"), f.start("b")
	require.Eventually(t, func() bool { return len(b.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	f.submit(a, "job", 20)
	lease := a.presence.leaseID
	f.kill("a")
	require.NoError(t, f.store.Expire(lease))
	require.Eventually(t, func() bool { return f.countResults(b, "job") == 20 }, 30*time.Second, 50*time.Millisecond)
}

func TestDrainingReplicaGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	f.put(f.replicas[0].Record("svc", "dc", "draining", 4))
	require.Eventually(t, func() bool {
		a.replicas.mu.Lock()
		defer a.replicas.mu.Unlock()
		return !a.replicas.view.Snapshot()["r0"].Ready
	}, 10*time.Second, 5*time.Millisecond)
	for i := range 20 {
		_, err := call(a, fmt.Sprint("q", i))
		require.NoError(t, err)
		begun, _ := f.replicas[0].RunCounts(fmt.Sprint("q", i))
		require.Zero(t, begun)
	}
}

// The store rejects all hosts of one data centre but serves another. Any of
// the rejected hosts may be asked for slots, so each of them must receive the
// state of draining replicas through its peers.
func TestHostsRejectedByTheStoreReceiveDrainingReplicas(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	proxy := &storeProxy{}
	address := proxy.start(f)
	rejected := []*Host{f.startAt("a", "dc", address), f.startAt("b", "dc", address)}
	f.startAt("c", "other", f.address)
	for _, h := range rejected {
		require.Eventually(t, func() bool { return len(h.view.Remote()) == 1 }, 10*time.Second, 10*time.Millisecond)
	}
	proxy.rejecting.Store(true)
	for _, h := range rejected {
		require.Eventually(t, h.storeUnavailable, 10*time.Second, 10*time.Millisecond)
	}
	for _, r := range f.replicas {
		f.put(r.Record("svc", "dc", "draining", 4))
		for _, h := range rejected {
			require.Eventually(t, func() bool {
				h.replicas.mu.Lock()
				defer h.replicas.mu.Unlock()
				return !h.replicas.view.Snapshot()[r.ID].Ready
			}, 10*time.Second, 10*time.Millisecond, "%s at %s", r.ID, h.settings.Host)
		}
	}
}

// startWithoutStore starts a host beside another one while the store refuses all calls.
func (f *fleet) startWithoutStore(name string, beside *Host) *Host {
	f.store.SetFault(func(string) txntest.Fault { return txntest.Refuse })
	s := *beside.settings
	s.Host, s.Seeds = name, []string{beside.settings.Peers}
	s.Callers, s.Ready, s.Peers, s.Metrics, s.Tunnels = porttest.Free(f.t), porttest.Free(f.t), porttest.Free(f.t), porttest.Free(f.t), porttest.Free(f.t)
	return f.serve(&s)
}

func TestHostStartsFromPeerWhileStoreIsUnavailable(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	b := f.startWithoutStore("b", f.start("a"))
	got, err := call(b, "q")
	require.NoError(t, err)
	require.Equal(t, completeStream(), got.Body)
}

// fleetLog receives the logs of the hosts.
var fleetLog = io.Discard
