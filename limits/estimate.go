package limits

import (
	"time"
)

// Parameters of the wait estimate and of the Retry-After of refusals.
const (
	// sampleWeight is the weight of one finished request in the moving averages
	// of tokens and duration.
	sampleWeight = 0.02
	// usageWeight is the weight of one admitted request in the moving average of
	// each class's share of the capacity.
	usageWeight = 0.02
	// maxWaitFraction is the fraction of a class's first-token target that a
	// request may wait for admission; the rest is left to the upstream.
	maxWaitFraction = 0.8
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 100 * time.Millisecond
	// retryJitter is the largest random addition to Retry-After, as a fraction
	// of it, so that refused callers don't all retry at the same time.
	retryJitter = 0.5
)

// throughput keeps moving averages of the tokens and the duration of a request,
// from which the token rate of the service is estimated.
type throughput struct {
	tokens, seconds float64
}

// observe adds a finished request to the moving averages.
func (s *throughput) observe(tokens float64, elapsed time.Duration) {
	if s.seconds == 0 {
		s.tokens, s.seconds = tokens, elapsed.Seconds()
		return
	}
	s.tokens += sampleWeight * (tokens - s.tokens)
	s.seconds += sampleWeight * (elapsed.Seconds() - s.seconds)
}

// tokensPerSecond returns the estimated token rate at a concurrency of limit
// requests, by Little's law. Zero means that no request has finished yet.
func (s *throughput) tokensPerSecond(limit int) float64 {
	if s.seconds <= 0 {
		return 0
	}
	return float64(limit) * s.tokens / s.seconds
}

// estimateWait estimates how long a new request of the caller would wait. There are
// two ways for it to be served, and the sooner one counts: after the waiting work of
// more urgent classes, at the rate that those classes leave, or at the rate of the
// minimum share of its class.
func (q *queue) estimateWait(class *classQueue, caller *callerQueue, tokens float64) time.Duration {
	rate := q.throughput.tokensPerSecond(q.limit)
	if rate == 0 {
		return 0
	}
	priorTokens, remaining := 0.0, 1.0
	for _, c := range q.classes[:class.priority] {
		priorTokens += c.tokens
		remaining -= c.usage
	}
	ownTokens := class.workThrough(caller, tokens)
	seconds := (priorTokens + ownTokens) / (rate * max(remaining, minRemainingFraction))
	if class.class.MinimumShare > 0 {
		seconds = min(seconds, ownTokens/(rate*class.class.MinimumShare))
	}
	return time.Duration(seconds * float64(time.Second))
}

// workThrough returns the tokens that the class serves up to and including a new
// request of the caller, while each active caller gets its fair share. It can
// exceed what waits now, because later requests of callers with little waiting
// work are served before the new one.
func (c *classQueue) workThrough(caller *callerQueue, tokens float64) float64 {
	weights := c.activeWeight
	if len(caller.waiting) == 0 {
		weights += caller.flow.Weight
	}
	// The caller's finish tag may be ahead of the virtual time because of
	// requests that were served already; the caller waits for that first.
	debt := max(0, caller.flow.Finish()-caller.tokens/caller.flow.Weight-c.clock.Now())
	return ((caller.tokens+tokens)/caller.flow.Weight + debt) * weights
}

// minRemainingFraction is the smallest fraction of the rate that more urgent classes
// are assumed to leave. It keeps the estimate finite for a class without a minimum
// share.
const minRemainingFraction = 0.01

// LoadReport is the load that a service's upstreams report, as means over the
// upstreams that this host uses.
type LoadReport struct {
	Running float64
	Waiting float64
	// Upstreams is the number of upstreams that reported; zero means that there
	// are no reports.
	Upstreams int
}

// Thresholds and steps of AdaptFactor.
const (
	minFactor        = 0.5
	decreaseFactor   = 0.9
	increaseFactor   = 1.05
	lowLoadFraction  = 0.9 // of the configured concurrency
	waitingThreshold = 1.0 // mean of waiting requests per upstream
)

// AdaptFactor returns the next value of the factor that scales a host's even share
// of the concurrency to its limit:
//
//   - Without reports the factor is 1.
//   - While requests queue at the upstreams, it falls, to one half at the lowest.
//     With batch enabled it doesn't fall below 1, since batch items are preempted
//     when the upstreams are full.
//   - While the upstreams have spare capacity, it rises if this host is busy, so that
//     the host uses the shares that other hosts leave unused. It stays within the
//     sum of the shares of all hosts. A factor below 1 also rises on an idle host.
//   - While the upstreams run more than the configured concurrency, a factor above 1
//     falls back to 1.
func AdaptFactor(factor float64, r LoadReport, concurrency, hosts int, busy, batch bool) float64 {
	floor := minFactor
	if batch {
		floor = 1
	}
	load := r.Running + r.Waiting
	switch {
	case r.Upstreams == 0:
		return 1
	case r.Waiting > waitingThreshold && load > float64(concurrency):
		return max(floor, factor*decreaseFactor)
	case load < lowLoadFraction*float64(concurrency) && (busy || factor < 1):
		return min(float64(hosts), factor*increaseFactor)
	case load > float64(concurrency) && factor > 1:
		return max(1, factor*decreaseFactor)
	default:
		return factor
	}
}

// EvenConcurrency returns the concurrency of all replicas divided evenly among the
// hosts, at least 1.
func EvenConcurrency(concurrency, replicas, hosts int) float64 {
	return max(1, float64(concurrency*replicas)/float64(max(1, hosts)))
}
