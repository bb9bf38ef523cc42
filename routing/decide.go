package routing

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Distance is the network distance between the host and an upstream, by data
// centre and region.
type Distance uint8

// Distances, from near to far.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Parameters of the choice.
const (
	// reportTimeConstant is the age at which the weight of a load report, against
	// the mean of all reports, has decayed to 1/e.
	reportTimeConstant = 2 * time.Second
	// damping is the fraction of its share of an imbalance that a host corrects on
	// each load report; it is below 1 because reports lag.
	damping = 0.5
	// tokenWeight is the weight of the expected tokens in the host's own load; the
	// rest is the number of requests, each counted as one of mean length. A
	// request occupies one slot of an engine's batch whatever its length, for as
	// long as its tokens take.
	tokenWeight = 0.2
	// scoreTolerance is the distance from the lowest score up to which a candidate
	// belongs to the best group, in requests of mean length.
	scoreTolerance = 0.3
	// loadBoundFactor limits the load of an upstream preferred by affinity, as a
	// multiple of the mean load (Mirrokni, Thorup and Zadimoghaddam, "Consistent
	// Hashing with Bounded Loads", 2018).
	loadBoundFactor = 1.25
	// unboundedFraction is the fraction of the configured concurrency up to which
	// the load bound of affinity does not apply, because a batching engine hardly
	// slows down there.
	unboundedFraction = 0.25
	// slowStartMinShare is the share of its usual load that a new upstream gets at
	// first.
	slowStartMinShare = 0.1
	// maxPenaltyExponent limits the penalty for consecutive failures, which is
	// 2^failures requests of mean length.
	maxPenaltyExponent = 6
	// penaltyTimeConstant is the age at which the penalty of a failure has decayed
	// to 1/e, so that an upstream that failed gets requests again.
	penaltyTimeConstant = 5 * time.Second
	// maxExplainedScores is the number of scores recorded in the time line.
	maxExplainedScores = 4
)

// Causes of a choice, as recorded in the time line.
const (
	CauseOnlyCandidate  = "only candidate"
	CauseTwoChoices     = "lower score of two in the best group"
	CausePrefixAffinity = "prefix affinity"
	CausePrefixCached   = "prefix cached"
	CauseNamed          = "named by the request"
)

// Candidate is the state of one upstream at the time of a choice.
type Candidate struct {
	Name string
	// Key identifies the upstream in rendezvous hashing.
	Key      uint64
	Distance Distance
	State    membership.State
	// OwnRequests is the number of the host's own requests in flight, OwnTokens
	// their expected tokens.
	OwnRequests int
	OwnTokens   float64
	// OtherRequests is the recent mean of the reported requests in flight that the
	// host did not send. It is valid only if Reported is set; the last report was
	// read ReportAge ago.
	OtherRequests float64
	ReportAge     time.Duration
	Reported      bool
	// Uptime is the time since the upstream was first seen or its last ejection
	// ended, whichever is later.
	Uptime time.Duration
	// Failures is the number of consecutive failures, the last one SinceFailure
	// ago.
	Failures     int
	SinceFailure time.Duration
	Ejected      bool
	// Excluded marks an upstream that the request must not use.
	Excluded bool
	// Cached reports whether cache events list the request's prefix at this
	// upstream.
	Cached bool

	score float64
}

// Snapshot is the input of a choice: the request and the state of all
// candidates.
type Snapshot struct {
	Candidates []Candidate
	// MaxDistance is the greatest distance at which the request may run.
	MaxDistance Distance
	// Tokens is the expected number of tokens of the request, MeanTokens the mean
	// over the service's recent requests.
	Tokens     float64
	MeanTokens float64
	// Prefix is the hash of the prompt's beginning; zero disables affinity.
	Prefix uint64
	// Concurrency is the configured number of concurrent requests of an upstream,
	// SlowStart the time over which a new upstream gets an increasing share.
	Concurrency int
	SlowStart   time.Duration

	// ownFraction is the fraction of the requests in flight that the host sent.
	ownFraction float64
}

// Decision is the chosen candidate, the cause and the scores it was compared on.
type Decision struct {
	// Index is the index in Snapshot.Candidates; it is negative if no candidate
	// may take the request.
	Index  int
	Cause  string
	Scores []timeline.Score
}

