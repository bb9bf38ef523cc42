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

// Distance is how far an upstream is from the host.
type Distance uint8

// Distances, from near to far.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Parameters of the choice.
const (
	// reportTimeConstant is the age at which a load report has lost all but 1/e of
	// its weight against the mean of the other reports.
	reportTimeConstant = 2 * time.Second
	// damping is the part of its own part of an imbalance that a host mends on
	// each report, because the report is old.
	damping = 0.5
	// tokenWeight is the part of the expected tokens in the measure of own work;
	// the rest is the number of requests, each as long as the mean. A request
	// holds one place of an engine's batch however long it is, and holds it for
	// its tokens.
	tokenWeight = 0.2
	// scoreTolerance is the width of the best group of scores, in mean requests.
	scoreTolerance = 0.3
	// loadBoundFactor bounds the load of the upstream that affinity prefers, as a
	// multiple of the mean (Mirrokni, Thorup and Zadimoghaddam, "Consistent
	// Hashing with Bounded Loads", 2018).
	loadBoundFactor = 1.25
	// unboundedFraction is the part of the wanted concurrency up to which affinity is
	// not bounded, because a batching engine hardly slows down there.
	unboundedFraction = 0.25
	// slowStartMinShare is the least share of a new upstream.
	slowStartMinShare = 0.1
	// maxPenaltyExponent bounds the penalty for consecutive failures, as a power
	// of two of the mean request.
	maxPenaltyExponent = 6
	// penaltyTimeConstant is the age at which a failure has lost all but 1/e of its
	// penalty, so that an upstream that failed is tried again.
	penaltyTimeConstant = 5 * time.Second
	// maxExplainedScores is the number of scores kept for the time line.
	maxExplainedScores = 4
)

// Causes of a choice.
const (
	CauseOnlyCandidate  = "only candidate"
	CauseTwoChoices     = "lower score of two in the best group"
	CausePrefixAffinity = "prefix affinity"
	CausePrefixCached   = "prefix cached"
	CauseNamed          = "named by the request"
)

// Candidate is one upstream in the snapshot that a choice is made from.
type Candidate struct {
	Name     string
	Key      uint64
	Distance Distance
	State    membership.State
	// OwnRequests and OwnTokens are the host's own requests in flight and
	// their expected work.
	OwnRequests int
	OwnTokens   float64
	// OtherRequests is the recent mean of the reported requests that are not the
	// host's own, last read Age ago; it counts only while Reported.
	OtherRequests float64
	ReportAge     time.Duration
	Reported      bool
	// Uptime is the time since the upstream was first seen or its ejection
	// ended.
	Uptime time.Duration
	// Failures in a row, the last one SinceFailure ago.
	Failures     int
	SinceFailure time.Duration
	Ejected      bool
	Excluded     bool
	// Cached says that cache events name the request's prefix here.
	Cached bool

	score float64
}

// Snapshot is what a choice is made from.
type Snapshot struct {
	Candidates []Candidate
	// MaxDistance is the largest distance that the request may go.
	MaxDistance Distance
	// Tokens is the expected work of the request, MeanTokens that of the
	// service's recent requests.
	Tokens      float64
	MeanTokens  float64
	Prefix      uint64
	Concurrency int
	SlowStart   time.Duration

	// ownFraction is the host's own ownFraction of the requests in flight.
	ownFraction float64
}

// Decision is the chosen candidate and why.
type Decision struct {
	// Index is the place in Snapshot.Candidates; it is negative when no
	// candidate may take the request.
	Index  int
	Cause  string
	Scores []timeline.Score
}

// RandomSource is a source of random numbers.
type RandomSource interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// Decide chooses a candidate. Only the nearest group with an eligible
// candidate counts. With a prefix, the eligible candidate with the highest
// rendezvous weight whose load is within the bound is chosen; else the lower
// score of two random ones among the best scores (after Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001), so that hosts
// with equally old reports do not all choose the same upstream. Decide
// reorders the candidates.
func Decide(s *Snapshot, random RandomSource) Decision {
	n := s.moveNearestToFront()
	if n == 0 {
		return Decision{Index: -1}
	}
	s.computeScores(s.Candidates[:n])
	index, cause := s.pick(s.Candidates[:n], random)
	return Decision{Index: index, Cause: cause, Scores: topScores(s.Candidates[:n], index)}
}

// eligible reports whether a candidate may get the request.
func (s *Snapshot) eligible(c *Candidate) bool {
	return c.State == membership.Alive && !c.Ejected && !c.Excluded && c.Distance <= s.MaxDistance
}

// moveNearestToFront moves the eligible candidates of the moveNearestToFront group to the front and
// returns their number.
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

// computeScores computes the scores of a group. The work of others counts by the host's
// own part of all work, damped: each host mends only its part of an imbalance,
// so that many hosts that act on the same old reports do not overshoot.
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

// penalty is the work, in requests, that consecutive failures weigh. A small
// rest counts as none: it would still lose every comparison in a quiet service.
func penalty(failures int, since time.Duration) float64 {
	p := math.Exp2(float64(min(failures, maxPenaltyExponent))) * math.Exp(-float64(since)/float64(penaltyTimeConstant))
	if p < scoreTolerance {
		return 0
	}
	return p
}

// computeOwnFraction returns the host's own part of the requests in flight.
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

// meanOtherRequests returns the mean of the reports, which stands in for missing and
// old ones: a candidate without a report is neither empty nor full.
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

// slowStartShare returns the part of its full slowStartShare that an upstream gets.
func (s *Snapshot) slowStartShare(uptime time.Duration) float64 {
	if uptime >= s.SlowStart {
		return 1
	}
	return max(slowStartMinShare, float64(uptime)/float64(s.SlowStart))
}

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

// pickOfTwo returns the lower score of pickOfTwo random candidates of the best group.
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

// moveBestToFront moves the candidates with scores near the lowest to the front and
// returns their number.
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

// pickByAffinity returns the candidate within the load bound that has the highest
// weight for the prefix, or a negative index. When events name the prefix on
// candidates within the bound, but not on that one, the highest weight among
// those wins.
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

// affinityBound returns the highest score that affinity accepts.
func (s *Snapshot) affinityBound(group []Candidate) float64 {
	sum := 0.0
	for i := range group {
		sum += group[i].score
	}
	// The score of an upstream with that many requests, a like part of them
	// from each host.
	scale := s.ownFraction * (1 + damping*(1-s.ownFraction))
	unbounded := unboundedFraction * float64(s.Concurrency) * s.MeanTokens * scale
	return max(loadBoundFactor*(sum/float64(len(group))+s.Tokens), unbounded+s.Tokens)
}

// weight is the rendezvous weight of a key for a prefix.
func weight(key, prefix uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], prefix)
	return xxhash.Sum64(b[:])
}

// topScores returns the best scores, the chosen one included.
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

// maxDistance returns how far a document lets requests go.
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
