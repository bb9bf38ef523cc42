package host

import (
	"net"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/tunnel"
)

// provisionPaths creates the client of replicas. Its connections go through other hosts
// where this host reaches a replica no longer. It calls dialed for each new one.
func (h *Host) provisionPaths(dialed func()) *platform.ReplicaClient {
	var client *platform.ReplicaClient
	h.paths = tunnel.NewPaths(h.clock, h.log, func() {
		silent := h.paths.Silent()
		client.DropIdle(func(_ string, c net.Conn) bool {
			if tunnel.IsDirect(c) {
				return silent
			}
			return !tunnel.IsReusable(c)
		})
	})
	h.tunnelMetrics = tunnel.NewMetrics(h.registry)
	dialer := &tunnel.Dialer{
		Paths: h.paths, Self: h.view.Self(), Clock: h.clock, Log: h.log, Metrics: h.tunnelMetrics,
		// Other hosts may not know the replica.
		Hosts: func() []membership.Host { return h.slotClient.RecordHolders() },
	}
	h.paths.SetDial(dialer.Dial)
	client = platform.NewReplicaClient(dialer.Dial, dialed, h.replicas, h.log)
	h.registerGauge("comfreyspindle_replicas_lost", "Replicas that other hosts reach and this host doesn't reach directly.",
		nil, func() float64 { return float64(h.paths.CountLost()) })
	h.registerGauge("comfreyspindle_cut_off", "1 while this host reaches no replica directly.", nil, func() float64 {
		if h.paths.CutOff() {
			return 1
		}
		return 0
	})
	return client
}

// provisionTunnels creates the server that carries connections of other hosts.
func (h *Host) provisionTunnels() (err error) {
	if h.settings.Tunnels == "" {
		return nil
	}
	h.tunnels, err = tunnel.Listen(h.settings.Tunnels, tunnel.ServerOptions{
		Paths: h.paths, IsReplica: h.replicas.HasAddress, MaxTunnels: descriptorShare(tunnelsFraction, h.settings.Descriptors) / descriptorsPerTunnel, Log: h.log, Metrics: h.tunnelMetrics,
	})
	if err != nil {
		return err
	}
	h.registerGauge("comfreyspindle_tunnels", "Connections to replicas that this host carries for other hosts.",
		nil, func() float64 { return float64(h.tunnels.Active()) })
	return nil
}
