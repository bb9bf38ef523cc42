package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// aloneThreshold is the number of crashes after which a suspect runs alone.
	aloneThreshold = 2
	// confirmThreshold is the number of crashes, the last one alone, that confirm.
	confirmThreshold = 3
	// sameCrashWindow is the time within which reports of one upstream are one crash.
	sameCrashWindow = 250 * time.Millisecond
	// maxSuspects and maxConfirmed bound what is kept for one service.
	maxSuspects  = 4096
	maxConfirmed = 1024
)

// Crash is the loss of an upstream with the requests in flight there.
type Crash struct {
	Service  string
	Upstream string
	At       time.Time
	Suspects []Fingerprint
	// Trial is the suspect that ran alone there; zero if none did.
	Trial Fingerprint
}

// Confirmed is a request that crashes upstreams.
type Confirmed struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Until       time.Time   `json:"until"`
}

// Decision says how a request may run.
type Decision uint8

// Decisions.
const (
	Run Decision = iota
	RunAlone
	Refuse
)

// State is what is known of the requests that may crash upstreams. It follows
// group testing: a crash implicates all that was in flight, an answer clears
// (Khattab, Gobriel, Melhem and Mossé, "Live Baiting for Service-level DoS
// Attackers", INFOCOM 2008). It is pure and not safe for concurrent use.
type State struct {
	services map[string]*serviceState
}

type serviceState struct {
	suspects  map[Fingerprint]*suspect
	confirmed map[Fingerprint]time.Time
}

type suspect struct {
	crashes []crashRecord
}

type crashRecord struct {
	upstream string
	at       time.Time
}

// NewState returns a state without suspects.
func NewState() *State { return &State{services: make(map[string]*serviceState)} }

func (s *State) forService(service string) *serviceState {
	v, ok := s.services[service]
	if !ok {
		v = &serviceState{suspects: make(map[Fingerprint]*suspect), confirmed: make(map[Fingerprint]time.Time)}
		s.services[service] = v
	}
	return v
}

// Decide says how a request may run, and until when it is refused. While the
// service is hurt, that is, many of its upstreams were lost lately, each
// suspect runs alone, so that several of them don't take the rest together.
func (s *State) Decide(service string, f Fingerprint, now time.Time, degraded bool) (Decision, time.Time) {
	v, ok := s.services[service]
	if !ok {
		return Run, time.Time{}
	}
	if until, ok := v.confirmed[f]; ok && now.Before(until) {
		return Refuse, until
	}
	if p, ok := v.suspects[f]; ok && (degraded || len(p.crashes) >= aloneThreshold) {
		return RunAlone, time.Time{}
	}
	return Run, time.Time{}
}

// Empty reports whether the service has neither suspects nor confirmed
// requests.
func (s *State) Empty(service string) bool {
	v, ok := s.services[service]
	return !ok || len(v.suspects) == 0 && len(v.confirmed) == 0
}

// RecordCrash takes a crash. It returns the trial when the crash confirms it; a
// confirmed request is refused for the duration.
func (s *State) RecordCrash(c Crash, duration time.Duration) (Confirmed, bool) {
	v := s.forService(c.Service)
	v.expire(c.At, duration)
	for _, f := range c.Suspects {
		v.addCrash(f, crashRecord{upstream: c.Upstream, at: c.At})
	}
	p, ok := v.suspects[c.Trial]
	if c.Trial == 0 || !ok || len(p.crashes) < confirmThreshold {
		return Confirmed{}, false
	}
	confirmed := Confirmed{Fingerprint: c.Trial, Until: c.At.Add(duration)}
	s.Confirm(c.Service, confirmed)
	return confirmed, true
}

func (v *serviceState) addCrash(f Fingerprint, crash crashRecord) {
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
	if len(p.crashes) < confirmThreshold {
		p.crashes = append(p.crashes, crash)
	}
}

// evictOldestSuspect drops the suspect with the oldest crash when there are too many.
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

// expire forgets suspects whose last crash is older than the duration.
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

// Clear clears a request that ran to its end and reports whether it was a
// suspect.
func (s *State) Clear(service string, f Fingerprint) bool {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	_, wasSuspect := v.suspects[f]
	delete(v.suspects, f)
	return wasSuspect
}

// Confirm takes a confirmed request.
func (s *State) Confirm(service string, c Confirmed) {
	v := s.forService(service)
	delete(v.suspects, c.Fingerprint)
	if until, ok := v.confirmed[c.Fingerprint]; ok && until.After(c.Until) {
		return
	}
	if len(v.confirmed) >= maxConfirmed {
		delete(v.confirmed, v.sortedConfirmed()[0].Fingerprint)
	}
	v.confirmed[c.Fingerprint] = c.Until
}

// Confirmed returns the confirmed requests of a service, the first to end first.
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

// SuspectCount returns the number of suspects of a service, and of those that must
// run alone.
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
