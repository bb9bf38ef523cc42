package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// aloneThreshold is the number of crashes after which a suspect only runs
	// alone.
	aloneThreshold = 2
	// confirmThreshold is the number of crashes, the last one in a trial, that
	// confirm a suspect.
	confirmThreshold = 3
	// defaultSameCrashWindow is the SameCrashWindow of a new State.
	defaultSameCrashWindow = 250 * time.Millisecond
	// maxSuspects and maxConfirmed bound the entries kept for one service.
	maxSuspects  = 4096
	maxConfirmed = 1024
)

// Crash is the failure of an upstream with the requests in flight there.
type Crash struct {
	Service  string
	Upstream string
	At       time.Time
	Suspects []Fingerprint
	// Parts holds the shared parts of the suspects' prompts, by suspect. It may be nil.
	Parts map[Fingerprint][]Fingerprint
	// Trial is the suspect that ran alone there, or zero.
	Trial Fingerprint
}

// Confirmed is a request that is known to crash upstreams and is rejected until
// the given time.
type Confirmed struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Until       time.Time   `json:"until"`
}

// Decision is how a request may run.
type Decision uint8

const (
	// Run permits the request on any upstream, beside others.
	Run Decision = iota
	// RunAlone permits the request only on an upstream reserved for it.
	RunAlone
	// Refuse rejects the request.
	Refuse
	// Wait lets the request wait for some milliseconds, until it is known whether it is
	// rejected. A State without a MomentWindow doesn't return it.
	Wait
)

// State holds the suspects and the confirmed requests of each service. It uses
// group testing: a crash makes suspects of all requests in flight, a response
// clears one (Khattab, Gobriel, Melhem and Mossé, "Live Baiting for
// Service-level DoS Attackers", INFOCOM 2008). It does no I/O, reads no clock
// and is not safe for concurrent use.
type State struct {
	// SameCrashWindow is the time within which reports about one upstream count as
	// one crash: several hosts report the same crash.
	SameCrashWindow time.Duration
	// MomentWindow is the time within which crashes count as simultaneous, or of one
	// moment. If it is not zero,
	// independent crashes of one moment count against no request, those of a longer time
	// raise the thresholds, and DecidePending decides on crashes.
	MomentWindow time.Duration
	services     map[string]*serviceState
}

type serviceState struct {
	suspects map[Fingerprint]*suspect
	// confirmed holds the requests and parts that are refused, with the time until which
	// they are.
	confirmed map[Fingerprint]time.Time
	parts     partState
	// recent holds the last crashes, the oldest first, and pending those on which DecidePending
	// has to decide. The thresholds are raised until raisedUntil.
	recent      []*recentCrash
	pending     []pendingCrash
	raisedUntil time.Time
	// held holds what pending crashes are likely to confirm, and until when no upstream
	// gets it.
	held map[Fingerprint]time.Time
}

// suspect is a request with the crashes during which it was in flight.
type suspect struct {
	crashes []crashRecord
}

type crashRecord struct {
	upstream string
	at       time.Time
}

// NewState returns a state without suspects.
func NewState() *State {
	return &State{SameCrashWindow: defaultSameCrashWindow, services: make(map[string]*serviceState)}
}

func (s *State) forService(service string) *serviceState {
	v, ok := s.services[service]
	if !ok {
		v = &serviceState{suspects: make(map[Fingerprint]*suspect), confirmed: make(map[Fingerprint]time.Time), parts: newPartState(), held: make(map[Fingerprint]time.Time)}
		s.services[service] = v
	}
	return v
}

// Decide returns how a request may run and, if it is rejected, until when. While
// the service is degraded, that is, many of its upstreams failed recently, each
// suspect runs alone after its first crash, so that several requests that crash
// upstreams don't bring down the remaining upstreams.
func (s *State) Decide(service string, f Fingerprint, now time.Time, degraded bool) (Decision, time.Time) {
	v, ok := s.services[service]
	if !ok {
		return Run, time.Time{}
	}
	if until, ok := v.confirmed[f]; ok && now.Before(until) {
		return Refuse, until
	}
	if p, ok := v.suspects[f]; ok && len(p.crashes) >= v.aloneThreshold(now, degraded) {
		return RunAlone, time.Time{}
	}
	return Run, time.Time{}
}

// Empty reports whether the service has neither suspects nor confirmed requests or
// parts.
func (s *State) Empty(service string) bool {
	v, ok := s.services[service]
	return !ok || len(v.suspects) == 0 && len(v.confirmed) == 0 && len(v.parts.suspects) == 0
}

// RecordCrash makes suspects of the requests in flight at a crash. If the crash
// confirms the request on trial, RecordCrash returns it; a confirmed request is
// rejected for the given duration.
func (s *State) RecordCrash(c Crash, duration time.Duration) (Confirmed, bool) {
	v := s.forService(c.Service)
	v.expire(c.At, duration)
	for _, f := range c.Suspects {
		v.addCrash(f, crashRecord{upstream: c.Upstream, at: c.At}, s.SameCrashWindow)
	}
	return s.confirmTrial(v, c, duration)
}

