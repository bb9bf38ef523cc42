package routing_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// fixture is a balancer of host h0 with its clock, its document and its view of
// the upstreams' states.
type fixture struct {
	*routing.LoadAware
	clock       *modelClock
	upstreams   *membership.LocalUpstreams
	doc         *service.Document
	crossRegion bool
}

func newFixture(engines int) *fixture {
	f := &fixture{clock: newModelClock(), upstreams: membership.NewLocalUpstreams(), doc: modelDocument(engines)}
	f.LoadAware = f.newBalancer("h0")
	return f
}

// newBalancer returns the balancer of a host that shares the fixture's clock and
// view of upstreams.
func (f *fixture) newBalancer(name string) *routing.LoadAware {
	return routing.NewLoadAware(routing.Options{
		DataCentre: "dc", Region: "r", Clock: f.clock, Seed: 1, Upstreams: f.upstreams,
		Hosts:       membership.NewStatic(membership.Host{Name: name, DataCentre: "dc"}),
		CrossRegion: func(*service.Document) bool { return f.crossRegion },
	})
}

// countChoices routes n requests one after the other, ends each with the outcome,
// and returns the number of requests per upstream.
func countChoices(t *testing.T, b routing.Balancer, n int, req routing.Request, outcome func(name string) routing.Outcome) map[string]int {
	counts := make(map[string]int)
	for range n {
		c, err := b.Choose(req)
		require.NoError(t, err)
		counts[c.Upstream.Name]++
		c.Done(outcome(c.Upstream.Name))
	}
	return counts
}

func success(string) routing.Outcome { return routing.Outcome{} }

var errUpstream = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "failed")

// TestLeavingUpstreamGetsNoNewWork checks that every kind of report that an
// upstream is leaving stops new requests to it, and that reports of an earlier
// state that arrive later do not admit it again.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const leaving = "u2"
	key := membership.UpstreamKey{Service: "s", Name: leaving}
	notices := map[string]func(f *fixture){
		"list of the platform": func(f *fixture) { f.upstreams.Report(key, membership.Leaving, "list") },
		"peer reports it as gone": func(f *fixture) {
			f.upstreams.Report(key, membership.Gone, "peer")
		},
		"its own load report before the response ends": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaving})
			require.NoError(t, err)
			c.Observe(&upstream.Load{At: f.clock.now, Leaving: true})
			c.Done(routing.Outcome{})
		},
		"its own load report at the end of the response": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaving})
			require.NoError(t, err)
			c.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now, Leaving: true}})
		},
		"its refusal of a request": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaving})
			require.NoError(t, err)
			c.Done(routing.Outcome{Err: errUpstream, Leaving: true})
		},
	}
	for name, notice := range notices {
		t.Run(name, func(t *testing.T) {
			f := newFixture(4)
			other := f.newBalancer("h1")
			req := routing.Request{Doc: f.doc, Tokens: 10}
			require.Positive(t, countChoices(t, f, 200, req, success)[leaving])
			early, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaving})
			require.NoError(t, err)
			notice(f)
			// Reports of an earlier state: one on a late response, and a late list.
			early.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now.Add(-time.Second)}})
			f.upstreams.Report(key, membership.Alive, "late list")
			for _, b := range []routing.Balancer{f, other} {
				require.Zero(t, countChoices(t, b, 200, req, success)[leaving])
				_, err := b.Choose(routing.Request{Doc: f.doc, UpstreamName: leaving})
				require.Equal(t, verdict.NotRun, verdict.Of(err))
			}
			f.clock.now = f.clock.now.Add(time.Hour)
			require.Zero(t, countChoices(t, f, 200, req, success)[leaving])
		})
	}
}

// failAttempts ends n attempts on each named upstream with a failure.
func (f *fixture) failAttempts(t *testing.T, n int, names ...string) {
	for _, name := range names {
		for range n {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: name})
			require.NoError(t, err)
			c.Done(routing.Outcome{Err: errUpstream})
		}
	}
}

func (f *fixture) countEjected() int {
	n := 0
	for _, s := range f.Statuses() {
		if s.Ejected {
			n++
		}
	}
	return n
}

func TestConsecutiveFailuresEjectUpToLimit(t *testing.T) {
	f := newFixture(10)
	req := routing.Request{Doc: f.doc, Tokens: 10}
	f.failAttempts(t, 4, "u0", "u1")
	require.Zero(t, f.countEjected())
	f.failAttempts(t, 1, "u0", "u1")
	require.Equal(t, 2, f.countEjected())
	counts := countChoices(t, f, 100, req, success)
	require.Zero(t, counts["u0"]+counts["u1"])

	f.failAttempts(t, 5, names("u", 10)...)
	require.Equal(t, 3, f.countEjected(), "the limit is 0.3 of ten upstreams")

	f.clock.now = f.clock.now.Add(time.Minute)
	require.Zero(t, f.countEjected(), "the ejections have ended")
}

