package soak

import (
	"context"
	"fmt"
	"time"
)

// upgradePause is the time between the stops of two hosts during an upgrade.
const upgradePause = 1500 * time.Millisecond

// planUpgrade draws when hosts are stopped in turn and started again, each with the next build, and
// configurations. The upgrade goes round as often as the length allows, so that all builds
// follow each other in all roles.
func (p *planner) planUpgrade(length time.Duration) []Fault {
	plan := p.draw([]func() Fault{p.configure}, length, meanVersionInterval)
	turn := p.rng.Perm(len(p.world.hosts))
	n := 0
	for at := p.between(0, upgradePause); at < length; at += upgradePause {
		f := p.upgrade(p.world.hosts[turn[n%len(turn)]])
		f.At = at
		plan = append(plan, f)
		n++
	}
	return plan
}

// upgrade stops a host in order, or kills it, and starts it again at once.
func (p *planner) upgrade(h *Host) Fault {
	killed := p.rng.IntN(4) == 0
	return Fault{Text: fmt.Sprintf("upgrade %s, killed: %v", h.Name, killed), run: func(context.Context) {
		h.life.Lock()
		defer h.life.Unlock()
		if killed {
			h.Kill()
			p.restart(h)
			return
		}
		p.stop(h)
		p.restart(h)
	}}
}

// isYoung reports whether a host had not run for contactTime at a moment.
func (w *World) isYoung(host string, at time.Time) bool {
	for _, h := range w.hosts {
		if h.Name == host {
			return time.Now().Add(-h.Age()).After(at.Add(-contactTime))
		}
	}
	return false
}
