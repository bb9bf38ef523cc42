package retry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/retry"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// TestMain fixes the seed of the properties.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestDecide(t *testing.T) {
	failed := func(v verdict.Verdict) error { return verdict.New(v, verdict.CodeUpstreamFailed, "failed") }
	base := retry.State{Err: failed(verdict.MayHaveRun), Tries: 1, MaxTries: 3, TimeLeft: time.Second}
	rows := []struct {
		name string
		set  func(*retry.State)
		want retry.Reason
	}{
		{"may have run, repeatable", func(*retry.State) {}, retry.ReasonNone},
		{"not run, once", func(s *retry.State) { s.Err, s.Once = failed(verdict.NotRun), true }, retry.ReasonNone},
		{"may have run, once", func(s *retry.State) { s.Once = true }, retry.ReasonOnce},
		{"begun", func(s *retry.State) { s.AnswerStarted = true }, retry.ReasonAnswerStarted},
		{"begun, resumable", func(s *retry.State) { s.AnswerStarted, s.Resumable = true, true }, retry.ReasonNone},
		{"begun, resumable, once", func(s *retry.State) { s.AnswerStarted, s.Resumable, s.Once = true, true, true }, retry.ReasonOnce},
		{"last try", func(s *retry.State) { s.Tries = 3 }, retry.ReasonMaxTries},
		{"no time", func(s *retry.State) { s.TimeLeft = time.Millisecond }, retry.ReasonTime},
		{"ran", func(s *retry.State) { s.Err = failed(verdict.Ran) }, retry.ReasonFinal},
		{"no upstream", func(s *retry.State) { s.Err = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "none") }, retry.ReasonFinal},
		{"quarantined", func(s *retry.State) { s.Err = verdict.New(verdict.NotRun, verdict.CodeQuarantined, "q") }, retry.ReasonFinal},
		{"caller gone", func(s *retry.State) { s.Err = verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "gone") }, retry.ReasonFinal},
		{"incomplete", func(s *retry.State) { s.Err = verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "cut") }, retry.ReasonNone},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := base
			row.set(&s)
			require.Equal(t, row.want, retry.Decide(s))
		})
	}
}

// Over any history, the retries of each 9 seconds (the whole buckets of a
// window) stay within the part of the successes of the window around them, or
// the floor.
func TestBudgetBoundsAddedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := retry.NewBudget(clock)
		part := rapid.Float64Range(0.01, 0.3).Draw(t, "part")
		type mark struct {
			at time.Time
			ok bool
		}
		var marks []mark
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "successes") {
				b.RecordSuccess()
				marks = append(marks, mark{clock.Now(), true})
			}
			for range rapid.IntRange(0, 20).Draw(t, "tries") {
				if !b.Spend(part) {
					break
				}
				marks = append(marks, mark{clock.Now(), false})
			}
		}
		for i, end := range marks {
			if end.ok {
				continue
			}
			successes, retries := 0, 0
			for _, m := range marks[:i+1] {
				age := end.at.Sub(m.at)
				if m.ok && age >= 0 && age <= 10*time.Second {
					successes++
				}
				if !m.ok && age >= 0 && age <= 9*time.Second {
					retries++
				}
			}
			if float64(retries) > max(10, part*float64(successes)) {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}

func TestBudgetRefillsWithTheWindow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := retry.NewBudget(clock)
	spend := func() int {
		n := 0
		for b.Spend(0.1) {
			n++
		}
		return n
	}
	for range 1000 {
		b.RecordSuccess()
	}
	require.Equal(t, 100, spend())
	clock.Advance(5 * time.Second)
	require.Zero(t, spend())
	clock.Advance(6 * time.Second)
	require.Equal(t, 10, spend())
	require.False(t, b.Spend(0))
}
