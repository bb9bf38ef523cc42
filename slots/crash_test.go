package slots

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// newCrashBroker returns a broker whose replicas accept connections while alive returns
// true, and the notices that it sends.
func newCrashBroker(alive func() bool) (*Broker, *[]quarantine.Notice) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := NewBroker(clockwork.NewFakeClock(), rand.New(rand.NewPCG(1, 2)), logrus.NewEntry(log))
	var notices []quarantine.Notice
	b.SetCrashProbe(func(context.Context, replica.Replica) bool { return alive() })
	b.SetOnQuarantine(func(n quarantine.Notice) { notices = append(notices, n) })
	b.SetReplicas(records(4), "x")
	return b, &notices
}

func acquireFor(t *testing.T, b *Broker, f quarantine.Fingerprint) Grant {
	var reply AcquireReply
	require.NoError(t, b.Acquire(AcquireArgs{Host: "x1", Service: service, Content: quarantine.Content{Fingerprint: f}}, &reply))
	require.True(t, reply.Granted)
	return reply.Grant
}

// acquireBeside returns two grants on one replica, the second of a request from f2 on.
func acquireBeside(t *testing.T, b *Broker, f1, f2 quarantine.Fingerprint) (first, second Grant) {
	first = acquireFor(t, b, f1)
	for second = acquireFor(t, b, f2); second.Replica != first.Replica; second = acquireFor(t, b, f2) {
		f2++
	}
	return first, second
}

// breakOff ends the exchange of a grant and lets the broker probe its replica.
func breakOff(b *Broker, g Grant) {
	_, broken := b.release(ReleaseArgs{Released: []Released{{ID: g.ID, Outcome: Failed, Replica: g.Replica, Content: g.Content}}})
	for _, r := range broken {
		b.checkCrash(r)
	}
}

func TestBrokenExchangeWithRunningReplicaIsNoCrash(t *testing.T) {
	b, notices := newCrashBroker(func() bool { return true })
	for range 10 {
		breakOff(b, acquireFor(t, b, 1))
	}
	suspects, refused := b.QuarantineCounts()
	require.Zero(t, suspects+refused)
	require.Empty(t, *notices)
}

func TestCrashMakesSuspectsOfAllRequestsInProgressThere(t *testing.T) {
	b, notices := newCrashBroker(func() bool { return false })
	first, beside := acquireBeside(t, b, 1, 2)
	breakOff(b, first)
	require.Len(t, *notices, 1)
	require.ElementsMatch(t, []quarantine.Fingerprint{1, beside.Content.Fingerprint}, (*notices)[0].Crash.Suspects)
	require.NoError(t, b.Release(ReleaseArgs{Released: []Released{{ID: beside.ID, Outcome: Done}}}, new(Empty)))
	require.Equal(t, []quarantine.Fingerprint{beside.Content.Fingerprint}, (*notices)[1].Cleared)
}

// The crash of a replica ends a close-delimited response like its last byte does.
func TestResponseThatEndsWithItsConnectionShowsNothingUntilTheReplicaIsProbed(t *testing.T) {
	for name, alive := range map[string]bool{"running": true, "crashed": false} {
		t.Run(name, func(t *testing.T) {
			b, notices := newCrashBroker(func() bool { return alive })
			b.sched.requests.Apply(quarantine.Notice{Crash: &quarantine.Crash{Upstream: "u", Suspects: []quarantine.Fingerprint{1}}}, b.clock.Now(), quarantineDuration)
			g := acquireFor(t, b, 1)
			_, broken := b.release(ReleaseArgs{Released: []Released{{ID: g.ID, Outcome: Ended, Replica: g.Replica, Content: g.Content}}})
			require.Len(t, broken, 1)
			b.checkCrash(broken[0])
			require.Len(t, *notices, 1)
			require.Equal(t, alive, len((*notices)[0].Cleared) == 1)
			require.Equal(t, alive, (*notices)[0].Crash == nil)
		})
	}
}

func TestCrashSoonAfterABrokenExchangeIsFound(t *testing.T) {
	alive := true
	b, notices := newCrashBroker(func() bool { return alive })
	first, second := acquireBeside(t, b, 1, 2)
	breakOff(b, first)
	require.Empty(t, *notices)
	alive = false
	breakOff(b, second)
	require.Len(t, *notices, 1)
}

// All responses of a replica end with their connections, also while it is being probed.
func TestReplicaIsProbedOnceAtATime(t *testing.T) {
	var (
		b      *Broker
		beside Grant
		probed bool
	)
	b, _ = newCrashBroker(func() bool {
		if probed {
			return true
		}
		probed = true
		b.clock.(*clockwork.FakeClock).Advance(2 * crashWindow)
		_, toProbe := b.release(ReleaseArgs{Released: []Released{{ID: beside.ID, Outcome: Failed, Replica: beside.Replica, Content: beside.Content}}})
		require.Empty(t, toProbe)
		return false
	})
	var first Grant
	first, beside = acquireBeside(t, b, 1, 2)
	breakOff(b, first)
	require.True(t, probed)
}

// Callers send equal requests: one that can't reach the replica says nothing of another.
func TestCrashCountsAgainstARequestOfWhichAnEqualOneNeverReachedTheReplica(t *testing.T) {
	b, notices := newCrashBroker(func() bool { return false })
	first := acquireFor(t, b, 1)
	var equal []Grant
	for len(equal) == 0 {
		if g := acquireFor(t, b, 1); g.Replica == first.Replica {
			equal = append(equal, g)
		}
	}
	breakOff(b, first)
	require.NoError(t, b.Release(ReleaseArgs{Released: []Released{{ID: equal[0].ID, Outcome: Unreachable}}}, new(Empty)))
	suspects, _ := b.QuarantineCounts()
	require.Equal(t, 1, suspects)
	require.Len(t, *notices, 1)
}

// A request that is sent on from one crashed replica holds a slot of another one that has
// crashed too, until its connection is refused.
func TestCrashDoesNotCountAgainstARequestThatNeverReachedTheReplica(t *testing.T) {
	b, notices := newCrashBroker(func() bool { return false })
	first, unreached := acquireBeside(t, b, 1, 2)
	breakOff(b, first)
	require.NoError(t, b.Release(ReleaseArgs{Released: []Released{{ID: unreached.ID, Outcome: Unreachable}}}, new(Empty)))
	suspects, _ := b.QuarantineCounts()
	require.Equal(t, 1, suspects)
	require.Equal(t, []quarantine.Fingerprint{unreached.Content.Fingerprint}, (*notices)[1].Unreached.Suspects)
}

// Each broker learns which parts are harmless from its own replicas only. Those that another
// broker knows must not gather crashes.
func TestPartsOfACrashThatAnotherBrokerKnowsAsHarmlessAreNotSuspect(t *testing.T) {
	const known, told, unknown = 100, 101, 102
	b, _ := newCrashBroker(func() bool { return false })
	now := b.clock.Now()
	b.sched.requests.RecordFinished(crashScope, quarantine.Content{Fingerprint: 2, Parts: []quarantine.Fingerprint{known}}, now)
	b.sched.requests.RecordHarmless(crashScope, []quarantine.Fingerprint{told}, now)
	var reply quarantine.Notice
	crash := &quarantine.Crash{Upstream: "u", Suspects: []quarantine.Fingerprint{1}, Parts: map[quarantine.Fingerprint][]quarantine.Fingerprint{1: {known, told, unknown}}}
	require.NoError(t, b.Quarantine(quarantine.Notice{Crash: crash}, &reply))
	require.Equal(t, []quarantine.Fingerprint{known}, reply.Harmless)
}