// RandomSource is a source of random numbers.
type RandomSource interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Decide chooses a candidate from the nearest group that has an eligible one.
// For a request with a prefix, it chooses the candidate with the highest
// rendezvous weight among those within the load bound. Otherwise, or if none is
// within the bound, it chooses the lower score of two random candidates of the
// best group (after Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001), so that hosts with equally old reports do not all choose
// the same upstream. Decide reorders the candidates.
func Decide(s *Snapshot, random RandomSource) Decision {
	n := s.moveNearestToFront()
	if n == 0 {
		return Decision{Index: -1}
	}
	s.computeScores(s.Candidates[:n])
	index, cause := s.pick(s.Candidates[:n], random)
	return Decision{Index: index, Cause: cause, Scores: topScores(s.Candidates[:n], index)}
}

// eligible reports whether a candidate may take the request.
func (s *Snapshot) eligible(c *Candidate) bool {
	return c.State == membership.Alive && !c.Ejected && !c.Excluded && c.Distance <= s.MaxDistance
}

// moveNearestToFront moves the eligible candidates of the smallest distance to
// the front and returns their number.
func (s *Snapshot) moveNearestToFront() int {
	minDistance := s.MaxDistance
	for i := range s.Candidates {
		if c := &s.Candidates[i]; s.eligible(c) && c.Distance < minDistance {
			minDistance = c.Distance
		}
	}
	n := 0
	for i := range s.Candidates {
		c := &s.Candidates[i]
		if s.eligible(c) && c.Distance == minDistance {
			s.Candidates[n], s.Candidates[i] = s.Candidates[i], s.Candidates[n]
			n++
		}
	}
	return n
}

// computeScores computes the score of each candidate of a group: its expected
// load with the request, in tokens; lower is better. The requests of other
// hosts count in proportion to the host's own fraction of all requests, times
// the damping factor: each host corrects only its share of an imbalance, so
// that many hosts that act on the same old reports do not overshoot.
func (s *Snapshot) computeScores(group []Candidate) {
	mean := meanOtherRequests(group)
	ownFraction := computeOwnFraction(group, mean)
	s.ownFraction = ownFraction
	for i := range group {
		c := &group[i]
		otherRequests := mean
		if c.Reported {
			otherRequests += (c.OtherRequests - mean) * math.Exp(-float64(c.ReportAge)/float64(reportTimeConstant))
		}
		requests := float64(c.OwnRequests) + damping*ownFraction*otherRequests
		if c.Failures > 0 {
			requests += penalty(c.Failures, c.SinceFailure)
		}
		tokenExcess := tokenWeight * (c.OwnTokens - float64(c.OwnRequests)*s.MeanTokens)
		c.score = (requests*s.MeanTokens + tokenExcess + s.Tokens) / s.slowStartShare(c.Uptime)
	}
}

// penalty returns the extra load, in requests of mean length, that consecutive
// failures add to a score. A value below scoreTolerance becomes zero; otherwise
// it would still lose every comparison in a service with little traffic.
func penalty(failures int, since time.Duration) float64 {
	p := math.Exp2(float64(min(failures, maxPenaltyExponent))) * math.Exp(-float64(since)/float64(penaltyTimeConstant))
	if p < scoreTolerance {
		return 0
	}
	return p
}

// computeOwnFraction returns the fraction of the requests in flight that the
// host sent.
func computeOwnFraction(group []Candidate, meanOtherRequests float64) float64 {
	own := 0
	for i := range group {
		own += group[i].OwnRequests
	}
	total := float64(own) + meanOtherRequests*float64(len(group))
	if total == 0 {
		return 1
	}
	return float64(own) / total
}

