package membership

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Events of this package.
const (
	EventHost     timeline.Kind = "host"
	EventUpstream timeline.Kind = "upstream"
)

const (
	serviceName   = "Membership"
	methodDeliver = serviceName + ".Deliver"
	// sendTimeout bounds one message.
	sendTimeout = time.Second
	// maxSends bounds the messages under way; more are dropped, as the
	// protocol bears losses.
	maxSends = 256
)

// Options describe a member.
type Options struct {
	// Self is the member; its address is an IP number and port.
	Self Host
	// Seeds are the peer addresses that a starting member asks first.
	Seeds []string
	// Caller reaches peers.
	Caller peer.Invoker
	Clock  clockwork.Clock
	Log    *logrus.Entry
	// Events records changes; nil records nothing.
	Events *timeline.Recorder
	// Forget, if set, is called with the address of a host that is gone.
	Forget func(address string)
	// Seed makes the member's random choices repeatable; zero derives it from
	// the member's name and incarnation.
	Seed uint64
}

// Gossip is a View kept by messages between members. It is safe for
// concurrent use.
type Gossip struct {
	options Options
	sends   chan struct{}

	mu      sync.RWMutex
	machine *machine
	version uint64
	view    view
	changed chan struct{}
}

// view is an immutable set of hosts.
type view struct {
	self          Host
	local, remote []Host
}

var _ View = (*Gossip)(nil)

// NewGossip returns a member that knows only itself.
func NewGossip(o Options) (*Gossip, error) {
	self, err := selfUpdate(o.Self)
	if err != nil {
		return nil, err
	}
	var seeds []netip.AddrPort
	for _, s := range o.Seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		if a != self.Peer {
			seeds = append(seeds, a)
		}
	}
	if o.Seed == 0 {
		o.Seed = xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(self.Name), self.Incarnation))
	}
	m := newMachine(self, seeds, rand.New(rand.NewPCG(o.Seed, self.Incarnation)), o.Clock.Now())
	g := &Gossip{options: o, sends: make(chan struct{}, maxSends), machine: m, changed: make(chan struct{})}
	g.view = m.view()
	return g, nil
}

func selfUpdate(h Host) (hostUpdate, error) {
	u := hostUpdate{Name: h.Name, DataCentre: h.DataCentre, Region: h.Region, Incarnation: h.Incarnation}
	var err error
	if u.Peer, err = netip.ParseAddrPort(h.PeerAddress); err != nil {
		return u, errors.Wrap(err, "listen.peers")
	}
	if h.OperatorsAddress == "" {
		return u, nil
	}
	u.Operators, err = netip.ParseAddrPort(h.OperatorsAddress)
	return u, errors.Wrap(err, "listen.operators")
}

// String names the service in supervisor events.
func (g *Gossip) String() string { return "membership" }

// Register publishes the member's methods for peers.
func (g *Gossip) Register(s *peer.Server) error {
	return s.Register(serviceName, &receiver{gossip: g})
}

