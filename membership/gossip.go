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

// Kinds of the timeline events that this package records.
const (
	EventHost     timeline.Kind = "host"
	EventUpstream timeline.Kind = "upstream"
)

const (
	serviceName   = "Membership"
	methodDeliver = serviceName + ".Deliver"
	// sendTimeout bounds the call that delivers one message.
	sendTimeout = time.Second
	// maxConcurrentSends bounds the concurrent sends. Messages beyond it are
	// dropped, since the protocol tolerates message loss.
	maxConcurrentSends = 256
)

// Options configure a member.
type Options struct {
	// Self is this host; its addresses consist of an IP number and a port.
	Self Host
	// Seeds are the peer addresses to which a starting member sends joins.
	Seeds []string
	// Peers calls the methods of peers.
	Peers peer.Invoker
	Clock clockwork.Clock
	Log   *logrus.Entry
	// Events records changes of hosts and upstreams; nil records nothing.
	Events *timeline.Recorder
	// OnAddressRemoved, if set, is called with the peer address of a host that
	// failed, left or moved to another address.
	OnAddressRemoved func(address string)
	// RandomSeed makes the member's random choices repeatable. If it is zero, it
	// is derived from the member's name and incarnation.
	RandomSeed uint64
}

// Gossip is a View that is kept up to date by a gossip protocol between the
// hosts, which are its members. It is safe for concurrent use.
type Gossip struct {
	options    Options
	sendTokens chan struct{}

	mu          sync.RWMutex
	member      *stateMachine
	viewVersion uint64
	view        view
	changed     chan struct{}
}

// view is an immutable snapshot of the known hosts.
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
	if o.RandomSeed == 0 {
		o.RandomSeed = xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(self.Name), self.Incarnation))
	}
	m := newStateMachine(self, seeds, rand.New(rand.NewPCG(o.RandomSeed, self.Incarnation)), o.Clock.Now())
	g := &Gossip{options: o, sendTokens: make(chan struct{}, maxConcurrentSends), member: m, changed: make(chan struct{})}
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

// Register registers the RPC methods that peers call.
func (g *Gossip) Register(s *peer.Server) error {
	return s.Register(serviceName, &rpcHandler{gossip: g})
}

// Serve runs the timers of the protocol until ctx ends.
func (g *Gossip) Serve(ctx context.Context) error {
	ticker := g.options.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		g.step(func(m *stateMachine, now time.Time) []outgoing { return m.tick(now) })
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// AnnounceLeaving marks this host as leaving, so that it gets no new work, and
// pushes the update to peers at once.
func (g *Gossip) AnnounceLeaving() {
	g.step(func(m *stateMachine, now time.Time) []outgoing { return m.setLeaving(now) })
}

// Leave marks this host as having left, and waits until the update has been sent
// to some peers or ctx ends.
func (g *Gossip) Leave(ctx context.Context) {
	var out []outgoing
	g.step(func(m *stateMachine, now time.Time) []outgoing {
		out = m.leave(now)
		return nil
	})
	var wg sync.WaitGroup
	for _, o := range out {
		wg.Go(func() { g.send(ctx, o) })
	}
	wg.Wait()
}

// Lacks returns the reasons why this host is not a member yet, none if it is.
func (g *Gossip) Lacks() []string {
	g.mu.RLock()
	defer g.mu.RUnlock()
	switch {
	case g.member.nameHolder.IsValid():
		return []string{fmt.Sprintf("the host at %s has the same name, %s", g.member.nameHolder, g.options.Self.Name)}
	case !g.member.joined:
		return []string{"no peer has answered yet"}
	default:
		return nil
	}
}

// step runs one step of the protocol under the lock, publishes the changed view
// and sends the resulting messages without waiting for them.
func (g *Gossip) step(do func(m *stateMachine, now time.Time) []outgoing) {
	g.mu.Lock()
	out := do(g.member, g.options.Clock.Now())
	changes := g.refreshView()
	g.mu.Unlock()
	g.reportChanges(changes)
	for _, o := range out {
		select {
		case g.sendTokens <- struct{}{}:
			go func() {
				defer func() { <-g.sendTokens }()
				g.send(context.Background(), o)
			}()
		default:
			g.options.Log.Debug("membership message dropped: too many concurrent sends")
		}
	}
}

// send sends a message and handles the reply. A failure is only logged, since the
// protocol tolerates message loss.
func (g *Gossip) send(ctx context.Context, o outgoing) {
	data, err := encode(o.msg)
	if err != nil {
		g.options.Log.WithError(err).Error("cannot encode membership message")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var reply []byte
	if err := g.options.Peers.Call(ctx, o.to.String(), methodDeliver, data, &reply); err != nil {
		g.options.Log.WithError(err).Debug("membership message not delivered")
		return
	}
	if len(reply) == 0 {
		return
	}
	msg, err := decode(reply)
	if err != nil {
		g.options.Log.WithError(err).Warn("cannot decode membership reply")
		return
	}
	g.step(func(m *stateMachine, now time.Time) []outgoing {
		answer, out := m.receive(now, msg)
		if answer != nil {
			out = append(out, outgoing{to: o.to, msg: answer})
		}
		return out
	})
}

// rpcHandler has the RPC methods that peers call.
type rpcHandler struct{ gossip *Gossip }

// Deliver handles a message and sets the reply, which is empty if there is none.
func (r *rpcHandler) Deliver(data []byte, reply *[]byte) error {
	msg, err := decode(data)
	if err != nil {
		return err
	}
	var answer *message
	r.gossip.step(func(m *stateMachine, now time.Time) []outgoing {
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

// view returns a snapshot of this host and of the known hosts that have neither
// failed nor left.
func (m *stateMachine) view() view {
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

// change is a host before and after a change. An empty name in before means that
// the host was not known.
type change struct{ before, after Host }

// refreshView publishes a new view if the member's version has changed, and returns
// the differences from the previous view. The lock must be held.
func (g *Gossip) refreshView() []change {
	if g.viewVersion == g.member.version {
		return nil
	}
	g.viewVersion = g.member.version
	next := g.member.view()
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

func (g *Gossip) reportChanges(changes []change) {
	for _, c := range changes {
		cause := fmt.Sprintf("%s in %s is %s, incarnation %d", c.after.Name, c.after.DataCentre, c.after.State, c.after.Incarnation)
		g.options.Log.Info("host " + cause)
		if g.options.Events != nil {
			g.options.Events.Record(timeline.Event{Kind: EventHost, Cause: cause})
		}
		moved := c.before.PeerAddress != "" && c.before.PeerAddress != c.after.PeerAddress
		if g.options.OnAddressRemoved != nil && (c.after.State == Gone || moved) {
			g.options.OnAddressRemoved(c.before.PeerAddress)
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