// meanOtherRequests returns the mean of the reported values. It replaces
// missing reports and, gradually, old ones, so that a candidate without a
// report counts neither as idle nor as fully loaded.
func meanOtherRequests(group []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range group {
		if group[i].Reported {
			sum += group[i].OtherRequests
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// slowStartShare returns the share of its usual load that an upstream gets,
// between slowStartMinShare and 1.
func (s *Snapshot) slowStartShare(uptime time.Duration) float64 {
	if uptime >= s.SlowStart {
		return 1
	}
	return max(slowStartMinShare, float64(uptime)/float64(s.SlowStart))
}

// pick returns the index and the cause of the choice within a scored group.
func (s *Snapshot) pick(group []Candidate, random RandomSource) (int, string) {
	if len(group) == 1 {
		return 0, CauseOnlyCandidate
	}
	if s.Prefix != 0 {
		if i, cached := s.pickByAffinity(group); i >= 0 && cached {
			return i, CausePrefixCached
		} else if i >= 0 {
			return i, CausePrefixAffinity
		}
	}
	return s.pickOfTwo(group, random), CauseTwoChoices
}

// pickOfTwo returns the candidate with the lower score of two random ones of
// the best group.
func (s *Snapshot) pickOfTwo(group []Candidate, random RandomSource) int {
	n := s.moveBestToFront(group)
	if n == 1 {
		return 0
	}
	i := random.IntN(n)
	j := random.IntN(n - 1)
	if j >= i {
		j++
	}
	if group[j].score < group[i].score {
		return j
	}
	return i
}

// moveBestToFront moves the candidates whose scores are within scoreTolerance of
// the lowest to the front and returns their number.
func (s *Snapshot) moveBestToFront(group []Candidate) int {
	lowest := math.Inf(1)
	for i := range group {
		lowest = min(lowest, group[i].score)
	}
	n := 0
	for i := range group {
		if group[i].score <= lowest+scoreTolerance*s.MeanTokens {
			group[n], group[i] = group[i], group[n]
			n++
		}
	}
	return n
}

// pickByAffinity returns the candidate with the highest rendezvous weight for
// the prefix among those within the load bound, or a negative index if there is
// none. If cache events list the prefix at other candidates within the bound,
// but not at that one, the highest weight among those is chosen, and cached is
// true.
func (s *Snapshot) pickByAffinity(group []Candidate) (index int, cached bool) {
	affinityBound := s.affinityBound(group)
	preferred, cachedBest := -1, -1
	var preferredWeight, cachedWeight uint64
	for i := range group {
		c := &group[i]
		if c.score > affinityBound {
			continue
		}
		w := weight(c.Key, s.Prefix)
		if preferred < 0 || w > preferredWeight {
			preferred, preferredWeight = i, w
		}
		if c.Cached && (cachedBest < 0 || w > cachedWeight) {
			cachedBest, cachedWeight = i, w
		}
	}
	if cachedBest >= 0 && cachedBest != preferred {
		return cachedBest, true
	}
	return preferred, false
}

// affinityBound returns the highest score at which affinity may choose an
// upstream.
func (s *Snapshot) affinityBound(group []Candidate) float64 {
	sum := 0.0
	for i := range group {
		sum += group[i].score
	}
	// Converts requests on an upstream to the score that this host computes for
	// them if each host sent the same fraction of them.
	scale := s.ownFraction * (1 + damping*(1-s.ownFraction))
	unbounded := unboundedFraction * float64(s.Concurrency) * s.MeanTokens * scale
	return max(loadBoundFactor*(sum/float64(len(group))+s.Tokens), unbounded+s.Tokens)
}

// weight returns the rendezvous hashing weight of a key for a prefix.
func weight(key, prefix uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], prefix)
	return xxhash.Sum64(b[:])
}

// topScores returns the lowest scores of a group, and that of the chosen
// candidate if it is not among them.
func topScores(group []Candidate, chosen int) []timeline.Score {
	var best [maxExplainedScores]int
	n := 0
	for i := range group {
		position := n
		for position > 0 && group[i].score < group[best[position-1]].score {
			position--
		}
		if position >= maxExplainedScores {
			continue
		}
		n = min(n+1, maxExplainedScores)
		copy(best[position+1:n], best[position:n-1])
		best[position] = i
	}
	out := make([]timeline.Score, 0, maxExplainedScores+1)
	found := false
	for _, i := range best[:n] {
		found = found || i == chosen
		out = append(out, timeline.Score{Upstream: group[i].Name, Score: group[i].score})
	}
	if !found {
		out = append(out, timeline.Score{Upstream: group[chosen].Name, Score: group[chosen].score})
	}
	return out
}

// maxDistance returns the greatest distance that a document's scope allows.
func maxDistance(doc *service.Document, crossRegion func(*service.Document) bool) Distance {
	switch doc.Routing.Scope {
	case service.ScopeDataCentre:
		return SameDataCentre
	case service.ScopeAny:
		if crossRegion(doc) {
			return OtherRegion
		}
		return SameRegion
	default:
		return SameRegion
	}
}
