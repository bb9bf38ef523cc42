package slots

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

const (
	// probeControls is the number of other replicas that are probed to find out whether a
	// host reaches any.
	probeControls = 3
	// hostsToProbe is the number of hosts of the own data centre, and of others, that are
	// asked to probe a replica.
	hostsToProbe = 2
	// probeCallTimeout bounds a call that asks a host to probe, which makes two probes one
	// after the other.
	probeCallTimeout = 2*crashProbeTimeout + 100*time.Millisecond
)

// ProbeArgs is the argument of Probe: a replica, and others that are probed if it accepts no
// connection.
type ProbeArgs struct {
	Replica  replica.Replica
	Controls []replica.Replica
}

// ProbeReply is the reply to Probe.
type ProbeReply struct {
	// Accepts reports that the replica accepted a connection of the host, and Reaches that
	// it or one of the others did.
	Accepts, Reaches bool
}

// probedState is what probes have found of a replica.
type probedState string

// Values of probedState.
const (
	probedRunning probedState = "running"
	probedCrashed probedState = "crashed"
	// probedUnknown means that no host that was asked reaches any replica.
	probedUnknown probedState = "unknown"
)

// Probe finds out whether a replica accepts a connection of this host and, if not, whether any
// other replica does. Connections of a host that is cut off go through other hosts, and one that
// is not made says little about its replica.
func (b *Broker) Probe(args ProbeArgs, reply *ProbeReply) error {
	if b.probe == nil {
		return nil
	}
	reply.Accepts = b.accepts(args.Replica)
	reply.Reaches = reply.Accepts || !b.isCutOff() && b.anyAccepts(args.Controls)
	return nil
}

func (b *Broker) isCutOff() bool { return b.cutOff != nil && b.cutOff() }

func (b *Broker) accepts(r replica.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return b.probe(ctx, r)
}

// anyAccepts reports whether any of the replicas accepts a connection of this host.
func (b *Broker) anyAccepts(replicas []replica.Replica) bool {
	var (
		probes   sync.WaitGroup
		accepted atomic.Bool
	)
	for _, r := range replicas {
		probes.Go(func() {
			if b.accepts(r) {
				accepted.Store(true)
			}
		})
	}
	probes.Wait()
	return accepted.Load()
}

// findState finds out whether a replica has crashed: it accepts no connection of a host that
// reaches others. If this host reaches none, it may be cut off from all replicas, and other
// hosts are asked. A host without others has only its own probe to judge by.
func (b *Broker) findState(r replica.Replica) probedState {
	args := ProbeArgs{Replica: r, Controls: b.probeControls(r)}
	var own ProbeReply
	// Probe returns no error.
	_ = b.Probe(args, &own)
	if own.Reaches {
		return own.state()
	}
	if b.probeElsewhere == nil {
		return probedCrashed
	}
	replies, asked := b.probeElsewhere(args)
	if asked == 0 {
		return probedCrashed
	}
	state := probedUnknown
	for _, reply := range replies {
		switch reply.state() {
		case probedRunning:
			return probedRunning
		case probedCrashed:
			state = probedCrashed
		default:
		}
	}
	return state
}

// state returns what the host that replied knows of the replica.
func (r ProbeReply) state() probedState {
	switch {
	case r.Accepts:
		return probedRunning
	case r.Reaches:
		return probedCrashed
	}
	return probedUnknown
}

// probeControls returns replicas that are expected to accept a connection: some of the same
// data centre and one of another.
func (b *Broker) probeControls(r replica.Replica) []replica.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far []replica.Replica
	for _, other := range b.replicas {
		switch {
		case other.ID == r.ID || !other.Ready:
		case other.DataCentre == r.DataCentre:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	return append(sample(near, probeControls-min(len(far), 1)), sample(far, 1)...)
}

// sample returns up to n elements, chosen at random.
func sample[T any](all []T, n int) []T {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}

// probeElsewhere asks other hosts to probe a replica: those of the own data centre to which
// replicas have responded last, and some of other data centres.
func (c *Client) probeElsewhere(args ProbeArgs) (replies []ProbeReply, asked int) {
	hosts := c.hostsToAsk()
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	for _, h := range hosts {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeCallTimeout)
			defer cancel()
			var reply ProbeReply
			if err := c.Peers.Call(ctx, h.PeerAddress, PeerName+".Probe", args, &reply); err != nil {
				c.Log.WithError(err).WithField("peer", h.Name).WithField("replica", args.Replica.ID).Info("can't ask a host to probe a replica")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	calls.Wait()
	return replies, len(hosts)
}

// hostsToAsk returns the hosts that are asked to probe a replica.
func (c *Client) hostsToAsk() []membership.Host {
	self := c.View.Self()
	var own, others []membership.Host
	for _, h := range membership.All(c.View) {
		switch {
		case h.Name == self.Name:
		case h.DataCentre == self.DataCentre:
			own = append(own, h)
		default:
			others = append(others, h)
		}
	}
	return append(c.Broker.lastServed(own, hostsToProbe), sample(others, hostsToProbe)...)
}

// lastServed returns up to n of the hosts, those to which replicas have responded last.
func (b *Broker) lastServed(hosts []membership.Host, n int) []membership.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sched.contacts.lastServed(hosts, n)
}
