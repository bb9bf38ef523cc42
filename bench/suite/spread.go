package suite

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/node"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// spread measures how evenly several hosts with lagging reports load the
// replicas, against other policies.
func spread() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "spread", Summary: "first-token time of several hosts against perfect knowledge and plain policies",
		Targets: map[string]experiment.Target{"ttft_p99_vs_perfect": atMost(1.25), "ttft_p99_vs_roundrobin": atMost(1)},
		Run:     runSpread,
	}
}

// policy makes the balancer that all hosts of a run share, or nil for the
// built-in one of each host.
type policy struct {
	name string
	make func(engines map[string]*upstreamtest.Engine) func() routing.Balancer
}

func runSpread(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	policies := []policy{
		{"built_in", nil},
		{"perfect", func(e map[string]*upstreamtest.Engine) func() routing.Balancer {
			shared := &chooser{pick: leastWork(e)}
			return func() routing.Balancer { return shared }
		}},
		{"roundrobin", func(map[string]*upstreamtest.Engine) func() routing.Balancer {
			return func() routing.Balancer { return &chooser{pick: roundRobin()} }
		}},
		{"first_version", func(map[string]*upstreamtest.Engine) func() routing.Balancer {
			return func() routing.Balancer { return routing.NewLeastInFlight("fukuoka-hakata", "fukuoka") }
		}},
		{"random_two", func(map[string]*upstreamtest.Engine) func() routing.Balancer {
			return func() routing.Balancer { return &chooser{pick: randomTwo(env.Seed)} }
		}},
	}
	tails := make(map[string]float64)
	for _, p := range policies {
		tail, err := spreadPolicy(ctx, env, p)
		if err != nil {
			return nil, err
		}
		tails[p.name] = tail
	}
	out := experiment.Figures{}
	for name, tail := range tails {
		out["ttft_p99_ms_"+name] = tail
		if name != "built_in" {
			out["ttft_p99_vs_"+name] = tails["built_in"] / tail
		}
	}
	return out, nil
}

func spreadPolicy(ctx context.Context, env *experiment.Env, p policy) (float64, error) {
	u := kyushu()
	narrow, d := u.onePlace(6, 12)
	d.Batch.Enabled = false
	var mu sync.Mutex
	engines := make(map[string]*upstreamtest.Engine)
	spec := fleet.Spec{Engine: func(up *service.Upstream) upstreamtest.Options {
		o := engineOptions(up)
		o.LoadLag = 200 * time.Millisecond
		return o
	}}
	if p.make != nil {
		next := p.make(engines)
		spec.Options = func(o *node.Options) {
			mu.Lock()
			defer mu.Unlock()
			o.Balancer = next()
		}
	}
	s, err := narrow.start(spec, d)
	if err != nil {
		return 0, err
	}
	defer s.close()
	mu.Lock()
	for _, up := range s.doc.Upstreams {
		engines[up.Address] = s.Engines[up.Name]
	}
	mu.Unlock()
	capacity := s.capacity(ctx, env)
	rate := 0.75 * capacity / float64(s.chat(0, 0).Tokens)
	s.run(ctx, s.chat(rate, env.Seed+1), settle)
	stats := s.run(ctx, s.chat(rate, env.Seed), env.Duration(4*time.Second))
	say(env, "%s: p99 %.1f ms, whole %d, refused %d, failed %d", p.name, p99(stats), stats.Whole, stats.Refused, stats.Failed)
	return p99(stats), nil
}

// chooser is a baseline balancer over a plain function.
type chooser struct {
	mu   sync.Mutex
	pick func(all []service.Upstream, inFlight map[string]int) int
	held map[string]int
}

// Choose implements routing.Balancer.
func (c *chooser) Choose(ask routing.Request) (*routing.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(map[string]int)
	}
	u := ask.Doc.Upstreams[c.pick(ask.Doc.Upstreams, c.held)]
	c.held[u.Address]++
	return &routing.Choice{Upstream: u, Cause: "baseline", Done: func(routing.Outcome) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held[u.Address]--
	}}, nil
}

// leastWork knows the work of every engine without lag, and what is on its way.
func leastWork(engines map[string]*upstreamtest.Engine) func([]service.Upstream, map[string]int) int {
	return func(all []service.Upstream, held map[string]int) int {
		best, least := 0, int(^uint(0)>>1)
		for i := range all {
			l := engines[all[i].Address].Load()
			work := max(l.Running+l.Waiting, held[all[i].Address])
			if work < least {
				best, least = i, work
			}
		}
		return best
	}
}

func roundRobin() func([]service.Upstream, map[string]int) int {
	var turn atomic.Uint64
	return func(all []service.Upstream, _ map[string]int) int {
		return int(turn.Add(1) % uint64(len(all)))
	}
}

func randomTwo(seed uint64) func([]service.Upstream, map[string]int) int {
	rng := rand.New(rand.NewPCG(seed, 4))
	return func(all []service.Upstream, held map[string]int) int {
		a, b := rng.IntN(len(all)), rng.IntN(len(all))
		if held[all[b].Address] < held[all[a].Address] {
			return b
		}
		return a
	}
}
