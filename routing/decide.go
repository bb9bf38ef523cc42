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
	// reportDecay is the age at which a load report has lost all but 1/e of
	// its weight against the mean of the other reports.
	reportDecay = 2 * time.Second
	// damping is the part of its own part of an imbalance that a host mends on
	// each report, because the report is old.
	damping = 0.5
	// tokenPart is the part of the expected tokens in the measure of own work;
	// the rest is the number of requests, each as long as the mean. A request
	// holds one place of an engine's batch however long it is, and holds it for
	// its tokens.
	tokenPart = 0.2
	// groupSlack is the width of the best group of scores, in mean requests.
	groupSlack = 0.3
	// boundFactor bounds the load of the upstream that affinity prefers, as a
	// multiple of the mean (Mirrokni, Thorup and Zadimoghaddam, "Consistent
	// Hashing with Bounded Loads", 2018).
	boundFactor = 1.25
	// freeShare is the part of the wanted concurrency up to which affinity is
	// not bounded, because a batching engine hardly slows down there.
	freeShare = 0.25
	// slowStartFloor is the least share of a new upstream.
	slowStartFloor = 0.1
	// maxPenaltyShift bounds the penalty for consecutive failures, as a power
	// of two of the mean request.
	maxPenaltyShift = 6
	// penaltyDecay is the age at which a failure has lost all but 1/e of its
	// penalty, so that an upstream that failed is tried again.
	penaltyDecay = 5 * time.Second
	// explained is the number of scores kept for the time line.
	explained = 4
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

	// part is the host's own part of the requests in flight.
	part float64
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
	n := s.nearest()
	if n == 0 {
		return Decision{Index: -1}
	}
	s.rate(s.Candidates[:n])
	index, cause := s.pick(s.Candidates[:n], random)
	return Decision{Index: index, Cause: cause, Scores: explain(s.Candidates[:n], index)}
}

// eligible reports whether a candidate may get the request.
func (s *Snapshot) eligible(c *Candidate) bool {
	return c.State == membership.Alive && !c.Ejected && !c.Excluded && c.Distance <= s.MaxDistance
}

// nearest moves the eligible candidates of the nearest group to the front and
// returns their number.
func (s *Snapshot) nearest() int {
	near := s.MaxDistance
	for i := range s.Candidates {
		if c := &s.Candidates[i]; s.eligible(c) && c.Distance < near {
			near = c.Distance
		}
	}
	n := 0
	for i := range s.Candidates {
		c := &s.Candidates[i]
		if s.eligible(c) && c.Distance == near {
			s.Candidates[n], s.Candidates[i] = s.Candidates[i], s.Candidates[n]
			n++
		}
	}
	return n
}

// rate computes the scores of a group. The work of others counts by the host's
// own part of all work, damped: each host mends only its part of an imbalance,
// so that many hosts that act on the same old reports do not overshoot.
func (s *Snapshot) rate(group []Candidate) {
	mean := meanOthers(group)
	part := ownPart(group, mean)
	s.part = part
	for i := range group {
		c := &group[i]
		others := mean
		if c.Reported {
			others += (c.OtherRequests - mean) * math.Exp(-float64(c.ReportAge)/float64(reportDecay))
		}
		requests := float64(c.OwnRequests) + damping*part*others
		if c.Failures > 0 {
			requests += penalty(c.Failures, c.SinceFailure)
		}
		own := tokenPart * (c.OwnTokens - float64(c.OwnRequests)*s.MeanTokens)
		c.score = (requests*s.MeanTokens + own + s.Tokens) / s.share(c.Uptime)
	}
}

// penalty is the work, in requests, that consecutive failures weigh. A small
// rest counts as none: it would still lose every comparison in a quiet service.
func penalty(failures int, since time.Duration) float64 {
	p := math.Exp2(float64(min(failures, maxPenaltyShift))) * math.Exp(-float64(since)/float64(penaltyDecay))
	if p < groupSlack {
		return 0
	}
	return p
}

// ownPart returns the host's own part of the requests in flight.
func ownPart(group []Candidate, meanOthers float64) float64 {
	own := 0
	for i := range group {
		own += group[i].OwnRequests
	}
	all := float64(own) + meanOthers*float64(len(group))
	if all == 0 {
		return 1
	}
	return float64(own) / all
}

// meanOthers returns the mean of the reports, which stands in for missing and
// old ones: a candidate without a report is neither empty nor full.
func meanOthers(group []Candidate) float64 {
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

// share returns the part of its full share that an upstream gets.
func (s *Snapshot) share(uptime time.Duration) float64 {
	if uptime >= s.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(uptime)/float64(s.SlowStart))
}

func (s *Snapshot) pick(group []Candidate, random RandomSource) (int, string) {
	if len(group) == 1 {
		return 0, CauseOnlyCandidate
	}
	if s.Prefix != 0 {
		if i, cached := s.affine(group); i >= 0 && cached {
			return i, CausePrefixCached
		} else if i >= 0 {
			return i, CausePrefixAffinity
		}
	}
	return s.two(group, random), CauseTwoChoices
}

// two returns the lower score of two random candidates of the best group.
func (s *Snapshot) two(group []Candidate, random RandomSource) int {
	n := s.best(group)
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

// best moves the candidates with scores near the lowest to the front and
// returns their number.
func (s *Snapshot) best(group []Candidate) int {
	least := math.Inf(1)
	for i := range group {
		least = min(least, group[i].score)
	}
	n := 0
	for i := range group {
		if group[i].score <= least+groupSlack*s.MeanTokens {
			group[n], group[i] = group[i], group[n]
			n++
		}
	}
	return n
}

// affine returns the candidate within the load bound that has the highest
// weight for the prefix, or a negative index. When events name the prefix on
// candidates within the bound, but not on that one, the highest weight among
// those wins.
func (s *Snapshot) affine(group []Candidate) (index int, cached bool) {
	bound := s.bound(group)
	home, holder := -1, -1
	var homeWeight, holderWeight uint64
	for i := range group {
		c := &group[i]
		if c.score > bound {
			continue
		}
		w := weight(c.Key, s.Prefix)
		if home < 0 || w > homeWeight {
			home, homeWeight = i, w
		}
		if c.Cached && (holder < 0 || w > holderWeight) {
			holder, holderWeight = i, w
		}
	}
	if holder >= 0 && holder != home {
		return holder, true
	}
	return home, false
}

// bound returns the highest score that affinity accepts.
func (s *Snapshot) bound(group []Candidate) float64 {
	sum := 0.0
	for i := range group {
		sum += group[i].score
	}
	// The score of an upstream with that many requests, a like part of them
	// from each host.
	scale := s.part * (1 + damping*(1-s.part))
	free := freeShare * float64(s.Concurrency) * s.MeanTokens * scale
	return max(boundFactor*(sum/float64(len(group))+s.Tokens), free+s.Tokens)
}

// weight is the rendezvous weight of a key for a prefix.
func weight(key, prefix uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], prefix)
	return xxhash.Sum64(b[:])
}

// explain returns the best scores, the chosen one included.
func explain(group []Candidate, chosen int) []timeline.Score {
	var best [explained]int
	n := 0
	for i := range group {
		at := n
		for at > 0 && group[i].score < group[best[at-1]].score {
			at--
		}
		if at >= explained {
			continue
		}
		n = min(n+1, explained)
		copy(best[at+1:n], best[at:n-1])
		best[at] = i
	}
	out := make([]timeline.Score, 0, explained+1)
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

// farthest returns how far a document lets requests go.
func farthest(doc *service.Document, crossRegion func(*service.Document) bool) Distance {
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
