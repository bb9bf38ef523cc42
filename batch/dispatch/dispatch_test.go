package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/batch/dispatch"
	"github.com/comfreyspindle/comfreyspindle/service"
)

var now = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

func batchConfig(weight float64) *service.Batch {
	return &service.Batch{ThroughputWeight: weight, TokenInterval: 63 * time.Millisecond, MaxSlots: 64}
}

// steadyReplica returns a replica that runs ten items without a queue or a
// burst.
func steadyReplica() dispatch.Replica {
	return dispatch.Replica{
		Slots: 10, Batch: 10, BatchPeak: 10, ObservedSlots: 10, RaisedAt: now.Add(-time.Second), LoweredAt: now.Add(-time.Minute),
		LastReport: dispatch.Report{At: now.Add(-20 * time.Millisecond), Running: 10, TokenInterval: 5 * time.Millisecond},
	}
}

// TestPlanSlots changes one aspect of a steady replica per case and checks the
// planned number of slots and its cause.
func TestPlanSlots(t *testing.T) {
	backlog := dispatch.Report{At: now, Running: 32, Waiting: 9, QueuedFor: time.Second, TokenInterval: 5 * time.Millisecond}
	cases := []struct {
		name   string
		change func(r *dispatch.Replica)
		slots  int
		cause  dispatch.Cause
	}{
		{"room for one more", func(*dispatch.Replica) {}, 11, dispatch.CauseRaised},
		{"free slots", func(r *dispatch.Replica) { r.Batch = 9 }, 10, dispatch.CauseSteady},
		{"slot just added", func(r *dispatch.Replica) { r.RaisedAt = now }, 10, dispatch.CauseSteady},
		{"effect of earlier slots not observed", func(r *dispatch.Replica) { r.ObservedSlots = 7 }, 10, dispatch.CauseSteady},
		{"all slots", func(r *dispatch.Replica) { r.Slots = 64 }, 64, dispatch.CauseAtLimit},
		{"leaving", func(r *dispatch.Replica) { r.Leaving = true }, 0, dispatch.CauseLeaving},
		{"own burst", func(r *dispatch.Replica) { r.Online, r.OnlineAverage = 20, 2 }, 0, dispatch.CauseBurst},
		{"average online work", func(r *dispatch.Replica) { r.Online, r.OnlineAverage = 20, 18 }, 11, dispatch.CauseRaised},
		{"burst reported by another host", func(r *dispatch.Replica) { r.BurstAt = now.Add(-100 * time.Millisecond) }, 0, dispatch.CauseBurst},
		{"after a burst", func(r *dispatch.Replica) { r.Slots, r.Batch, r.LoweredAt = 0, 0, now.Add(-100*time.Millisecond) }, 0, dispatch.CauseCooldown},
		{"online work waits", func(r *dispatch.Replica) { r.LastReport = backlog }, 0, dispatch.CauseOnlineQueued},
		{"only batch waits", func(r *dispatch.Replica) { r.LastReport, r.BatchPeak = backlog, 41 }, 7, dispatch.CauseReplicaQueue},
		{"expired report of a queue", func(r *dispatch.Replica) { r.LastReport = backlog; r.LastReport.At = now.Add(-time.Minute) }, 11, dispatch.CauseRaised},
		{"arrivals of one step", func(r *dispatch.Replica) { r.LastReport = backlog; r.LastReport.QueuedFor = 0 }, 11, dispatch.CauseRaised},
		{"slow tokens", func(r *dispatch.Replica) { r.LastReport.TokenInterval = 62 * time.Millisecond }, 7, dispatch.CauseTokenInterval},
		{"slow tokens, slots just removed", func(r *dispatch.Replica) { r.LastReport.TokenInterval, r.LoweredAt = 62*time.Millisecond, now }, 10, dispatch.CauseTokenInterval},
		{"at the ceiling", func(r *dispatch.Replica) { r.Ceiling, r.CeilingAt = 10, now.Add(-time.Second) }, 10, dispatch.CauseAtLimit},
		{"expired ceiling", func(r *dispatch.Replica) { r.Ceiling, r.CeilingAt = 10, now.Add(-time.Hour) }, 11, dispatch.CauseRaised},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := steadyReplica()
			c.change(&r)
			plan := dispatch.PlanSlots(&r, batchConfig(0.8), now)
			require.Equal(t, c.cause, plan.Cause)
			require.Equal(t, c.slots, plan.Slots)
		})
	}
}