// confirmTrial confirms the request on trial if it has been in enough crashes.
func (s *State) confirmTrial(v *serviceState, c Crash, duration time.Duration) (Confirmed, bool) {
	if !v.isConfirmable(c.Trial, c.At) {
		return Confirmed{}, false
	}
	confirmed := Confirmed{Fingerprint: c.Trial, Until: c.At.Add(duration)}
	s.Confirm(c.Service, confirmed)
	return confirmed, true
}

// isConfirmable reports whether a request has been in enough crashes to be confirmed.
func (v *serviceState) isConfirmable(f Fingerprint, now time.Time) bool {
	threshold := confirmThreshold
	if v.isRaised(now) {
		threshold = raisedConfirmThreshold
	}
	p, ok := v.suspects[f]
	return f != 0 && ok && len(p.crashes) >= threshold
}

func (v *serviceState) addCrash(f Fingerprint, crash crashRecord, sameCrashWindow time.Duration) {
	if _, known := v.confirmed[f]; known {
		return
	}
	p, ok := v.suspects[f]
	if !ok {
		v.evictOldestSuspect()
		p = &suspect{}
		v.suspects[f] = p
	}
	for _, old := range p.crashes {
		if old.upstream == crash.upstream && old.at.Sub(crash.at).Abs() < sameCrashWindow {
			return
		}
	}
	if len(p.crashes) < raisedConfirmThreshold {
		p.crashes = append(p.crashes, crash)
	}
}

// evictOldestSuspect makes room for one suspect: at the bound, it removes the
// suspect whose last crash is the oldest.
func (v *serviceState) evictOldestSuspect() {
	if len(v.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, p := range v.suspects {
		last := p.crashes[len(p.crashes)-1].at
		if at.IsZero() || last.Before(at) {
			oldest, at = f, last
		}
	}
	delete(v.suspects, oldest)
}

// expire removes suspects whose last crash is older than the duration, and
// confirmed requests whose time has passed.
func (v *serviceState) expire(now time.Time, duration time.Duration) {
	for f, p := range v.suspects {
		if now.Sub(p.crashes[len(p.crashes)-1].at) > duration {
			delete(v.suspects, f)
		}
	}
	for f, until := range v.confirmed {
		if !now.Before(until) {
			delete(v.confirmed, f)
		}
	}
}

// Apply applies a notice of another host, which was received at the given time. The
// crash in it only adds suspects: its sender confirms the request on trial.
func (s *State) Apply(n Notice, now time.Time, duration time.Duration) {
	if n.Crash != nil {
		c := *n.Crash
		c.At = now
		s.addContentCrash(c, duration)
	}
	if u := n.Unreached; u != nil {
		for _, f := range u.Suspects {
			s.RetractCrash(n.Service, u.Upstream, Content{Fingerprint: f, Parts: u.Parts[f]})
		}
	}
	s.RecordHarmless(n.Service, n.Harmless, now)
	for _, f := range n.Cleared {
		s.Clear(n.Service, f)
	}
	for _, c := range n.Confirmed {
		if c.Until.After(now) {
			s.Confirm(n.Service, c)
		}
	}
	s.forService(n.Service).applyGroup(n, now.Add(peerGroupTrialDelay))
}

// Clear removes a request that ran to its end from the suspects and reports
// whether it was one.
func (s *State) Clear(service string, f Fingerprint) bool {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	_, wasSuspect := v.suspects[f]
	delete(v.suspects, f)
	delete(v.held, f)
	return wasSuspect
}

// Confirm adds a confirmed request and removes it from the suspects. At the
// bound it removes the confirmed request that expires first.
func (s *State) Confirm(service string, c Confirmed) {
	v := s.forService(service)
	delete(v.suspects, c.Fingerprint)
	until, known := v.confirmed[c.Fingerprint]
	if known && until.After(c.Until) {
		return
	}
	if !known && len(v.confirmed) >= maxConfirmed {
		delete(v.confirmed, v.sortedConfirmed()[0].Fingerprint)
	}
	v.confirmed[c.Fingerprint] = c.Until
}

// Confirmed returns the confirmed requests of a service, ordered by expiry.
func (s *State) Confirmed(service string) []Confirmed {
	v, ok := s.services[service]
	if !ok {
		return nil
	}
	return v.sortedConfirmed()
}

func (v *serviceState) sortedConfirmed() []Confirmed {
	out := make([]Confirmed, 0, len(v.confirmed))
	for f, until := range v.confirmed {
		out = append(out, Confirmed{Fingerprint: f, Until: until})
	}
	slices.SortFunc(out, func(a, b Confirmed) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// Services returns the names of the services that have confirmed requests.
func (s *State) Services() []string {
	var out []string
	for name, v := range s.services {
		if len(v.confirmed) > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SuspectCount returns the number of suspects of a service, and of those that
// must run alone.
func (s *State) SuspectCount(service string) (all, alone int) {
	v, ok := s.services[service]
	if !ok {
		return 0, 0
	}
	for _, p := range v.suspects {
		if len(p.crashes) >= aloneThreshold {
			alone++
		}
	}
	return len(v.suspects), alone
}
