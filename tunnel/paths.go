package tunnel

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
)

// probeInterval is the time between two direct connections that find out whether a lost
// path works again.
const probeInterval = 500 * time.Millisecond

// Times after which a host checks that it still reaches replicas.
const (
	// checkInterval is the time between two looks at the open connections.
	checkInterval = 100 * time.Millisecond
	// silenceLimit is the time that a request may wait while nothing arrives from any replica.
	// Requests on connections that were kept don't show otherwise that the paths are lost.
	silenceLimit = 300 * time.Millisecond
	// checkPause is the time after a check that reached a replica until the next one. Replicas
	// may be silent since they all work.
	checkPause = 2 * time.Second
)

// Paths knows which replicas this host reaches directly. It is safe for concurrent use.
type Paths struct {
	clock clockwork.Clock
	log   *logrus.Entry
	// onChange is called after the host was found to be cut off from all replicas, when a
	// lost path works again, and when a host that carries a connection stops.
	onChange func()
	connect  Connect
	// heardAt is when bytes last arrived from any replica over a direct connection, in
	// nanoseconds of Unix time; zero is never.
	heardAt atomic.Int64

	// dial connects to a replica directly or through another host; nil makes no checks.
	dial Connect

	mu     sync.Mutex
	view   *view
	cutOff bool
	// conns holds the open direct connections.
	conns map[*directConn]struct{}
}

// NewPaths returns the Paths of a host that has not connected to any replica. onChange is
// called when this host is found to be cut off from all replicas, when a lost path works
// again, and when a host that carries a connection stops.
func NewPaths(clock clockwork.Clock, log *logrus.Entry, onChange func()) *Paths {
	return &Paths{clock: clock, log: log, onChange: onChange, connect: connectTCP, view: newView(), conns: make(map[*directConn]struct{})}
}

// SetConnect replaces the function that connects to replicas directly. It must be called
// before the Paths are used.
func (p *Paths) SetConnect(connect Connect) { p.connect = connect }

// SetDial sets the function that connects to replicas directly or through other hosts. It
// must be called before the Paths are used.
func (p *Paths) SetDial(dial Connect) { p.dial = dial }

// CutOff reports whether this host reaches no replica directly while other hosts do.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.CutOff(p.clock.Now())
}

// Silent reports whether this host is cut off and its open connections to replicas are dead
// too.
func (p *Paths) Silent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.view.cut(p.clock.Now())
	return silent
}

// IsLost reports whether connections to the replica at an address go through other hosts.
func (p *Paths) IsLost(address string) bool { return p.plan(address) == tunnelFirst }

// CountLost returns the number of replicas that other hosts reach and this one doesn't.
func (p *Paths) CountLost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.view.LostReplicas(p.clock.Now()))
}

// SilentFor returns the time since bytes last arrived from any replica over a direct
// connection. It returns false if none ever did.
func (p *Paths) SilentFor() (time.Duration, bool) {
	at := p.heardAt.Load()
	return p.clock.Since(time.Unix(0, at)), at != 0
}

func (p *Paths) heard() { p.heardAt.Store(p.clock.Now().UnixNano()) }

func (p *Paths) plan(address string) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Plan(p.clock.Now(), address)
}

func (p *Paths) connected(address string) {
	p.heard()
	wasLost := false
	p.record(func(now time.Time) {
		wasLost = p.view.Plan(now, address) == tunnelFirst
		p.view.Connected(now, address)
	})
	if wasLost {
		p.onChange()
	}
}

// lost records that the path to a replica failed with an error.
func (p *Paths) lost(address string, err error) {
	p.record(func(now time.Time) { p.view.Lost(now, address, isTimeout(err)) })
}

func (p *Paths) tunnelled(address string) {
	p.record(func(now time.Time) { p.view.Tunnelled(now, address) })
}

func (p *Paths) refused(address string) {
	p.record(func(now time.Time) { p.view.Refused(now, address) })
}

// isTimeout reports whether an error means that the other side was silent.
func isTimeout(err error) bool {
	var e interface{ Timeout() bool }
	return errors.As(err, &e) && e.Timeout()
}

// record applies an event to the view, and logs whether the host is cut off when that changes.
func (p *Paths) record(event func(now time.Time)) {
	p.mu.Lock()
	now := p.clock.Now()
	event(now)
	was := p.cutOff
	cutOff, silent := p.view.cut(now)
	p.cutOff = cutOff
	lost := len(p.view.LostReplicas(now))
	p.mu.Unlock()
	if cutOff == was {
		return
	}
	entry := p.log.WithFields(logrus.Fields{"lost_replicas": lost, "silent": silent})
	if silentFor, ok := p.SilentFor(); ok {
		entry = entry.WithField("silent_for", silentFor.Round(time.Millisecond).String())
	}
	if cutOff {
		entry.Warn("this host reaches no replica directly; connections go through other hosts")
		p.onChange()
		return
	}
	entry.Info("this host reaches replicas directly again")
}

// Serve probes lost paths until ctx ends.
func (p *Paths) Serve(ctx context.Context) error {
	probed, checked := p.clock.Now(), time.Time{}
	for {
		if wait.For(ctx, p.clock, checkInterval); ctx.Err() != nil {
			return ctx.Err()
		}
		now := p.clock.Now()
		if now.Sub(probed) >= probeInterval {
			probed = now
			p.probe(ctx)
		}
		if now.Sub(checked) >= checkPause && p.check(ctx, now) {
			checked = now
		}
	}
}

// check connects to replicas whose responses are awaited if nothing arrives from any, which
// shows whether this host is cut off. It reports whether it has reached one directly.
func (p *Paths) check(ctx context.Context, now time.Time) bool {
	silentFor, heard := p.SilentFor()
	if p.dial == nil || !heard || silentFor < silenceLimit || p.CutOff() {
		return false
	}
	awaited := p.awaited(now)
	for _, address := range awaited[:min(len(awaited), minLost)] {
		c, err := p.dial(ctx, address)
		if err != nil {
			continue
		}
		direct := IsDirect(c)
		_ = c.Close()
		if direct {
			return true
		}
	}
	return false
}

// awaited returns the addresses of replicas that were sent a request silenceLimit ago and
// have sent nothing since.
func (p *Paths) awaited(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for c := range p.conns {
		wrote := c.wroteAt.Load()
		if wrote > c.readAt.Load() && now.Sub(time.Unix(0, wrote)) >= silenceLimit && !slices.Contains(addresses, c.address) {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// String names the service in supervisor events.
func (p *Paths) String() string { return "paths to replicas" }

// probe connects to one of the lost replicas directly.
func (p *Paths) probe(ctx context.Context) {
	p.mu.Lock()
	lost := p.view.LostReplicas(p.clock.Now())
	p.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	c, err := p.Direct(ctx, lost[rand.IntN(len(lost))])
	if err == nil {
		_ = c.Close()
	}
}
