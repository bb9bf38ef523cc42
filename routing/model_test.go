package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// modelClock is a clock that the model sets.
type modelClock struct {
	clockwork.Clock
	now time.Time
}

func newModelClock() *modelClock {
	return &modelClock{Clock: clockwork.NewRealClock(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (c *modelClock) Now() time.Time                  { return c.now }
func (c *modelClock) Since(t time.Time) time.Duration { return c.now.Sub(t) }

// Sizes of a modelled engine, as those of the stand-in engine.
const (
	modelMaxRunning = 32
	modelStepBase   = 4 * time.Millisecond
	modelPerSeq     = 50 * time.Microsecond
	modelPrefill    = 10 * time.Microsecond
)

// modelRequest is one request in the model.
type modelRequest struct {
	host           int
	prompt, answer int
	left           int
	prefix         uint64
	arrived        time.Time
	choice         *routing.Choice
	sentTo         *modelEngine
	hit            bool
}

// modelEngine batches continuously, step by step.
type modelEngine struct {
	waiting, running []*modelRequest
	busy             bool
	cache            *simplelru.LRU[uint64, struct{}]
	reports          []upstream.Load
}

func (e *modelEngine) requests() int { return len(e.waiting) + len(e.running) }

func (e *modelEngine) backlog() int {
	sum := 0
	for _, list := range [][]*modelRequest{e.waiting, e.running} {
		for _, r := range list {
			sum += r.left
		}
	}
	return sum
}

// modelEvent is something due at a time.
type modelEvent struct {
	at  time.Time
	seq int
	do  func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// modelSpec describes a run.
type modelSpec struct {
	seed           uint64
	hosts, engines int
	// rate is the arrivals a second.
	rate     float64
	duration time.Duration
	// reportLag is the age of a load report when it is sent.
	reportLag time.Duration
	// request shapes the next request.
	request func(r *rand.Rand) *modelRequest
	// blind hides the prefix from the balancers.
	blind bool
	// cachePrefixes bounds the prefixes that an engine caches; zero is none.
	cachePrefixes int
	// choose returns the engine of a request; nil asks the balancers.
	choose func(m *model, r *modelRequest) int
	// balancer makes the balancer of a host.
	balancer func(m *model, host int) routing.Balancer
	// event takes a cache event of an engine.
	event func(m *model, engine int, prefix uint64, dropped bool)
}

// model is a fleet in memory.
type model struct {
	spec   modelSpec
	clock  *modelClock
	random *rand.Rand
	// choices is apart from random, so that all policies see one workload.
	choices    *rand.Rand
	events     modelEvents
	seq        int
	engines    []*modelEngine
	balancers  []routing.Balancer
	doc        *service.Document
	firstToken []time.Duration
	hits, done int
	finished   func(r *modelRequest)
}

func modelDocument(engines int) *service.Document {
	doc := &service.Document{Name: "s", Routing: service.Routing{
		Scope: service.ScopeRegion, Subset: 40, Concurrency: modelMaxRunning, EjectLimit: 0.3, SlowStart: 10 * time.Second,
	}}
	for i := range engines {
		doc.Upstreams = append(doc.Upstreams, service.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "dc", Region: "r",
		})
	}
	return doc
}

func newModel(spec modelSpec) *model {
	m := &model{
		spec: spec, clock: newModelClock(), random: rand.New(rand.NewPCG(spec.seed, 1)), choices: rand.New(rand.NewPCG(spec.seed, 2)), doc: modelDocument(spec.engines),
	}
	for i := range spec.engines {
		e := &modelEngine{}
		if spec.cachePrefixes > 0 {
			e.cache, _ = simplelru.NewLRU(spec.cachePrefixes, func(prefix uint64, _ struct{}) { m.cacheEvent(i, prefix, true) })
		}
		m.engines = append(m.engines, e)
	}
	for h := range spec.hosts {
		if spec.balancer != nil {
			m.balancers = append(m.balancers, spec.balancer(m, h))
		}
	}
	return m
}

func (m *model) cacheEvent(engine int, prefix uint64, dropped bool) {
	if m.spec.event != nil {
		m.spec.event(m, engine, prefix, dropped)
	}
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.clock.now.Add(d), m.seq, do})
}

// run runs the model to its end.
func (m *model) run() {
	end := m.clock.now.Add(m.spec.duration)
	m.arrive(end)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.clock.now = e.at
		e.do()
	}
}

