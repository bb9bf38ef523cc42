package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
)

// peerTimeout is the time limit of connection set-up and of calls between hosts.
const peerTimeout = 2 * time.Second

// provisionPeers binds the listener for traffic between hosts and creates the client
// of calls to peers and the gossip membership.
func (n *Node) provisionPeers() error {
	conf, err := loadTLS(n.settings)
	if err != nil {
		return err
	}
	options := []peer.Option{peer.WithMetrics(peer.NewMetrics(n.registry)), peer.WithClock(n.events.Clock()), peer.WithLog(n.log)}
	if n.peers, err = peer.Listen(n.settings.Listen.Peers, conf, options...); err != nil {
		return errors.Wrap(err, n.settings.At("listen.peers"))
	}
	client := peer.NewClient(peerTimeout, conf, options...)
	n.closePeers = client.Close
	n.dialer = client
	if n.options.WrapPeers != nil {
		n.dialer = n.options.WrapPeers(n.peers.Address(), client)
	}
	n.hosts, err = membership.NewGossip(membership.Options{
		Self: membership.Host{
			Name: n.settings.Host, DataCentre: n.settings.DataCentre, Region: n.settings.Region,
			PeerAddress: n.peers.Address(), OperatorsAddress: n.OperatorsAddress(),
			Incarnation: uint64(n.clock.Now().UnixNano()),
		},
		Seeds: n.settings.Peers, Peers: n.dialer, Clock: n.clock, Log: n.log.WithField("part", "membership"),
		Events: n.events, OnAddressRemoved: client.Forget,
	})
	if err != nil {
		return err
	}
	n.upstreams = membership.NewGossipUpstreams(n.hosts, func(k membership.UpstreamKey) uint64 {
		return n.config.holder.Current().AddressGeneration(k.Service, k.Name)
	})
	return n.hosts.Register(n.peers)
}

// newHints returns the component that reads the platform's lists of upstreams.
func (n *Node) newHints() *membership.HintReader {
	return &membership.HintReader{
		Store: n.store, Hosts: n.hosts, Upstreams: n.upstreams, Clock: n.clock,
		Services: func() []string { return n.config.holder.Current().Names() },
		Log:      n.log.WithField("part", "membership"),
	}
}

// leave notifies the peers that this host has left the membership.
func (n *Node) leave(ctx context.Context) { n.hosts.Leave(ctx) }

// Hosts returns this host's view of the membership.
func (n *Node) Hosts() membership.View { return n.hosts }

// Upstreams returns this host's view of the states of upstreams.
func (n *Node) Upstreams() *membership.GossipUpstreams { return n.upstreams }
