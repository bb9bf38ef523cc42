package slots

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// crashScope is the key of the quarantine state that holds the requests to all
// services: an equal request may be routed to several of them.
const crashScope = ""

// quarantineDuration is how long a request that crashes replicas is refused.
const quarantineDuration = 10 * time.Minute

// crashMomentWindow is the time within which crashes count as simultaneous. It leaves room for
// the probes and for the notices of other regions.
const crashMomentWindow = 50 * time.Millisecond

// maxConnectTime is the age of a grant up to which an unreachable replica means that no
// connection was made. Later, the replica may have been sent the request and be silent.
const maxConnectTime = 250 * time.Millisecond

// RecordCrash records the crash of a replica with the requests that were in progress
// there: those whose exchange is known to have broken off, and those that hold a slot.
// It returns what other hosts have to be told, or false if there was no such request.
// DecidePendingCrashes has to be called crashMomentWindow later.
func (s *Scheduler) RecordCrash(now time.Time, r replica.Replica, broken []quarantine.Content) (quarantine.Notice, bool) {
	if state := s.findIncarnation(r); state != nil {
		state.recordOutcome(now, Unreachable)
		state.accuse(now, "")
	}
	s.recordRan(now, r, broken)
	suspects := append(slices.Clone(broken), s.inProgress(r)...)
	if len(suspects) == 0 {
		return quarantine.Notice{}, false
	}
	slices.SortFunc(suspects, compareContent)
	suspects = slices.CompactFunc(suspects, func(a, b quarantine.Content) bool { return a.Fingerprint == b.Fingerprint })
	c := quarantine.Crash{
		Service: crashScope, Upstream: crashedUpstream(r), At: now,
		Parts: make(map[quarantine.Fingerprint][]quarantine.Fingerprint), Trial: s.onlySuspect(now, suspects),
	}
	for _, content := range suspects {
		c.Suspects = append(c.Suspects, content.Fingerprint)
		if c.Trial == 0 || c.Trial == content.Fingerprint {
			c.Parts[content.Fingerprint] = content.Parts
		}
	}
	s.requests.RecordContentCrash(c, quarantineDuration)
	return quarantine.Notice{Service: crashScope, Crash: &c}, true
}

// DecidePendingCrashes decides on crashes of which it is known now whether others were at the same
// moment. It returns what other hosts have to be told.
func (s *Scheduler) DecidePendingCrashes(now time.Time) []quarantine.Notice {
	var notices []quarantine.Notice
	for _, f := range s.requests.DecidePending(crashScope, now, quarantineDuration) {
		notices = append(notices, quarantine.Notice{Service: crashScope, Confirmed: f.Confirmed, Group: f.Group, SuspectFor: f.SuspectFor, Harmless: f.Harmless})
	}
	return notices
}

// crashedUpstream names one incarnation of a replica.
func crashedUpstream(r replica.Replica) string { return r.ID + "/" + strconv.FormatInt(r.Born, 10) }

// crashedRuns are requests that ran on a replica when it crashed.
type crashedRuns struct {
	at       time.Time
	requests map[quarantine.Fingerprint]struct{}
}

// recordRan records which requests are known to have run on a replica that crashed.
func (s *Scheduler) recordRan(now time.Time, r replica.Replica, broken []quarantine.Content) {
	for upstream, runs := range s.ran {
		if now.Sub(runs.at) > crashWindow {
			delete(s.ran, upstream)
		}
	}
	runs := crashedRuns{at: now, requests: make(map[quarantine.Fingerprint]struct{}, len(broken))}
	for _, c := range broken {
		runs.requests[c.Fingerprint] = struct{}{}
	}
	s.ran[crashedUpstream(r)] = runs
}

// hasEqualRun reports whether an equal request ran or is in progress on the replica of a
// grant.
func (s *Scheduler) hasEqualRun(g *grantState) bool {
	if _, ok := s.ran[crashedUpstream(g.Replica)].requests[g.Content.Fingerprint]; ok {
		return true
	}
	for id, other := range s.grants {
		if id != g.ID && other.Content.Fingerprint == g.Content.Fingerprint && other.Replica.Incarnation() == g.Replica.Incarnation() {
			return true
		}
	}
	return false
}

// RecordUnreached records that the request of a grant could not be sent to its replica, so
// that it was not in progress there if the replica has crashed. It returns what other hosts
// have to be told, or false if nothing. It must be called before the grant is released.
func (s *Scheduler) RecordUnreached(now time.Time, id GrantID) (quarantine.Notice, bool) {
	g, ok := s.grants[id]
	if !ok || g.Content.Fingerprint == 0 || now.Sub(g.Since) > maxConnectTime {
		return quarantine.Notice{}, false
	}
	if s.hasEqualRun(g) {
		return quarantine.Notice{}, false
	}
	unreached := &quarantine.Crash{
		Service: crashScope, Upstream: crashedUpstream(g.Replica), At: now, Suspects: []quarantine.Fingerprint{g.Content.Fingerprint},
		Parts: map[quarantine.Fingerprint][]quarantine.Fingerprint{g.Content.Fingerprint: g.Content.Parts},
	}
	return quarantine.Notice{Service: crashScope, Unreached: unreached}, s.requests.RetractCrash(crashScope, unreached.Upstream, g.Content)
}

