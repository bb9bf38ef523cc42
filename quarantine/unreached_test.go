package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A host that is told of a crash must not go on suspecting what never reached the upstream.
func TestNoticeRetractsTheCrashFromRequestsAndPartsThatNeverReachedTheUpstream(t *testing.T) {
	s := NewState()
	crash := Crash{
		Service: "s", Upstream: "u", Suspects: []Fingerprint{1, 2},
		Parts: map[Fingerprint][]Fingerprint{1: {user}, 2: {user, crashing}},
	}
	s.Apply(Notice{Service: "s", Crash: &crash}, partsNow, defaultSameCrashWindow)
	unreached := crash
	unreached.Suspects = []Fingerprint{2}
	s.Apply(Notice{Service: "s", Unreached: &unreached}, partsNow, defaultSameCrashWindow)
	for request, want := range map[Fingerprint]Decision{1: RunAlone, 2: Run} {
		got, _ := s.Decide("s", request, partsNow, true)
		require.Equal(t, want, got)
	}
	for part, want := range map[Fingerprint]Decision{user: RunAlone, crashing: Run} {
		got, _ := s.DecideContent("s", Content{Fingerprint: 9, Parts: []Fingerprint{part}}, partsNow, true)
		require.Equal(t, want, got)
	}
}
