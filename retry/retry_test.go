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

// TestMain fixes the seed of the property tests.
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
		{"answer started", func(s *retry.State) { s.AnswerStarted = true }, retry.ReasonAnswerStarted},
		{"answer started, resumable", func(s *retry.State) { s.AnswerStarted, s.Resumable = true, true }, retry.ReasonNone},
		{"answer started, resumable, once", func(s *retry.State) { s.AnswerStarted, s.Resumable, s.Once = true, true, true }, retry.ReasonOnce},
		{"no attempts left", func(s *retry.State) { s.Tries = 3 }, retry.ReasonMaxTries},
		{"no time left", func(s *retry.State) { s.TimeLeft = time.Millisecond }, retry.ReasonTime},
		{"ran", func(s *retry.State) { s.Err = failed(verdict.Ran) }, retry.ReasonFinal},
		{"no upstream", func(s *retry.State) { s.Err = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "none") }, retry.ReasonFinal},
		{"quarantined", func(s *retry.State) { s.Err = verdict.New(verdict.NotRun, verdict.CodeQuarantined, "q") }, retry.ReasonFinal},
		{"caller cancelled", func(s *retry.State) { s.Err = verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "gone") }, retry.ReasonFinal},
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

// TestBudgetBoundsRetries checks on random histories that the retries in any 9
// seconds (the complete buckets of a window) stay within the fraction of the
// successes in the window that ends with them, or within the minimum.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := retry.NewBudget(clock)
		fraction := rapid.Float64Range(0.01, 0.3).Draw(t, "fraction")
		type event struct {
			at time.Time
			ok bool
		}
		var events []event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "successes") {
				b.RecordSuccess()
				events = append(events, event{clock.Now(), true})
			}
			for range rapid.IntRange(0, 20).Draw(t, "tries") {
				if !b.Spend(fraction) {
					break
				}
				events = append(events, event{clock.Now(), false})
			}
		}
		for i, end := range events {
			if end.ok {
				continue
			}
			successes, retries := 0, 0
			for _, m := range events[:i+1] {
				age := end.at.Sub(m.at)
				if m.ok && age >= 0 && age <= 10*time.Second {
					successes++
				}
				if !m.ok && age >= 0 && age <= 9*time.Second {
					retries++
				}
			}
			if float64(retries) > max(10, fraction*float64(successes)) {
				t.Fatalf("%d retries in 9 s after %d successes in 10 s", retries, successes)
			}
		}
	})
}

func TestBudgetRefillsAsTheWindowMoves(t *testing.T) {
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