// TestFailedUpstreamIsChosenAgainAfterPenaltyDecays guards against a penalty that
// keeps an upstream from all requests for good: with little traffic, even a small
// one would lose every comparison.
func TestFailedUpstreamIsChosenAgainAfterPenaltyDecays(t *testing.T) {
	f := newFixture(3)
	req := routing.Request{Doc: f.doc, Tokens: 10}
	f.failAttempts(t, 1, "u0")
	require.Zero(t, countChoices(t, f, 100, req, success)["u0"])
	f.clock.now = f.clock.now.Add(time.Minute)
	require.Positive(t, countChoices(t, f, 100, req, success)["u0"])
}

// TestEjectionDurationDoublesAndIgnoresCancellation checks consecutive ejections,
// and that a caller's cancellation does not count as a failure of the upstream.
func TestEjectionDurationDoublesAndIgnoresCancellation(t *testing.T) {
	now := time.Unix(0, 0)
	h := routing.Health{}
	var durations []time.Duration
	for range 3 {
		for !h.Ejected(now) {
			h = h.AfterTry(true, true, now, 0)
		}
		durations = append(durations, h.EjectedUntil.Sub(now))
		now = h.EjectedUntil
	}
	require.Equal(t, []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}, durations)
	require.Zero(t, h.AfterTry(false, true, now, 0).Ejections)

	f := newFixture(4)
	cancelled := verdict.Wrap(context.Canceled, verdict.MayHaveRun, verdict.CodeIncomplete, "caller gone")
	countChoices(t, f, 200, routing.Request{Doc: f.doc}, func(string) routing.Outcome { return routing.Outcome{Err: cancelled} })
	for _, s := range f.Statuses() {
		require.Zero(t, s.Failures)
	}
}

func TestAddedUpstreamStartsSlowlyAndOldDocumentIsIgnored(t *testing.T) {
	f := newFixture(4)
	// chooseConcurrently routes n requests that are all in flight together and
	// returns their number per upstream.
	chooseConcurrently := func(n int) map[string]int {
		counts := make(map[string]int)
		var inFlight []*routing.Choice
		for range n {
			c, err := f.Choose(routing.Request{Doc: f.doc, Tokens: 10})
			require.NoError(t, err)
			counts[c.Upstream.Name]++
			inFlight = append(inFlight, c)
		}
		for _, c := range inFlight {
			c.Done(routing.Outcome{})
		}
		return counts
	}
	chooseConcurrently(100)
	grown := modelDocument(5)
	grown.Generation = 1
	old := f.doc
	f.doc = grown
	require.InDelta(t, 5, chooseConcurrently(200)["u4"], 4, "a tenth of an even share of 50")
	f.clock.now = f.clock.now.Add(5 * time.Second)
	require.InDelta(t, 22, chooseConcurrently(200)["u4"], 6, "half of an even share")
	f.clock.now = f.clock.now.Add(5 * time.Second)
	require.InDelta(t, 40, chooseConcurrently(200)["u4"], 4)
	f.doc = old
	require.Positive(t, chooseConcurrently(200)["u4"], "a document of an older generation is ignored")
}

