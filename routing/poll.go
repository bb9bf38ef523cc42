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
	// pollRoundInterval is the mean time between two rounds.
	pollRoundInterval = time.Second
	// upstreamPollInterval is the time without an answer after which an upstream is asked.
	upstreamPollInterval = 5 * time.Second
	// unansweredPollInterval is the time until an upstream that did not tell is asked
	// again; telling is optional.
	unansweredPollInterval = time.Minute
	// maxPollsPerRound bounds the upstreams asked in one round.
	maxPollsPerRound = 4
	// serviceIdleTimeout is the time without a request after which a service's
	// upstreams are no longer asked.
	serviceIdleTimeout = 10 * time.Minute
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
		wait := pollRoundInterval/2 + time.Duration(random.Int64N(int64(pollRoundInterval)))
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
	for _, target := range p.Balancer.dueForPoll(p.Balancer.opts.Clock.Now()) {
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		load, err := p.Fetch(pollCtx, &target.upstream)
		cancel()
		if err == nil && load != nil {
			target.pool.observe(target.member, load)
		}
	}
}

// pollTarget is an upstream that is due for a question.
type pollTarget struct {
	pool     *pool
	member   *member
	upstream service.Upstream
	readAt   time.Time
}

// dueForPoll returns the members that are due, and notes that they are asked now.
func (b *LoadAware) dueForPoll(now time.Time) []pollTarget {
	var due []pollTarget
	for _, p := range b.allPools() {
		due = append(due, p.dueForPoll(now)...)
	}
	slices.SortFunc(due, func(a, b pollTarget) int {
		return cmp.Or(a.readAt.Compare(b.readAt), cmp.Compare(a.member.key, b.member.key))
	})
	due = due[:min(len(due), maxPollsPerRound)]
	for _, target := range due {
		target.pool.mu.Lock()
		target.member.polledAt = now
		target.pool.mu.Unlock()
	}
	return due
}

func (p *pool) dueForPoll(now time.Time) []pollTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []pollTarget
	if now.Sub(p.lastRoutedAt) > serviceIdleTimeout {
		return nil
	}
	for _, m := range p.subset {
		if now.Sub(m.readAt) >= upstreamPollInterval && now.Sub(m.polledAt) >= m.pollInterval() {
			due = append(due, pollTarget{p, m, m.upstream, m.readAt})
		}
	}
	return due
}

// pollInterval is the time between two questions: longer for an upstream that did
// not tell when it was last asked.
func (m *member) pollInterval() time.Duration {
	if m.polledAt.After(m.readAt) {
		return unansweredPollInterval
	}
	return upstreamPollInterval
}
