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

func eachUnrelatedCrashes(t *testing.T, test func(t *testing.T, seed uint64, users int, c unrelatedCrashes)) {
	for _, c := range allUnrelatedCrashes() {
		t.Run(c.name, func(t *testing.T) {
			eachLoad(t, func(t *testing.T, seed uint64, users int) { test(t, seed, users, c) })
		})
	}
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
			for _, n := range m.brokers[dc].SettleCrashes(m.now) {
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
// causes, and requests that crash replicas if guilty is set.
func simulateUnrelatedCrashes(seed uint64, users int, c unrelatedCrashes, contained, guilty bool) *crashModel {
	m := newCrashModel(seed)
	m.uncontained, m.connectTime = !contained, connectTime
	m.arriveEvery(busyRate, 0, busyRunLength, func() *modelRequest {
		m.harmless++
		return m.newRequest(firstPart, userPart(m.rng.IntN(users)))
	})
	for i := range crashGroups {
		m.after(firstGroupAt+time.Duration(i)*groupInterval, func() { c.play(m) })
	}
	if guilty {
		s := repeatedSpell(guiltyFrom, guiltyRequestID)
		m.arriveEvery(crashingRate, s.from, s.from+spellLength, s.next)
	}
	m.run()
	return m
}

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
				m := simulateUnrelatedCrashes(seed, fewUsers, c, true, false)
				require.Zero(t, m.harmlessQuarantined, "harmless requests that were refused as crashing, seed %d", seed)
				delayed += m.delayedShare() / unrelatedSeeds
				without += simulateUnrelatedCrashes(seed, fewUsers, c, false, false).delayedShare() / unrelatedSeeds
			}
			t.Logf("delayed %.3f, without containment %.3f", delayed, without)
			require.LessOrEqual(t, delayed, without+allowedDelayed, "share of requests that are delayed")
		})
	}
}

func TestCrashingRequestIsKnownBesideCrashesOfOtherCauses(t *testing.T) {
	eachUnrelatedCrashes(t, func(t *testing.T, seed uint64, users int, c unrelatedCrashes) {
		m := simulateUnrelatedCrashes(seed, users, c, true, true)
		t.Logf("delayed %.3f", m.delayedShare())
		m.requireFewCrashes(t)
		require.Zero(t, m.harmlessQuarantined, "harmless requests that were refused as crashing")
	})
}
