package orders

import (
	"sync"

	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Outcomes counts how the attempts of this host ended, by upstream.
type Outcomes struct {
	mu     sync.Mutex
	counts map[upstreamKey]attemptCounts
}

type upstreamKey struct{ service, upstream string }

type attemptCounts struct{ requests, failed int64 }

// NewOutcomes returns an Outcomes with no attempts counted.
func NewOutcomes() *Outcomes { return &Outcomes{counts: make(map[upstreamKey]attemptCounts)} }

// Count returns the number of attempts and of failed ones. It can be used as
// Options.Errors.
func (o *Outcomes) Count(service, upstream string) (requests, failed int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.counts[upstreamKey{service, upstream}]
	return t.requests, t.failed
}

// Observe returns a balancer that counts how the attempts chosen by b end.
func (o *Outcomes) Observe(b routing.Balancer) routing.Balancer {
	return &countingBalancer{outcomes: o, inner: b}
}

// record counts an attempt. A request that was not run is not counted, since it
// says nothing about the engine's state.
func (o *Outcomes) record(k upstreamKey, err error) {
	if err != nil && verdict.Of(err) == verdict.NotRun {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.counts[k]
	t.requests++
	if err != nil {
		t.failed++
	}
	o.counts[k] = t
}

type countingBalancer struct {
	outcomes *Outcomes
	inner    routing.Balancer
}

// Choose implements routing.Balancer.
func (b *countingBalancer) Choose(req routing.Request) (*routing.Choice, error) {
	c, err := b.inner.Choose(req)
	if err != nil {
		return nil, err
	}
	done, key := c.Done, upstreamKey{req.Doc.Name, c.Upstream.Name}
	c.Done = func(out routing.Outcome) {
		b.outcomes.record(key, out.Err)
		done(out)
	}
	return c, nil
}
