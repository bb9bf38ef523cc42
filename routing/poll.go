package routing

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Bounds of polling for load.
const (
	// pollTick is the mean time between two rounds.
	pollTick = time.Second
	// quietTime is the time without an answer after which an upstream is asked.
	quietTime = 5 * time.Second
	// pollBackoff is the time until an upstream that did not tell is asked
	// again; telling is optional.
	pollBackoff = time.Minute
	// maxPolls bounds the upstreams asked in one round.
	maxPolls = 4
	// unusedTime is the time without a request after which a service's
	// upstreams are no longer asked.
	unusedTime = 10 * time.Minute
	// pollTimeout bounds one question.
	pollTimeout = time.Second
)

// Poller asks the upstreams of the host's subsets for their load when no answer
// has told it for a while, so that an upstream without work is not judged by an
// old report, and one that leaves is noticed.
type Poller struct {
	Balancer *LoadAware
	// Fetch asks an upstream for its load.
	Fetch func(ctx context.Context, u *service.Upstream) (*upstream.Load, error)
}

// String names the poller in supervisor events.
func (p *Poller) String() string { return "load poller" }

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	clock := p.Balancer.opts.Clock
	random := rand.New(rand.NewPCG(p.Balancer.opts.Seed, 0))
	for {
		wait := pollTick/2 + time.Duration(random.Int64N(int64(pollTick)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.After(wait):
		}
		p.PollOnce(ctx)
	}
}

// PollOnce asks those upstreams that were quiet the longest.
func (p *Poller) PollOnce(ctx context.Context) {
	for _, q := range p.Balancer.quiet(p.Balancer.opts.Clock.Now()) {
		bound, cancel := context.WithTimeout(ctx, pollTimeout)
		load, err := p.Fetch(bound, &q.upstream)
		cancel()
		if err == nil && load != nil {
			q.pool.observe(q.member, load)
		}
	}
}

// quietMember is an upstream that is due for a question.
type quietMember struct {
	pool     *pool
	member   *member
	upstream service.Upstream
	since    time.Time
}

// quiet returns the members that are due, and notes that they are asked now.
func (b *LoadAware) quiet(now time.Time) []quietMember {
	var due []quietMember
	for _, p := range b.all() {
		due = append(due, p.quiet(now)...)
	}
	slices.SortFunc(due, func(a, b quietMember) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.member.key, b.member.key))
	})
	due = due[:min(len(due), maxPolls)]
	for _, q := range due {
		q.pool.mu.Lock()
		q.member.askedAt = now
		q.pool.mu.Unlock()
	}
	return due
}

func (p *pool) quiet(now time.Time) []quietMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []quietMember
	if now.Sub(p.usedAt) > unusedTime {
		return nil
	}
	for _, m := range p.subset {
		if now.Sub(m.readAt) >= quietTime && now.Sub(m.askedAt) >= m.pollWait() {
			due = append(due, quietMember{p, m, m.upstream, m.readAt})
		}
	}
	return due
}

// pollWait is the time between two questions: longer for an upstream that did
// not tell when it was last asked.
func (m *member) pollWait() time.Duration {
	if m.askedAt.After(m.readAt) {
		return pollBackoff
	}
	return quietTime
}
