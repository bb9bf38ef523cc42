package routing

import (
	"slices"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// LeastInFlight is a Balancer that knows only the host's own work. It is the
// baseline that better balancers are measured against.
type LeastInFlight struct {
	dataCentre string
	region     string

	mu       sync.Mutex
	inFlight map[string]int
	turn     int
}

var _ Balancer = (*LeastInFlight)(nil)

// NewLeastInFlight returns a balancer for a host in the given place.
func NewLeastInFlight(dataCentre, region string) *LeastInFlight {
	return &LeastInFlight{dataCentre: dataCentre, region: region, inFlight: make(map[string]int)}
}

// Choose implements Balancer.
func (b *LeastInFlight) Choose(ask Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	best := b.least(ask, func(u *service.Upstream) bool { return u.DataCentre == b.dataCentre })
	if best == nil && ask.Doc.Routing.Scope != service.ScopeDataCentre {
		best = b.least(ask, func(u *service.Upstream) bool { return u.Region == b.region })
	}
	if best == nil {
		return nil, noUpstream(ask)
	}
	b.inFlight[best.Address]++
	return &Choice{Upstream: *best, Cause: "least in flight", Done: func(Outcome) { b.done(best.Address) }}, nil
}

func (b *LeastInFlight) least(ask Request, near func(*service.Upstream) bool) *service.Upstream {
	var best *service.Upstream
	n := len(ask.Doc.Upstreams)
	for i := range n {
		u := &ask.Doc.Upstreams[(i+b.turn)%n]
		if !near(u) || slices.Contains(ask.Exclude, u.Name) {
			continue
		}
		if best == nil || b.inFlight[u.Address] < b.inFlight[best.Address] {
			best = u
		}
	}
	return best
}

func (b *LeastInFlight) done(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[address]--
}