func TestNearestUpstreamIsChosenFirst(t *testing.T) {
	f := newFixture(4)
	f.doc.Routing.Scope = service.ScopeAny
	for i, location := range []struct{ dc, region string }{{"dc", "r"}, {"dc2", "r"}, {"dc2", "r"}, {"dc3", "far"}} {
		f.doc.Upstreams[i].DataCentre, f.doc.Upstreams[i].Region = location.dc, location.region
	}
	req := routing.Request{Doc: f.doc}
	reportLeaving := func(name string) {
		f.upstreams.Report(membership.UpstreamKey{Service: "s", Name: name}, membership.Leaving, "test")
	}
	require.Equal(t, map[string]int{"u0": 50}, countChoices(t, f, 50, req, success))
	reportLeaving("u0")
	require.Len(t, countChoices(t, f, 50, req, success), 2)
	reportLeaving("u1")
	reportLeaving("u2")
	_, err := f.Choose(req)
	require.Equal(t, verdict.NotRun, verdict.Of(err), "no allotment of cross-region bytes")
	f.crossRegion = true
	require.Equal(t, map[string]int{"u3": 50}, countChoices(t, f, 50, req, success))
	narrow := *f.doc
	narrow.Routing.Scope = service.ScopeRegion
	narrow.Generation = 1
	_, err = f.Choose(routing.Request{Doc: &narrow})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestActivityCountsBatchSeparately(t *testing.T) {
	f := newFixture(1)
	address := f.doc.Upstreams[0].Address
	online, err := f.Choose(routing.Request{Doc: f.doc})
	require.NoError(t, err)
	item, err := f.Choose(routing.Request{Doc: f.doc, Batch: true})
	require.NoError(t, err)
	item.Observe(&upstream.Load{At: f.clock.now, Running: 7})
	a := f.Activity(address)
	require.Equal(t, []int{1, 1, 7}, []int{a.Online, a.Batch, a.Load.Running})
	online.Done(routing.Outcome{})
	item.Done(routing.Outcome{})
	a = f.Activity(address)
	require.Zero(t, a.Online+a.Batch)
	require.Zero(t, f.Activity("10.9.9.9:1"))
}

// TestDecideProperties checks for any snapshot that the chosen candidate is
// eligible, that one is chosen whenever one is eligible, and that no eligible one
// is nearer.
func TestDecideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &routing.Snapshot{
			MaxDistance: routing.Distance(rapid.IntRange(0, 2).Draw(t, "farthest")), Tokens: 10, MeanTokens: 10,
			Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), Concurrency: 16, SlowStart: 10 * time.Second,
		}
		best := -1
		for i := range rapid.IntRange(0, 12).Draw(t, "candidates") {
			c := routing.Candidate{
				Name: fmt.Sprint(i), Key: uint64(i), Distance: routing.Distance(rapid.IntRange(0, 2).Draw(t, "distance")),
				State: membership.State(rapid.IntRange(0, 2).Draw(t, "state")), Ejected: rapid.Bool().Draw(t, "ejected"),
				Excluded: rapid.Bool().Draw(t, "excluded"), OwnRequests: rapid.IntRange(0, 40).Draw(t, "own"),
				OtherRequests: float64(rapid.IntRange(0, 99).Draw(t, "others")), Reported: rapid.Bool().Draw(t, "reported"),
				Failures: rapid.IntRange(0, 99).Draw(t, "failures"), Cached: rapid.Bool().Draw(t, "cached"),
				Uptime: time.Duration(rapid.IntRange(0, 20).Draw(t, "uptime")) * time.Second,
			}
			s.Candidates = append(s.Candidates, c)
			if c.State == membership.Alive && !c.Ejected && !c.Excluded && c.Distance <= s.MaxDistance {
				if best < 0 || int(c.Distance) < best {
					best = int(c.Distance)
				}
			}
		}
		decision := routing.Decide(s, zeroRandom{})
		if best < 0 {
			require.Negative(t, decision.Index)
			return
		}
		require.GreaterOrEqual(t, decision.Index, 0)
		c := s.Candidates[decision.Index]
		require.Equal(t, membership.Alive, c.State)
		require.False(t, c.Ejected || c.Excluded)
		require.Equal(t, best, int(c.Distance))
		require.NotEmpty(t, decision.Scores)
		require.NotEmpty(t, decision.Cause)
	})
}

type zeroRandom struct{}

func (zeroRandom) IntN(int) int { return 0 }

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

func TestSubsetIsEvenAndStable(t *testing.T) {
	cases := []struct{ hosts, upstreams, size int }{{8, 100, 10}, {40, 100, 10}, {50, 60, 40}, {3, 7, 2}}
	for _, c := range cases {
		hosts, upstreams := names("h", c.hosts), names("u", c.upstreams)
		perUpstream := make(map[int]int)
		moved := 0
		for _, h := range hosts {
			subset := routing.Subset(h, hosts, upstreams, c.size)
			require.Len(t, subset, c.size)
			for _, u := range subset {
				perUpstream[u]++
			}
			moved += countMissing(subset, routing.Subset(h, append(names("h", c.hosts), "new"), upstreams, c.size))
		}
		even := (c.hosts*c.size + c.upstreams - 1) / c.upstreams
		for _, n := range perUpstream {
			require.LessOrEqual(t, n, even+1, "%v", c)
		}
		t.Logf("%v: %d of %d connections moved when one host was added", c, moved, c.hosts*c.size)
		require.LessOrEqual(t, moved, max(c.hosts*c.size/4, 2*c.size), "%v", c)
	}
}

func countMissing(a, b []int) int {
	in := make(map[int]bool)
	for _, x := range b {
		in[x] = true
	}
	n := 0
	for _, x := range a {
		if !in[x] {
			n++
		}
	}
	return n
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		for _, prefix := range []uint64{0, 7} {
			b.Run(fmt.Sprintf("replicas=%d/prefix=%t", n, prefix != 0), func(b *testing.B) {
				f := newFixture(n)
				req := routing.Request{Doc: f.doc, Tokens: 100, Prefix: prefix}
				b.ReportAllocs()
				for b.Loop() {
					c, err := f.Choose(req)
					if err != nil {
						b.Fatal(err)
					}
					c.Done(routing.Outcome{})
				}
			})
		}
	}
}
