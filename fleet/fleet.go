// Package fleet starts a small fleet in one process, over real loopback
// sockets: the stand-in of the platform's service, stand-in engines and hosts.
// The demo, the experiments and end-to-end tests use it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/node"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/settings"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// OperatorToken is the operators' token of every host in a fleet.
const OperatorToken = "fleet-operator"

// readyTimeout bounds the wait for documents to be in force.
const readyTimeout = 10 * time.Second

// Place is a data centre.
type Place struct {
	DataCentre string
	Region     string
	// Hosts is the number of entry hosts.
	Hosts int
}

// Spec describes a fleet.
type Spec struct {
	Places []Place
	// Documents are the service documents; the address of each upstream is
	// replaced by that of a stand-in engine.
	Documents []*service.Document
	// Engine shapes the engine of one upstream; nil takes the defaults.
	Engine func(u *service.Upstream) upstreamtest.Options
	// Settings changes the settings of a host; nil changes nothing.
	Settings func(s *settings.Settings)
	// Options changes the options of a host's node; nil changes nothing.
	Options func(o *node.Options)
	// Log takes the hosts' log output; nil drops it.
	Log *logrus.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	Store    *kvtest.Store
	Platform *kvtest.Server
	// Engines are by upstream name.
	Engines map[string]*upstreamtest.Engine
	Hosts   []*Host
	spec    Spec
}

// Host is one running host.
type Host struct {
	Settings *settings.Settings
	Node     *node.Node
	cancel   context.CancelFunc
	served   chan struct{}
}

// Start starts a fleet and waits until its documents are in force.
func Start(spec Spec) (*Fleet, error) {
	f := &Fleet{Store: kvtest.NewStore(clockwork.NewRealClock()), Engines: make(map[string]*upstreamtest.Engine), spec: spec}
	f.Platform = kvtest.NewServer(f.Store)
	if f.spec.Log == nil {
		f.spec.Log = logrus.New()
		f.spec.Log.SetOutput(io.Discard)
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	for _, d := range f.spec.Documents {
		f.startEngines(d)
		if err := f.Apply(context.Background(), d); err != nil {
			return err
		}
	}
	for _, p := range f.spec.Places {
		for i := range p.Hosts {
			if _, err := f.AddHost(p, fmt.Sprintf("%s-%d", p.DataCentre, i+1)); err != nil {
				return err
			}
		}
	}
	return f.waitReady()
}

func (f *Fleet) startEngines(d *service.Document) {
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		o := upstreamtest.DefaultOptions()
		if f.spec.Engine != nil {
			o = f.spec.Engine(u)
		}
		e := upstreamtest.NewEngine(o)
		f.Engines[u.Name] = e
		u.Address = e.Address()
	}
}

// Apply makes a document the next generation in the platform's service.
func (f *Fleet) Apply(ctx context.Context, d *service.Document) error {
	editor := config.NewEditor(f.Store, clockwork.NewRealClock())
	plain := *d
	plain.Generation = 0
	text, err := service.Marshal(&plain)
	if err != nil {
		return err
	}
	d.Generation, err = editor.Apply(ctx, config.Edit{Name: d.Name, BasedOn: d.Generation, Text: string(text), By: "fleet"})
	return err
}

// HostSettings returns the settings of a host on free loopback ports.
func (f *Fleet) HostSettings(p Place, name string) (*settings.Settings, error) {
	token := sha256.Sum256([]byte(OperatorToken))
	s := &settings.Settings{}
	text := fmt.Sprintf(`
host: %s
data_centre: %s
region: %s
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", operators: "127.0.0.1:0"}
platform: {addresses: ["%s"]}
stop: {balancer_delay: 50ms, timeout: 2m}
operators: {token_sha256: %s}
`, name, p.DataCentre, p.Region, f.Platform.Address(), hex.EncodeToString(token[:]))
	if err := yamlcheck.Decode("fleet", []byte(text), s); err != nil {
		return nil, err
	}
	for _, h := range f.Hosts {
		s.Peers = append(s.Peers, h.Node.PeersAddress())
	}
	if f.spec.Settings != nil {
		f.spec.Settings(s)
	}
	return s, nil
}

// AddHost starts one more host.
func (f *Fleet) AddHost(p Place, name string) (*Host, error) {
	s, err := f.HostSettings(p, name)
	if err != nil {
		return nil, err
	}
	o := node.Options{Log: f.spec.Log}
	if f.spec.Options != nil {
		f.spec.Options(&o)
	}
	n, err := node.New(s, o)
	if err != nil {
		return nil, err
	}
	h := &Host{Settings: s, Node: n, served: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.served)
		if err := n.Serve(ctx); err != nil {
			f.spec.Log.WithError(err).Error("host ended")
		}
	}()
	f.Hosts = append(f.Hosts, h)
	return h, nil
}

// Kill ends a host at once, as a lost machine does.
func (h *Host) Kill() {
	h.cancel()
	<-h.served
}

// In returns the hosts of a data centre.
func (f *Fleet) In(dataCentre string) []*Host {
	var out []*Host
	for _, h := range f.Hosts {
		if h.Settings.DataCentre == dataCentre {
			out = append(out, h)
		}
	}
	return out
}

func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range f.Hosts {
		for !h.Node.Ready() {
			if time.Now().After(deadline) {
				return errors.Newf("host %s is not ready", h.Settings.Host)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Close stops everything at once.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.cancel()
	}
	for _, h := range f.Hosts {
		<-h.served
	}
	for _, e := range f.Engines {
		e.Close()
	}
	f.Platform.CloseClientConnections()
	f.Platform.Close()
}
