package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testMoment = 50 * time.Millisecond

// momentState plays crashes for a State that knows of moments.
type momentState struct {
	*State
	upstream int
}

func newMomentState() *momentState {
	s := NewState()
	s.MomentWindow, s.SameCrashWindow = testMoment, time.Hour
	return &momentState{State: s}
}

// crash records a crash with the given requests in progress, the first of which was the only
// suspect.
func (s *momentState) crash(at time.Time, requests ...Fingerprint) {
	s.upstream++
	s.RecordContentCrash(Crash{Service: "s", Upstream: fmt.Sprint("u", s.upstream), At: at, Suspects: requests, Trial: requests[0]}, time.Hour)
}

func (s *momentState) decide(f Fingerprint, now time.Time) Decision {
	decision, _ := s.DecideContent("s", Content{Fingerprint: f}, now, true)
	return decision
}

// Upstreams that crash together with nothing in common have another cause, and a common
// request must not hide among them.
func TestCrashesOfOneMomentCountOnlyIfTheyHaveARequestInCommon(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes [][]Fingerprint
		apart   time.Duration
		want    Decision
	}{
		{"nothing in common", [][]Fingerprint{{1, 2}, {3, 4}, {5}}, 2 * time.Millisecond, Run},
		{"one request in two of three", [][]Fingerprint{{1, 2}, {1, 4}, {5}}, 2 * time.Millisecond, RunAlone},
		{"two crashes", [][]Fingerprint{{1, 2}, {3, 4}}, 2 * time.Millisecond, RunAlone},
		{"not at one moment", [][]Fingerprint{{3, 4}, {5}, {1}}, time.Minute, RunAlone},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newMomentState()
			now := partsNow
			for _, requests := range c.crashes {
				s.crash(now, requests...)
				now = now.Add(c.apart)
			}
			require.Equal(t, c.want, s.decide(1, now))
		})
	}
}

// A further report of a crash must not bring back what was taken back.
func TestLateReportOfACrashThatNoRequestCausesCountsAgainstNone(t *testing.T) {
	s := newMomentState()
	for f := range Fingerprint(3) {
		s.crash(partsNow, 10+f)
	}
	s.upstream = 0
	s.crash(partsNow.Add(time.Millisecond), 10, 20)
	require.Equal(t, Run, s.decide(10, partsNow))
	require.Equal(t, Run, s.decide(20, partsNow))
}

// The last crash may turn out to have another cause, and until then no upstream may crash.
func TestRequestWaitsUntilItIsKnownWhetherItIsRefused(t *testing.T) {
	for name, others := range map[string]int{"no other crash": 0, "others at the same moment": 2} {
		t.Run(name, func(t *testing.T) {
			s := newMomentState()
			now := partsNow
			for range confirmThreshold {
				now = now.Add(time.Second)
				require.Empty(t, s.DecidePending("s", now, time.Hour))
				s.crash(now, 1)
			}
			require.Equal(t, Wait, s.decide(1, now))
			for i := range others {
				s.crash(now, 10+Fingerprint(i))
			}
			found := s.DecidePending("s", now.Add(testMoment), time.Hour)
			require.Equal(t, others == 0, len(found) == 1)
			require.Equal(t, others == 0, s.decide(1, now.Add(testMoment)) == Refuse)
		})
	}
}

// While upstreams crash for reasons of their own, a request is in some of these crashes by
// chance.
func TestMoreCrashesAreNeededWhileUpstreamsCrashForOtherReasons(t *testing.T) {
	s := newMomentState()
	now := partsNow
	for f := range Fingerprint(independentCrashes) {
		s.crash(now, 10+f)
		now = now.Add(time.Second)
	}
	for n := 1; n <= raisedConfirmThreshold; n++ {
		require.Equal(t, n > raisedAloneThreshold, s.decide(1, now) == RunAlone, "after %d crashes", n-1)
		s.crash(now, 1)
		now = now.Add(testMoment)
		found := s.DecidePending("s", now, time.Hour)
		require.Equal(t, n == raisedConfirmThreshold, len(found) == 1, "after %d crashes", n)
	}
	require.Equal(t, Refuse, s.decide(1, now))
}
