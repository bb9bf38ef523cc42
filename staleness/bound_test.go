package staleness_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/staleness"
)

const maxAge = 5 * time.Second

// fakeClock is a boottime.Clock that a test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

// Each row guards against accepting keys by a configuration that may have been superseded
// for too long, or refusing them although it is known to be recent.
func TestBound(t *testing.T) {
	const s = time.Second
	type step struct {
		at        time.Duration // time of the step
		inForce   int64         // version that comes into force
		confirm   int64         // version that a read confirms
		sent      time.Duration // time at which the read was sent
		remoteAge time.Duration // age that another host stated, if aged is set
		aged      bool
	}
	for _, row := range []struct {
		name    string
		steps   []step
		now     time.Duration
		version int64
		want    bool
	}{
		{"nothing in force", nil, 10 * s, 1, false},
		{"never confirmed", []step{{at: 10 * s, inForce: 1}}, 10 * s, 1, false},
		{"confirmed", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s}}, 14400 * time.Millisecond, 1, true},
		{"confirmation too old", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s}}, 14500 * time.Millisecond, 1, false},
		{"reply late, counts from sending", []step{{at: 14 * s, inForce: 1, confirm: 1, sent: 10 * s}}, 15 * s, 1, false},
		{"suspended while the read was in progress", []step{{at: 30 * s, inForce: 1, confirm: 1, sent: 10 * s}}, 30 * s, 1, false},
		{"newer than the one in force", []step{{at: 10 * s, inForce: 1, confirm: 2, sent: 10 * s}}, 10 * s, 1, false},
		{"older than the one in force", []step{{at: 10 * s, inForce: 2, confirm: 1, sent: 10 * s}}, 11 * s, 2, true},
		{"new version keeps the confirmation", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s}, {at: 11 * s, inForce: 2}}, 12 * s, 2, true},
		{"checked by a superseded version", []step{{at: 10 * s, inForce: 2, confirm: 2, sent: 10 * s}}, 10 * s, 1, false},
		{"late reply to an earlier read", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s}, {at: 11 * s, inForce: 1, confirm: 1, sent: 8 * s}}, 14 * s, 1, true},
		{"confirmed by nothing in force", []step{{at: 10 * s, confirm: 1, sent: 10 * s}, {at: 10 * s, inForce: 1}}, 10 * s, 1, false},
		{"sent in the future", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 11 * s}}, 11 * s, 1, false},
		{"confirmed by a peer", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 9 * s, remoteAge: s, aged: true}}, 12 * s, 1, true},
		{"age at the peer counts", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 9 * s, remoteAge: s, aged: true}}, 12500 * time.Millisecond, 1, false},
		{"negative age", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s, remoteAge: -s, aged: true}}, 10 * s, 1, false},
		{"absurd age", []step{{at: 10 * s, inForce: 1, confirm: 1, sent: 10 * s, remoteAge: math.MaxInt64, aged: true}}, 10 * s, 1, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			clock := &fakeClock{}
			b := staleness.NewBound(maxAge, clock.read)
			for _, step := range row.steps {
				clock.now = step.at
				if step.inForce != 0 {
					b.SetInForce(step.inForce)
				}
				switch {
				case step.aged:
					b.ConfirmAged(step.confirm, step.sent, step.remoteAge)
				case step.confirm != 0:
					b.Confirm(step.confirm, step.sent)
				}
			}
			clock.now = row.now
			require.Equal(t, row.want, b.Usable(row.version))
		})
	}
}

// Other hosts must learn at once that a broker has become usable, but not of each
// confirmation.
func TestConfirmReportsThatTheConfigurationHasBecomeUsable(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	b := staleness.NewBound(maxAge, clock.read)
	b.SetInForce(1)
	require.True(t, b.Confirm(1, clock.now))
	clock.now += time.Second
	require.False(t, b.Confirm(1, clock.now))
	version, age, confirmed := b.Age()
	require.Equal(t, []any{int64(1), time.Duration(0), true}, []any{version, age, confirmed})
	clock.now += maxAge
	require.False(t, b.Confirm(1, clock.now-maxAge+time.Millisecond), "too old to be used")
	require.True(t, b.Confirm(1, clock.now))
}

// due counts the reads in a time when each read and each poll has a confirmation's age
// as its result.
type scheduled struct {
	clock    *fakeClock
	schedule *staleness.Schedule
	broker   bool
	reads    []time.Duration
}

func newScheduled(clock *fakeClock, seed uint64, broker bool) *scheduled {
	return &scheduled{clock: clock, broker: broker, schedule: staleness.NewSchedule(maxAge, clock.read, rand.New(rand.NewPCG(seed, 1)))}
}

func (s *scheduled) tick(age time.Duration, confirmed bool) bool {
	if !s.schedule.Due(s.broker, age, confirmed) {
		return false
	}
	s.reads = append(s.reads, s.schedule.Send())
	return true
}

func TestBrokerReadsOncePerSecondAndOthersOnlyWhenTheirConfirmationIsOld(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	broker, other, cutOff := newScheduled(clock, 1, true), newScheduled(clock, 2, false), newScheduled(clock, 3, false)
	confirmedAt := clock.now
	for end := clock.now + time.Minute; clock.now < end; clock.now += 100 * time.Millisecond {
		if broker.tick(0, true) {
			confirmedAt = clock.now
		}
		other.tick(clock.now-confirmedAt+800*time.Millisecond, true)
		cutOff.tick(maxAge, true)
	}
	require.Len(t, broker.reads, 60)
	require.Empty(t, other.reads)
	require.NotEmpty(t, cutOff.reads)
	require.LessOrEqual(t, len(cutOff.reads), 60, "at most once per second")
	require.Greater(t, len(cutOff.reads), 30)
}

// Without spread, hosts that start together, or that lose their broker together, ask the
// store at the same time, which then refuses them together.
func TestReadsOfManyHostsAreSpread(t *testing.T) {
	for name, confirmed := range map[string]bool{"start": false, "broker lost": true} {
		t.Run(name, func(t *testing.T) {
			const hosts, tick = 2200, 10 * time.Millisecond
			clock := &fakeClock{now: time.Hour}
			start := clock.now
			var all []*scheduled
			for i := range hosts {
				all = append(all, newScheduled(clock, uint64(i), false))
			}
			most := 0
			for ; clock.now < start+maxAge; clock.now += tick {
				reads := 0
				for _, s := range all {
					if len(s.reads) == 0 && s.tick(clock.now-start, confirmed) {
						reads++
					}
				}
				most = max(most, reads)
			}
			for _, s := range all {
				require.Len(t, s.reads, 1)
				require.Less(t, s.reads[0]-start, 3*maxAge/5+tick, "early enough for a second attempt")
			}
			t.Logf("most reads in %s: %d", tick, most)
			require.Less(t, most, 80)
		})
	}
}
