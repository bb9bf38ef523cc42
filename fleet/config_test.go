package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/node"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/peer/peertest"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// inForceWithin is the users' bound for an accepted edit, lostWithin that for
// a lost host.
const (
	inForceWithin = 3 * time.Second
	lostWithin    = 5 * time.Second
)

var kyushuPlaces = []fleet.Place{
	{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 2},
	{DataCentre: "kumamoto-kita", Region: "kumamoto", Hosts: 2},
	{DataCentre: "kagoshima-port", Region: "kagoshima", Hosts: 2},
}

// site is a fleet of three data centres with faults between its hosts.
type site struct {
	*fleet.Fleet
	t      *testing.T
	doc    *service.Document
	faults *peertest.Faults
}

func startSite(t *testing.T) *site {
	t.Parallel()
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	s := &site{t: t, doc: doc, faults: peertest.NewFaults()}
	s.Fleet, err = fleet.Start(fleet.Spec{
		Places: kyushuPlaces, Documents: []*service.Document{doc},
		Options: func(o *node.Options) {
			o.WrapPeers = func(address string, next peer.Invoker) peer.Invoker { return s.faults.Wrap(address, next) }
		},
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	for _, h := range s.Hosts {
		require.Eventually(t, func() bool { return len(h.Node.Hosts().Local()) == 2 && len(h.Node.Hosts().Remote()) == 4 },
			30*time.Second, time.Millisecond, "%s knows all hosts", h.Settings.Host)
	}
	return s
}

// edit accepts the next generation.
func (s *site) edit() {
	s.doc.Routing.QueueLimit++
	require.NoError(s.t, s.Apply(context.Background(), s.doc))
}

// inForce requires the newest generation on the hosts within the bound.
func (s *site) inForce(hosts ...*fleet.Host) {
	s.t.Helper()
	deadline := time.Now().Add(inForceWithin)
	for _, h := range hosts {
		require.Eventually(s.t, func() bool { return h.Node.Config().Current().Generation(s.doc.Name) == s.doc.Generation },
			max(time.Until(deadline), time.Millisecond), time.Millisecond, h.Settings.Host)
	}
}

func (s *site) chat(h *fleet.Host) {
	s.t.Helper()
	c := client(h, examples.KeyCrews)
	_, err := c.Chat.Completions.New(s.t.Context(), chatParams("where next", 4))
	require.NoError(s.t, err, h.Settings.Host)
}

func (s *site) except(out *fleet.Host) []*fleet.Host {
	var rest []*fleet.Host
	for _, h := range s.Hosts {
		if h != out {
			rest = append(rest, h)
		}
	}
	return rest
}

func TestEditsReachAllDataCentres(t *testing.T) {
	s := startSite(t)
	for range 3 {
		s.edit()
		s.inForce(s.Hosts...)
	}
	got := s.Hosts[0].Node.InForce(t.Context(), s.doc.Name, s.doc.Generation)
	require.Len(t, got.InForce, 6)
	require.Empty(t, got.Behind)
}

func TestPlatformOutageWithAStart(t *testing.T) {
	s := startSite(t)
	s.Store.SetOutage(true)
	h, err := s.AddHost(kyushuPlaces[2], "kagoshima-port-9")
	require.NoError(t, err)
	require.Eventually(t, h.Node.Ready, 10*time.Second, time.Millisecond, "a host starts from its peers: %v", h.Node.Readiness())
	s.inForce(s.Hosts...)
	for _, h := range s.Hosts {
		require.True(t, h.Node.Ready())
		s.chat(h)
	}
	s.Store.SetOutage(false)
	s.edit()
	s.inForce(s.Hosts...)
}

func TestHostLostAndReplaced(t *testing.T) {
	s := startSite(t)
	lost := s.In("kumamoto-kita")[0]
	other := s.In("kumamoto-kita")[1]
	lost.Kill()
	require.Eventually(t, func() bool { return len(other.Node.Hosts().Local()) == 1 }, lostWithin, time.Millisecond)
	s.edit()
	s.inForce(s.except(lost)...)
	again, err := s.AddHost(kyushuPlaces[1], lost.Settings.Host)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return again.Node.Ready() && len(other.Node.Hosts().Local()) == 2
	}, 10*time.Second, time.Millisecond, "%v", again.Node.Readiness())
	s.inForce(again)
}

