package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Time constants of moving averages.
const (
	// otherMeanTimeConstant smooths load reports, which lag and fluctuate.
	otherMeanTimeConstant = time.Second
	// ownMeanTimeConstant smooths the host's own requests, so that they can be
	// compared with a report that lags.
	ownMeanTimeConstant = 100 * time.Millisecond
)

// tokenMeanWeight is the weight of one request in the mean of expected tokens.
const tokenMeanWeight = 0.02

// pool holds the state of the upstreams of one service, as one host sees them.
type pool struct {
	opts    *Options
	service string
	random  *rand.Rand

	mu  sync.Mutex
	doc *service.Document
	// hostsChanged is closed when the view of hosts changes.
	hostsChanged <-chan struct{}
	// lastRoutedAt is the time of the last choice.
	lastRoutedAt time.Time
	// members has the upstreams of the document by address.
	members map[string]*member
	// subset contains the members that the host keeps connections to, all those of
	// the document.
	subset []*member
	all    []*member
	// meanTokens is the mean of the expected tokens of recent requests.
	meanTokens float64
	// snapshot is reused by all choices to save allocations.
	snapshot Snapshot
}

// member is the state of one upstream.
type member struct {
	upstream service.Upstream
	// key is the hash of the upstream's address.
	key      uint64
	distance Distance
	inSubset bool
	health   Health
	// upSince is the time at which slow start began; zero for an upstream that the
	// first document seen already listed.
	upSince time.Time
	// online and batch are the numbers of the host's own requests in flight, tokens
	// the sum of their expected tokens.
	online int
	batch  int
	tokens float64
	// load is the newest load report, read at readAt; nil if there is none.
	load   *upstream.Load
	readAt time.Time
	// polledAt is the time of the last poll.
	polledAt time.Time
	// ownMean is the recent mean of the host's own requests in flight, otherMean
	// that of the reported requests that the host did not send.
	ownMean   movingAverage
	otherMean movingAverage
}

// refresh applies a newer document and a changed view of hosts.
func (p *pool) refresh(doc *service.Document) {
	updated := p.doc == nil || doc != p.doc && doc.Generation >= p.doc.Generation
	if updated {
		p.setDocument(doc)
	}
	select {
	case <-p.hostsChanged:
		updated = true
	default:
	}
	if updated {
		p.updateSubset()
	}
}

// setDocument replaces the members by the upstreams of the document; members
// that the previous document had as well keep their state.
func (p *pool) setDocument(doc *service.Document) {
	first := p.doc == nil
	previous := p.members
	p.doc = doc
	p.members = make(map[string]*member, len(doc.Upstreams))
	p.all = make([]*member, 0, len(doc.Upstreams))
	for _, u := range doc.Upstreams {
		m, known := previous[u.Address]
		if !known {
			m = &member{key: xxhash.Sum64String(u.Address)}
			if !first {
				m.upSince = p.opts.Clock.Now()
			}
		}
		m.upstream = u
		m.distance = p.distance(&u)
		p.members[u.Address] = m
		p.all = append(p.all, m)
	}
}

