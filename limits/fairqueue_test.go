package limits_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/limits"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// The capacity of the modelled service: slots that each serve one request in
// serviceTime, on one host.
const (
	slots        = 32
	serviceTime  = 200 * time.Millisecond
	capacity     = slots / 0.2
	refusalBound = 50 * time.Millisecond
)

func document() *service.Document {
	d := &service.Document{
		Name: "s", Routing: service.Routing{Concurrency: slots, QueueLimit: 1000, Scope: service.ScopeRegion},
		Upstreams: []service.Upstream{{Name: "u", DataCentre: "dc", Region: "r"}},
		Classes: []service.Class{
			{Name: "urgent", FirstToken: 480 * time.Millisecond, MinimumShare: 0.02},
			{Name: "later", FirstToken: 2 * time.Second, MinimumShare: 0.05},
		},
	}
	for i := range 20 {
		d.Callers = append(d.Callers, service.Caller{Name: fmt.Sprintf("c%d", i), Weight: 1})
	}
	return d
}

func newQueue(change func(o *limits.Options)) *limits.FairQueue {
	o := limits.Options{
		DataCentre: "dc", Region: "r", Clock: clockwork.NewRealClock(), Seed: 1,
		Hosts:     membership.NewStatic(membership.Host{Name: "h", DataCentre: "dc"}),
		Upstreams: membership.NewLocalUpstreams(),
	}
	if change != nil {
		change(&o)
	}
	return limits.NewFairQueue(o)
}

// traffic is Poisson traffic of one caller in one class.
type traffic struct {
	caller string
	class  int
	rate   float64
	tokens int
}

// result is what the traffic of one caller met.
type result struct {
	done, refused int
	latestRefusal time.Duration
	waits         []time.Duration
	noRetryAfter  int
	mayHaveRun    int
}

// drive offers traffic for a time inside a synctest bubble, where time is not
// real, and returns the results by caller and class. Warm-up is not counted.
func drive(t *testing.T, q limits.Admission, doc *service.Document, span time.Duration, offered ...traffic) []result {
	const warmUp = 2 * time.Second
	out := make([]result, len(offered))
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	one := func(i int) {
		defer all.Done()
		tr := offered[i]
		tokens := max(1, tr.tokens)
		start := time.Now()
		counted := start.Sub(begin) > warmUp
		release, err := q.Admit(context.Background(), limits.Request{Doc: doc, Class: &doc.Classes[tr.class], Caller: tr.caller, Tokens: tokens})
		wait := time.Since(start)
		if err == nil {
			time.Sleep(serviceTime)
			release()
		}
		mu.Lock()
		defer mu.Unlock()
		if counted {
			out[i].count(err, wait)
		}
	}
	for i, tr := range offered {
		all.Add(1)
		go func() {
			defer all.Done()
			random := rand.New(rand.NewPCG(7, uint64(i)))
			for time.Since(begin) < warmUp+span {
				time.Sleep(time.Duration(random.ExpFloat64() / tr.rate * float64(time.Second)))
				all.Add(1)
				go one(i)
			}
		}()
	}
	all.Wait()
	return out
}

func (r *result) count(err error, wait time.Duration) {
	if err == nil {
		r.done++
		r.waits = append(r.waits, wait)
		return
	}
	r.refused++
	r.latestRefusal = max(r.latestRefusal, wait)
	e := verdict.As(err)
	if e.RetryAfter <= 0 {
		r.noRetryAfter++
	}
	if e.Verdict != verdict.NotRun || e.Status() != 429 {
		r.mayHaveRun++
	}
}

func TestOverloadKeepsGoodput(t *testing.T) {
	for _, factor := range []float64{2, 5} {
		t.Run(fmt.Sprintf("%vx", factor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const span = 10 * time.Second
				var offered []traffic
				for i := range 10 {
					offered = append(offered, traffic{caller: fmt.Sprintf("c%d", i), rate: capacity * factor / 10})
				}
				done, late, refused := 0, 0, 0
				for _, r := range drive(t, newQueue(nil), document(), span, offered...) {
					done += r.done
					refused += r.refused
					require.LessOrEqual(t, r.latestRefusal, refusalBound)
					require.Zero(t, r.noRetryAfter, "refused without advice")
					require.Zero(t, r.mayHaveRun, "not 429 and not run")
					for _, w := range r.waits {
						if w > 480*time.Millisecond {
							late++
						}
					}
				}
				t.Logf("done %d of a capacity of %.0f, late %d, refused %d", done, capacity*span.Seconds(), late, refused)
				done -= late
				require.GreaterOrEqual(t, float64(done), 0.95*capacity*span.Seconds())
			})
		})
	}
}

