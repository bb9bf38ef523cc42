package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Fault is one disruption of a plan.
type Fault struct {
	At   time.Duration
	Text string
	run  func(ctx context.Context)
}

// String describes the fault.
func (f Fault) String() string { return fmt.Sprintf("%6.2fs %s", f.At.Seconds(), f.Text) }

// Bounds of faults.
const (
	meanInterval = 500 * time.Millisecond
	// meanResponseInterval is that of faults of replicas' responses.
	meanResponseInterval = 2 * time.Second
	// meanRateLimitInterval is that of rate limits, which last for minRateLimitSpell
	// to maxRateLimitSpell.
	meanRateLimitInterval = 3 * time.Second
	minRateLimitSpell     = 5 * time.Second
	maxRateLimitSpell     = 10 * time.Second
	minSpell              = 300 * time.Millisecond
	maxSpell              = 5 * time.Second
	maxDelay              = 400 * time.Millisecond
	maxDown               = 2 * time.Second
	drainTime             = 3 * time.Second
	// leaveTime is how long a replica says that it leaves before it ends.
	leaveTime = 2 * configTimeout
	// signalTime is what a program needs until it takes signals: before that a
	// hang-up ends any process.
	signalTime = 100 * time.Millisecond
	// stopSlack is how much later than the platform's bound a process may end
	// before that counts as broken.
	stopSlack = time.Second
)

// planner draws the faults of a plan.
type planner struct {
	world  *World
	ledger *Ledger
	rng    *rand.Rand
}

// Plan draws faults over a time from a seed. They may overlap.
func Plan(w *World, l *Ledger, seed uint64, length time.Duration) []Fault {
	p := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 2))}
	kinds := []func() Fault{
		p.kill, p.kill, p.term, p.term, p.pause, p.pause, p.hangup, p.harmStore, p.harmStore, p.forget,
		p.cutLink, p.cutLink, p.cutLink, p.resetLinks, p.crashReplica, p.drainReplica, p.configure, p.configure,
	}
	plan := p.draw(kinds, length, meanInterval)
	// Faults of replicas' responses have random numbers of their own, so that the
	// plans of known seeds keep all their other faults.
	responses := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 3))}
	plan = append(plan, responses.draw([]func() Fault{responses.truncate, responses.leave}, length, meanResponseInterval)...)
	limits := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 4))}
	plan = append(plan, limits.draw([]func() Fault{limits.limitRate}, length, meanRateLimitInterval)...)
	if w.customers != nil {
		keys := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 5))}
		plan = append(plan, keys.draw([]func() Fault{keys.configure, keys.configure, keys.isolate}, length, meanKeyInterval)...)
	}
	return sorted(plan)
}

func sorted(plan []Fault) []Fault {
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// draw draws faults of the given kinds at random times.
func (p *planner) draw(kinds []func() Fault, length, interval time.Duration) []Fault {
	var plan []Fault
	for at := p.between(0, 2*interval); at < length; at += p.between(0, 2*interval) {
		f := pick(p.rng, kinds)()
		f.At = at
		plan = append(plan, f)
	}
	return plan
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low)))
}

func (p *planner) spell() time.Duration { return p.between(minSpell, maxSpell) }

// kill ends hosts at once, one or all, and starts them again.
func (p *planner) kill() Fault {
	hosts := []*Host{pick(p.rng, p.world.hosts)}
	if p.rng.IntN(5) == 0 {
		hosts = p.world.hosts
	}
	down := p.between(0, maxDown)
	return Fault{Text: fmt.Sprintf("kill %d from %s, down %s", len(hosts), hosts[0].Name, down), run: func(context.Context) {
		var all sync.WaitGroup
		for _, h := range hosts {
			all.Go(func() {
				h.life.Lock()
				defer h.life.Unlock()
				h.Kill()
				time.Sleep(down)
				p.restart(h)
			})
		}
		all.Wait()
	}}
}

