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

// fixture is one balancer over a document, with its parts in hand.
type fixture struct {
	*routing.LoadAware
	clock *modelClock
	view  *membership.LocalUpstreams
	doc   *service.Document
	cross bool
}

func newFixture(engines int) *fixture {
	f := &fixture{clock: newModelClock(), view: membership.NewLocalUpstreams(), doc: modelDocument(engines)}
	f.LoadAware = f.host("h0")
	return f
}

// host returns another host's balancer over the same view of upstreams.
func (f *fixture) host(name string) *routing.LoadAware {
	return routing.NewLoadAware(routing.Options{
		DataCentre: "dc", Region: "r", Clock: f.clock, Seed: 1, Upstreams: f.view,
		Hosts:       membership.NewStatic(membership.Host{Name: name, DataCentre: "dc"}),
		CrossRegion: func(*service.Document) bool { return f.cross },
	})
}

// chosen counts the choices of n asks, each ended with the outcome.
func chosen(t *testing.T, b routing.Balancer, n int, ask routing.Request, outcome func(name string) routing.Outcome) map[string]int {
	counts := make(map[string]int)
	for range n {
		c, err := b.Choose(ask)
		require.NoError(t, err)
		counts[c.Upstream.Name]++
		c.Done(outcome(c.Upstream.Name))
	}
	return counts
}

func succeeds(string) routing.Outcome { return routing.Outcome{} }

var errUpstream = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "failed")

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const leaver = "u2"
	key := membership.UpstreamKey{Service: "s", Name: leaver}
	signs := map[string]func(f *fixture){
		"the platform's list": func(f *fixture) { f.view.Report(key, membership.Leaving, "list") },
		"a peer's word that it is gone": func(f *fixture) {
			f.view.Report(key, membership.Gone, "peer")
		},
		"its own report": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaver})
			require.NoError(t, err)
			c.Observe(&upstream.Load{At: f.clock.now, Leaving: true})
			c.Done(routing.Outcome{})
		},
		"a report on an answer that ended": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaver})
			require.NoError(t, err)
			c.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now, Leaving: true}})
		},
		"its refusal": func(f *fixture) {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaver})
			require.NoError(t, err)
			c.Done(routing.Outcome{Err: errUpstream, Leaving: true})
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			f := newFixture(4)
			other := f.host("h1")
			ask := routing.Request{Doc: f.doc, Tokens: 10}
			require.Positive(t, chosen(t, f, 200, ask, succeeds)[leaver])
			early, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: leaver})
			require.NoError(t, err)
			sign(f)
			// Old news: an earlier reading on a late answer, and the list.
			early.Done(routing.Outcome{Load: &upstream.Load{At: f.clock.now.Add(-time.Second)}})
			f.view.Report(key, membership.Alive, "late list")
			for _, b := range []routing.Balancer{f, other} {
				require.Zero(t, chosen(t, b, 200, ask, succeeds)[leaver])
				_, err := b.Choose(routing.Request{Doc: f.doc, UpstreamName: leaver})
				require.Equal(t, verdict.NotRun, verdict.Of(err))
			}
			f.clock.now = f.clock.now.Add(time.Hour)
			require.Zero(t, chosen(t, f, 200, ask, succeeds)[leaver])
		})
	}
}

// fail ends n tries on each named upstream with a failure.
func (f *fixture) fail(t *testing.T, n int, names ...string) {
	for _, name := range names {
		for range n {
			c, err := f.Choose(routing.Request{Doc: f.doc, UpstreamName: name})
			require.NoError(t, err)
			c.Done(routing.Outcome{Err: errUpstream})
		}
	}
}

func (f *fixture) ejected() int {
	n := 0
	for _, s := range f.Statuses() {
		if s.Ejected {
			n++
		}
	}
	return n
}

func TestEjection(t *testing.T) {
	f := newFixture(10)
	ask := routing.Request{Doc: f.doc, Tokens: 10}
	f.fail(t, 4, "u0", "u1")
	require.Zero(t, f.ejected())
	f.fail(t, 1, "u0", "u1")
	require.Equal(t, 2, f.ejected())
	counts := chosen(t, f, 100, ask, succeeds)
	require.Zero(t, counts["u0"]+counts["u1"])

	f.fail(t, 5, names("u", 10)...)
	require.Equal(t, 3, f.ejected(), "three tenths of ten")

	f.clock.now = f.clock.now.Add(time.Minute)
	require.Zero(t, f.ejected(), "an ejection ends")
}

// TestFailedUpstreamIsTriedAgain: in a quiet service a failure must not keep
// an upstream from work for good.
func TestFailedUpstreamIsTriedAgain(t *testing.T) {
	f := newFixture(3)
	ask := routing.Request{Doc: f.doc, Tokens: 10}
	f.fail(t, 1, "u0")
	require.Zero(t, chosen(t, f, 100, ask, succeeds)["u0"])
	f.clock.now = f.clock.now.Add(time.Minute)
	require.Positive(t, chosen(t, f, 100, ask, succeeds)["u0"])
}