// TestOneHeavyCallerFillsTheCapacity: where the other callers ask for little,
// fairness must not leave capacity unused.
func TestOneHeavyCallerFillsTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		offered := []traffic{{caller: "c0", rate: 5 * capacity}}
		for i := range 19 {
			offered = append(offered, traffic{caller: fmt.Sprintf("c%d", i+1), rate: 0.01 * capacity})
		}
		done := 0
		for i, r := range drive(t, newQueue(nil), document(), span, offered...) {
			done += r.done
			if i > 0 {
				require.Zero(t, r.refused)
			}
		}
		require.GreaterOrEqual(t, float64(done), 0.95*capacity*span.Seconds())
	})
}

func TestGreedyCallerCostsOthersLittle(t *testing.T) {
	const span = 10 * time.Second
	others := func(greedy float64) (done []int) {
		synctest.Test(t, func(t *testing.T) {
			var offered []traffic
			for i := range 4 {
				offered = append(offered, traffic{caller: fmt.Sprintf("c%d", i), rate: 0.9 * capacity / 5})
			}
			offered = append(offered, traffic{caller: "c4", rate: greedy * capacity / 5})
			for _, r := range drive(t, newQueue(nil), document(), span, offered...)[:4] {
				done = append(done, r.done)
			}
		})
		return done
	}
	fair, greedy := others(0.9), others(10)
	t.Logf("done by the others: %v with a fair fifth caller, %v with one at 10x its share", fair, greedy)
	for i := range fair {
		require.GreaterOrEqual(t, float64(greedy[i]), 0.95*float64(fair[i]))
	}
}

func TestTokensNotRequestsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		res := drive(t, newQueue(nil), doc, 10*time.Second,
			traffic{caller: "c0", rate: 2 * capacity, tokens: 100}, traffic{caller: "c1", rate: 2 * capacity, tokens: 400})
		require.InEpsilon(t, 4, float64(res[0].done)/float64(res[1].done), 0.15)
	})
}

func TestWeightsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Callers[0].Weight = 3
		res := drive(t, newQueue(nil), doc, 10*time.Second,
			traffic{caller: "c0", rate: 2 * capacity}, traffic{caller: "c1", rate: 2 * capacity})
		require.InEpsilon(t, 3, float64(res[0].done)/float64(res[1].done), 0.15)
	})
}

// TestUrgentClassFirst: a less urgent class at 5x capacity costs the urgent
// one no goodput, and the least urgent still gets its minimum share.
func TestUrgentClassFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		urgent := traffic{caller: "c0", class: 0, rate: 0.5 * capacity}
		res := drive(t, newQueue(nil), document(), span, urgent, traffic{caller: "c1", class: 1, rate: 5 * capacity})
		require.Zero(t, res[0].refused)
		for _, w := range res[0].waits {
			require.LessOrEqual(t, w, serviceTime, "waited for more than the running requests")
		}
		urgent.rate = 5 * capacity
		res = drive(t, newQueue(nil), document(), span, urgent, traffic{caller: "c1", class: 1, rate: capacity})
		share := float64(res[1].done) / float64(res[0].done+res[1].done)
		t.Logf("share of the least urgent class under an urgent flood: %.3f", share)
		require.InDelta(t, 0.05, share, 0.02)
	})
}