func (p *planner) restart(h *Host) {
	if err := h.Start(); err != nil {
		p.ledger.violate("%s not started: %v", h.Name, err)
	}
}

// term stops a host by its signal and starts it again.
func (p *planner) term() Fault {
	h, down := pick(p.rng, p.world.hosts), p.between(0, maxDown)
	return Fault{Text: fmt.Sprintf("stop %s, down %s", h.Name, down), run: func(context.Context) {
		h.life.Lock()
		defer h.life.Unlock()
		p.stop(h)
		time.Sleep(down)
		p.restart(h)
	}}
}

// stop stops a host by its signal. The host's life is locked.
func (p *planner) stop(h *Host) {
	paused, limit := h.pauses.Load(), stopTimeout+stopSlack
	if h.still.Load() > 0 {
		// The host takes the signal when it goes on.
		limit += maxSpell
	}
	h.Signal(syscall.SIGTERM)
	if h.Ended(limit) {
		return
	}
	if h.pauses.Load() == paused {
		p.ledger.violate("%s has not ended %s after its signal", h.Name, limit)
	}
	h.Kill()
}

// pause lets a host stand still, whatever else happens to it.
func (p *planner) pause() Fault {
	h, spell := pick(p.rng, p.world.hosts), p.spell()
	return Fault{Text: fmt.Sprintf("pause %s for %s", h.Name, spell), run: func(ctx context.Context) {
		h.pauses.Add(1)
		h.still.Add(1)
		h.Signal(syscall.SIGSTOP)
		sleep(ctx, spell)
		h.Signal(syscall.SIGCONT)
		h.still.Add(-1)
	}}
}

func (p *planner) hangup() Fault {
	h := pick(p.rng, p.world.hosts)
	return Fault{Text: "hang up " + h.Name, run: func(ctx context.Context) {
		sleep(ctx, signalTime-h.Age())
		h.Signal(syscall.SIGHUP)
	}}
}

// harmStore lets the store refuse calls, lose them, lose their answers or apply
// writes late.
func (p *planner) harmStore() Fault {
	spells := []struct {
		name  string
		fault storeFault
	}{
		{"refuses", storeFault{fault: txntest.Refuse, share: 1}},
		{"loses calls", storeFault{fault: txntest.LoseRequest, share: 1}},
		{"loses answers", storeFault{fault: txntest.LoseReply, share: 0.4, writesOnly: true}},
		{"applies writes late", storeFault{fault: txntest.Late, share: 0.4, writesOnly: true}},
	}
	s, spell, seed := pick(p.rng, spells), p.spell(), p.rng.Uint64()
	lapse := p.rng.IntN(3) == 0
	return Fault{Text: fmt.Sprintf("store %s for %s, leases lapse: %v", s.name, spell, lapse), run: func(ctx context.Context) {
		p.world.store.harm(&s.fault, seed)
		if lapse {
			p.world.store.lapseAll()
		}
		sleep(ctx, spell)
		p.world.store.ReleaseLate()
		p.world.store.harm(nil, 0)
	}}
}

func (p *planner) forget() Fault {
	return Fault{Text: "store forgets its history", run: func(context.Context) { p.world.store.Compact() }}
}

// link draws the connections of a host to the store or another host, or those of
// a replica.
func (p *planner) link() (string, func() *Proxy) {
	if p.rng.IntN(3) == 0 {
		s := pick(p.rng, p.world.slots)
		return "replica " + s.name, func() *Proxy { return p.world.proxyOf(s) }
	}
	h := pick(p.rng, p.world.hosts)
	if p.rng.IntN(2) == 0 {
		return h.Name + " to store", func() *Proxy { return h.store }
	}
	others := slices.DeleteFunc(slices.Clone(p.world.hosts), func(o *Host) bool { return o == h })
	other := pick(p.rng, others)
	return h.Name + " to " + other.Name, func() *Proxy { return h.links[other.Name] }
}

