package suite

import (
	"context"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/node"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// affinity measures prefix affinity against none and against pure hashing,
// with one hot prefix.
func affinity() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "affinity", Summary: "prefix cache hits and first-token time with and without affinity",
		Targets: map[string]experiment.Target{"ttft_p50_ratio": atMost(1), "hit_gain": atLeast(1)},
		Run:     runAffinity,
	}
}

// affinityOutcome is what one policy reached.
type affinityOutcome struct {
	hits  float64
	stats *load.Stats
}

func runAffinity(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	with, err := affinityRun(ctx, env, "affinity", nil, 0)
	if err != nil {
		return nil, err
	}
	lossy, err := affinityRun(ctx, env, "events lost", nil, 2)
	if err != nil {
		return nil, err
	}
	without, err := affinityRun(ctx, env, "no affinity", func(b routing.Balancer) routing.Balancer { return noPrefix{b} }, 0)
	if err != nil {
		return nil, err
	}
	hashed, err := affinityRun(ctx, env, "pure hashing", func(routing.Balancer) routing.Balancer { return &hashing{} }, 0)
	if err != nil {
		return nil, err
	}
	p50 := func(o *affinityOutcome) float64 { return millis(load.Percentile(o.stats.FirstToken, 50)) }
	return experiment.Figures{
		"hit_rate": with.hits, "hit_rate_no_affinity": without.hits, "hit_rate_events_lost": lossy.hits,
		"hit_rate_hashing": hashed.hits, "hit_gain": ratio(with.hits, without.hits),
		"ttft_p50_ratio": p50(with) / p50(without), "ttft_p99_ratio": p99(with.stats) / p99(without.stats),
		"ttft_p99_vs_hashing": p99(with.stats) / p99(hashed.stats), "ttft_p50_events_lost_ratio": p50(lossy) / p50(without),
	}, nil
}

func affinityRun(ctx context.Context, env *experiment.Env, name string, wrap func(routing.Balancer) routing.Balancer, loss int) (*affinityOutcome, error) {
	u := kyushu()
	narrow, d := u.onePlace(3, 8)
	d.Batch.Enabled = false
	spec := fleet.Spec{Engine: func(up *service.Upstream) upstreamtest.Options {
		o := engineOptions(up)
		o.CacheBlocks, o.EventLoss, o.EventLag = 160, loss, 500*time.Millisecond
		o.PrefillPerToken = 100 * time.Microsecond
		return o
	}}
	if wrap != nil {
		spec.Options = func(o *node.Options) { o.WrapBalancer = wrap }
	}
	s, err := narrow.start(spec, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	chat := s.chat(130, env.Seed)
	chat.Prompt = sharedPrefix(env.Seed, 40, 320, 0.3)
	s.run(ctx, chat, env.Duration(2*time.Second))
	from := s.cacheStats()
	stats := s.run(ctx, chat, env.Duration(5*time.Second))
	to := s.cacheStats()
	cached, computed := to.CachedTokens-from.CachedTokens, to.PrefillTokens-from.PrefillTokens
	out := &affinityOutcome{hits: float64(cached) / float64(max(1, cached+computed)), stats: stats}
	say(env, "%s: hit rate %.2f, p50 %.1f ms, p99 %.1f ms, failed %d, refused %d", name, out.hits,
		millis(load.Percentile(stats.FirstToken, 50)), p99(stats), stats.Failed, stats.Refused)
	return out, nil
}

func (s *system) cacheStats() upstreamtest.Stats {
	var sum upstreamtest.Stats
	for _, e := range s.Engines {
		st := e.Stats()
		sum.CachedTokens += st.CachedTokens
		sum.PrefillTokens += st.PrefillTokens
	}
	return sum
}

// noPrefix hides the prefix from a balancer.
type noPrefix struct{ routing.Balancer }

// Choose implements routing.Balancer.
func (n noPrefix) Choose(ask routing.Request) (*routing.Choice, error) {
	ask.Prefix = 0
	return n.Balancer.Choose(ask)
}

// hashing sends each prefix to one replica, whatever its load.
type hashing struct{}

// Choose implements routing.Balancer.
func (h *hashing) Choose(ask routing.Request) (*routing.Choice, error) {
	u := ask.Doc.Upstreams[ask.Prefix%uint64(len(ask.Doc.Upstreams))]
	return &routing.Choice{Upstream: u, Cause: "hash", Done: func(routing.Outcome) {}}, nil
}