func (p *pool) distance(u *service.Upstream) Distance {
	switch {
	case u.DataCentre == p.opts.DataCentre:
		return SameDataCentre
	case u.Region == p.opts.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// updateSubset computes the host's subset of the upstreams at each distance.
func (p *pool) updateSubset() {
	p.hostsChanged = p.opts.Hosts.Changed()
	var hosts []string
	for _, h := range p.opts.Hosts.Local() {
		hosts = append(hosts, h.Name)
	}
	p.subset = p.subset[:0]
	for d := SameDataCentre; d <= OtherRegion; d++ {
		var group []*member
		var names []string
		for _, m := range p.all {
			if m.distance == d {
				m.inSubset = false
				group = append(group, m)
				names = append(names, m.upstream.Name)
			}
		}
		for _, i := range Subset(p.opts.Hosts.Self().Name, hosts, names, p.doc.Routing.Subset) {
			group[i].inSubset = true
			p.subset = append(p.subset, group[i])
		}
	}
}

// choose returns the chosen member. It considers the subset first, and all
// members if none of the subset is eligible.
func (p *pool) choose(req *Request) (*member, Decision) {
	if req.UpstreamName != "" {
		return p.chooseNamed(req)
	}
	for _, members := range [][]*member{p.subset, p.all} {
		p.fillSnapshot(req, members)
		decision := Decide(&p.snapshot, p.random)
		if decision.Index >= 0 {
			return p.memberByKey(members, p.snapshot.Candidates[decision.Index].Key), decision
		}
	}
	return nil, Decision{Index: -1}
}

func (p *pool) memberByKey(members []*member, key uint64) *member {
	for _, m := range members {
		if m.key == key {
			return m
		}
	}
	return nil
}

// chooseNamed returns the member named by the request, unless it is not alive or
// the request excludes it.
func (p *pool) chooseNamed(req *Request) (*member, Decision) {
	for _, m := range p.all {
		if m.upstream.Name == req.UpstreamName && p.state(m) == membership.Alive && !slices.Contains(req.Exclude, req.UpstreamName) {
			return m, Decision{Cause: CauseNamed}
		}
	}
	return nil, Decision{Index: -1}
}

func (p *pool) state(m *member) membership.State {
	return p.opts.Upstreams.State(membership.UpstreamKey{Service: p.service, Name: m.upstream.Name})
}

// fillSnapshot prepares the snapshot of a choice among the given members.
func (p *pool) fillSnapshot(req *Request, members []*member) {
	now := p.opts.Clock.Now()
	p.lastRoutedAt = now
	s := &p.snapshot
	candidates := s.Candidates[:0]
	for _, m := range members {
		candidates = append(candidates, p.candidate(m, req, now))
	}
	*s = Snapshot{
		Candidates: candidates, MaxDistance: p.maxDistance(req, candidates),
		Tokens: float64(max(1, req.Tokens)), MeanTokens: max(1, p.meanTokens), Prefix: req.Prefix,
		Concurrency: p.doc.Routing.Concurrency, SlowStart: p.doc.Routing.SlowStart,
	}
}

// maxDistance returns the greatest distance for the request. It checks the
// allotment of cross-region bytes only if no nearer upstream is eligible.
func (p *pool) maxDistance(req *Request, candidates []Candidate) Distance {
	near := Snapshot{MaxDistance: SameRegion}
	for i := range candidates {
		if near.eligible(&candidates[i]) {
			return min(SameRegion, maxDistance(req.Doc, noCrossRegion))
		}
	}
	return maxDistance(req.Doc, p.opts.CrossRegion)
}

func noCrossRegion(*service.Document) bool { return false }

func (p *pool) candidate(m *member, req *Request, now time.Time) Candidate {
	c := Candidate{
		Name: m.upstream.Name, Key: m.key, Distance: m.distance, State: p.state(m),
		OwnRequests: m.online + m.batch, OwnTokens: m.tokens, Failures: m.health.Failures, SinceFailure: now.Sub(m.health.FailedAt), Ejected: m.health.Ejected(now),
		Uptime: p.uptime(m, now),
	}
	if m.load != nil {
		c.Reported, c.OtherRequests, c.ReportAge = true, m.otherMean.value, now.Sub(m.readAt)
	}
	if len(req.Exclude) > 0 {
		c.Excluded = slices.Contains(req.Exclude, c.Name)
	}
	if p.opts.PrefixCache != nil && req.Prefix != 0 {
		c.Cached = p.opts.PrefixCache.Contains(m.upstream.Address, req.Prefix)
	}
	return c
}

// uptime returns the time that counts towards slow start.
func (p *pool) uptime(m *member, now time.Time) time.Duration {
	upSince := m.upSince
	if m.health.EjectedUntil.After(upSince) {
		upSince = m.health.EjectedUntil
	}
	if upSince.IsZero() {
		return p.doc.Routing.SlowStart
	}
	return now.Sub(upSince)
}

// start counts a request as in flight.
func (p *pool) start(m *member, tokens float64, batch bool) {
	if p.meanTokens == 0 {
		p.meanTokens = tokens
	}
	p.meanTokens += tokenMeanWeight * (tokens - p.meanTokens)
	p.updateOwnMean(m)
	m.tokens += tokens
	if batch {
		m.batch++
	} else {
		m.online++
	}
}

// updateOwnMean adds the current number of the host's own requests to their
// mean.
func (p *pool) updateOwnMean(m *member) {
	m.ownMean.add(float64(m.online+m.batch), p.opts.Clock.Now(), ownMeanTimeConstant)
}

// finish records the outcome of an attempt.
func (p *pool) finish(m *member, tokens float64, batch bool, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Load != nil && !sameReport(m.load, o.Load) {
		p.recordLoad(m, o.Load)
	}
	p.updateOwnMean(m)
	m.tokens -= tokens
	if batch {
		m.batch--
	} else {
		m.online--
	}
	if o.Leaving {
		p.reportLeaving(m, "its own refusal")
	}
	p.updateHealth(m, o)
}

// sameReport reports whether two loads have the same time stamp, and so come
// from one reading.
func sameReport(a, b *upstream.Load) bool {
	return a != nil && a.At.Equal(b.At) && !a.At.IsZero()
}

// observe records a load report that arrives before the end of an attempt.
func (p *pool) observe(m *member, l *upstream.Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLoad(m, l)
}

// recordLoad records a load report read now, unless a report with a later time
// stamp was read less than reportTimeConstant ago. After that time the new one
// replaces it all the same, because the engine's clock may have been set back.
func (p *pool) recordLoad(m *member, l *upstream.Load) {
	if l.Leaving {
		p.reportLeaving(m, "its own report")
	}
	now := p.opts.Clock.Now()
	if m.load != nil && l.At.Before(m.load.At) && now.Sub(m.readAt) < reportTimeConstant {
		return
	}
	m.load, m.readAt = l, now
	m.otherMean.add(max(0, float64(l.Running+l.Waiting)-m.ownMean.value), now, otherMeanTimeConstant)
}

// reportLeaving reports an upstream as leaving, unless it is already known not to
// be alive.
func (p *pool) reportLeaving(m *member, cause string) {
	if p.state(m) != membership.Alive {
		return
	}
	key := membership.UpstreamKey{Service: p.service, Name: m.upstream.Name}
	p.opts.Upstreams.Report(key, membership.Leaving, cause)
}

// updateHealth updates the member's health with the outcome of an attempt.
func (p *pool) updateHealth(m *member, o Outcome) {
	failed := isFailure(o)
	if o.Err != nil && !failed {
		return
	}
	now := p.opts.Clock.Now()
	ejected := 0
	for _, other := range p.all {
		if other.health.Ejected(now) {
			ejected++
		}
	}
	mayEject := belowEjectLimit(ejected, len(p.all), p.doc.Routing.EjectLimit)
	m.health = m.health.AfterTry(failed, mayEject, now, p.random.Float64())
}

func (p *pool) activity(address string) (Activity, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[address]
	if !ok {
		return Activity{}, false
	}
	return Activity{Online: m.online, Batch: m.batch, Load: m.load, ReadAt: m.readAt}, true
}

func (p *pool) statuses() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	out := make([]Status, 0, len(p.all))
	for _, m := range p.all {
		s := Status{
			Service: p.service, Name: m.upstream.Name, Address: m.upstream.Address, DataCentre: m.upstream.DataCentre,
			State: p.state(m), Ejected: m.health.Ejected(now), Failures: m.health.Failures,
			Subset: m.inSubset, Online: m.online, Batch: m.batch, Load: m.load,
		}
		if m.load != nil {
			s.LoadAgeMS = now.Sub(m.readAt).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