func (m *model) arrive(end time.Time) {
	wait := time.Duration(m.random.ExpFloat64() / m.spec.rate * float64(time.Second))
	m.after(wait, func() {
		if m.clock.now.After(end) {
			return
		}
		r := m.spec.request(m.random)
		r.host, r.left, r.arrived = m.random.IntN(m.spec.hosts), r.answer, m.clock.now
		m.send(r)
		m.arrive(end)
	})
}

func (m *model) send(r *modelRequest) {
	var engine int
	if m.spec.choose != nil {
		engine = m.spec.choose(m, r)
	} else {
		ask := routing.Request{Doc: m.doc, Tokens: r.prompt + 2*r.answer, Prefix: r.prefix}
		if m.spec.blind {
			ask.Prefix = 0
		}
		choice, err := m.balancers[r.host].Choose(ask)
		if err != nil {
			panic(err)
		}
		r.choice = choice
		engine = slices.IndexFunc(m.doc.Upstreams, func(u service.Upstream) bool { return u.Name == choice.Upstream.Name })
	}
	e := m.engines[engine]
	r.sentTo = e
	e.waiting = append(e.waiting, r)
	m.step(e)
}

// step runs one step of an engine, if it has work and no step is under way.
func (m *model) step(e *modelEngine) {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	var cost time.Duration
	for len(e.running) < modelMaxRunning && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		cost += m.prefill(e, r)
	}
	cost += modelStepBase + time.Duration(len(e.running))*modelPerSeq
	m.after(cost, func() { m.stepped(e) })
}

func (m *model) prefill(e *modelEngine, r *modelRequest) time.Duration {
	if e.cache != nil && r.prefix != 0 {
		if _, ok := e.cache.Get(r.prefix); ok {
			r.hit = true
			return 0
		}
		e.cache.Add(r.prefix, struct{}{})
		m.cacheEvent(slices.Index(m.engines, e), r.prefix, false)
	}
	return time.Duration(r.prompt) * modelPrefill
}

func (m *model) stepped(e *modelEngine) {
	e.busy = false
	keep := e.running[:0]
	for _, r := range e.running {
		if r.left == r.answer {
			m.begun(e, r)
		}
		r.left--
		if r.left > 0 {
			keep = append(keep, r)
			continue
		}
		m.ended(r)
	}
	e.running = keep
	e.reports = append(e.reports, upstream.Load{At: m.clock.now, Running: len(e.running), Waiting: len(e.waiting)})
	m.step(e)
}

// report returns the engine's load report, which lags.
func (m *model) report(e *modelEngine) *upstream.Load {
	limit := m.clock.now.Add(-m.spec.reportLag)
	for len(e.reports) > 1 && !e.reports[1].At.After(limit) {
		e.reports = e.reports[1:]
	}
	if len(e.reports) == 0 {
		return nil
	}
	l := e.reports[0]
	return &l
}

func (m *model) begun(e *modelEngine, r *modelRequest) {
	m.firstToken = append(m.firstToken, m.clock.now.Sub(r.arrived))
	if r.choice != nil && r.choice.Observe != nil {
		r.choice.Observe(m.report(e))
	}
}

func (m *model) ended(r *modelRequest) {
	m.done++
	if r.hit {
		m.hits++
	}
	if r.choice != nil {
		r.choice.Done(routing.Outcome{})
	}
	if m.finished != nil {
		m.finished(r)
	}
}

// quantile returns a quantile of the time to the first token.
func (m *model) quantile(q float64) time.Duration {
	slices.Sort(m.firstToken)
	return m.firstToken[int(q*float64(len(m.firstToken)-1))]
}

func (m *model) hitRate() float64 { return float64(m.hits) / float64(m.done) }

// loadAware makes the balancer under test.
func loadAware(m *model, host int) routing.Balancer { return loadAwareWith(nil)(m, host) }

func loadAwareWith(cache func(m *model) routing.PrefixCache) func(m *model, host int) routing.Balancer {
	return func(m *model, host int) routing.Balancer {
		var others []membership.Host
		for h := range m.spec.hosts {
			if h != host {
				others = append(others, membership.Host{Name: fmt.Sprintf("h%d", h), DataCentre: "dc"})
			}
		}
		o := routing.Options{
			DataCentre: "dc", Region: "r", Clock: m.clock, Seed: uint64(host) + 100*m.spec.seed,
			Hosts:     membership.NewStatic(membership.Host{Name: fmt.Sprintf("h%d", host), DataCentre: "dc"}, others...),
			Upstreams: membership.NewLocalUpstreams(), CrossRegion: func(*service.Document) bool { return false },
		}
		if cache != nil {
			o.PrefixCache = cache(m)
		}
		return routing.NewLoadAware(o)
	}
}
