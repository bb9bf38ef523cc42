package slots

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// says lets a replica state its slowness.
func saysSlowness(s *Scheduler, now time.Time, id string, slowness float64) {
	s.ObserveLoad(now, s.find(service, id).Replica, replica.Load{Running: 1, Slowness: slowness, At: now})
}

// runEvents returns what a host observes of a response of 18 events.
func runEvents(perEvent time.Duration) Run {
	return Run{FirstEvent: 45 * time.Millisecond, Events: 17, Duration: 17 * perEvent}
}

// A replica whose neighbours keep its machine busy for a moment must not be avoided long
// after that.
func TestReportedSlownessFades(t *testing.T) {
	var e speedEstimate
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		e.observe(replica.Load{Slowness: 1, At: now})
	}
	e.observe(replica.Load{Slowness: 2.5, At: now})
	require.InDelta(t, 2.5, e.now(now), 0.01)
	require.InDelta(t, 1.75, e.now(now.Add(slownessHalfLife)), 0.05)
	require.InDelta(t, 1, e.now(now.Add(3*time.Second)), 0.05)
	require.Less(t, e.over(now, 750*time.Millisecond), e.now(now), "a run outlasts the moment")
	require.Greater(t, e.over(now, 750*time.Millisecond), e.over(now, 5*time.Second))
}

func TestImplausibleLoadsChangeNothing(t *testing.T) {
	for _, slowness := range []float64{0, -1, math.Inf(1), math.Inf(-1), math.NaN(), 1e7, 0.01} {
		s := newScheduler(1, 8)
		saysSlowness(s, start, "r0", slowness)
		require.False(t, s.pool(service).speed.active(start), slowness)
		require.Equal(t, speedEstimate{}, s.find(service, "r0").speed)
	}
	s := newScheduler(1, 8)
	earlier := s.find(service, "r0").Replica
	earlier.Born--
	s.ObserveLoad(start, earlier, replica.Load{Slowness: 2, At: start})
	require.False(t, s.pool(service).speed.active(start), "from an earlier incarnation")
	saysSlowness(s, start, "r0", 2)
	s.ObserveLoad(start, s.find(service, "r0").Replica, replica.Load{Slowness: 1, At: start.Add(-time.Second)})
	require.InDelta(t, 2, s.find(service, "r0").speed.now(start), 0.01, "an older observation")
	later := s.find(service, "r0").Replica
	later.Born++
	s.SetReplicas([]replica.Replica{later})
	require.Equal(t, speedEstimate{}, s.find(service, "r0").speed, "a later incarnation starts anew")
}

// Replicas may be of different speed without saying so in their figures.
func TestSpeedIsLearnedFromResponses(t *testing.T) {
	s := newScheduler(3, 8)
	factors := []float64{0.6, 1, 1.6}
	now := start
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		for id, factor := range map[string]float64{"r0": factors[0], "r1": factors[1], "r2": factors[2]} {
			saysSlowness(s, now, id, 1)
			g := s.grant(now, s.find(service, id), Grant{Class: Online, Host: "h"})
			d := time.Duration(factor * 38 * float64(time.Millisecond))
			s.ObserveRun(now, g.ID, Done, runEvents(d))
			s.Release(now.Add(time.Duration(factor*700)*time.Millisecond), g.ID, Done)
		}
		if i == 299 {
			mean := (factors[0] + factors[1] + factors[2]) / 3
			for id, factor := range map[string]float64{"r0": factors[0], "r1": factors[1], "r2": factors[2]} {
				require.InEpsilon(t, factor/mean, s.find(service, id).speed.now(now), 0.1, id)
			}
		}
	}
	require.InDelta(t, 0.75, s.pool(service).serviceTime.Seconds(), 0.05, "of a replica of mean speed")
}

// Without the figure nothing is learned and the average stays that of the slot times.
func TestRunsTeachNothingWithoutReports(t *testing.T) {
	s := newScheduler(1, 8)
	g := s.grant(start, s.find(service, "r0"), Grant{Class: Online, Host: "h"})
	s.ObserveRun(start, g.ID, Done, runEvents(time.Second))
	s.Release(start.Add(time.Second), g.ID, Done)
	require.Equal(t, speedEstimate{}, s.find(service, "r0").speed)
	require.Equal(t, initialServiceTime+time.Duration(serviceTimeWeight*float64(time.Second-initialServiceTime)), s.pool(service).serviceTime)
}

func TestRunTimer(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	timer := RunTimer{Began: start}
	require.Equal(t, Run{}, timer.Run())
	timer.Record(at(40), 0)
	timer.Record(at(50), 2)
	timer.Record(at(90), 3)
	timer.Record(at(95), 3)
	timer.Record(at(130), 4)
	require.Equal(t, Run{FirstEvent: 50 * time.Millisecond, Events: 2, Duration: 80 * time.Millisecond}, timer.Run())
}

// A host tells the broker of a load with the next release or poll, once.
func TestLoadsReachTheBrokerOnce(t *testing.T) {
	f := newFleet()
	broker, other := f.broker("x")
	rx := records(2)["rx"]
	f.clock.Advance(time.Second)
	other.states.mu.Lock()
	other.states.view.ObserveLoad(rx, replica.Load{Slowness: 3, At: f.clock.Now()})
	other.states.mu.Unlock()
	h := broker.View.Self()
	require.Len(t, other.takeLoads(h, "x"), 1)
	require.Empty(t, other.takeLoads(h, "x"))
	other.loadsSentAt = make(map[string]time.Time)
	f.poll(t, other)
	broker.broker.mu.Lock()
	defer broker.broker.mu.Unlock()
	require.InDelta(t, 3, broker.broker.sched.find(service, "rx").speed.now(f.clock.Now()), 0.01)
}
