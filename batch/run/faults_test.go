package run_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
)

const seeds = 200

// TestEachItemHasOneResult runs random schedules of crashes, pauses inside
// calls to the store, failed calls and lost replies. Each item must get exactly
// one result, which never changes.
func TestEachItemHasOneResult(t *testing.T) {
	var sum tally
	t.Cleanup(func() { sum.log(t) })
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3, false)
			job := s.runToEnd(s.accept(simItems).ID)
			require.Equal(t, store.StatusCompleted, job.Status)
			require.Len(t, s.results, simItems)
			s.check(job, &sum)
		})
	}
}

// tally sums the faults and their effects over all schedules of a test.
type tally struct {
	crashes, wasted, lostRuns, takeOvers, faults atomic.Int64
}

// check accounts for each run: it gave the result, was refused or preempted, is
// counted as wasted, or was in flight on a crashed host.
func (s *sim) check(job *store.Job, total *tally) {
	runs, refused, takeOvers := 0, 0, 0
	for _, starts := range s.starts {
		runs += len(starts)
	}
	for _, n := range s.refused {
		refused += n
	}
	for _, h := range s.hosts {
		s.wasted += h.wastedRuns()
	}
	for i := range job.Segments {
		takeOvers += int(job.Segments[i].Epoch) - 1
	}
	require.LessOrEqual(s.t, runs, len(s.results)+refused+s.preempted+s.wasted+s.lostRuns, "a run is not accounted for")
	total.crashes.Add(int64(s.crashes))
	total.wasted.Add(int64(s.wasted))
	total.lostRuns.Add(int64(s.lostRuns))
	total.takeOvers.Add(int64(takeOvers))
	total.faults.Add(int64(s.faults))
}

func (total *tally) log(t *testing.T) {
	t.Logf("%d failed calls, %d hosts crashed, %d segments claimed again, %d runs wasted, %d runs in flight on crashed hosts",
		total.faults.Load(), total.crashes.Load(), total.takeOvers.Load(), total.wasted.Load(), total.lostRuns.Load())
	require.Positive(t, total.faults.Load())
	require.Positive(t, total.crashes.Load())
	require.Positive(t, total.takeOvers.Load())
	require.Positive(t, total.wasted.Load())
	require.Positive(t, total.lostRuns.Load())
}

// TestAtMostOnceItemsNeverRunTwice runs the same schedules with items that may
// run at most once.
func TestAtMostOnceItemsNeverRunTwice(t *testing.T) {
	var sum tally
	t.Cleanup(func() { sum.log(t) })
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3, true)
			job := s.runToEnd(s.accept(simItems).ID)
			require.Equal(t, store.StatusCompleted, job.Status)
			require.Len(t, s.results, simItems)
			for id, starts := range s.starts {
				require.LessOrEqual(t, len(starts), 1+s.refused[id], "item %s ran more than once: %v", id, starts)
			}
			s.check(job, &sum)
		})
	}
}

// TestNoItemStartsAfterCancellation cancels the job at a random tick of the
// same schedules. The simulation fails the test if an item starts after the job
// is seen as cancelled. Results must not change afterwards.
func TestNoItemStartsAfterCancellation(t *testing.T) {
	var sum tally
	t.Cleanup(func() { sum.log(t) })
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3, seed%2 == 0)
			id := s.accept(simItems).ID
			// The tick may well come during a pause of a host.
			s.cancelJob, s.cancelTick = id, 1+s.rng.IntN(120)
			job := s.runToEnd(id)
			require.Contains(t, []store.Status{store.StatusCancelled, store.StatusCompleted}, job.Status)
			before := len(s.results)
			s.clock.Advance(time.Hour)
			s.read(id)
			require.Len(t, s.results, before)
			s.check(job, &sum)
		})
	}
}

// TestCrashingItemsFailWithoutOthers checks that items whose replica fails at
// each try end with an error after their last try, and that all other items
// complete.
func TestCrashingItemsFailWithoutOthers(t *testing.T) {
	s := newSim(t, 1, 2, false)
	s.faultless = true
	job := s.runToEnd(s.accept(simItems).ID)
	require.Equal(t, store.StatusCompleted, job.Status)
	_, completed, failed := job.Counts()
	poison := 0
	for id, text := range s.results {
		if strings.HasPrefix(id, "poison") {
			poison++
			require.Contains(t, text, "The replica was lost.")
			require.Len(t, s.starts[id], s.doc.Batch.MaxTries)
		}
	}
	require.Positive(t, poison)
	require.Equal(t, poison, failed)
	require.Equal(t, simItems-poison, completed)
}