// Serve takes part in the protocol until ctx ends.
func (g *Gossip) Serve(ctx context.Context) error {
	ticker := g.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		g.step(func(m *machine, now time.Time) []outgoing { return m.tick(now) })
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Leaving states that this host takes no new work, and spreads it at once.
func (g *Gossip) Leaving() {
	g.step(func(m *machine, now time.Time) []outgoing { return m.setLeaving(now) })
}

// Leave states that this host is gone, and waits until the word is out or ctx
// ends.
func (g *Gossip) Leave(ctx context.Context) {
	var out []outgoing
	g.step(func(m *machine, now time.Time) []outgoing {
		out = m.leave(now)
		return nil
	})
	var wg sync.WaitGroup
	for _, o := range out {
		wg.Go(func() { g.send(ctx, o) })
	}
	wg.Wait()
}

// Lacks names what keeps this host from being a member.
func (g *Gossip) Lacks() []string {
	g.mu.RLock()
	defer g.mu.RUnlock()
	switch {
	case g.machine.refused.IsValid():
		return []string{fmt.Sprintf("the host at %s has the same name, %s", g.machine.refused, g.options.Self.Name)}
	case !g.machine.joined:
		return []string{"no peer has answered yet"}
	default:
		return nil
	}
}

// step runs one step of the protocol and sends its messages.
func (g *Gossip) step(do func(m *machine, now time.Time) []outgoing) {
	g.mu.Lock()
	out := do(g.machine, g.options.Clock.Now())
	changes := g.refresh()
	g.mu.Unlock()
	g.observe(changes)
	for _, o := range out {
		select {
		case g.sends <- struct{}{}:
			go func() {
				defer func() { <-g.sends }()
				g.send(context.Background(), o)
			}()
		default:
			g.options.Log.Debug("membership message dropped: too many under way")
		}
	}
}

// send sends a message and takes in the reply. Losses are part of the protocol.
func (g *Gossip) send(ctx context.Context, o outgoing) {
	data, err := encode(o.msg)
	if err != nil {
		g.options.Log.WithError(err).Error("membership message")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var reply []byte
	if err := g.options.Caller.Call(ctx, o.to.String(), methodDeliver, data, &reply); err != nil {
		g.options.Log.WithError(err).Debug("membership message lost")
		return
	}
	if len(reply) == 0 {
		return
	}
	msg, err := decode(reply)
	if err != nil {
		g.options.Log.WithError(err).Warn("membership reply")
		return
	}
	g.step(func(m *machine, now time.Time) []outgoing {
		answer, out := m.receive(now, msg)
		if answer != nil {
			out = append(out, outgoing{to: o.to, msg: answer})
		}
		return out
	})
}

// receiver holds the methods that peers call.
type receiver struct{ gossip *Gossip }

// Deliver takes a message and returns the reply, empty if there is none.
func (r *receiver) Deliver(data []byte, reply *[]byte) error {
	msg, err := decode(data)
	if err != nil {
		return err
	}
	var answer *message
	r.gossip.step(func(m *machine, now time.Time) []outgoing {
		var out []outgoing
		answer, out = m.receive(now, msg)
		return out
	})
	if answer == nil {
		return nil
	}
	*reply, err = encode(answer)
	return err
}

// view returns what other packages see.
func (m *machine) view() view {
	v := view{self: m.self.host()}
	v.local = append(v.local, v.self)
	for _, r := range m.local {
		if r.state() != Gone {
			v.local = append(v.local, r.host())
		}
	}
	for _, r := range m.remote {
		if r.state() != Gone {
			v.remote = append(v.remote, r.host())
		}
	}
	sort.Slice(v.local, func(i, j int) bool { return v.local[i].Name < v.local[j].Name })
	sort.Slice(v.remote, func(i, j int) bool {
		a, b := &v.remote[i], &v.remote[j]
		return a.DataCentre < b.DataCentre || a.DataCentre == b.DataCentre && a.Name < b.Name
	})
	return v
}

// change is a host before and after a change; a zero Name means unknown.
type change struct{ before, after Host }

// refresh publishes a new view if there is one. The caller holds the lock.
func (g *Gossip) refresh() []change {
	if g.version == g.machine.version {
		return nil
	}
	g.version = g.machine.version
	next := g.machine.view()
	changes := append(diff(g.view.local, next.local), diff(g.view.remote, next.remote)...)
	g.view = next
	close(g.changed)
	g.changed = make(chan struct{})
	return changes
}

func diff(before, after []Host) []change {
	type key struct{ dataCentre, name string }
	old := make(map[key]Host, len(before))
	for _, h := range before {
		old[key{h.DataCentre, h.Name}] = h
	}
	var out []change
	for _, h := range after {
		k := key{h.DataCentre, h.Name}
		if b := old[k]; b != h {
			out = append(out, change{b, h})
		}
		delete(old, k)
	}
	for _, h := range old {
		gone := h
		gone.State = Gone
		out = append(out, change{h, gone})
	}
	return out
}

func (g *Gossip) observe(changes []change) {
	for _, c := range changes {
		cause := fmt.Sprintf("%s in %s is %s, incarnation %d", c.after.Name, c.after.DataCentre, c.after.State, c.after.Incarnation)
		g.options.Log.Info("host " + cause)
		if g.options.Events != nil {
			g.options.Events.Record(timeline.Event{Kind: EventHost, Cause: cause})
		}
		moved := c.before.PeerAddress != "" && c.before.PeerAddress != c.after.PeerAddress
		if g.options.Forget != nil && (c.after.State == Gone || moved) {
			g.options.Forget(c.before.PeerAddress)
		}
	}
}

// Self implements View.
func (g *Gossip) Self() Host {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.view.self
}

// Local implements View.
func (g *Gossip) Local() []Host {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return slices.Clone(g.view.local)
}

// Remote implements View.
func (g *Gossip) Remote() []Host {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return slices.Clone(g.view.remote)
}

// Changed implements View.
func (g *Gossip) Changed() <-chan struct{} {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.changed
}
