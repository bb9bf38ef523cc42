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

// modelClock is a clock whose time is set by the model.
type modelClock struct {
	clockwork.Clock
	now time.Time
}

func newModelClock() *modelClock {
	return &modelClock{Clock: clockwork.NewRealClock(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (c *modelClock) Now() time.Time                  { return c.now }
func (c *modelClock) Since(t time.Time) time.Duration { return c.now.Sub(t) }

// Parameters of a modelled engine, the same as those of the test engine in package
// upstreamtest.
const (
	modelMaxRunning      = 32
	modelStepBase        = 4 * time.Millisecond
	modelStepPerRequest  = 50 * time.Microsecond
	modelPrefillPerToken = 10 * time.Microsecond
)

// modelRequest is one request of the model.
type modelRequest struct {
	host                       int
	promptTokens, answerTokens int
	remainingTokens            int
	prefix                     uint64
	arrived                    time.Time
	choice                     *routing.Choice
	sentTo                     *modelEngine
	hit                        bool
}

// modelEngine is an engine with continuous batching, simulated step by step.
type modelEngine struct {
	waiting, running []*modelRequest
	stepping         bool
	cache            *simplelru.LRU[uint64, struct{}]
	reports          []upstream.Load
}

func (e *modelEngine) requests() int { return len(e.waiting) + len(e.running) }

func (e *modelEngine) outstandingTokens() int {
	sum := 0
	for _, list := range [][]*modelRequest{e.waiting, e.running} {
		for _, r := range list {
			sum += r.remainingTokens
		}
	}
	return sum
}

// modelEvent is an action scheduled for a time; seq orders events of equal time.
type modelEvent struct {
	at     time.Time
	seq    int
	action func()
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

// modelSpec describes a run of the model.
type modelSpec struct {
	seed           uint64
	hosts, engines int
	// rate is the number of arrivals per second over all engines.
	rate     float64
	duration time.Duration
	// reportLag is the age of a load report when the host receives it.
	reportLag time.Duration
	// request returns the next request.
	request func(r *rand.Rand) *modelRequest
	// hidePrefix withholds the prefix from the balancers.
	hidePrefix bool
	// cachePrefixes is the number of prefixes that an engine caches; zero means no
	// cache.
	cachePrefixes int
	// choose returns the engine for a request; if it is nil, the balancers choose.
	choose func(m *model, r *modelRequest) int
	// balancer returns the balancer of a host.
	balancer func(m *model, host int) routing.Balancer
	// onCacheEvent is called when an engine's cache adds or drops a prefix.
	onCacheEvent func(m *model, engine int, prefix uint64, dropped bool)
}

// model simulates hosts and engines in simulated time.
type model struct {
	spec   modelSpec
	clock  *modelClock
	random *rand.Rand
	// choices is separate from random, so that all policies get the same workload.
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
			e.cache, _ = simplelru.NewLRU(spec.cachePrefixes, func(prefix uint64, _ struct{}) { m.emitCacheEvent(i, prefix, true) })
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

func (m *model) emitCacheEvent(engine int, prefix uint64, dropped bool) {
	if m.spec.onCacheEvent != nil {
		m.spec.onCacheEvent(m, engine, prefix, dropped)
	}
}

func (m *model) schedule(d time.Duration, action func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.clock.now.Add(d), m.seq, action})
}

// run processes events until none is left.
func (m *model) run() {
	end := m.clock.now.Add(m.spec.duration)
	m.scheduleArrival(end)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.clock.now = e.at
		e.action()
	}
}

func (m *model) scheduleArrival(end time.Time) {
	wait := time.Duration(m.random.ExpFloat64() / m.spec.rate * float64(time.Second))
	m.schedule(wait, func() {
		if m.clock.now.After(end) {
			return
		}
		r := m.spec.request(m.random)
		r.host, r.remainingTokens, r.arrived = m.random.IntN(m.spec.hosts), r.answerTokens, m.clock.now
		m.send(r)
		m.scheduleArrival(end)
	})
}

func (m *model) send(r *modelRequest) {
	var engine int
	if m.spec.choose != nil {
		engine = m.spec.choose(m, r)
	} else {
		req := routing.Request{Doc: m.doc, Tokens: r.promptTokens + 2*r.answerTokens, Prefix: r.prefix}
		if m.spec.hidePrefix {
			req.Prefix = 0
		}
		choice, err := m.balancers[r.host].Choose(req)
		if err != nil {
			panic(err)
		}
		r.choice = choice
		engine = slices.IndexFunc(m.doc.Upstreams, func(u service.Upstream) bool { return u.Name == choice.Upstream.Name })
	}
	e := m.engines[engine]
	r.sentTo = e
	e.waiting = append(e.waiting, r)
	m.startStep(e)
}

// startStep starts the next step of an engine, if it has requests and no step is
// in progress.
func (m *model) startStep(e *modelEngine) {
	if e.stepping || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	var cost time.Duration
	for len(e.running) < modelMaxRunning && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		cost += m.prefill(e, r)
	}
	cost += modelStepBase + time.Duration(len(e.running))*modelStepPerRequest
	m.schedule(cost, func() { m.finishStep(e) })
}

func (m *model) prefill(e *modelEngine, r *modelRequest) time.Duration {
	if e.cache != nil && r.prefix != 0 {
		if _, ok := e.cache.Get(r.prefix); ok {
			r.hit = true
			return 0
		}
		e.cache.Add(r.prefix, struct{}{})
		m.emitCacheEvent(slices.Index(m.engines, e), r.prefix, false)
	}
	return time.Duration(r.promptTokens) * modelPrefillPerToken
}

func (m *model) finishStep(e *modelEngine) {
	e.stepping = false
	keep := e.running[:0]
	for _, r := range e.running {
		if r.remainingTokens == r.answerTokens {
			m.recordFirstToken(e, r)
		}
		r.remainingTokens--
		if r.remainingTokens > 0 {
			keep = append(keep, r)
			continue
		}
		m.finishRequest(r)
	}
	e.running = keep
	e.reports = append(e.reports, upstream.Load{At: m.clock.now, Running: len(e.running), Waiting: len(e.waiting)})
	m.startStep(e)
}

// laggedReport returns the engine's load as of reportLag ago.
func (m *model) laggedReport(e *modelEngine) *upstream.Load {
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

func (m *model) recordFirstToken(e *modelEngine, r *modelRequest) {
	m.firstToken = append(m.firstToken, m.clock.now.Sub(r.arrived))
	if r.choice != nil && r.choice.Observe != nil {
		r.choice.Observe(m.laggedReport(e))
	}
}

func (m *model) finishRequest(r *modelRequest) {
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

// loadAware returns the balancer under test.
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
