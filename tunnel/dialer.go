package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Times and limits of the set-up of a connection.
const (
	// directTimeout bounds the set-up of a direct connection. It allows for a round trip
	// between regions, but not for the retransmission of a lost SYN packet.
	directTimeout = 200 * time.Millisecond
	// setupTimeout bounds the set-up of a connection with all attempts.
	setupTimeout = 400 * time.Millisecond
	// directDelay is the time that a direct connection may take before a tunnel is tried
	// too, and hostDelay the time that one host may take before the next one is asked.
	directDelay = 80 * time.Millisecond
	hostDelay   = 80 * time.Millisecond
	// maxHosts bounds the hosts that are asked for one connection.
	maxHosts = 3
	// passOverTime is the time for which hosts that could not carry a connection are asked
	// after all others.
	passOverTime = 2 * time.Second
)

// Dialer connects to replicas, directly or through other hosts. All fields but Metrics are
// required.
type Dialer struct {
	Paths *Paths
	// Hosts returns the hosts that may carry connections, and Self this host.
	Hosts   func() []membership.Host
	Self    membership.Host
	Clock   clockwork.Clock
	Log     *logrus.Entry
	Metrics *Metrics

	mu sync.Mutex
	// passedOver says until when hosts are asked after all others, by name.
	passedOver map[string]time.Time
}

// outcome is that of one attempt to connect.
type outcome struct {
	conn   net.Conn
	err    error
	direct bool
}

// Dial connects to the replica at an address. An error means that nothing was sent to it.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	s := &setup{dialer: d, ctx: ctx, address: address, outcomes: make(chan outcome, 2)}
	defer s.discard(cancel)
	var late <-chan time.Time
	switch d.Paths.plan(address) {
	case directOnly:
		s.mayTunnel = false
		s.startDirect()
	case tunnelFirst:
		s.startTunnel()
	default:
		s.mayTunnel = true
		s.startDirect()
		timer := time.NewTimer(directDelay)
		defer timer.Stop()
		late = timer.C
	}
	return s.await(late)
}

// setup is the set-up of one connection.
type setup struct {
	dialer   *Dialer
	ctx      context.Context
	address  string
	outcomes chan outcome
	pending  int
	// mayTunnel and mayDirect say which attempts may still be started.
	mayTunnel, triedDirect bool
}

func (s *setup) startDirect() {
	s.triedDirect = true
	s.pending++
	go func() {
		// The outcome is of use also if the connection is no longer needed.
		conn, err := s.dialer.Paths.Direct(context.WithoutCancel(s.ctx), s.address)
		s.outcomes <- outcome{conn, err, true}
	}()
}

func (s *setup) startTunnel() {
	s.mayTunnel = false
	s.pending++
	go func() {
		conn, err := s.dialer.tunnel(s.ctx, s.address)
		s.outcomes <- outcome{conn, err, false}
	}()
}

// await returns the first connection that is made. A tunnel is tried when late fires or the
// direct connection fails, and a direct connection after the failure of a tunnel.
func (s *setup) await(late <-chan time.Time) (net.Conn, error) {
	var failed error
	for s.pending > 0 {
		select {
		case <-s.ctx.Done():
			return nil, errors.CombineErrors(errors.Wrapf(s.ctx.Err(), "connect to %s", s.address), failed)
		case <-late:
			if s.mayTunnel {
				s.startTunnel()
			}
		case o := <-s.outcomes:
			s.pending--
			if o.err == nil {
				return o.conn, nil
			}
			failed = errors.CombineErrors(o.err, failed)
			if o.direct && s.mayTunnel {
				s.startTunnel()
			}
			if !o.direct && !s.triedDirect {
				s.startDirect()
			}
		}
	}
	return nil, failed
}

// discard closes the connections that are made later.
func (s *setup) discard(cancel func()) {
	cancel()
	if s.pending == 0 {
		return
	}
	go func() {
		for range s.pending {
			if o := <-s.outcomes; o.err == nil {
				_ = o.conn.Close()
			}
		}
	}()
}

