package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// independentCrashes is the number of crashes of which no two have a suspect in common
	// that shows that upstreams crash for reasons of their own. Two requests or parts that
	// crash upstreams at the same time don't cause so many.
	independentCrashes = 3
	// independentWindow is the time in which such crashes are counted, and how long they
	// raise the thresholds.
	independentWindow = 10 * time.Second
	// The raised thresholds. A request of one caller, with its retries, is in at most four
	// crashes; one that crashes upstreams and comes again is soon in more.
	raisedAloneThreshold   = 3
	raisedConfirmThreshold = 5
	raisedPartThreshold    = 5
	// holdTime is the number of MomentWindows for which a request waits that may be
	// confirmed: one until that is decided, and one until other hosts learn of it.
	holdTime = 2
	// maxRecentCrashes bounds the crashes kept for one service.
	maxRecentCrashes = 64
)

// recentCrash is a crash with the requests and parts that may explain it.
type recentCrash struct {
	upstream string
	at       time.Time
	suspects map[Fingerprint]struct{}
	// unexplained reports that it is one of several independent crashes of one moment, so
	// that it counts against no request.
	unexplained bool
}

// pendingCrash is a crash that shows what crashes upstreams unless it turns out to be
// unexplained.
type pendingCrash struct {
	crash     Crash
	explained bool
}

// addRecent adds a crash, or the suspects of a further report of it.
func (v *serviceState) addRecent(c Crash) *recentCrash {
	i := slices.IndexFunc(v.recent, func(r *recentCrash) bool { return r.upstream == c.Upstream })
	if i < 0 {
		v.recent = slices.DeleteFunc(v.recent, func(r *recentCrash) bool { return c.At.Sub(r.at) > independentWindow })
		if len(v.recent) >= maxRecentCrashes {
			v.recent = slices.Delete(v.recent, 0, 1)
		}
		i = len(v.recent)
		v.recent = append(v.recent, &recentCrash{upstream: c.Upstream, at: c.At, suspects: make(map[Fingerprint]struct{})})
	}
	r := v.recent[i]
	for _, f := range c.Suspects {
		r.suspects[f] = struct{}{}
	}
	for _, parts := range c.Parts {
		for _, part := range parts {
			r.suspects[part] = struct{}{}
		}
	}
	return r
}

// recordIndependence finds out whether recent crashes are independent. Those of one moment
// are taken back from all requests and parts.
func (s *State) recordIndependence(v *serviceState, now time.Time) {
	moment := slices.DeleteFunc(slices.Clone(v.recent), func(r *recentCrash) bool { return now.Sub(r.at) > s.MomentWindow })
	if v.countIndependent(moment, now) >= independentCrashes {
		for _, r := range moment {
			v.retractFromAll(r)
		}
	}
	recent := slices.DeleteFunc(slices.Clone(v.recent), func(r *recentCrash) bool { return now.Sub(r.at) > independentWindow })
	if v.countIndependent(recent, now) >= independentCrashes {
		v.raisedUntil = now.Add(independentWindow)
	}
}

// countIndependent returns a number of crashes of which no two have a suspect in common.
// It takes crashes greedily, those with the fewest suspects first, so there may be more.
func (v *serviceState) countIndependent(crashes []*recentCrash, now time.Time) int {
	sets := make([][]Fingerprint, len(crashes))
	for i, r := range crashes {
		for f := range r.suspects {
			if v.isStillSuspect(f, now) {
				sets[i] = append(sets[i], f)
			}
		}
	}
	slices.SortStableFunc(sets, func(a, b []Fingerprint) int { return cmp.Compare(len(a), len(b)) })
	n := 0
	taken := make(map[Fingerprint]struct{})
	for _, set := range sets {
		if slices.ContainsFunc(set, func(f Fingerprint) bool { _, ok := taken[f]; return ok }) {
			continue
		}
		n++
		for _, f := range set {
			taken[f] = struct{}{}
		}
	}
	return n
}

// isStillSuspect reports whether a request or a part may crash upstreams.
func (v *serviceState) isStillSuspect(f Fingerprint, now time.Time) bool {
	if _, ok := v.suspects[f]; ok {
		return true
	}
	if _, ok := v.parts.suspects[f]; ok {
		return true
	}
	return now.Before(v.confirmed[f])
}

// retractFromAll removes a crash from the requests and parts that were in progress.
func (v *serviceState) retractFromAll(r *recentCrash) {
	r.unexplained = true
	for f := range r.suspects {
		delete(v.held, f)
		v.retractFromRequest(r.upstream, f)
		if p, ok := v.parts.suspects[f]; ok {
			for request := range p.upstreams {
				v.retractFromPart(r.upstream, f, request)
			}
		}
	}
}

// isRaised reports whether upstreams have crashed for reasons of their own lately, so that
// more crashes are needed against a request.
func (v *serviceState) isRaised(now time.Time) bool { return now.Before(v.raisedUntil) }

// aloneThreshold returns the number of crashes after which a request or a part runs alone.
func (v *serviceState) aloneThreshold(now time.Time, degraded bool) int {
	switch {
	case v.isRaised(now):
		return raisedAloneThreshold
	case degraded:
		return 1
	}
	return aloneThreshold
}

// hold keeps what a crash is likely to confirm from all upstreams until the crash is
// decided on.
func (v *serviceState) hold(c Crash, explained bool, until time.Time) {
	for f, t := range v.held {
		if !c.At.Before(t) {
			delete(v.held, f)
		}
	}
	switch trial := v.withoutHarmless(c).Trial; {
	case v.isConfirmable(trial, c.At):
		v.held[trial] = until
	case !explained:
		for _, part := range v.crashingParts(c.Parts[c.Trial], c.At) {
			v.held[part] = until
		}
	}
}

// isHeld reports whether a request, or one of its parts, may be confirmed by a pending
// crash.
func (v *serviceState) isHeld(c Content, now time.Time) bool {
	isHeld := func(f Fingerprint) bool { return now.Before(v.held[f]) }
	return isHeld(c.Fingerprint) || slices.ContainsFunc(c.Parts, isHeld)
}

// DecidePending decides on the crashes that are MomentWindow old, of which it is known now whether
// others were at the same moment. It returns what each shows.
func (s *State) DecidePending(service string, now time.Time, duration time.Duration) []Findings {
	v, ok := s.services[service]
	if !ok {
		return nil
	}
	var found []Findings
	for len(v.pending) > 0 && now.Sub(v.pending[0].crash.At) >= s.MomentWindow {
		p := v.pending[0]
		v.pending = v.pending[1:]
		if v.isUnexplained(p.crash.Upstream) {
			continue
		}
		if f := s.conclude(v, p.crash, p.explained, duration); len(f.Confirmed)+len(f.Harmless) > 0 {
			found = append(found, f)
		}
	}
	return found
}

func (v *serviceState) isUnexplained(upstream string) bool {
	return slices.ContainsFunc(v.recent, func(r *recentCrash) bool { return r.upstream == upstream && r.unexplained })
}
