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

// Options are the dependencies and the location of a LoadAware balancer. All
// fields but Seed and PrefixCache are required.
type Options struct {
	DataCentre string
	Region     string
	Hosts      membership.View
	Upstreams  membership.UpstreamView
	// CrossRegion reports whether the service's allotment of cross-region bytes
	// admits one more request.
	CrossRegion func(*service.Document) bool
	Clock       clockwork.Clock
	Seed        uint64
	// PrefixCache lists the prefixes cached at upstreams; nil means that none is
	// known.
	PrefixCache PrefixCache
}

// PrefixCache reports which prefixes an upstream has cached, according to cache
// events. It may be wrong, because events are late and can be lost.
type PrefixCache interface {
	// Contains reports whether the upstream at an address has cached a prefix.
	Contains(address string, prefix uint64) bool
}

// LoadAware is a Balancer that uses the load reports of upstreams together with
// the host's own requests in flight; Decide makes the choice. It is safe for
// concurrent use.
type LoadAware struct {
	opts Options

	mu sync.RWMutex
	// pools has one entry per service name.
	pools map[string]*pool
}

var (
	_ Balancer       = (*LoadAware)(nil)
	_ ActivityReader = (*LoadAware)(nil)
)

// NewLoadAware returns a balancer that has no load data yet.
func NewLoadAware(o Options) *LoadAware {
	return &LoadAware{opts: o, pools: make(map[string]*pool)}
}

// Choose implements Balancer.
func (b *LoadAware) Choose(req Request) (*Choice, error) {
	p := b.pool(req.Doc.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(req.Doc)
	m, decision := p.choose(&req)
	if m == nil {
		return nil, noUpstream(req)
	}
	tokens := float64(max(1, req.Tokens))
	p.start(m, tokens, req.Batch)
	return &Choice{
		Upstream: m.upstream, Cause: decision.Cause, Scores: decision.Scores,
		Done:    func(o Outcome) { p.finish(m, tokens, req.Batch, o) },
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

// Activity implements ActivityReader. For an upstream that several services use,
// it adds up the requests of all of them.
func (b *LoadAware) Activity(address string) Activity {
	var sum Activity
	for _, p := range b.allPools() {
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

func (b *LoadAware) allPools() []*pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make([]*pool, 0, len(b.pools))
	for _, p := range b.pools {
		out = append(out, p)
	}
	return out
}

// Status is the state of one upstream as this host sees it, for operators.
type Status struct {
	Service    string           `json:"service"`
	Name       string           `json:"name"`
	Address    string           `json:"address"`
	DataCentre string           `json:"data_centre"`
	State      membership.State `json:"state"`
	Ejected    bool             `json:"ejected,omitempty"`
	Failures   int              `json:"failures,omitempty"`
	// Subset reports whether the upstream belongs to the host's subset, to which it
	// keeps connections.
	Subset bool `json:"subset"`
	Online int  `json:"online"`
	Batch  int  `json:"batch"`
	// Load is the newest load report, read LoadAgeMS milliseconds ago; nil if
	// there is none.
	Load      *upstream.Load `json:"load,omitempty"`
	LoadAgeMS int64          `json:"load_age_ms,omitempty"`
}

// Statuses returns the state of all upstreams of the services that the host has
// routed to, sorted by name within each service.
func (b *LoadAware) Statuses() []Status {
	var out []Status
	for _, p := range b.allPools() {
		out = append(out, p.statuses()...)
	}
	return out
}

// maxReportAge is the age up to which ServiceLoad counts a report.
const maxReportAge = 5 * time.Second

// ServiceLoad returns the mean numbers of running and waiting requests that the
// upstreams of a service in the host's subset have reported within maxReportAge,
// and the number of upstreams with such a report.
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