// cutLink delays a link, cuts it one way or silences it.
func (p *planner) cutLink() Fault {
	name, link := p.link()
	states := []LinkState{
		{Delay: p.between(0, maxDelay)}, {HoldUp: true}, {HoldDown: true}, {HoldUp: true, HoldDown: true},
	}
	state, spell := pick(p.rng, states), p.spell()
	return Fault{Text: fmt.Sprintf("link %s: %+v for %s", name, state, spell), run: func(ctx context.Context) {
		l := link()
		l.Set(state)
		sleep(ctx, spell)
		l.Set(LinkState{})
	}}
}

func (p *planner) resetLinks() Fault {
	name, link := p.link()
	return Fault{Text: "reset link " + name, run: func(context.Context) { link().Reset() }}
}

// crashReplica ends a replica at once, and another comes in its place.
func (p *planner) crashReplica() Fault {
	s, down := pick(p.rng, p.world.slots), p.between(0, maxDown)
	return Fault{Text: fmt.Sprintf("replica %s crashes, next in %s", s.name, down), run: func(context.Context) {
		p.replace(s, true, down)
	}}
}

// truncate lets a replica break off some of its responses within an event, by an
// orderly end of the connection.
func (p *planner) truncate() Fault {
	s, every, spell := pick(p.rng, p.world.slots), 2+p.rng.IntN(8), p.spell()
	return Fault{Text: fmt.Sprintf("replica %s truncates each response %d for %s", s.name, every, spell), run: func(ctx context.Context) {
		r := p.world.replicaOf(s)
		r.SetFraming(platformtest.ResponseFraming{CloseDelimitedEvery: closeDelimitedEvery, TruncateEvery: every})
		sleep(ctx, spell)
		r.SetFraming(platformtest.ResponseFraming{CloseDelimitedEvery: closeDelimitedEvery})
	}}
}

// leave lets a replica say in its responses that it leaves, while its record says that
// it is ready, and ends it.
func (p *planner) leave() Fault {
	s := pick(p.rng, p.world.slots)
	return Fault{Text: fmt.Sprintf("replica %s leaves, which only its responses say", s.name), run: func(ctx context.Context) {
		p.world.replicaOf(s).SetLeaving(true)
		sleep(ctx, leaveTime)
		p.replace(s, true, 0)
	}}
}

// limitRate lets a replica name a rate limit in its responses.
func (p *planner) limitRate() Fault {
	s, spell, perSecond := pick(p.rng, p.world.slots), p.between(minRateLimitSpell, maxRateLimitSpell), 0.5+7.5*p.rng.Float64()
	return Fault{Text: fmt.Sprintf("replica %s takes %.1f requests a second for %s", s.name, perSecond, spell), run: func(ctx context.Context) {
		r := p.world.replicaOf(s)
		if !r.SetRateLimit(perSecond) {
			return
		}
		from := time.Now()
		sleep(ctx, spell)
		r.EndRateLimit()
		p.ledger.limitedRate(rateLimit{replica: r.ID, perSecond: perSecond, from: from, to: time.Now()})
	}}
}

// drainReplica lets a replica leave after it was reported.
func (p *planner) drainReplica() Fault {
	s := pick(p.rng, p.world.slots)
	return Fault{Text: fmt.Sprintf("replica %s drains", s.name), run: func(context.Context) {
		p.replace(s, false, 0)
	}}
}

func (p *planner) replace(s *slot, crash bool, down time.Duration) {
	s.life.Lock()
	defer s.life.Unlock()
	if err := p.world.StopReplica(s, crash, drainTime); err != nil {
		p.ledger.violate("replica %s not stopped: %v", s.name, err)
	}
	time.Sleep(down)
	if err := p.world.StartReplica(s); err != nil {
		p.ledger.violate("replica %s not started: %v", s.name, err)
	}
}

func (p *planner) configure() Fault {
	return Fault{Text: "next configuration", run: func(context.Context) {
		if err := p.world.Configure(); err != nil {
			p.ledger.violate("configuration not written: %v", err)
		}
	}}
}
