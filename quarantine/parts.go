package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupTrialDelay is the time after which one request with a part of a group that is
	// refused runs alone, and peerGroupTrialDelay that on a host which was told of the group.
	groupTrialDelay     = 1500 * time.Millisecond
	peerGroupTrialDelay = 3 * time.Second
)

// Content is what of a request may crash upstreams: the whole of it, or one of the parts
// of its prompt that other requests share.
type Content struct {
	Fingerprint Fingerprint
	Parts       []Fingerprint
}

// FingerprintOfPart returns the fingerprint of a part of a prompt with a hexadecimal ID.
// It doesn't depend on leading zeros.
func FingerprintOfPart(id string) Fingerprint {
	return Fingerprint(xxhash.Sum64String("part\x00" + strings.TrimLeft(strings.ToLower(id), "0")))
}

// Findings are what a crash shows.
type Findings struct {
	// Confirmed are the request on trial, or else those of its parts, that are refused from
	// now on.
	Confirmed []Confirmed
	// Group reports that Confirmed are parts of which some may be harmless. SuspectFor is the
	// time since the first crash that implicates them.
	Group      bool
	SuspectFor time.Duration
	// Harmless are refused requests, and parts that were suspect or refused, that are known
	// as harmless now.
	Harmless []Fingerprint
}

// DecideContent returns how a request with shared parts may run, as Decide does. A part
// that is suspect and not known as harmless has the request run alone.
func (s *State) DecideContent(service string, c Content, now time.Time, degraded bool) (Decision, time.Time) {
	decision, until := s.Decide(service, c.Fingerprint, now, degraded)
	v, ok := s.services[service]
	if !ok {
		return decision, until
	}
	if decision == Refuse {
		trialAt, ok := v.parts.trialAt[c.Fingerprint]
		switch {
		case !ok:
			return Refuse, until
		case now.Before(trialAt):
			return Refuse, trialAt
		}
		decision = RunAlone
	}
	if refused := v.refusedParts(c, now); len(refused) > 0 {
		return v.decideRefused(refused, now)
	}
	if v.isHeld(c, now) {
		return Wait, time.Time{}
	}
	threshold := v.aloneThreshold(now, degraded)
	for _, part := range c.Parts {
		if !v.parts.harmless.contains(part, now) && v.parts.suspects[part].crashes() >= threshold {
			return RunAlone, time.Time{}
		}
	}
	return decision, until
}

// decideRefused decides on a request with refused parts. It may run as a trial of their
// group.
func (v *serviceState) decideRefused(refused []Fingerprint, now time.Time) (Decision, time.Time) {
	g := v.parts.trialGroup(refused)
	switch {
	case g == nil:
		return Refuse, v.confirmed[refused[0]]
	case now.Before(g.trialAt):
		return Refuse, g.trialAt
	}
	return RunAlone, time.Time{}
}

// refusedParts returns the parts of a request that are refused now.
func (v *serviceState) refusedParts(c Content, now time.Time) []Fingerprint {
	var refused []Fingerprint
	for _, part := range c.Parts {
		if until, ok := v.confirmed[part]; ok && now.Before(until) {
			refused = append(refused, part)
		}
	}
	return refused
}

// Started records that a request begins to run. The next trial of its group waits for
// this one; a refused request runs once.
func (s *State) Started(service string, c Content, now time.Time) {
	v, ok := s.services[service]
	if !ok {
		return
	}
	delete(v.parts.trialAt, c.Fingerprint)
	if g := v.parts.trialGroup(v.refusedParts(c, now)); g != nil {
		g.trialAt = now.Add(peerGroupTrialDelay)
	}
}

// narrowGroup records that a crash under the request on trial shows that one of its parts
// crashes upstreams. It returns the other parts of their group.
func (v *serviceState) narrowGroup(c Crash) (others []Fingerprint) {
	refused := v.refusedParts(Content{Parts: c.Parts[c.Trial]}, c.At)
	g := v.parts.trialGroup(refused)
	if g == nil {
		return nil
	}
	g.trialAt = c.At
	for part := range g.parts {
		if !slices.Contains(refused, part) {
			others = append(others, part)
		}
	}
	return others
}

