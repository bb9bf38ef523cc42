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

// Time constants of averages.
const (
	// othersTime smooths reports, which lag and swing.
	othersTime = time.Second
	// ownTime smooths the host's own requests, to set them against a lagging
	// report.
	ownTime = 100 * time.Millisecond
)

// meanWeight is the weight of one request in the mean of expected work.
const meanWeight = 0.02

// pool is what a host knows of the upstreams of one service.
type pool struct {
	opts    *Options
	service string
	random  *rand.Rand

	mu      sync.Mutex
	doc     *service.Document
	changed <-chan struct{}
	// usedAt is when a request was last routed.
	usedAt  time.Time
	members map[string]*member
	// subset are the members that the host keeps connections to; all holds
	// every upstream of the document.
	subset []*member
	all    []*member
	mean   float64
	// snapshot is reused by all choices.
	snapshot Snapshot
}

// member is one upstream.
type member struct {
	upstream service.Upstream
	key      uint64
	distance Distance
	inSubset bool
	health   Health
	// since is when slow start began; zero for an upstream that was there when
	// the host first saw the service.
	since  time.Time
	online int
	batch  int
	tokens float64
	load   *upstream.Load
	readAt time.Time
	// askedAt is when the poller last asked.
	askedAt time.Time
	// own is the recent mean of the host's requests, others that of the
	// reported requests that were not the host's own.
	own    average
	others average
}

// refresh takes over a newer document or view of hosts.
func (p *pool) refresh(doc *service.Document) {
	newer := p.doc == nil || doc != p.doc && doc.Generation >= p.doc.Generation
	if newer {
		p.adopt(doc)
	}
	select {
	case <-p.changed:
		newer = true
	default:
	}
	if newer {
		p.divide()
	}
}

