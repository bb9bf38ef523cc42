package quarantine

import (
	"maps"
	"time"
)

const (
	// partThreshold is the number of crashes, each under another request, after which a
	// part is refused.
	partThreshold = 3
	// repeatedPartThreshold is the number of requests after which a part is refused under
	// which repeatedPartCrashes upstreams have crashed within repeatedPartWindow: each
	// request may be retried. Over a longer time a caller may have sent two requests that
	// crash upstreams by themselves.
	repeatedPartThreshold = 2
	repeatedPartCrashes   = 4
	repeatedPartWindow    = 10 * time.Second
	// harmlessRetention is how long a request or a part is known as harmless after such a
	// request has run to its end.
	harmlessRetention = time.Minute
	// maxPartRequests bounds the requests kept for one part.
	maxPartRequests = 16
	// maxHarmless bounds each generation of what is known as harmless.
	maxHarmless = 8192
)

// partState holds what is known of the parts of prompts.
type partState struct {
	suspects map[Fingerprint]*suspectPart
	harmless harmlessSet
	// finished holds the parts of requests that ran to their end on this host.
	finished harmlessSet
	// harmlessRequests are whole requests.
	harmlessRequests harmlessSet
	// trialAt holds when a refused request may run once more.
	trialAt map[Fingerprint]time.Time
	// groups holds the group of each refused part that has one.
	groups map[Fingerprint]*partGroup
}

// partGroup is a set of parts that the same crashes implicate. One of them crashes
// upstreams, and a request with only some of them shows whether it is one of those.
type partGroup struct {
	parts map[Fingerprint]struct{}
	// trialAt is when the next request with some of the parts may run.
	trialAt time.Time
}

func newPartState() partState {
	return partState{
		suspects: make(map[Fingerprint]*suspectPart), harmless: newHarmlessSet(), finished: newHarmlessSet(), harmlessRequests: newHarmlessSet(),
		trialAt: make(map[Fingerprint]time.Time), groups: make(map[Fingerprint]*partGroup),
	}
}

// addGroup lets requests with some of the confirmed parts run from trialAt on.
func (s *partState) addGroup(confirmed []Confirmed, trialAt time.Time) {
	g := &partGroup{parts: make(map[Fingerprint]struct{}), trialAt: trialAt}
	for _, c := range confirmed {
		g.parts[c.Fingerprint] = struct{}{}
		s.groups[c.Fingerprint] = g
	}
}

// remove removes a part that is no longer refused from its group.
func (s *partState) remove(part Fingerprint) {
	if g, ok := s.groups[part]; ok {
		delete(g.parts, part)
		delete(s.groups, part)
	}
}

// trialGroup returns the group for which a request with these refused parts is a trial, or
// nil. All of the group's parts together would show nothing new.
func (s *partState) trialGroup(refused []Fingerprint) *partGroup {
	if len(refused) == 0 {
		return nil
	}
	g := s.groups[refused[0]]
	for _, part := range refused {
		if s.groups[part] != g {
			return nil
		}
	}
	if g == nil || len(refused) >= len(g.parts) {
		return nil
	}
	return g
}

// suspectPart holds the crashes under requests with a part since one of them last ran to
// its end.
type suspectPart struct {
	// upstreams holds the upstreams that crashed under each request.
	upstreams       map[Fingerprint]map[string]struct{}
	firstAt, lastAt time.Time
}

// add records a crash of an upstream under a request.
func (p *suspectPart) add(request Fingerprint, upstream string, at time.Time) {
	p.lastAt = at
	if len(p.upstreams) >= maxPartRequests {
		return
	}
	if p.upstreams[request] == nil {
		p.upstreams[request] = make(map[string]struct{})
	}
	p.upstreams[request][upstream] = struct{}{}
}

// upstreamCount returns the number of upstreams that crashed.
func (p *suspectPart) upstreamCount() int {
	all := make(map[string]struct{})
	for _, upstreams := range p.upstreams {
		maps.Copy(all, upstreams)
	}
	return len(all)
}

// crashes returns the number of crashes, each of another upstream under another request.
// A request that crashes upstreams by itself implicates its parts once.
func (p *suspectPart) crashes() int {
	if p == nil {
		return 0
	}
	return min(len(p.upstreams), p.upstreamCount())
}

// isImplicated reports whether the crashes are enough to refuse a part that is not known
// as harmless. With raised thresholds, more are needed.
func (p *suspectPart) isImplicated(raised bool) bool {
	switch n := p.crashes(); {
	case raised:
		return n >= raisedPartThreshold
	case n >= partThreshold:
		return true
	case n < repeatedPartThreshold:
		return false
	}
	return p.upstreamCount() >= repeatedPartCrashes && p.lastAt.Sub(p.firstAt) <= repeatedPartWindow
}

// harmlessSet holds when each request, or a request with each part, last ran to its end.
// The older generation is dropped when the newer one is full.
type harmlessSet struct {
	current, earlier map[Fingerprint]time.Time
}

func newHarmlessSet() harmlessSet { return harmlessSet{current: make(map[Fingerprint]time.Time)} }

func (s *harmlessSet) record(f Fingerprint, now time.Time) {
	if len(s.current) >= maxHarmless {
		s.earlier, s.current = s.current, make(map[Fingerprint]time.Time)
	}
	s.current[f] = now
}

func (s *harmlessSet) lastAt(f Fingerprint) (time.Time, bool) {
	at, ok := s.current[f]
	if !ok {
		at, ok = s.earlier[f]
	}
	return at, ok
}

// contains reports whether the request or part is known as harmless.
func (s *harmlessSet) contains(f Fingerprint, now time.Time) bool {
	at, ok := s.lastAt(f)
	return ok && now.Sub(at) < harmlessRetention
}