// RecordContentCrash records a crash as RecordCrash does, and makes suspects of the shared
// parts of the requests in flight too, unless something that is refused explains it.
func (s *State) RecordContentCrash(c Crash, duration time.Duration) Findings {
	v := s.forService(c.Service)
	explained, unexplained := s.addContentCrash(c, duration)
	switch {
	case unexplained:
		return Findings{}
	case s.MomentWindow > 0:
		v.pending = append(v.pending, pendingCrash{c, explained})
		return Findings{}
	}
	return s.conclude(v, c, explained, duration)
}

// addContentCrash makes suspects of the requests in flight and their shared parts. It
// reports whether something that is refused explains the crash, and whether no request does.
func (s *State) addContentCrash(c Crash, duration time.Duration) (explained, unexplained bool) {
	v := s.forService(c.Service)
	if s.MomentWindow > 0 && v.addRecent(c).unexplained {
		return false, true
	}
	explained = s.addPartCrashes(c, duration)
	added := v.withoutHarmless(c)
	added.Trial = 0
	s.RecordCrash(added, duration)
	if s.MomentWindow == 0 {
		return explained, false
	}
	s.recordIndependence(v, c.At)
	if v.isUnexplained(c.Upstream) {
		return explained, true
	}
	v.hold(c, explained, c.At.Add(holdTime*s.MomentWindow))
	return explained, false
}

// conclude determines what a crash shows.
func (s *State) conclude(v *serviceState, c Crash, explained bool, duration time.Duration) Findings {
	if confirmed, ok := s.confirmTrial(v, v.withoutHarmless(c), duration); ok {
		v.parts.trialAt[confirmed.Fingerprint] = c.At.Add(groupTrialDelay)
		return Findings{Confirmed: []Confirmed{confirmed}}
	}
	if explained {
		return Findings{Harmless: s.RecordHarmless(c.Service, v.narrowGroup(c), c.At)}
	}
	var f Findings
	for _, part := range v.crashingParts(c.Parts[c.Trial], c.At) {
		f.SuspectFor = max(f.SuspectFor, c.At.Sub(v.parts.suspects[part].firstAt))
		found := Confirmed{Fingerprint: part, Until: c.At.Add(duration)}
		s.Confirm(c.Service, found)
		f.Confirmed = append(f.Confirmed, found)
	}
	f.Group = len(f.Confirmed) > 1
	v.applyGroup(Notice{Confirmed: f.Confirmed, Group: f.Group}, c.At.Add(groupTrialDelay))
	return f
}

// withoutHarmless returns the crash without the suspects that are known as harmless: equal
// requests of many callers are in progress wherever an upstream crashes.
func (v *serviceState) withoutHarmless(c Crash) Crash {
	isHarmless := func(f Fingerprint) bool { return v.parts.harmlessRequests.contains(f, c.At) }
	c.Suspects = slices.DeleteFunc(slices.Clone(c.Suspects), isHarmless)
	if isHarmless(c.Trial) {
		c.Trial = 0
	}
	return c
}

// addPartCrashes makes suspects of the shared parts of the requests in flight at a crash.
// It reports whether something that is refused explains the crash.
func (s *State) addPartCrashes(c Crash, duration time.Duration) (explained bool) {
	v := s.forService(c.Service)
	v.expireParts(c.At, duration)
	if v.isExplained(c) {
		return true
	}
	for request, parts := range c.Parts {
		for _, part := range parts {
			if !v.parts.harmless.contains(part, c.At) {
				v.addPartCrash(part, request, c)
			}
		}
	}
	return false
}

// isExplained reports whether a request in flight at a crash was refused already, or held
// a part that was.
func (v *serviceState) isExplained(c Crash) bool {
	for request, parts := range c.Parts {
		if c.At.Before(v.confirmed[request]) || len(v.refusedParts(Content{Parts: parts}, c.At)) > 0 {
			return true
		}
	}
	return false
}

func (v *serviceState) addPartCrash(part, request Fingerprint, c Crash) {
	p, ok := v.parts.suspects[part]
	if !ok {
		if len(v.parts.suspects) >= maxSuspects {
			return
		}
		p = &suspectPart{upstreams: make(map[Fingerprint]map[string]struct{}), firstAt: c.At}
		v.parts.suspects[part] = p
	}
	p.add(request, c.Upstream, c.At)
}

// applyGroup lets parts that were refused together be told apart by trials from trialAt
// on. A single one explains its crashes.
func (v *serviceState) applyGroup(n Notice, trialAt time.Time) {
	if n.Group {
		v.parts.addGroup(n.Confirmed, trialAt)
		return
	}
	for _, c := range n.Confirmed {
		v.explain(c.Fingerprint)
	}
}