// TestStatedCapacityKeepsReserve checks that a replica of stated capacity keeps
// the reserve free for online requests.
func TestStatedCapacityKeepsReserve(t *testing.T) {
	for _, c := range []struct {
		weight float64
		online int
		slots  int
	}{{1, 0, 29}, {0, 0, 26}, {1, 10, 19}, {0, 40, 0}} {
		r := steadyReplica()
		r.Slots, r.Batch, r.ObservedSlots = 31, 0, 31
		r.Online, r.OnlineAverage = c.online, float64(c.online)
		config := batchConfig(c.weight)
		config.Capacity = 32
		require.Equal(t, c.slots, dispatch.PlanSlots(&r, config, now).Slots, "%+v", c)
	}
}

// TestStatedCapacityCountsPeerRequests checks that the requests of other hosts
// on a replica of stated capacity reduce its batch slots.
func TestStatedCapacityCountsPeerRequests(t *testing.T) {
	r := steadyReplica()
	r.Slots, r.Batch, r.ObservedSlots = 28, 28, 28
	config := batchConfig(1)
	config.Capacity = 32
	require.Equal(t, 29, dispatch.PlanSlots(&r, config, now).Slots)
	// Three of the running requests belong to other hosts: running items keep
	// their slots, and no new ones start.
	r.ObservePeerRequests(dispatch.Report{Running: 31}, 28, 0)
	require.InDelta(t, 2.1, r.PeerRequests, 1e-9)
	require.Equal(t, 28, dispatch.PlanSlots(&r, config, now).Slots)
	// With more requests of other hosts, running items lose their slots.
	r.ObservePeerRequests(dispatch.Report{Running: 36}, 28, 0)
	require.Equal(t, 25, dispatch.PlanSlots(&r, config, now).Slots)
	r.ObservePeerRequests(dispatch.Report{Running: 28}, 28, 0)
	require.Less(t, r.PeerRequests, 6.2)
	require.Greater(t, r.PeerRequests, 3.0)
}

// drawReplica returns a replica with a random state.
func drawReplica(t *rapid.T) *dispatch.Replica {
	ago := func(name string) time.Time {
		return now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond)
	}
	count := func(name string) int { return rapid.IntRange(0, 80).Draw(t, name) }
	return &dispatch.Replica{
		Slots: count("slots"), Batch: count("batch"), BatchPeak: count("peak"), ObservedSlots: count("shown"), Online: count("online"), OnlineAverage: float64(count("usual")),
		BurstAt: ago("burst"), RaisedAt: ago("raised"), LoweredAt: ago("lowered"), Ceiling: count("ceiling"), CeilingAt: ago("ceilingAt"),
		LastReport: dispatch.Report{
			At: ago("report"), Running: count("running"), Waiting: count("waiting"),
			QueuedFor:     time.Duration(count("queued")) * time.Millisecond,
			TokenInterval: time.Duration(count("interval")) * time.Millisecond,
		},
	}
}

// TestPlanSlotsProperties checks for random states of a replica that a plan
// stays within bounds, is deterministic, adds at most one slot and has no slots
// in a burst.
func TestPlanSlotsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawReplica(t)
		config := batchConfig(rapid.Float64Range(0, 1).Draw(t, "weight"))
		p := dispatch.PlanSlots(r, config, now)
		if p.Slots < 0 || p.Slots > max(config.MaxSlots, r.Slots) || p.Slots > r.Slots+1 {
			t.Fatalf("plan changes the slots from %d to %d", r.Slots, p.Slots)
		}
		if again := dispatch.PlanSlots(r, config, now); again != p {
			t.Fatalf("two plans for the same state differ: %v, %v", p, again)
		}
		r.BurstAt = now
		if p := dispatch.PlanSlots(r, config, now); p.Slots != 0 {
			t.Fatalf("%d slots planned during a burst", p.Slots)
		}
	})
}

