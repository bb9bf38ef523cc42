//go:build !race

package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// The load of replicas that crash for reasons of their own, in groups.
const (
	busyRate = 70.0 // requests a second
	// crashesOfMoment is 0.3 of the replicas.
	crashesOfMoment = 4
	momentsOfGroup  = 5
	momentInterval  = 400 * time.Millisecond
	inTurnInterval  = 130 * time.Millisecond
	groupInterval   = 4 * time.Second
	firstGroupAt    = 3 * time.Second
	crashGroups     = 2
	busyRunLength   = 10 * time.Second
	shortRestart    = 600 * time.Millisecond
	connectTime     = time.Millisecond
	maxDetection    = 4 * time.Millisecond
	allowedDelayed  = 0.01
	unrelatedSeeds  = 20
	fewUsers        = 20
	seedsOfTwo      = 3
	guiltyFrom      = firstGroupAt - time.Second
	guiltyRequestID = 1
)

// unrelatedCrashes is a way in which replicas crash for reasons of their own.
type unrelatedCrashes struct {
	name string
	// play plays one group of crashes.
	play func(m *crashModel)
}

func allUnrelatedCrashes() []unrelatedCrashes {
	return []unrelatedCrashes{{"at moments", (*crashModel).crashAtMoments}, {"in turn", (*crashModel).crashInTurn}}
}

// crashAtMoments lets a share of the replicas crash at once, several times.
func (m *crashModel) crashAtMoments() {
	for i := range momentsOfGroup {
		m.after(time.Duration(i)*momentInterval, func() {
			for range crashesOfMoment {
				m.crashAny()
			}
		})
	}
}

// crashInTurn lets as many replicas crash as there are, one after the other.
func (m *crashModel) crashInTurn() {
	for i := range crashDataCentres * crashReplicas {
		m.after(time.Duration(i)*inTurnInterval, m.crashAny)
	}
}

// crashAny lets a random replica crash, if one of a random data centre is up.
func (m *crashModel) crashAny() {
	dc := m.rng.IntN(crashDataCentres)
	if len(m.replicas[dc]) == 0 {
		return
	}
	found := time.Duration(1 + m.rng.Int64N(int64(maxDetection)))
	m.crashFor(dc, dc, m.replicas[dc][m.rng.IntN(len(m.replicas[dc]))], found, shortRestart)
}

// contentOf returns what the broker is told of a request.
func (m *crashModel) contentOf(q *modelRequest) quarantine.Content {
	if m.uncontained {
		return quarantine.Content{}
	}
	return q.content
}

// recordCrash records a crash that the broker finds out after a time.
func (m *crashModel) recordCrash(dc int, r replica.Replica, broken []quarantine.Content, found time.Duration) {
	if m.uncontained {
		return
	}
	record := func() {
		if n, ok := m.brokers[dc].RecordCrash(m.now, r, broken); ok {
			m.tell(dc, n)
		}
		m.after(crashMomentWindow, func() {
			for _, n := range m.brokers[dc].DecidePendingCrashes(m.now) {
				m.tell(dc, n)
			}
		})
	}
	if found == 0 {
		record()
		return
	}
	m.after(found, record)
}

// simulateUnrelatedCrashes plays harmless requests with groups of crashes that no request
// causes, and spells of requests that crash replicas.
func simulateUnrelatedCrashes(seed uint64, users int, c unrelatedCrashes, contained bool, spells func(*crashModel) []spell) *crashModel {
	m := newCrashModel(seed)
	m.uncontained, m.connectTime = !contained, connectTime
	m.arriveEvery(busyRate, 0, busyRunLength, func() *modelRequest {
		m.harmless++
		return m.newRequest(firstPart, userPart(m.rng.IntN(users)))
	})
	for i := range crashGroups {
		m.after(firstGroupAt+time.Duration(i)*groupInterval, func() { c.play(m) })
	}
	for _, s := range spells(m) {
		m.arriveEvery(crashingRate, s.from, s.from+spellLength, s.next)
	}
	m.run()
	return m
}

func noSpells(*crashModel) []spell { return nil }

// delayedShare is the share of harmless requests of which an attempt of the caller failed.
func (m *crashModel) delayedShare() float64 {
	return float64(m.harmlessDelayed) / float64(m.harmless)
}

// Requests in progress where replicas crash by themselves must not be taken for the cause, and
// their separation must not take the room of others. Single plays with and without containment
// differ by luck, so their means are compared.
func TestCrashesThatNoRequestCausesHarmNoRequests(t *testing.T) {
	for _, c := range allUnrelatedCrashes() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var delayed, without float64
			for seed := range uint64(unrelatedSeeds) {
				m := simulateUnrelatedCrashes(seed, fewUsers, c, true, noSpells)
				require.Zero(t, m.harmlessQuarantined, "harmless requests that were refused as crashing, seed %d", seed)
				delayed += m.delayedShare() / unrelatedSeeds
				without += simulateUnrelatedCrashes(seed, fewUsers, c, false, noSpells).delayedShare() / unrelatedSeeds
			}
			t.Logf("delayed %.3f, without containment %.3f", delayed, without)
			require.LessOrEqual(t, delayed, without+allowedDelayed, "share of requests that are delayed")
		})
	}
}

func TestCrashingRequestIsKnownBesideCrashesOfOtherCauses(t *testing.T) {
	for _, c := range allUnrelatedCrashes() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(unrelatedSeeds) {
				m := simulateUnrelatedCrashes(seed, fewUsers, c, true, func(*crashModel) []spell { return []spell{repeatedSpell(guiltyFrom, guiltyRequestID)} })
				m.requireFewCrashes(t)
				require.Zero(t, m.harmlessQuarantined, "harmless requests that were refused as crashing")
			}
		})
	}
}

// Two causes at once must not be taken for crashes that no request causes.
func TestTwoCrashingAtOnceAreKnownBesideCrashesOfOtherCauses(t *testing.T) {
	request := func(*crashModel) spell { return repeatedSpell(guiltyFrom, guiltyRequestID) }
	other := func(*crashModel) spell { return repeatedSpell(guiltyFrom, guiltyRequestID+1) }
	part := func(m *crashModel) spell { return m.partSpell(guiltyFrom, crashingPart) }
	otherPart := func(m *crashModel) spell { return m.partSpell(guiltyFrom, crashingPart+1) }
	for name, two := range map[string][2]func(*crashModel) spell{
		"requests": {request, other}, "parts": {part, otherPart}, "a request and a part": {request, part},
	} {
		for _, c := range append(allUnrelatedCrashes(), unrelatedCrashes{"none", func(*crashModel) {}}) {
			t.Run(name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seedsOfTwo) {
					m := simulateUnrelatedCrashes(seed, fewUsers, c, true, func(m *crashModel) []spell { return []spell{two[0](m), two[1](m)} })
					m.requireFewCrashes(t)
					require.Zero(t, m.harmlessQuarantined, "harmless requests that were refused as crashing")
				}
			})
		}
	}
}
