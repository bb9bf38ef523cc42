package routing

import (
	"slices"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/service"
)

// LeastInFlight is a Balancer that chooses the upstream with the fewest of the
// host's own requests in flight and uses no load reports. It is the baseline
// that other balancers are compared with.
type LeastInFlight struct {
	dataCentre string
	region     string

	mu       sync.Mutex
	inFlight map[string]int
	// rotation is the number of choices so far; it rotates the order of upstreams,
	// so that ties do not always go to the first one.
	rotation int
}

var _ Balancer = (*LeastInFlight)(nil)

// NewLeastInFlight returns a balancer for a host in the given data centre and
// region.
func NewLeastInFlight(dataCentre, region string) *LeastInFlight {
	return &LeastInFlight{dataCentre: dataCentre, region: region, inFlight: make(map[string]int)}
}

// Choose implements Balancer.
func (b *LeastInFlight) Choose(req Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotation++
	best := b.leastLoaded(req, func(u *service.Upstream) bool { return u.DataCentre == b.dataCentre })
	if best == nil && req.Doc.Routing.Scope != service.ScopeDataCentre {
		best = b.leastLoaded(req, func(u *service.Upstream) bool { return u.Region == b.region })
	}
	if best == nil {
		return nil, noUpstream(req)
	}
	b.inFlight[best.Address]++
	return &Choice{Upstream: *best, Cause: "least in flight", Done: func(Outcome) { b.done(best.Address) }}, nil
}

func (b *LeastInFlight) leastLoaded(req Request, inRange func(*service.Upstream) bool) *service.Upstream {
	var best *service.Upstream
	n := len(req.Doc.Upstreams)
	for i := range n {
		u := &req.Doc.Upstreams[(i+b.rotation)%n]
		if !inRange(u) || slices.Contains(req.Exclude, u.Name) {
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