// explain removes from all parts the crashes under requests with a part that is known to
// crash upstreams.
func (v *serviceState) explain(crashing Fingerprint) {
	explained, ok := v.parts.suspects[crashing]
	if !ok {
		return
	}
	requests := slices.Collect(maps.Keys(explained.upstreams))
	for part, p := range v.parts.suspects {
		for _, request := range requests {
			delete(p.upstreams, request)
		}
		if len(p.upstreams) == 0 {
			delete(v.parts.suspects, part)
		}
	}
}

// crashingParts returns the parts of a request that explain its crashes.
func (v *serviceState) crashingParts(parts []Fingerprint, now time.Time) []Fingerprint {
	var crashing []Fingerprint
	for _, part := range parts {
		if !v.parts.harmless.contains(part, now) && v.parts.suspects[part].isImplicated(v.isRaised(now)) {
			crashing = append(crashing, part)
		}
	}
	return crashing
}

// expireParts removes suspect parts whose last crash is older than the duration.
func (v *serviceState) expireParts(now time.Time, duration time.Duration) {
	for part, p := range v.parts.suspects {
		if now.Sub(p.lastAt) > duration {
			delete(v.parts.suspects, part)
		}
	}
}

// RecordFinished records that a request ran to its end, so that neither it nor any of its
// parts crashes upstreams. It returns what that changes.
func (s *State) RecordFinished(service string, c Content, now time.Time) Notice {
	v := s.forService(service)
	n := Notice{Service: service, Harmless: s.RecordHarmless(service, c.Parts, now)}
	for _, part := range c.Parts {
		v.parts.finished.record(part, now)
	}
	if _, wasRefused := v.confirmed[c.Fingerprint]; wasRefused {
		delete(v.confirmed, c.Fingerprint)
		delete(v.parts.trialAt, c.Fingerprint)
		n.Harmless = append(n.Harmless, c.Fingerprint)
	}
	if s.Clear(service, c.Fingerprint) {
		n.Cleared = []Fingerprint{c.Fingerprint}
	}
	v.parts.harmlessRequests.record(c.Fingerprint, now)
	return n
}

// RecordHarmless records that a request with these parts ran to its end, so that none of
// them crashes upstreams. It returns those that were refused, or suspect and not known
// as harmless.
func (s *State) RecordHarmless(service string, parts []Fingerprint, now time.Time) []Fingerprint {
	var changed []Fingerprint
	v := s.forService(service)
	for _, part := range parts {
		wasHarmless := v.parts.harmless.contains(part, now)
		_, wasRefused := v.confirmed[part]
		if _, wasSuspect := v.parts.suspects[part]; wasRefused || wasSuspect && !wasHarmless {
			changed = append(changed, part)
		}
		delete(v.confirmed, part)
		delete(v.held, part)
		delete(v.parts.suspects, part)
		v.parts.remove(part)
		v.parts.harmless.record(part, now)
	}
	return changed
}

// IsConfirmed reports whether a request or a part is refused now.
func (s *State) IsConfirmed(service string, f Fingerprint, now time.Time) bool {
	v, ok := s.services[service]
	return ok && now.Before(v.confirmed[f])
}

// HarmlessParts returns those parts of a notice's crash with which a request has run to its
// end on this host within harmlessRetention, so that they are suspect nowhere. What other
// hosts have told doesn't count, or hosts would renew each other's knowledge for ever.
func (s *State) HarmlessParts(n Notice, now time.Time) []Fingerprint {
	if n.Crash == nil {
		return nil
	}
	v := s.forService(n.Service)
	harmless := make(map[Fingerprint]struct{})
	for _, parts := range n.Crash.Parts {
		for _, part := range parts {
			if v.parts.finished.contains(part, now) {
				harmless[part] = struct{}{}
			}
		}
	}
	return slices.Collect(maps.Keys(harmless))
}

// HarmlessSince returns those of a notice's refused parts with which a request ran to its end
// here after their first crash, so that they don't explain the crashes.
func (s *State) HarmlessSince(n Notice, now time.Time) []Fingerprint {
	if !n.Group {
		return nil
	}
	v := s.forService(n.Service)
	var harmless []Fingerprint
	for _, c := range n.Confirmed {
		if at, ok := v.parts.harmless.lastAt(c.Fingerprint); ok && now.Sub(at) < n.SuspectFor {
			harmless = append(harmless, c.Fingerprint)
		}
	}
	return harmless
}
