package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Times of runs in which connections fall silent.
const (
	// contactTime is how long after a disruption bounds of time hold again.
	contactTime = 3 * time.Second
	// maxSilenceInterval is the longest time between two silences. The shortest is longer
	// than contactTime.
	maxSilenceInterval = 3 * contactTime
	// meanVersionInterval is that of configurations beside them.
	meanVersionInterval = 1500 * time.Millisecond
	// recentVersions are those that callers ask for.
	recentVersions = 4
)

// planSilences draws when connections fall silent, and configurations.
func (p *planner) planSilences(length time.Duration) []Fault {
	plan := p.draw([]func() Fault{p.configure}, length, meanVersionInterval)
	for at := p.between(0, contactTime); at < length; at += p.between(contactTime+time.Second, maxSilenceInterval) {
		f := p.silence()
		f.At = at
		plan = append(plan, f)
	}
	return plan
}

// silence lets connections fall silent for good: those of all links, those of all hosts to
// the store, or those of one link, all of a link or one, in both directions or in one.
func (p *planner) silence() Fault {
	name, link := p.link()
	links := func() []*Proxy { return []*Proxy{link()} }
	switch p.rng.IntN(5) {
	case 0, 1:
		name, links = "all links", p.world.proxies
	case 2:
		name, links = "all links to the store", p.world.storeProxies
	}
	directions := pick(p.rng, []struct {
		name     string
		up, down bool
	}{{"both ways", true, true}, {"both ways", true, true}, {"requests", true, false}, {"responses", false, true}})
	one := p.rng.IntN(3) == 0
	return Fault{Text: fmt.Sprintf("connections of %s fall silent, %s, one each: %v", name, directions.name, one), run: func(context.Context) {
		p.world.mu.Lock()
		p.world.silences = append(p.world.silences, time.Now())
		p.world.mu.Unlock()
		for _, l := range links() {
			l.Silence(directions.up, directions.down, one)
		}
	}}
}

// proxies returns those of all links.
func (w *World) proxies() []*Proxy {
	var all []*Proxy
	for _, h := range w.hosts {
		all = append(all, h.proxies()...)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.slots {
		all = append(all, s.proxy)
	}
	return all
}

func (w *World) storeProxies() []*Proxy {
	var all []*Proxy
	for _, h := range w.hosts {
		all = append(all, h.store)
	}
	return all
}

// CheckVersion checks what a host answered to a request, sent at a time, for the route of one
// version: configTimeout after a version was acknowledged its route is served and those of
// older versions are not. Nothing is promised in contactTime after connections fell silent or the
// host started, nor while other faults are played.
func (w *World) CheckVersion(l *Ledger, host, id string, version int, sent time.Time, a platformtest.Response) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kinds.has(plannedFaults) || !w.kinds.has(silentConnections) && !w.kinds.has(upgrade) || w.isYoung(host, sent) {
		return
	}
	for _, at := range w.silences {
		if at.After(sent.Add(-contactTime)) {
			return
		}
	}
	w.versionsChecked++
	inForce := func(v int) bool {
		at, ok := w.acknowledged[v]
		return ok && sent.Sub(at) > configTimeout
	}
	if a.Status == 404 && version == w.version && inForce(version) {
		l.violate("CONFIG: %s: %s answered 404 for the route of version %d %s after its acknowledgement", id, host, version, sent.Sub(w.acknowledged[version]))
	}
	if a.Status == 200 && inForce(version+1) {
		l.violate("CONFIG: %s: %s served the route of version %d %s after version %d dropped it", id, host, version, sent.Sub(w.acknowledged[version+1]), version+1)
	}
}
