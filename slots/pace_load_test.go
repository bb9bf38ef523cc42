//go:build !race

package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// paceRule replaces the pace of a replica by another rule; nil leaves it as it is.
type paceRule func(now time.Time, r *replicaState, headRatio float64)

func noPace(_ time.Time, r *replicaState, _ float64) { r.pace.end() }

// coldRestarts plays requests and items while replicas restart every 6 s, a number of
// them at once. A cold one is slower the more it runs, until it has done some work.
func coldRestarts(seed uint64, onlineRate float64, atOnce int, cold float64, rule paceRule) *unevenModel {
	m := newUnevenModel(seed, false, false)
	m.rule = rule
	m.each = func() {
		at := m.now.Sub(start)
		if at >= 4*time.Second && at%(6*time.Second) == 4*time.Second {
			n := int(at / (6 * time.Second))
			for i := range atOnce {
				m.restart(m.ids[(n*atOnce+i)%len(m.ids)], cold)
			}
		}
	}
	return m.play(onlineRate, 0.75)
}

// restart lets a replica start again. Its requests are lost.
func (m *unevenModel) restart(id string, cold float64) {
	r := m.replicas[id]
	r.cold, r.coldWork = cold, 3*time.Second
	var all []replica.Replica
	for _, state := range m.s.pool(service).replicas {
		record := state.Replica
		if record.ID == id {
			record.Born = m.now.UnixMilli()
		}
		all = append(all, record)
	}
	kept := m.runs[:0]
	for _, run := range m.runs {
		switch {
		case run.on != r:
			kept = append(kept, run)
		case run.item != nil:
			run.item.remaining = run.work - run.done
			m.items = append(m.items, run.item)
		}
	}
	m.runs, r.running = kept, 0
	m.s.SetReplicas(all)
}

// paceResult is what callers get in several seeds.
type paceResult struct {
	inTime, end   float64
	long, refused int
}

func playRestarts(onlineRate float64, atOnce int, cold float64, rule func() paceRule) paceResult {
	const seeds = 2
	var sum paceResult
	for seed := range uint64(seeds) {
		m := coldRestarts(seed, onlineRate, atOnce, cold, rule())
		sum.inTime += m.inTimeFraction() / seeds
		sum.end += m.ends.Seconds() / float64(m.complete) / seeds
		sum.long += m.long
		sum.refused += m.refused
	}
	return sum
}

// Replicas that start again must not get more than they bear while they are cold, and
// ones that are not cold must not be left idle while requests are refused.
func TestColdReplicasAreNeitherFloodedNorLeftIdle(t *testing.T) {
	for _, row := range []struct {
		name   string
		online float64
		atOnce int
		cold   float64
	}{
		{"three of fifteen", 70, 3, 8}, {"three that are not cold", 85, 3, 1}, {"one that stays cold", 70, 1, 30}, {"all", 55, 15, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			none := playRestarts(row.online, row.atOnce, row.cold, func() paceRule { return noPace })
			pace := playRestarts(row.online, row.atOnce, row.cold, func() paceRule { return nil })
			t.Logf("in time, seconds of a response, long ones, refused: without %v, with the pace %v", none, pace)
			require.GreaterOrEqual(t, pace.inTime, none.inTime-0.003)
			require.LessOrEqual(t, pace.end, 1.02*none.end)
			require.LessOrEqual(t, pace.long, none.long+2)
		})
	}
}