func TestEjectionBacksOffAndIgnoresCallers(t *testing.T) {
	now := time.Unix(0, 0)
	h := routing.Health{}
	var spans []time.Duration
	for range 3 {
		for !h.Ejected(now) {
			h = h.AfterTry(true, true, now, 0)
		}
		spans = append(spans, h.EjectedUntil.Sub(now))
		now = h.EjectedUntil
	}
	require.Equal(t, []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}, spans)
	require.Zero(t, h.AfterTry(false, true, now, 0).Ejections)

	f := newFixture(4)
	gone := verdict.Wrap(context.Canceled, verdict.MayHaveRun, verdict.CodeIncomplete, "caller gone")
	chosen(t, f, 200, routing.Request{Doc: f.doc}, func(string) routing.Outcome { return routing.Outcome{Err: gone} })
	for _, s := range f.Statuses() {
		require.Zero(t, s.Failures)
	}
}

func TestSlowStartAndNewDocument(t *testing.T) {
	f := newFixture(4)
	hold := func(n int) map[string]int {
		counts := make(map[string]int)
		var open []*routing.Choice
		for range n {
			c, err := f.Choose(routing.Request{Doc: f.doc, Tokens: 10})
			require.NoError(t, err)
			counts[c.Upstream.Name]++
			open = append(open, c)
		}
		for _, c := range open {
			c.Done(routing.Outcome{})
		}
		return counts
	}
	hold(100)
	grown := modelDocument(5)
	grown.Generation = 1
	old := f.doc
	f.doc = grown
	require.InDelta(t, 5, hold(200)["u4"], 4, "a tenth of an even share of 50")
	f.clock.now = f.clock.now.Add(5 * time.Second)
	require.InDelta(t, 22, hold(200)["u4"], 6, "half of an even share")
	f.clock.now = f.clock.now.Add(5 * time.Second)
	require.InDelta(t, 40, hold(200)["u4"], 4)
	f.doc = old
	require.Positive(t, hold(200)["u4"], "an older generation changes nothing")
}

func TestNearestFirst(t *testing.T) {
	f := newFixture(4)
	f.doc.Routing.Scope = service.ScopeAny
	for i, place := range []struct{ dc, region string }{{"dc", "r"}, {"dc2", "r"}, {"dc2", "r"}, {"dc3", "far"}} {
		f.doc.Upstreams[i].DataCentre, f.doc.Upstreams[i].Region = place.dc, place.region
	}
	ask := routing.Request{Doc: f.doc}
	leave := func(name string) {
		f.view.Report(membership.UpstreamKey{Service: "s", Name: name}, membership.Leaving, "test")
	}
	require.Equal(t, map[string]int{"u0": 50}, chosen(t, f, 50, ask, succeeds))
	leave("u0")
	require.Len(t, chosen(t, f, 50, ask, succeeds), 2)
	leave("u1")
	leave("u2")
	_, err := f.Choose(ask)
	require.Equal(t, verdict.NotRun, verdict.Of(err), "no allotment")
	f.cross = true
	require.Equal(t, map[string]int{"u3": 50}, chosen(t, f, 50, ask, succeeds))
	narrow := *f.doc
	narrow.Routing.Scope = service.ScopeRegion
	narrow.Generation = 1
	_, err = f.Choose(routing.Request{Doc: &narrow})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestActivityCountsBatchApart(t *testing.T) {
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

// TestDecideProperties holds for every snapshot: the choice is eligible, there
// is one whenever an upstream is eligible, and no nearer one was passed over.
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
		plan := routing.Decide(s, zeroSource{})
		if best < 0 {
			require.Negative(t, plan.Index)
			return
		}
		require.GreaterOrEqual(t, plan.Index, 0)
		c := s.Candidates[plan.Index]
		require.Equal(t, membership.Alive, c.State)
		require.False(t, c.Ejected || c.Excluded)
		require.Equal(t, best, int(c.Distance))
		require.NotEmpty(t, plan.Scores)
		require.NotEmpty(t, plan.Cause)
	})
}

type zeroSource struct{}

func (zeroSource) IntN(int) int { return 0 }

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
			moved += missing(subset, routing.Subset(h, append(names("h", c.hosts), "new"), upstreams, c.size))
		}
		even := (c.hosts*c.size + c.upstreams - 1) / c.upstreams
		for _, n := range perUpstream {
			require.LessOrEqual(t, n, even+1, "%v", c)
		}
		t.Logf("%v: %d of %d connections moved by one more host", c, moved, c.hosts*c.size)
		require.LessOrEqual(t, moved, max(c.hosts*c.size/4, 2*c.size), "%v", c)
	}
}

func missing(a, b []int) int {
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
				ask := routing.Request{Doc: f.doc, Tokens: 100, Prefix: prefix}
				b.ReportAllocs()
				for b.Loop() {
					c, err := f.Choose(ask)
					if err != nil {
						b.Fatal(err)
					}
					c.Done(routing.Outcome{})
				}
			})
		}
	}
}
