package orders

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/creasty/defaults"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func settings(t testing.TB) service.Orders {
	var o service.Orders
	require.NoError(t, defaults.Set(&o))
	o.Enabled = true
	return o
}

func document(models []service.Model, engines int) *service.Document {
	doc := &service.Document{Name: "s", Kind: service.KindEngine, Models: models}
	for i := range engines {
		doc.Upstreams = append(doc.Upstreams, service.Upstream{Name: fmt.Sprintf("e%02d", i), DataCentre: "a"})
	}
	return doc
}

func state(version string, loading bool) upstream.OrderState {
	return upstream.OrderState{Order: upstream.Order{Model: "m", Version: version}, Loading: loading}
}

func TestTargets(t *testing.T) {
	rows := []struct {
		name   string
		models []service.Model
		want   map[string]int
	}{
		{"one model on all", []service.Model{{Name: "m"}}, map[string]int{"m": 10}},
		{"a number and the rest", []service.Model{{Name: "m", Replicas: 3}, {Name: "n"}}, map[string]int{"m": 3, "n": 7}},
		{"two share the rest", []service.Model{{Name: "m"}, {Name: "n"}, {Name: "o", Replicas: 1}}, map[string]int{"m": 5, "n": 4, "o": 1}},
		{"more wanted than there are", []service.Model{{Name: "m", Replicas: 8}, {Name: "n", Replicas: 8}}, map[string]int{"m": 8, "n": 2}},
		{"none left over", []service.Model{{Name: "m", Replicas: 4}}, map[string]int{"m": 4}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := make(map[string]int)
			for _, target := range Targets(document(row.models, 10)) {
				got[target.Model]++
			}
			require.Equal(t, row.want, got)
		})
	}
}

// TestNewEngineMovesFewTargets adds an engine. The other engines keep their models,
// except at most one.
func TestNewEngineMovesFewTargets(t *testing.T) {
	models := []service.Model{{Name: "m", Replicas: 4}, {Name: "n"}}
	before, after := Targets(document(models, 10)), Targets(document(models, 11))
	moved := 0
	for name, target := range before {
		if after[name] != target {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 1)
}

func TestPlanLimits(t *testing.T) {
	serving := func(n int, version string) (out []Engine) {
		for range n {
			out = append(out, Engine{Reachable: true, State: state(version, false)})
		}
		return out
	}
	loading := Engine{Reachable: true, State: state("2", true)}
	unreachable := Engine{}
	rows := []struct {
		name    string
		engines []Engine
		floor   float64
		loads   int
		want    int
	}{
		{"nothing to do", serving(4, "2"), 0.5, 2, 0},
		{"as many loads as allowed", serving(10, "1"), 0.5, 2, 2},
		{"a load is running", append(serving(9, "1"), loading), 0.5, 2, 1},
		{"all loads are running", append(serving(8, "1"), loading, loading), 0.5, 2, 0},
		{"the floor leaves one", serving(4, "1"), 0.75, 4, 1},
		{"the floor leaves none", serving(4, "1"), 0.8, 4, 0},
		{"an unreachable engine counts against the floor", append(serving(3, "1"), unreachable), 0.75, 4, 0},
		{"an unreachable engine gets no order", []Engine{unreachable, unreachable}, 0, 4, 0},
		{"an engine that loads the wrong state gets an order", []Engine{{Reachable: true, State: state("1", true)}}, 1, 1, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			o := settings(t)
			o.Floor, o.ConcurrentLoads = row.floor, row.loads
			targets := make(map[string]Target)
			for i := range row.engines {
				row.engines[i].Name = fmt.Sprint(i)
				targets[fmt.Sprint(i)] = Target{Model: "m", Version: "2"}
			}
			require.Len(t, PlanOrders(o, targets, row.engines, start).Steps, row.want)
		})
	}
}

func TestSoakDelaysNextOrders(t *testing.T) {
	o := settings(t)
	targets := map[string]Target{"a": {Model: "m", Version: "2"}, "b": {Model: "m", Version: "2"}}
	engines := []Engine{
		{Name: "a", Reachable: true, State: state("2", false), Since: start},
		{Name: "b", Reachable: true, State: state("1", false)},
	}
	o.Floor = 0
	require.Empty(t, PlanOrders(o, targets, engines, start.Add(o.Soak-1)).Steps)
	require.Len(t, PlanOrders(o, targets, engines, start.Add(o.Soak)).Steps, 1)
}