func TestSameNameIsNotReady(t *testing.T) {
	s := startSite(t)
	twin, err := s.AddHost(kyushuPlaces[0], "fukuoka-hakata-2")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		for _, l := range twin.Node.Readiness().Lacks {
			if l == "the host at "+s.Hosts[1].Node.PeersAddress()+" has the same name, fukuoka-hakata-2" {
				return true
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
	require.True(t, s.Hosts[1].Node.Ready())
}

func TestDataCentreCutOffKeepsServing(t *testing.T) {
	s := startSite(t)
	cut := s.In("kagoshima-port")
	for _, h := range cut {
		s.Store.SetCut(h.Settings.Host, kvtest.CutRequests)
		for _, o := range s.Hosts {
			if o.Settings.DataCentre != h.Settings.DataCentre {
				s.faults.CutBoth(h.Node.PeersAddress(), o.Node.PeersAddress())
			}
		}
	}
	s.edit()
	s.inForce(append(s.In("fukuoka-hakata"), s.In("kumamoto-kita")...)...)
	for _, h := range cut {
		require.True(t, h.Node.Ready(), "%v", h.Node.Readiness())
		s.chat(h)
	}
	got := s.Hosts[0].Node.InForce(t.Context(), s.doc.Name, s.doc.Generation)
	require.Len(t, got.Behind, 2)
	for _, h := range cut {
		s.Store.SetCut(h.Settings.Host, kvtest.CutNone)
	}
	s.faults.Heal()
	s.inForce(s.Hosts...)
}

func TestLeavingUpstreamIsKnownEverywhere(t *testing.T) {
	s := startSite(t)
	key := membership.UpstreamKey{Service: s.doc.Name, Name: s.doc.Upstreams[0].Name}
	s.Hosts[0].Node.Upstreams().Report(key, membership.Leaving, "test")
	deadline := time.Now().Add(inForceWithin)
	for _, h := range s.Hosts {
		require.Eventually(t, func() bool { return h.Node.Upstreams().State(key) == membership.Leaving },
			max(time.Until(deadline), time.Millisecond), time.Millisecond, h.Settings.Host)
	}
	// A new address is a new incarnation.
	s.doc.Upstreams[0].Address = "127.0.0.1:1"
	s.edit()
	s.inForce(s.Hosts...)
	for _, h := range s.Hosts {
		require.Equal(t, membership.Alive, h.Node.Upstreams().State(key))
	}
}

func TestDryRunSeesRunningRequests(t *testing.T) {
	s := startSite(t)
	const running = 6
	h := s.Hosts[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range running * len(s.doc.Upstreams) {
		c := client(h, examples.KeyCrews)
		go func() {
			_, _ = c.Chat.Completions.New(ctx, chatParams("a long answer", 4000))
		}()
	}
	lower := *s.doc
	lower.Generation = 0
	lower.Routing.Concurrency = 1
	text, err := service.Marshal(&lower)
	require.NoError(t, err)
	edit := config.Edit{Name: s.doc.Name, BasedOn: s.doc.Generation, Text: string(text)}
	require.Eventually(t, func() bool {
		p, err := h.Node.Editor().DryRun(t.Context(), edit)
		if err != nil {
			return false
		}
		for _, w := range p.Warnings {
			if w.Field == "routing.concurrency" {
				return true
			}
		}
		return false
	}, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, s.doc.Generation, h.Node.Config().Current().Generation(s.doc.Name))
}
