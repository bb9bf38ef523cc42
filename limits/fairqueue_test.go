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

// The modelled service runs on one host and has slots that each serve one request
// in serviceDuration; capacity is in requests per second.
const (
	slots           = 32
	serviceDuration = 200 * time.Millisecond
	capacity        = slots / 0.2
	maxRefusalTime  = 50 * time.Millisecond
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

// traffic is Poisson traffic of one caller in one class, with rate in requests per
// second.
type traffic struct {
	caller string
	class  int
	rate   float64
	tokens int
}

// result sums up what happened to the requests of one traffic.
type result struct {
	done, refused int
	latestRefusal time.Duration
	waits         []time.Duration
	noRetryAfter  int
	wrongVerdict  int
}

// offerTraffic offers traffic for the given span inside a synctest bubble, where
// time is simulated, and returns one result for each traffic. Requests of the
// warm-up are not counted.
func offerTraffic(t *testing.T, q limits.Admission, doc *service.Document, span time.Duration, offered ...traffic) []result {
	const warmUp = 2 * time.Second
	out := make([]result, len(offered))
	var mu sync.Mutex
	var pending sync.WaitGroup
	begin := time.Now()
	send := func(i int) {
		defer pending.Done()
		tr := offered[i]
		tokens := max(1, tr.tokens)
		start := time.Now()
		counted := start.Sub(begin) > warmUp
		release, err := q.Admit(context.Background(), limits.Request{Doc: doc, Class: &doc.Classes[tr.class], Caller: tr.caller, Tokens: tokens})
		wait := time.Since(start)
		if err == nil {
			time.Sleep(serviceDuration)
			release()
		}
		mu.Lock()
		defer mu.Unlock()
		if counted {
			out[i].count(err, wait)
		}
	}
	for i, tr := range offered {
		pending.Add(1)
		go func() {
			defer pending.Done()
			random := rand.New(rand.NewPCG(7, uint64(i)))
			for time.Since(begin) < warmUp+span {
				time.Sleep(time.Duration(random.ExpFloat64() / tr.rate * float64(time.Second)))
				pending.Add(1)
				go send(i)
			}
		}()
	}
	pending.Wait()
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
		r.wrongVerdict++
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
				for _, r := range offerTraffic(t, newQueue(nil), document(), span, offered...) {
					done += r.done
					refused += r.refused
					require.LessOrEqual(t, r.latestRefusal, maxRefusalTime)
					require.Zero(t, r.noRetryAfter, "refused without Retry-After")
					require.Zero(t, r.wrongVerdict, "a refusal is not status 429 with verdict not run")
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

// TestHeavyCallerUsesSpareCapacity guards against capacity left unused for the sake
// of fairness: one caller offers more than the capacity, the others very little.
func TestHeavyCallerUsesSpareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		offered := []traffic{{caller: "c0", rate: 5 * capacity}}
		for i := range 19 {
			offered = append(offered, traffic{caller: fmt.Sprintf("c%d", i+1), rate: 0.01 * capacity})
		}
		done := 0
		for i, r := range offerTraffic(t, newQueue(nil), document(), span, offered...) {
			done += r.done
			if i > 0 {
				require.Zero(t, r.refused)
			}
		}
		require.GreaterOrEqual(t, float64(done), 0.95*capacity*span.Seconds())
	})
}

func TestGreedyCallerKeepsGoodputOfOthers(t *testing.T) {
	const span = 10 * time.Second
	runOthers := func(greedy float64) (done []int) {
		synctest.Test(t, func(t *testing.T) {
			var offered []traffic
			for i := range 4 {
				offered = append(offered, traffic{caller: fmt.Sprintf("c%d", i), rate: 0.9 * capacity / 5})
			}
			offered = append(offered, traffic{caller: "c4", rate: greedy * capacity / 5})
			for _, r := range offerTraffic(t, newQueue(nil), document(), span, offered...)[:4] {
				done = append(done, r.done)
			}
		})
		return done
	}
	fair, greedy := runOthers(0.9), runOthers(10)
	t.Logf("done by the others: %v with a fair fifth caller, %v with one at 10x its share", fair, greedy)
	for i := range fair {
		require.GreaterOrEqual(t, float64(greedy[i]), 0.95*float64(fair[i]))
	}
}

func TestCapacityIsSharedByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		res := offerTraffic(t, newQueue(nil), doc, 10*time.Second,
			traffic{caller: "c0", rate: 2 * capacity, tokens: 100}, traffic{caller: "c1", rate: 2 * capacity, tokens: 400})
		require.InEpsilon(t, 4, float64(res[0].done)/float64(res[1].done), 0.15)
	})
}

func TestCapacityIsSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Callers[0].Weight = 3
		res := offerTraffic(t, newQueue(nil), doc, 10*time.Second,
			traffic{caller: "c0", rate: 2 * capacity}, traffic{caller: "c1", rate: 2 * capacity})
		require.InEpsilon(t, 3, float64(res[0].done)/float64(res[1].done), 0.15)
	})
}

// TestUrgentClassIsServedFirst checks that a less urgent class at 5x capacity costs
// the urgent class no goodput, and that under an urgent overload the less urgent
// class still gets its minimum share.
func TestUrgentClassIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const span = 10 * time.Second
		urgent := traffic{caller: "c0", class: 0, rate: 0.5 * capacity}
		res := offerTraffic(t, newQueue(nil), document(), span, urgent, traffic{caller: "c1", class: 1, rate: 5 * capacity})
		require.Zero(t, res[0].refused)
		for _, w := range res[0].waits {
			require.LessOrEqual(t, w, serviceDuration, "waited longer than the running requests take")
		}
		urgent.rate = 5 * capacity
		res = offerTraffic(t, newQueue(nil), document(), span, urgent, traffic{caller: "c1", class: 1, rate: capacity})
		share := float64(res[1].done) / float64(res[0].done+res[1].done)
		t.Logf("share of the less urgent class under an urgent overload: %.3f", share)
		require.InDelta(t, 0.05, share, 0.02)
	})
}

// TestUrgentRequestOvertakesWaitingOnes checks that an urgent request is admitted
// before all less urgent ones that wait.
func TestUrgentRequestOvertakesWaitingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency = 1
		q := newQueue(nil)
		var mu sync.Mutex
		var order []string
		grants := make(chan func(), 10)
		admit := func(class int, name string) {
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
			admit(1, fmt.Sprintf("c%d", i))
		}
		admit(0, "c9")
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
		admit := func(class int, caller string) chan error {
			out := make(chan error, 1)
			go func() {
				_, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[class], Caller: caller, Tokens: 1})
				out <- err
			}()
			synctest.Wait()
			return out
		}
		require.NoError(t, <-admit(1, "c0"), "runs")
		var waiting []chan error
		for i := range 10 {
			waiting = append(waiting, admit(1, fmt.Sprintf("c%d", i)))
		}
		require.Equal(t, 10, q.Waiting("s"))
		require.Equal(t, verdict.CodeOverloaded, verdict.As(<-admit(1, "c11")).Code)
		urgent := admit(0, "c12")
		require.Equal(t, 10, q.Waiting("s"), "a less urgent request was evicted")
		require.Empty(t, urgent)
		evicted := 0
		for _, w := range waiting {
			evicted += len(w)
		}
		require.Equal(t, 1, evicted)
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

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := document()
		doc.Routing.Concurrency = 1
		q := newQueue(nil)
		req := limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c0", Tokens: 1}
		release, err := q.Admit(t.Context(), req)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { _, err := q.Admit(ctx, req); ended <- err }()
		synctest.Wait()
		cancel()
		err = <-ended
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.CodeCancelled, verdict.As(err).Code)
		require.Zero(t, q.Waiting("s"))
		release()
		release()
		_, err = q.Admit(t.Context(), req)
		require.NoError(t, err, "release counts once and the slot is free")
	})
}

