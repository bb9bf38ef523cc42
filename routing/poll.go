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

// Intervals and limits of polling for load.
const (
	// pollRoundInterval is the mean time between two rounds.
	pollRoundInterval = time.Second
	// upstreamPollInterval is the time without a load report after which an
	// upstream is polled.
	upstreamPollInterval = 5 * time.Second
	// unansweredPollInterval is the time after which an upstream that returned no
	// load is polled again; load reports are optional.
	unansweredPollInterval = time.Minute
	// maxPollsPerRound is the greatest number of upstreams polled in one round.
	maxPollsPerRound = 4
	// serviceIdleTimeout is the time without a request after which a service's
	// upstreams are no longer polled.
	serviceIdleTimeout = 10 * time.Minute
	// pollTimeout is the time limit of one poll.
	pollTimeout = time.Second
)

// Poller requests the load of those upstreams in the host's subsets that have
// sent no report for upstreamPollInterval, so that an upstream without requests
// is not rated by an old report, and one that is leaving is detected.
type Poller struct {
	Balancer *LoadAware
	// Fetch requests the load of an upstream; it returns nil if the upstream
	// reports none.
	Fetch func(ctx context.Context, u *service.Upstream) (*upstream.Load, error)
}

// String returns the name of the poller in supervisor events.
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

// PollOnce runs one round: it polls the upstreams that are due, those with the
// oldest reports first.
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

// pollTarget is an upstream that is due for a poll; its last report was read at
// readAt.
type pollTarget struct {
	pool     *pool
	member   *member
	upstream service.Upstream
	readAt   time.Time
}

// dueForPoll returns the upstreams to poll in one round, at most
// maxPollsPerRound, and records now as the time of their last poll.
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

// pollInterval returns the shortest time between two polls of an upstream. It is
// longer if the last poll returned no load.
func (m *member) pollInterval() time.Duration {
	if m.polledAt.After(m.readAt) {
		return unansweredPollInterval
	}
	return upstreamPollInterval
}