// adopt makes the document's upstreams the members; known ones keep their
// state.
func (p *pool) adopt(doc *service.Document) {
	first := p.doc == nil
	old := p.members
	p.doc = doc
	p.members = make(map[string]*member, len(doc.Upstreams))
	p.all = make([]*member, 0, len(doc.Upstreams))
	for _, u := range doc.Upstreams {
		m, known := old[u.Address]
		if !known {
			m = &member{key: xxhash.Sum64String(u.Address)}
			if !first {
				m.since = p.opts.Clock.Now()
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

// divide computes the subset of each group.
func (p *pool) divide() {
	p.changed = p.opts.Hosts.Changed()
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

// choose returns the chosen member, from the subset if it has an eligible one.
func (p *pool) choose(ask *Request) (*member, Decision) {
	if ask.UpstreamName != "" {
		return p.named(ask)
	}
	for _, members := range [][]*member{p.subset, p.all} {
		p.fill(ask, members)
		plan := Decide(&p.snapshot, p.random)
		if plan.Index >= 0 {
			return p.byKey(members, p.snapshot.Candidates[plan.Index].Key), plan
		}
	}
	return nil, Decision{Index: -1}
}

func (p *pool) byKey(members []*member, key uint64) *member {
	for _, m := range members {
		if m.key == key {
			return m
		}
	}
	return nil
}

// named returns the member that the request names, unless it takes no work.
func (p *pool) named(ask *Request) (*member, Decision) {
	for _, m := range p.all {
		if m.upstream.Name == ask.UpstreamName && p.state(m) == membership.Alive && !slices.Contains(ask.Exclude, ask.UpstreamName) {
			return m, Decision{Cause: CauseNamed}
		}
	}
	return nil, Decision{Index: -1}
}

func (p *pool) state(m *member) membership.State {
	return p.opts.Upstreams.State(membership.UpstreamKey{Service: p.service, Name: m.upstream.Name})
}

// fill makes the snapshot of a choice among the given members.
func (p *pool) fill(ask *Request, members []*member) {
	now := p.opts.Clock.Now()
	p.usedAt = now
	s := &p.snapshot
	candidates := s.Candidates[:0]
	for _, m := range members {
		candidates = append(candidates, p.candidate(m, ask, now))
	}
	*s = Snapshot{
		Candidates: candidates, MaxDistance: p.farthest(ask, candidates),
		Tokens: float64(max(1, ask.Tokens)), MeanTokens: max(1, p.mean), Prefix: ask.Prefix,
		Concurrency: p.doc.Routing.Concurrency, SlowStart: p.doc.Routing.SlowStart,
	}
}

// farthest asks for cross-region room only when no nearer upstream is left.
func (p *pool) farthest(ask *Request, candidates []Candidate) Distance {
	near := Snapshot{MaxDistance: SameRegion}
	for i := range candidates {
		if near.eligible(&candidates[i]) {
			return min(SameRegion, farthest(ask.Doc, never))
		}
	}
	return farthest(ask.Doc, p.opts.CrossRegion)
}

func never(*service.Document) bool { return false }

func (p *pool) candidate(m *member, ask *Request, now time.Time) Candidate {
	c := Candidate{
		Name: m.upstream.Name, Key: m.key, Distance: m.distance, State: p.state(m),
		OwnRequests: m.online + m.batch, OwnTokens: m.tokens, Failures: m.health.Failures, SinceFailure: now.Sub(m.health.FailedAt), Ejected: m.health.Ejected(now),
		Uptime: p.uptime(m, now),
	}
	if m.load != nil {
		c.Reported, c.OtherRequests, c.ReportAge = true, m.others.value, now.Sub(m.readAt)
	}
	if len(ask.Exclude) > 0 {
		c.Excluded = slices.Contains(ask.Exclude, c.Name)
	}
	if p.opts.PrefixCache != nil && ask.Prefix != 0 {
		c.Cached = p.opts.PrefixCache.Contains(m.upstream.Address, ask.Prefix)
	}
	return c
}

// uptime is the time that slow start counts.
func (p *pool) uptime(m *member, now time.Time) time.Duration {
	since := m.since
	if m.health.EjectedUntil.After(since) {
		since = m.health.EjectedUntil
	}
	if since.IsZero() {
		return p.doc.Routing.SlowStart
	}
	return now.Sub(since)
}

// begin counts a request as in flight.
func (p *pool) begin(m *member, tokens float64, batch bool) {
	if p.mean == 0 {
		p.mean = tokens
	}
	p.mean += meanWeight * (tokens - p.mean)
	p.settle(m)
	m.tokens += tokens
	if batch {
		m.batch++
	} else {
		m.online++
	}
}

// settle brings the mean of the host's own requests up to now.
func (p *pool) settle(m *member) {
	m.own.add(float64(m.online+m.batch), p.opts.Clock.Now(), ownTime)
}

// done takes the outcome of a try.
func (p *pool) done(m *member, tokens float64, batch bool, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Load != nil && !sameReport(m.load, o.Load) {
		p.report(m, o.Load)
	}
	p.settle(m)
	m.tokens -= tokens
	if batch {
		m.batch--
	} else {
		m.online--
	}
	if o.Leaving {
		p.leave(m, "its own refusal")
	}
	p.judge(m, o)
}

// sameReport reports whether two loads are the same reading.
func sameReport(a, b *upstream.Load) bool {
	return a != nil && a.At.Equal(b.At) && !a.At.IsZero()
}

// observe takes a report that came before the end of a try.
func (p *pool) observe(m *member, l *upstream.Load) {
	if l == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report(m, l)
}

// report takes a load report read now, unless a newer reading is known. An
// engine's clock may have been set back, so old knowledge gives way.
func (p *pool) report(m *member, l *upstream.Load) {
	if l.Leaving {
		p.leave(m, "its own report")
	}
	now := p.opts.Clock.Now()
	if m.load != nil && l.At.Before(m.load.At) && now.Sub(m.readAt) < reportDecay {
		return
	}
	m.load, m.readAt = l, now
	m.others.add(max(0, float64(l.Running+l.Waiting)-m.own.value), now, othersTime)
}

func (p *pool) leave(m *member, cause string) {
	if p.state(m) != membership.Alive {
		return
	}
	key := membership.UpstreamKey{Service: p.service, Name: m.upstream.Name}
	p.opts.Upstreams.Report(key, membership.Leaving, cause)
}

// judge updates the member's health.
func (p *pool) judge(m *member, o Outcome) {
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
	room := ejectRoom(ejected, len(p.all), p.doc.Routing.EjectLimit)
	m.health = m.health.AfterTry(failed, room, now, p.random.Float64())
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