// TestSharesOrderAndLateness checks which job comes first and which jobs are
// marked late.
func TestSharesOrderAndLateness(t *testing.T) {
	hour := func(n int) time.Time { return now.Add(time.Duration(n) * time.Hour) }
	cases := []struct {
		name  string
		jobs  []dispatch.Job
		first string
		late  []string
	}{
		{"earliest due first", []dispatch.Job{{ID: "b", DueAt: hour(2), Remaining: 3600}, {ID: "a", DueAt: hour(1), Remaining: 3600}}, "a", nil},
		{"held items count towards the share", []dispatch.Job{{ID: "b", DueAt: hour(2), Remaining: 36000}, {ID: "a", DueAt: hour(1), Remaining: 3600, Held: 500}}, "b", nil},
		{"due time can't be met", []dispatch.Job{{ID: "a", DueAt: hour(1), Remaining: 72000}}, "a", []string{"a"}},
		{"late job keeps to its limit", []dispatch.Job{{ID: "a", DueAt: hour(1), Remaining: 360000, Held: 600}, {ID: "b", DueAt: hour(2), Remaining: 7200}}, "b", []string{"a"}},
		{"overdue", []dispatch.Job{{ID: "a", DueAt: hour(-1), Remaining: 10}}, "a", []string{"a"}},
		{"no work left", []dispatch.Job{{ID: "a", DueAt: hour(-1)}, {ID: "b", DueAt: hour(1), Remaining: 1}}, "b", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shares := dispatch.Shares(c.jobs, 10, 0.5, now)
			require.Equal(t, c.first, shares[0].ID)
			var late []string
			for _, s := range shares {
				if s.Late {
					late = append(late, s.ID)
				}
			}
			require.Equal(t, c.late, late)
		})
	}
}

// TestSharesProperties checks that shares are not negative and add up to at
// most the whole capacity.
func TestSharesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []dispatch.Job
		for i := range rapid.IntRange(0, 20).Draw(t, "jobs") {
			jobs = append(jobs, dispatch.Job{
				ID: fmt.Sprint(i), DueAt: now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "due")) * time.Minute),
				Remaining: rapid.IntRange(0, 100000).Draw(t, "remaining"), Held: rapid.IntRange(0, 500).Draw(t, "held"),
			})
		}
		shares := dispatch.Shares(jobs, rapid.Float64Range(0, 1000).Draw(t, "capacity"), 0.5, now)
		sum := 0.0
		for _, s := range shares {
			if s.Fraction < 0 {
				t.Fatalf("negative share %v", s)
			}
			sum += s.Fraction
		}
		if sum > 1.000001 || len(shares) != len(jobs) {
			t.Fatalf("%d shares add up to %v of the capacity", len(shares), sum)
		}
	})
}

// BenchmarkDispatch plans 1,000 replicas and 15,000 jobs, as one tick of a
// dispatcher does far above the design size.
func BenchmarkDispatch(b *testing.B) {
	config := batchConfig(0.5)
	replicas := make([]dispatch.Replica, 1000)
	for i := range replicas {
		replicas[i] = steadyReplica()
	}
	jobs := make([]dispatch.Job, 15000)
	for i := range jobs {
		jobs[i] = dispatch.Job{ID: fmt.Sprint(i), DueAt: now.Add(time.Duration(i*7919%86400) * time.Second), Remaining: 3400}
	}
	b.Run("slots of 1,000 replicas", func(b *testing.B) {
		for b.Loop() {
			for i := range replicas {
				dispatch.PlanSlots(&replicas[i], config, now)
			}
		}
	})
	b.Run("shares of 15,000 jobs", func(b *testing.B) {
		for b.Loop() {
			dispatch.Shares(jobs, 590, 0.5, now)
		}
	})
}

// TestIsBurst checks the threshold for small and large averages.
func TestIsBurst(t *testing.T) {
	for _, c := range []struct {
		online int
		usual  float64
		want   bool
	}{{0, 0, false}, {3, 0, false}, {4, 0, true}, {8, 4, false}, {16, 4, true}, {110, 50, false}, {150, 50, true}} {
		require.Equal(t, c.want, dispatch.IsBurst(c.online, c.usual), "%+v", c)
	}
}