// TestUrgentRequestGoesNext: an urgent request passes all less urgent ones
// that wait.
func TestUrgentRequestGoesNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency = 1
		q := newQueue(nil)
		var mu sync.Mutex
		var order []string
		grants := make(chan func(), 10)
		ask := func(class int, name string) {
			go func() {
				release, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[class], Caller: name, Tokens: 100})
				if err == nil {
					mu.Lock()
					order = append(order, name)
					mu.Unlock()
					grants <- release
				}
			}()
			synctest.Wait()
		}
		for i := range 4 {
			ask(1, fmt.Sprintf("c%d", i))
		}
		ask(0, "c9")
		for range 5 {
			(<-grants)()
			synctest.Wait()
		}
		require.Equal(t, []string{"c0", "c9", "c1", "c2", "c3"}, order)
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency, doc.Routing.QueueLimit = 1, 10
		q := newQueue(nil)
		ask := func(class int, caller string) chan error {
			out := make(chan error, 1)
			go func() {
				_, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[class], Caller: caller, Tokens: 1})
				out <- err
			}()
			synctest.Wait()
			return out
		}
		require.NoError(t, <-ask(1, "c0"), "runs")
		var waiting []chan error
		for i := range 10 {
			waiting = append(waiting, ask(1, fmt.Sprintf("c%d", i)))
		}
		require.Equal(t, 10, q.Waiting("s"))
		require.Equal(t, verdict.CodeOverloaded, verdict.As(<-ask(1, "c11")).Code)
		urgent := ask(0, "c12")
		require.Equal(t, 10, q.Waiting("s"), "a less urgent request made way")
		require.Empty(t, urgent)
		made := 0
		for _, w := range waiting {
			made += len(w)
		}
		require.Equal(t, 1, made)
	})
}

func TestOneCallerDoesNotFillTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency, doc.Routing.QueueLimit = 1, 10
		q := newQueue(nil)
		for range 20 {
			go func() {
				_, _ = q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c0", Tokens: 1})
			}()
		}
		synctest.Wait()
		require.Equal(t, 5, q.Waiting("s"))
	})
}

func TestCallerGoneLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency = 1
		q := newQueue(nil)
		ask := limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c0", Tokens: 1}
		release, err := q.Admit(t.Context(), ask)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { _, err := q.Admit(ctx, ask); ended <- err }()
		synctest.Wait()
		cancel()
		err = <-ended
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.CodeCancelled, verdict.As(err).Code)
		require.Zero(t, q.Waiting("s"))
		release()
		release()
		_, err = q.Admit(t.Context(), ask)
		require.NoError(t, err, "release counts once and the slot is free")
	})
}

func TestCallerLimitsAreShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Callers[0].RequestsPerSecond = 40
		doc.Callers[1].TokensPerSecond = 400
		q := newQueue(func(o *limits.Options) {
			o.Hosts = membership.NewStatic(membership.Host{Name: "h", DataCentre: "dc"},
				membership.Host{Name: "h2", DataCentre: "dc"}, membership.Host{Name: "h3", DataCentre: "dc2"},
				membership.Host{Name: "h4", DataCentre: "dc2"})
		})
		const seconds = 10
		res := drive(t, q, doc, seconds*time.Second,
			traffic{caller: "c0", rate: 100}, traffic{caller: "c1", rate: 100, tokens: 20}, traffic{caller: "c2", rate: 20})
		require.InDelta(t, 40.0/4*seconds, res[0].done, 12, "a quarter of the limit on one of four hosts")
		require.InDelta(t, 400.0/20/4*seconds, res[1].done, 8)
		require.Zero(t, res[2].refused, "a caller without limits")
		require.Zero(t, res[0].mayHaveRun+res[0].noRetryAfter)
	})
}

func TestAdapt(t *testing.T) {
	cases := []struct {
		name   string
		factor float64
		report limits.LoadReport
		busy   bool
		batch  bool
		want   float64
	}{
		{"no reports", 1.7, limits.LoadReport{}, true, false, 1},
		{"upstreams queue", 1, limits.LoadReport{Running: 16, Waiting: 4, Upstreams: 3}, true, false, 0.9},
		{"upstreams queue, at the floor", 0.5, limits.LoadReport{Running: 16, Waiting: 4, Upstreams: 3}, true, false, 0.5},
		{"upstreams queue with batch items", 1, limits.LoadReport{Running: 16, Waiting: 4, Upstreams: 3}, true, true, 1},
		{"room and work", 1, limits.LoadReport{Running: 4, Upstreams: 3}, true, false, 1.05},
		{"room but no work", 1, limits.LoadReport{Running: 4, Upstreams: 3}, false, false, 1},
		{"room, back from below", 0.5, limits.LoadReport{Running: 4, Upstreams: 3}, false, false, 0.525},
		{"room, all of it taken", 4, limits.LoadReport{Running: 4, Upstreams: 3}, true, false, 4},
		{"full, back to the even part", 1.05, limits.LoadReport{Running: 17, Upstreams: 3}, true, false, 1},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, limits.AdaptFactor(c.factor, c.report, 16, 4, c.busy, c.batch), 1e-9, c.name)
	}
	require.InDelta(t, 24, limits.EvenConcurrency(16, 6, 4), 1e-9)
	require.InDelta(t, 1, limits.EvenConcurrency(1, 1, 40), 1e-9)
}