func TestCompareSamples(t *testing.T) {
	ms := time.Millisecond
	rows := []struct {
		name  string
		next  Sample
		old   Sample
		worse bool
	}{
		{"same", Sample{1000, 10, 20 * ms, 1}, Sample{1000, 10, 20 * ms, 1}, false},
		{"more errors", Sample{1000, 30, 20 * ms, 1}, Sample{1000, 10, 20 * ms, 1}, true},
		{"errors within the limit", Sample{1000, 19, 20 * ms, 1}, Sample{1000, 10, 20 * ms, 1}, false},
		{"too few requests to tell", Sample{50, 50, 0, 0}, Sample{1000, 10, 0, 0}, false},
		{"slower", Sample{0, 0, 26 * ms, 1}, Sample{0, 0, 20 * ms, 1}, true},
		{"slower within the limit", Sample{0, 0, 24 * ms, 1}, Sample{0, 0, 20 * ms, 1}, false},
		{"nothing known", Sample{}, Sample{}, false},
		{"no old state left", Sample{1000, 900, 90 * ms, 1}, Sample{}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Equal(t, row.worse, compareSamples(settings(t), row.next, row.old) != "")
		})
	}
}

// fleetModel applies plans to simulated engines.
type fleetModel struct {
	o        service.Orders
	targets  map[string]Target
	engines  []Engine
	loadedAt map[string]time.Time
	now      time.Time
}

func newFleetModel(o service.Orders, n int) *fleetModel {
	f := &fleetModel{o: o, targets: make(map[string]Target), loadedAt: make(map[string]time.Time), now: start}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		f.engines = append(f.engines, Engine{Name: name, Reachable: true, State: state("1", false)})
		f.targets[name] = Target{Model: "m", Version: "2"}
	}
	return f
}

// round advances the clock by one interval and applies the plan; a load takes a
// minute.
func (f *fleetModel) round() Plan {
	f.now = f.now.Add(roundInterval)
	for i := range f.engines {
		e := &f.engines[i]
		if e.State.Loading && !f.now.Before(f.loadedAt[e.Name]) {
			e.State.Loading, e.Since = false, f.now
		}
	}
	p := PlanOrders(f.o, f.targets, f.engines, f.now)
	for _, s := range p.Steps {
		for i := range f.engines {
			if f.engines[i].Name == s.Engine {
				f.engines[i].State = state(s.Target.Version, true)
				f.loadedAt[s.Engine] = f.now.Add(time.Minute)
			}
		}
	}
	return p
}

func (f *fleetModel) count(match func(e *Engine) bool) (n int) {
	for i := range f.engines {
		if match(&f.engines[i]) {
			n++
		}
	}
	return n
}

// TestRolloutKeepsLimits rolls a version out to fleets of random sizes while
// engines become unreachable and return. Concurrent loads and serving capacity stay
// within the limits, and in the end every engine serves the new version.
func TestRolloutKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := settings(t)
		o.ConcurrentLoads = rapid.IntRange(1, 4).Draw(rt, "loads")
		o.Floor = rapid.Float64Range(0, 0.9).Draw(rt, "floor")
		n := rapid.IntRange(10, 30).Draw(rt, "engines")
		f := newFleetModel(o, n)
		floor := int(math.Ceil(o.Floor * float64(n)))
		for range 40 {
			if rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
				e := &f.engines[rapid.IntRange(0, n-1).Draw(rt, "engine")]
				e.Reachable = !e.Reachable
			}
			before := f.count(func(e *Engine) bool { return e.serving() })
			p := f.round()
			require.LessOrEqual(rt, f.count(func(e *Engine) bool { return e.Reachable && e.State.Loading }), o.ConcurrentLoads+n-before)
			after := f.count(func(e *Engine) bool { return e.serving() })
			if len(p.Steps) > 0 {
				require.True(rt, after >= floor || after >= before, "%d serve after orders, floor %d", after, floor)
			}
		}
		for i := range f.engines {
			f.engines[i].Reachable = true
		}
		for range 40 * n {
			f.round()
		}
		require.Equal(rt, n, f.count(func(e *Engine) bool { return e.serving() && e.State.Version == "2" }))
	})
}

// TestRolloutStopsWhenNewVersionIsWorse checks that a worse version reaches no more
// engines than may load at once.
func TestRolloutStopsWhenNewVersionIsWorse(t *testing.T) {
	rows := []struct {
		name  string
		worse Sample
		stops bool
	}{
		{"errors", Sample{Requests: 1000, Errors: 200, TokenInterval: 20 * time.Millisecond, Engines: 1}, true},
		{"latency", Sample{Requests: 1000, TokenInterval: 40 * time.Millisecond, Engines: 1}, true},
		{"as good", Sample{Requests: 1000, TokenInterval: 20 * time.Millisecond, Engines: 1}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleetModel(settings(t), 12)
			stopped := false
			for range 600 {
				for i := range f.engines {
					f.engines[i].Sample = Sample{Requests: 1000, TokenInterval: 20 * time.Millisecond, Engines: 1}
					if f.engines[i].State.Version == "2" {
						f.engines[i].Sample = row.worse
					}
				}
				stopped = f.round().Stopped || stopped
			}
			require.Equal(t, row.stops, stopped)
			got := f.count(func(e *Engine) bool { return e.State.Version == "2" })
			if row.stops {
				require.LessOrEqual(t, got, f.o.ConcurrentLoads)
			} else {
				require.Equal(t, 12, got)
			}
		})
	}
}
