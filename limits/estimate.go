package limits

import (
	"time"
)

// Parameters of the estimates.
const (
	// sampleWeight is the weight of one request in the means of work and time.
	sampleWeight = 0.02
	// usageWeight is the weight of one admitted request in the classes' parts
	// of the capacity.
	usageWeight = 0.02
	// maxWaitFraction is the part of a class's first-token target that a request may
	// wait; the rest is the upstream's.
	maxWaitFraction = 0.8
	// minRetryAfter is the least advice to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// retryJitter is the largest random part of the advice, so that refused
	// callers do not come back together.
	retryJitter = 0.5
)

// throughput estimates how much work the service finishes.
type throughput struct {
	tokens, seconds float64
}

// observe takes a finished request into the means.
func (s *throughput) observe(tokens float64, elapsed time.Duration) {
	if s.seconds == 0 {
		s.tokens, s.seconds = tokens, elapsed.Seconds()
		return
	}
	s.tokens += sampleWeight * (tokens - s.tokens)
	s.seconds += sampleWeight * (elapsed.Seconds() - s.seconds)
}

// tokensPerSecond returns the tokens a second of limit requests side by side, by Little's
// law; zero means that nothing is known.
func (s *throughput) tokensPerSecond(limit int) float64 {
	if s.seconds <= 0 {
		return 0
	}
	return float64(limit) * s.tokens / s.seconds
}

// estimateWait estimates how long a request of the caller would estimateWait now. Either the
// work of more urgent classes comes first and the class gets the rate that they
// leave, or the class's minimum share serves it, whichever is sooner.
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

// workThrough returns the work of the class up to the end of a new request of the
// caller, while each caller that waits gets its fair part. Less may
// wait now, but later requests of callers with little waiting go first.
func (c *classQueue) workThrough(caller *callerQueue, tokens float64) float64 {
	weights := c.activeWeight
	if len(caller.waiting) == 0 {
		weights += caller.weight
	}
	// Work that an earlier turn of the caller has used up comes first too.
	debt := max(0, caller.finish-caller.tokens/caller.weight-c.virtualTime)
	return ((caller.tokens+tokens)/caller.weight + debt) * weights
}

// minRemainingFraction keeps the estimate finite for a class without a minimum share.
const minRemainingFraction = 0.01

// LoadReport is what a service's upstreams say of their load, as means over those
// that the host uses.
type LoadReport struct {
	Running float64
	Waiting float64
	// Upstreams is the number of reports; zero means that there are none.
	Upstreams int
}

// Bounds and steps of the adaptation.
const (
	minFactor        = 0.5
	decreaseFactor   = 0.9
	increaseFactor   = 1.05
	lowLoadFraction  = 0.9
	waitingThreshold = 1.0
)

// AdaptFactor returns the next factor on a host's even part of the concurrency.
// Upstreams that queue ask for less, down to half the even part. Upstreams with
// room let a busy host take the part that others leave, up to that of all
// hosts. Upstreams at the wanted load bring it back to the even part. Upstreams
// that also run batch items ask for no less than the even part, since those
// items make room by themselves.
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

// EvenConcurrency returns a host's even part of the wanted concurrency, at least one.
func EvenConcurrency(concurrency, replicas, hosts int) float64 {
	return max(1, float64(concurrency*replicas)/float64(max(1, hosts)))
}