// TestHostsShareConcurrency: each of several hosts admits its part.
func TestHostsShareConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := membership.NewStatic(membership.Host{Name: "h", DataCentre: "dc"}, membership.Host{Name: "h2", DataCentre: "dc"})
		q := newQueue(func(o *limits.Options) { o.Hosts = view })
		doc := document()
		var running atomic.Int32
		for range slots {
			go func() {
				if _, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c0"}); err == nil {
					running.Add(1)
				}
			}()
			synctest.Wait()
		}
		require.EqualValues(t, slots/2, running.Load())
	})
}

// TestAdmissionProperties: whatever is asked, the running requests stay within
// the limit, and every request is granted or refused once the others end.
func TestAdmissionProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		queueLimit := rapid.IntRange(1, 8).Draw(rt, "queue limit")
		synctest.Test(t, func(t *testing.T) { checkAdmission(t, steps, limit, queueLimit) })
	})
}

func checkAdmission(t *testing.T, steps []int, limit, queueLimit int) {
	doc := document()
	doc.Routing.Concurrency, doc.Routing.QueueLimit = limit, queueLimit
	q := newQueue(nil)
	var releases []func()
	running, answered, asked := 0, 0, 0
	var mu sync.Mutex
	ask := func(n int) {
		release, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[n%2], Caller: fmt.Sprintf("c%d", n), Tokens: n})
		mu.Lock()
		defer mu.Unlock()
		answered++
		if err == nil {
			running++
			releases = append(releases, release)
		}
	}
	end := func() {
		mu.Lock()
		running--
		release := releases[0]
		releases = releases[1:]
		mu.Unlock()
		release()
		synctest.Wait()
	}
	for _, n := range steps {
		if n == 0 && len(releases) > 0 {
			time.Sleep(time.Millisecond)
			end()
			continue
		}
		asked++
		go ask(n)
		synctest.Wait()
		mu.Lock()
		require.LessOrEqual(t, running, limit)
		require.LessOrEqual(t, q.Waiting("s"), queueLimit)
		require.Equal(t, asked, answered+q.Waiting("s"))
		mu.Unlock()
	}
	for len(releases) > 0 {
		end()
	}
	require.Equal(t, asked, answered, "a request was forgotten")
	require.Zero(t, q.Waiting("s"))
}

func BenchmarkAdmit(b *testing.B) {
	const callers = 7000
	doc := document()
	doc.Callers = nil
	for i := range callers {
		doc.Callers = append(doc.Callers, service.Caller{Name: fmt.Sprintf("c%d", i), Weight: 1})
	}
	doc.Routing.QueueLimit = 2 * callers
	ask := func(i int) limits.Request {
		return limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: doc.Callers[i%callers].Name, Tokens: 100}
	}
	b.Run("room", func(b *testing.B) {
		q := newQueue(nil)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			release, err := q.Admit(context.Background(), ask(i))
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
	b.Run("queued", func(b *testing.B) {
		q := newQueue(nil)
		doc.Routing.Concurrency = 1
		grants := make(chan func(), callers+1)
		for i := range callers {
			go func() {
				release, err := q.Admit(context.Background(), ask(i))
				if err == nil {
					grants <- release
				}
			}()
		}
		for q.Waiting("s") < callers-1 {
			time.Sleep(time.Millisecond)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i := 0; b.Loop(); i++ {
			go func() {
				release, err := q.Admit(context.Background(), ask(i))
				if err == nil {
					grants <- release
				}
			}()
			(<-grants)()
		}
	})
}
