package quarantine_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// hosts are the detectors of one data centre. A call between them invokes the
// receiver directly.
type hosts struct {
	t         *testing.T
	detectors map[string]*quarantine.Detector
	doc       *service.Document

	mu   sync.Mutex
	down map[string]bool
}

func (h *hosts) Call(_ context.Context, address, method string, args, reply any) error {
	d, ok := h.detectors[address]
	if !ok {
		return errors.New("no such host")
	}
	switch method {
	case quarantine.PeerName + ".Tell":
		return d.Peer().Tell(args.(quarantine.Notice), reply.(*quarantine.Ack))
	case quarantine.PeerName + ".Reserve":
		return d.Peer().Reserve(args.(quarantine.ReserveArgs), reply.(*quarantine.ReserveReply))
	case quarantine.PeerName + ".Pull":
		return d.Peer().Pull(args.(quarantine.Ack), reply.(*[]quarantine.Notice))
	default:
		return errors.Newf("unknown method %s", method)
	}
}

func (h *hosts) setDown(upstream string, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[upstream] = down
}

func startHosts(t *testing.T, dataCentre string, store *kvtest.Store, upstreams int, names ...string) *hosts {
	h := &hosts{t: t, detectors: make(map[string]*quarantine.Detector), down: make(map[string]bool), doc: &service.Document{
		Name: "s", Quarantine: service.Quarantine{Enabled: true, Duration: time.Hour}, Routing: service.Routing{RequestTimeout: time.Minute},
	}}
	for i := range upstreams {
		h.doc.Upstreams = append(h.doc.Upstreams, service.Upstream{Name: string(rune('p' + i)), DataCentre: dataCentre})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all []membership.Host
	for _, n := range names {
		all = append(all, membership.Host{Name: n, DataCentre: dataCentre, PeerAddress: n})
	}
	for i, n := range names {
		view := membership.NewStatic(all[i], append(append([]membership.Host{}, all[:i]...), all[i+1:]...)...)
		h.detectors[n] = quarantine.NewDetector(quarantine.Options{
			DataCentre: dataCentre, View: view, Peers: h, Store: store,
			Alive: func(_ context.Context, u *service.Upstream) bool {
				h.mu.Lock()
				defer h.mu.Unlock()
				return !h.down[u.Name]
			},
			Document: func(string) (*service.Document, bool) { return h.doc, true },
			Services: func() []string { return []string{"s"} },
			Events:   timeline.NewRecorder(n, timeline.NewClock(clockwork.NewRealClock()), 64),
			Clock:    clockwork.NewRealClock(), Log: logrus.NewEntry(log),
		})
	}
	return h
}

// crash runs requests on an upstream through a host and lets the upstream fail.
func (h *hosts) crash(host, upstream string, requests ...quarantine.Fingerprint) {
	d := h.detectors[host]
	for _, f := range requests {
		d.Started("s", upstream, f)
	}
	h.setDown(upstream, true)
	for _, f := range requests {
		d.Ended("s", upstream, f, quarantine.ConnectionLost)
	}
	h.setDown(upstream, false)
}

func (h *hosts) check(host string, f quarantine.Fingerprint) (bool, verdict.Code) {
	alone, err := h.detectors[host].Check("s", f)
	if err != nil {
		require.Equal(h.t, verdict.NotRun, verdict.Of(err))
		return alone, verdict.As(err).Code
	}
	return alone, ""
}

const crashing, harmless = quarantine.Fingerprint(1), quarantine.Fingerprint(2)

// Suspects must have reached all hosts of the data centre when Ended returns, or
// a retry through another host could crash the next upstream unchecked.
// Confirmed requests must reach other data centres as well.
func TestPeersKnowSuspectsWhenEndedReturns(t *testing.T) {
	store := kvtest.NewStore(clockwork.NewRealClock())
	h := startHosts(t, "a", store, 12, "x", "y", "z")
	remote := startHosts(t, "b", store, 12, "v", "w")
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	for _, d := range remote.detectors {
		serving.Add(1)
		go func() {
			defer serving.Done()
			_ = d.Serve(ctx)
		}()
	}
	defer serving.Wait()
	defer cancel()

	h.crash("x", "p", crashing, harmless)
	alone, _ := h.check("z", crashing)
	require.False(t, alone)
	h.crash("y", "q", crashing, 3)
	for host := range h.detectors {
		alone, code := h.check(host, crashing)
		require.True(t, alone, host)
		require.Empty(t, code)
		alone, _ = h.check(host, harmless)
		require.False(t, alone, host)
	}
	r, err := h.detectors["z"].Reserve(t.Context(), h.doc, crashing)
	require.NoError(t, err)
	require.ElementsMatch(t, []string{r.Upstream, "p", "q"}, h.detectors["x"].ExcludedUpstreams("s"))
	h.crash("z", r.Upstream, crashing)
	r.Release()
	for host := range h.detectors {
		_, code := h.check(host, crashing)
		require.Equal(t, verdict.CodeQuarantined, code, host)
		_, code = h.check(host, harmless)
		require.Empty(t, code, host)
	}
	require.Eventually(t, func() bool { return len(h.detectors["x"].ExcludedUpstreams("s")) == 0 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		for host := range remote.detectors {
			if _, code := remote.check(host, crashing); code != verdict.CodeQuarantined {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond)
}

func TestFinishedRequestIsCleared(t *testing.T) {
	h := startHosts(t, "a", nil, 12, "x", "y")
	h.crash("x", "p", crashing, harmless)
	h.crash("x", "q", crashing, harmless)
	alone, _ := h.check("y", harmless)
	require.True(t, alone)
	h.detectors["x"].Started("s", "r", harmless)
	h.detectors["x"].Ended("s", "r", harmless, quarantine.Finished)
	require.Eventually(t, func() bool {
		alone, _ := h.check("y", harmless)
		return !alone
	}, 5*time.Second, time.Millisecond)
	h.detectors["x"].Started("s", "r", crashing)
	h.detectors["x"].Ended("s", "r", crashing, quarantine.Abandoned)
	alone, _ = h.check("y", crashing)
	require.True(t, alone)
}

// A broken connection is only a crash if the upstream doesn't respond, or if all
// of its connections broke.
func TestDisconnectIsCrashOnlyIfUpstreamFailed(t *testing.T) {
	rows := map[string]struct {
		disconnected, running int
		down                  bool
		crash                 bool
	}{
		"one of four connections":               {disconnected: 1, running: 3},
		"the only connection, upstream alive":   {disconnected: 1},
		"two of three connections":              {disconnected: 2, running: 1},
		"all connections, upstream alive again": {disconnected: 3, crash: true},
		"upstream does not respond":             {disconnected: 1, running: 3, down: true, crash: true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			h := startHosts(t, "a", nil, 12, "x")
			for _, upstream := range []string{"p", "q"} {
				d := h.detectors["x"]
				h.setDown(upstream, row.down)
				for i := range row.disconnected + row.running {
					d.Started("s", upstream, quarantine.Fingerprint(1+i))
				}
				for i := range row.disconnected {
					d.Ended("s", upstream, quarantine.Fingerprint(1+i), quarantine.ConnectionLost)
				}
			}
			alone, _ := h.check("x", 1)
			require.Equal(t, row.crash, alone)
		})
	}
}

func TestConcurrentReservationsNeverShareUpstream(t *testing.T) {
	h := startHosts(t, "a", nil, 8, "x", "y", "z")
	var mu sync.Mutex
	inUse := make(map[string]bool)
	var wg sync.WaitGroup
	for name, d := range h.detectors {
		for i := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r, err := d.Reserve(t.Context(), h.doc, quarantine.Fingerprint(i+1))
				if err != nil {
					t.Errorf("host %s: %v", name, err)
					return
				}
				mu.Lock()
				if inUse[r.Upstream] {
					t.Errorf("upstream %s is held twice", r.Upstream)
				}
				inUse[r.Upstream] = true
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				mu.Lock()
				inUse[r.Upstream] = false
				mu.Unlock()
				r.Release()
			}()
		}
	}
	wg.Wait()
}

func TestTrialWaitsUntilUpstreamIsIdle(t *testing.T) {
	h := startHosts(t, "a", nil, 2, "x", "y")
	for _, u := range []string{"p", "q"} {
		h.detectors["y"].Started("s", u, 9)
	}
	got := make(chan quarantine.Reservation, 1)
	go func() {
		r, err := h.detectors["x"].Reserve(t.Context(), h.doc, crashing)
		if err == nil {
			got <- r
		}
	}()
	require.Eventually(t, func() bool { return len(h.detectors["y"].ExcludedUpstreams("s")) == 1 }, 5*time.Second, time.Millisecond)
	u := h.detectors["y"].ExcludedUpstreams("s")[0]
	require.Empty(t, got)
	h.detectors["y"].Ended("s", u, 9, quarantine.Finished)
	require.Equal(t, u, (<-got).Upstream)
}

// If a service has one upstream only, a trial must not block its other requests.
func TestOnlyUpstreamStaysAvailableDuringTrial(t *testing.T) {
	h := startHosts(t, "a", nil, 1, "x", "y")
	r, err := h.detectors["x"].Reserve(t.Context(), h.doc, crashing)
	require.NoError(t, err)
	require.Equal(t, "p", r.Upstream)
	require.Empty(t, h.detectors["x"].ExcludedUpstreams("s"))
	require.Empty(t, h.detectors["y"].ExcludedUpstreams("s"))
	r.Release()
}

func TestFingerprintIgnoresFormattingAndSelectedFields(t *testing.T) {
	base := quarantine.FingerprintOf("s", []byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5}`))
	rows := []struct {
		body string
		same bool
	}{
		{`{"max_tokens":5, "model":"m", "messages":[{"content":"a","role":"user"}]}`, true},
		{`{"model":"m","messages":[{"role":"user","content":"\u0061"}],"max_tokens":5.0,"user":"u","stream":true,"metadata":{"n":1}}`, true},
		{`{"model":"m","messages":[{"role":"user","content":"b"}],"max_tokens":5}`, false},
		{`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":6}`, false},
		{`{"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"a"}],"max_tokens":5}`, false},
		{`{"model":"m","messages":[{"role":"content","user":"a"}],"max_tokens":5}`, false},
		{`{"model":"m","messages":[{"role":"user","content":"a","user":"x"}],"max_tokens":5}`, false},
		{`not json`, false},
		{``, false},
	}
	for _, row := range rows {
		require.Equal(t, row.same, base == quarantine.FingerprintOf("s", []byte(row.body)), row.body)
	}
	require.NotEqual(t, base, quarantine.FingerprintOf("other", []byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5}`)))
	require.NotEqual(t, quarantine.FingerprintOfPath("s", "/a", nil), quarantine.FingerprintOfPath("s", "/b", nil))
}
