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

// TestOneResultAnItem runs random schedules of kills, pauses inside calls to
// the store, failed calls and lost replies.
func TestOneResultAnItem(t *testing.T) {
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

// tally sums what the schedules of a test caused.
type tally struct {
	kills, wasted, lost, taken, faults atomic.Int64
}

// check accounts for each run: it gave the result, was refused, stepped aside,
// is counted as wasted with its reason, or was in flight on a lost host.
func (s *sim) check(job *store.Job, sum *tally) {
	runs, refused, taken := 0, 0, 0
	for _, starts := range s.starts {
		runs += len(starts)
	}
	for _, n := range s.refused {
		refused += n
	}
	for _, h := range s.hosts {
		s.wasted += h.wasted()
	}
	for i := range job.Segments {
		taken += int(job.Segments[i].Epoch) - 1
	}
	require.LessOrEqual(s.t, runs, len(s.results)+refused+s.aside+s.wasted+s.lost, "a run is not accounted for")
	sum.kills.Add(int64(s.kills))
	sum.wasted.Add(int64(s.wasted))
	sum.lost.Add(int64(s.lost))
	sum.taken.Add(int64(taken))
	sum.faults.Add(int64(s.faults))
}

// log shows that the schedules caused what they are for.
func (sum *tally) log(t *testing.T) {
	t.Logf("%d faults, %d hosts lost, %d claims taken over or anew, %d runs wasted, %d runs in flight on lost hosts",
		sum.faults.Load(), sum.kills.Load(), sum.taken.Load(), sum.wasted.Load(), sum.lost.Load())
	require.Positive(t, sum.faults.Load())
	require.Positive(t, sum.kills.Load())
	require.Positive(t, sum.taken.Load())
	require.Positive(t, sum.wasted.Load())
	require.Positive(t, sum.lost.Load())
}

// TestAtMostOnceItems runs the same schedules with items that may run at most
// once.
func TestAtMostOnceItems(t *testing.T) {
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

// TestCancelUnderFaults cancels in the middle of the same schedules. The sim
// fails when an item starts after the job is seen as cancelled.
func TestCancelUnderFaults(t *testing.T) {
	var sum tally
	t.Cleanup(func() { sum.log(t) })
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3, seed%2 == 0)
			id := s.accept(simItems).ID
			// A tick inside a host's pause is as likely as any other.
			s.watchCancel, s.cancelAt = id, 1+s.rng.IntN(120)
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

func TestPoisonItemsEndAlone(t *testing.T) {
	s := newSim(t, 1, 2, false)
	s.quiet = true
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