func compareContent(a, b quarantine.Content) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// ApplyNotice applies what another host has found out about requests that crash replicas.
// It returns those parts of it that this host knows as harmless.
func (s *Scheduler) ApplyNotice(now time.Time, n quarantine.Notice) quarantine.Notice {
	harmless := s.requests.HarmlessSince(n, now)
	n.Confirmed = slices.DeleteFunc(slices.Clone(n.Confirmed), func(c quarantine.Confirmed) bool { return slices.Contains(harmless, c.Fingerprint) })
	harmless = append(harmless, s.requests.HarmlessParts(n, now)...)
	s.requests.Apply(n, now, quarantineDuration)
	return quarantine.Notice{Service: crashScope, Harmless: harmless}
}

// RecordHarmless records that another host knows parts as harmless. It returns what other hosts
// have to be told, or false if nothing.
func (s *Scheduler) RecordHarmless(now time.Time, parts []quarantine.Fingerprint) (quarantine.Notice, bool) {
	n := quarantine.Notice{Service: crashScope, Harmless: s.requests.RecordHarmless(crashScope, parts, now)}
	return n, len(n.Harmless) > 0
}

// RecordFinished records that a replica ran a request to its end. It returns what other
// hosts have to be told, or false if nothing was suspected of it.
func (s *Scheduler) RecordFinished(now time.Time, c quarantine.Content) (quarantine.Notice, bool) {
	if c.Fingerprint == 0 {
		return quarantine.Notice{}, false
	}
	n := s.requests.RecordFinished(crashScope, c, now)
	return n, len(n.Harmless)+len(n.Cleared) > 0
}

// inProgress returns the requests in progress on one incarnation of a replica.
func (s *Scheduler) inProgress(r replica.Replica) []quarantine.Content {
	var out []quarantine.Content
	for _, g := range s.grants {
		if g.Content.Fingerprint != 0 && g.Replica.Incarnation() == r.Incarnation() {
			out = append(out, g.Content)
		}
	}
	return out
}

// onlySuspect returns the request among these that was a suspect before, or zero unless
// there is exactly one.
func (s *Scheduler) onlySuspect(now time.Time, contents []quarantine.Content) quarantine.Fingerprint {
	var only quarantine.Fingerprint
	for _, c := range contents {
		if !s.isSuspect(now, c) {
			continue
		}
		if only != 0 {
			return 0
		}
		only = c.Fingerprint
	}
	return only
}

func (s *Scheduler) isSuspect(now time.Time, c quarantine.Content) bool {
	decision, _ := s.requests.DecideContent(crashScope, c, now, true)
	return c.Fingerprint != 0 && decision != quarantine.Run
}

// occupancy is which replicas run requests that may crash them.
type occupancy struct {
	// suspects holds the replicas that run a suspect, and isolated those whose suspect
	// has been in several crashes.
	suspects, isolated map[*replicaState]bool
}

// occupancy returns which replicas run suspects now.
func (s *Scheduler) occupancy(now time.Time) occupancy {
	var o occupancy
	if s.requests.Empty(crashScope) {
		return o
	}
	o.suspects, o.isolated = make(map[*replicaState]bool), make(map[*replicaState]bool)
	for _, g := range s.grants {
		s.occupy(now, o, g.replicaState, g.Content)
	}
	return o
}

// occupy records that a replica runs a request.
func (s *Scheduler) occupy(now time.Time, o occupancy, r *replicaState, c quarantine.Content) {
	if o.suspects == nil || !s.isSuspect(now, c) {
		return
	}
	o.suspects[r] = true
	if decision, _ := s.requests.DecideContent(crashScope, c, now, false); decision != quarantine.Run {
		o.isolated[r] = true
	}
}

// placement returns the function that reports whether a request may be sent to a
// replica. A replica runs one suspect at a time, so that its next crash shows which
// one causes it, and nothing is added to one whose suspect was in several crashes.
func (s *Scheduler) placement(now time.Time, o occupancy, args *AcquireArgs) func(*replicaState) bool {
	if o.suspects == nil {
		return args.allows
	}
	switch decision, _ := s.requests.DecideContent(crashScope, args.Content, now, true); decision {
	case quarantine.Refuse, quarantine.Wait:
		return func(*replicaState) bool { return false }
	case quarantine.RunAlone:
		return func(r *replicaState) bool { return args.allows(r) && !o.suspects[r] }
	default:
		return func(r *replicaState) bool { return args.allows(r) && !o.isolated[r] }
	}
}

// refusedFor returns how long the request is refused since it crashes replicas.
func (s *Scheduler) refusedFor(now time.Time, args *AcquireArgs) (time.Duration, bool) {
	decision, until := s.requests.DecideContent(crashScope, args.Content, now, true)
	return until.Sub(now), decision == quarantine.Refuse
}

// isHeld reports whether the request waits until it is known whether it crashes replicas.
func (s *Scheduler) isHeld(now time.Time, args *AcquireArgs) bool {
	decision, _ := s.requests.DecideContent(crashScope, args.Content, now, true)
	return decision == quarantine.Wait
}

// findIncarnation returns the state of one incarnation of a replica, or nil.
func (s *Scheduler) findIncarnation(r replica.Replica) *replicaState {
	state := s.find(r.Service, r.ID)
	if state == nil || state.Born != r.Born {
		return nil
	}
	return state
}
