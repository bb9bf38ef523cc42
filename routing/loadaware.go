package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Options are what a LoadAware balancer works with. All fields but Seed and
// Cache are required.
type Options struct {
	DataCentre string
	Region     string
	Hosts      membership.View
	Upstreams  membership.UpstreamView
	// CrossRegion reports whether the allotment of cross-region bytes has room.
	CrossRegion func(*service.Document) bool
	Clock       clockwork.Clock
	Seed        uint64
	// PrefixCache knows which upstreams hold a prefix; nil knows nothing.
	PrefixCache PrefixCache
}

// PrefixCache tells which prefixes an upstream holds, from cache events. It may be
// wrong: events come late and with gaps.
type PrefixCache interface {
	Contains(address string, prefix uint64) bool
}

// LoadAware is the Balancer of a host: it keeps what the host knows of each
// upstream and lets Decide choose. It is safe for concurrent use.
type LoadAware struct {
	opts Options

	mu    sync.RWMutex
	pools map[string]*pool
}

var (
	_ Balancer       = (*LoadAware)(nil)
	_ ActivityReader = (*LoadAware)(nil)
)

// NewLoadAware returns a balancer without knowledge.
func NewLoadAware(o Options) *LoadAware {
	return &LoadAware{opts: o, pools: make(map[string]*pool)}
}

// Choose implements Balancer.
func (b *LoadAware) Choose(ask Request) (*Choice, error) {
	p := b.pool(ask.Doc.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(ask.Doc)
	m, plan := p.choose(&ask)
	if m == nil {
		return nil, noUpstream(ask)
	}
	tokens := float64(max(1, ask.Tokens))
	p.begin(m, tokens, ask.Batch)
	return &Choice{
		Upstream: m.upstream, Cause: plan.Cause, Scores: plan.Scores,
		Done:    func(o Outcome) { p.done(m, tokens, ask.Batch, o) },
		Observe: func(l *upstream.Load) { p.observe(m, l) },
	}, nil
}

func (b *LoadAware) pool(name string) *pool {
	b.mu.RLock()
	p, ok := b.pools[name]
	b.mu.RUnlock()
	if ok {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.pools[name]; ok {
		return p
	}
	p = &pool{
		opts: &b.opts, service: name, members: make(map[string]*member),
		random: rand.New(rand.NewPCG(b.opts.Seed, xxhash.Sum64String(name))),
	}
	b.pools[name] = p
	return p
}

// Activity implements Observer. An upstream of several services is counted
// over all of them.
func (b *LoadAware) Activity(address string) Activity {
	var sum Activity
	for _, p := range b.all() {
		a, ok := p.activity(address)
		if !ok {
			continue
		}
		sum.Online += a.Online
		sum.Batch += a.Batch
		if a.ReadAt.After(sum.ReadAt) {
			sum.Load, sum.ReadAt = a.Load, a.ReadAt
		}
	}
	return sum
}

func (b *LoadAware) all() []*pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]*pool, 0, len(b.pools))
	for _, p := range b.pools {
		out = append(out, p)
	}
	return out
}

// Status is the state of one upstream as a host sees it, for operators.
type Status struct {
	Service    string           `json:"service"`
	Name       string           `json:"name"`
	Address    string           `json:"address"`
	DataCentre string           `json:"data_centre"`
	State      membership.State `json:"state"`
	Ejected    bool             `json:"ejected,omitempty"`
	Failures   int              `json:"failures,omitempty"`
	// Subset says that the host keeps connections to the upstream.
	Subset bool `json:"subset"`
	Online int  `json:"online"`
	Batch  int  `json:"batch"`
	// Load is the newest report; nil if there is none.
	Load      *upstream.Load `json:"load,omitempty"`
	LoadAgeMS int64          `json:"load_age_ms,omitempty"`
}

// Statuses returns the state of all upstreams that the host has routed to, by
// service and name.
func (b *LoadAware) Statuses() []Status {
	var out []Status
	for _, p := range b.all() {
		out = append(out, p.statuses()...)
	}
	return out
}

// maxReportAge is the age up to which a report counts in ServiceLoad.
const maxReportAge = 5 * time.Second

// ServiceLoad returns the mean running and waiting requests that the upstreams
// of a service in the host's subset reported lately, and the number of reports.
func (b *LoadAware) ServiceLoad(name string) (running, waiting float64, reports int) {
	p := b.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for _, m := range p.subset {
		if m.load == nil || now.Sub(m.readAt) > maxReportAge {
			continue
		}
		running += float64(m.load.Running)
		waiting += float64(m.load.Waiting)
		reports++
	}
	if reports == 0 {
		return 0, 0, 0
	}
	return running / float64(reports), waiting / float64(reports), reports
}