// tunnel connects through the first of a few hosts that reaches the replica.
func (d *Dialer) tunnel(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &search{dialer: d, ctx: ctx, address: address, hosts: d.choose(), replies: make(chan reply, maxHosts)}
	defer s.discard(cancel)
	s.askNext()
	if s.pending == 0 {
		return nil, errNoHost
	}
	ticker := time.NewTicker(hostDelay)
	defer ticker.Stop()
	var failed error
	for s.pending > 0 {
		select {
		case <-ctx.Done():
			return nil, errors.CombineErrors(ctx.Err(), failed)
		case <-ticker.C:
			s.askNext()
		case r := <-s.replies:
			s.pending--
			if s.take(r); r.err == nil {
				return r.conn, nil
			}
			failed = errors.CombineErrors(r.err, failed)
			s.askNext()
		}
	}
	if len(s.refusedBy) > 0 {
		d.Paths.refused(address)
	}
	return nil, failed
}

// errNoHost means that there is no other host that carries connections.
var errNoHost = errors.New("no other host can carry a connection")

// search is the search for a host that reaches a replica.
type search struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	// hosts are those that are not asked yet.
	hosts   []membership.Host
	replies chan reply
	pending int
	// refusedBy names the hosts that could not connect to the replica.
	refusedBy []string
}

// reply is that of one host.
type reply struct {
	host string
	conn net.Conn
	err  error
}

// askNext asks the next host, if there is one.
func (s *search) askNext() {
	if len(s.hosts) == 0 {
		return
	}
	h := s.hosts[0]
	s.hosts = s.hosts[1:]
	s.pending++
	go func() {
		conn, err := s.dialer.Paths.open(s.ctx, h.Name, h.TunnelAddress, s.address)
		s.replies <- reply{h.Name, conn, err}
	}()
}

// take records what a reply shows.
func (s *search) take(r reply) {
	d := s.dialer
	d.Metrics.count(r.err)
	switch {
	case r.err == nil:
		d.Paths.tunnelled(s.address)
		// The hosts before it don't reach what it reaches.
		d.passOver(s.refusedBy...)
	case errors.Is(r.err, errUnreachable):
		s.refusedBy = append(s.refusedBy, r.host)
	case s.ctx.Err() == nil:
		d.passOver(r.host)
	}
}

// discard closes the connections that are made later.
func (s *search) discard(cancel func()) {
	cancel()
	go func() {
		for range s.pending {
			if r := <-s.replies; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}()
}

// passOver lets hosts be asked after all others for some time.
func (d *Dialer) passOver(names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passedOver == nil {
		d.passedOver = make(map[string]time.Time)
	}
	now := d.Clock.Now()
	for name, until := range d.passedOver {
		if until.Before(now) {
			delete(d.passedOver, name)
		}
	}
	for _, name := range names {
		d.passedOver[name] = now.Add(passOverTime)
	}
}

// choose returns the hosts to ask for a tunnel, in this order.
func (d *Dialer) choose() []membership.Host {
	hosts := d.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	return rankHosts(hosts, d.Self, func(name string) bool { return d.passedOver[name].After(now) })
}

// rankHosts returns the hosts that are asked for one connection: one of the same data
// centre, and then others of data centres that come in turn, since all hosts of a data
// centre may be cut off together. Hosts that are passed over come last.
func rankHosts(hosts []membership.Host, self membership.Host, isPassedOver func(name string) bool) []membership.Host {
	var ranked []membership.Host
	for _, passedOver := range []bool{false, true} {
		var left []membership.Host
		for _, h := range hosts {
			if h.Name != self.Name && h.State == membership.Alive && h.TunnelAddress != "" && isPassedOver(h.Name) == passedOver {
				left = append(left, h)
			}
		}
		ranked = append(ranked, inTurn(left, self.DataCentre)...)
	}
	return ranked[:min(len(ranked), maxHosts)]
}

// inTurn orders hosts so that each data centre comes once before any comes again, the
// given one first.
func inTurn(hosts []membership.Host, first string) []membership.Host {
	byDataCentre := make(map[string][]membership.Host)
	order := []string{first}
	for _, h := range hosts {
		if _, ok := byDataCentre[h.DataCentre]; !ok && h.DataCentre != first {
			order = append(order, h.DataCentre)
		}
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], h)
	}
	out := make([]membership.Host, 0, len(hosts))
	for round := 0; len(out) < len(hosts); round++ {
		for _, dc := range order {
			if of := byDataCentre[dc]; round < len(of) {
				out = append(out, of[round])
			}
		}
	}
	return out
}