func TestRefusedRequestIsNotChargedToItsCaller(t *testing.T) {
	for name, limit := range map[string]func(*service.Caller){
		"requests": func(c *service.Caller) { c.RequestsPerSecond = 1 },
		"tokens":   func(c *service.Caller) { c.TokensPerSecond = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := document()
				doc.Routing.Concurrency, doc.Routing.QueueLimit = 1, 1
				limit(&doc.Callers[0])
				q := newQueue(nil)
				release, err := q.Admit(t.Context(), limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c1", Tokens: 1})
				require.NoError(t, err)
				waiting, cancel := context.WithCancel(t.Context())
				go func() {
					_, _ = q.Admit(waiting, limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: "c2", Tokens: 1})
				}()
				synctest.Wait()
				limited := limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: doc.Callers[0].Name, Tokens: 1}
				_, err = q.Admit(t.Context(), limited)
				require.Equal(t, verdict.CodeOverloaded, verdict.As(err).Code)
				cancel()
				synctest.Wait()
				release()
				_, err = q.Admit(t.Context(), limited)
				require.NoError(t, err, "the refused request took nothing")
				_, err = q.Admit(t.Context(), limited)
				require.Equal(t, verdict.CodeCallerLimit, verdict.As(err).Code, "the admitted one did")
			})
		})
	}
}

func TestCallerLimitsAreSplitAmongHosts(t *testing.T) {
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
		res := offerTraffic(t, q, doc, seconds*time.Second,
			traffic{caller: "c0", rate: 100}, traffic{caller: "c1", rate: 100, tokens: 20}, traffic{caller: "c2", rate: 20})
		require.InDelta(t, 40.0/4*seconds, res[0].done, 12, "a quarter of the limit on one of four hosts")
		require.InDelta(t, 400.0/20/4*seconds, res[1].done, 8)
		require.Zero(t, res[2].refused, "a caller without limits")
		require.Zero(t, res[0].wrongVerdict+res[0].noRetryAfter)
	})
}

func TestAdaptFactor(t *testing.T) {
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
		{"upstreams queue, factor at the minimum", 0.5, limits.LoadReport{Running: 16, Waiting: 4, Upstreams: 3}, true, false, 0.5},
		{"upstreams queue with batch items", 1, limits.LoadReport{Running: 16, Waiting: 4, Upstreams: 3}, true, true, 1},
		{"spare capacity, busy host", 1, limits.LoadReport{Running: 4, Upstreams: 3}, true, false, 1.05},
		{"spare capacity, idle host", 1, limits.LoadReport{Running: 4, Upstreams: 3}, false, false, 1},
		{"spare capacity, factor below 1", 0.5, limits.LoadReport{Running: 4, Upstreams: 3}, false, false, 0.525},
		{"spare capacity, factor at the number of hosts", 4, limits.LoadReport{Running: 4, Upstreams: 3}, true, false, 4},
		{"overloaded, factor falls back to 1", 1.05, limits.LoadReport{Running: 17, Upstreams: 3}, true, false, 1},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, limits.AdaptFactor(c.factor, c.report, 16, 4, c.busy, c.batch), 1e-9, c.name)
	}
	require.InDelta(t, 24, limits.EvenConcurrency(16, 6, 4), 1e-9)
	require.InDelta(t, 1, limits.EvenConcurrency(1, 1, 40), 1e-9)
}

// TestHostsShareConcurrency checks that one of two hosts admits half of the
// concurrency.
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

// TestAdmissionStaysWithinLimits checks on random sequences that running and
// waiting requests stay within their limits, and that every request is admitted or
// refused once the others have ended.
func TestAdmissionStaysWithinLimits(t *testing.T) {
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
	running, answered, submitted := 0, 0, 0
	var mu sync.Mutex
	admit := func(n int) {
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
		submitted++
		go admit(n)
		synctest.Wait()
		mu.Lock()
		require.LessOrEqual(t, running, limit)
		require.LessOrEqual(t, q.Waiting("s"), queueLimit)
		require.Equal(t, submitted, answered+q.Waiting("s"))
		mu.Unlock()
	}
	for len(releases) > 0 {
		end()
	}
	require.Equal(t, submitted, answered, "a request was neither admitted nor refused")
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
	request := func(i int) limits.Request {
		return limits.Request{Doc: doc, Class: &doc.Classes[0], Caller: doc.Callers[i%callers].Name, Tokens: 100}
	}
	b.Run("room", func(b *testing.B) {
		q := newQueue(nil)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			release, err := q.Admit(context.Background(), request(i))
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
				release, err := q.Admit(context.Background(), request(i))
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
				release, err := q.Admit(context.Background(), request(i))
				if err == nil {
					grants <- release
				}
			}()
			(<-grants)()
		}
	})
}
