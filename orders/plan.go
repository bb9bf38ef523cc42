// Package orders sends orders to engines: which model, version and adapter to
// load. For each service and data centre, one issuer holds a lease with a fencing
// number and sends the wanted state; see docs/design/orders.md.
package orders

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Target is the wanted state of one engine.
type Target struct {
	Model   string
	Version string
	Adapter string
}

// matches reports whether an engine's state is the wanted one.
func (t Target) matches(s upstream.OrderState) bool {
	return s.Model == t.Model && s.Version == t.Version && s.Adapter == t.Adapter
}

// Sample holds what was measured of engines in one state.
type Sample struct {
	Requests int64
	Errors   int64
	// TokenInterval is the mean time between tokens; zero means not known.
	TokenInterval time.Duration
	// Engines is the number of engines that TokenInterval averages over.
	Engines int
}

// add combines two samples.
func (s Sample) add(o Sample) Sample {
	n := s.Engines + o.Engines
	if n > 0 {
		sum := s.TokenInterval*time.Duration(s.Engines) + o.TokenInterval*time.Duration(o.Engines)
		s.TokenInterval = sum / time.Duration(n)
	}
	s.Requests += o.Requests
	s.Errors += o.Errors
	s.Engines = n
	return s
}

func (s Sample) errorRate() float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.Errors) / float64(s.Requests)
}

// Engine is what the issuer knows about one engine in its data centre.
type Engine struct {
	Name string
	// Reachable means that State was read in this round.
	Reachable bool
	State     upstream.OrderState
	// Since is when the engine was first seen serving its state; zero if it
	// already served it when first observed.
	Since  time.Time
	Sample Sample
}

func (e *Engine) serving() bool { return e.Reachable && !e.State.Loading }

// Step is one order to send.
type Step struct {
	Engine string
	Target Target
}

// Plan lists the orders to send now, and says why there are no more.
type Plan struct {
	Steps []Step
	// Left is the number of reachable engines that are not yet in the wanted
	// state.
	Left int
	// Stopped means that the rollout stopped because the new state is worse.
	Stopped bool
	// Reason says why the remaining orders are held back.
	Reason string
}

// Targets returns the wanted state of every engine of a service. It depends on
// the document alone, so that all issuers agree for one generation. Engines are
// ranked for each model by rendezvous hashing. Models with a number of replicas
// are assigned first; the others share the remaining engines.
func Targets(doc *service.Document) map[string]Target {
	out := make(map[string]Target, len(doc.Upstreams))
	var unsized []*service.Model
	for i := range doc.Models {
		m := &doc.Models[i]
		if m.Replicas == 0 {
			unsized = append(unsized, m)
			continue
		}
		for _, name := range rankEngines(doc, m, out)[:min(m.Replicas, len(doc.Upstreams)-len(out))] {
			out[name] = targetOf(m)
		}
	}
	for i, m := range unsized {
		free := rankEngines(doc, m, out)
		share := (len(free) + len(unsized) - i - 1) / (len(unsized) - i)
		for _, name := range free[:share] {
			out[name] = targetOf(m)
		}
	}
	return out
}

func targetOf(m *service.Model) Target {
	return Target{Model: m.Name, Version: m.Version, Adapter: m.Adapter}
}

// rankEngines returns the engines without a target, the best for the model first.
func rankEngines(doc *service.Document, m *service.Model, assigned map[string]Target) []string {
	var names []string
	for i := range doc.Upstreams {
		if _, ok := assigned[doc.Upstreams[i].Name]; !ok {
			names = append(names, doc.Upstreams[i].Name)
		}
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + m.Name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return names
}

// PlanOrders returns the orders to send now to the engines of one data centre.
// It has no side effects.
func PlanOrders(o service.Orders, targets map[string]Target, engines []Engine, now time.Time) Plan {
	var pending []Engine
	serving, loading := 0, 0
	for _, e := range engines {
		target, ok := targets[e.Name]
		switch {
		case e.serving():
			serving++
		case e.Reachable:
			loading++
		}
		if ok && e.Reachable && !target.matches(e.State) {
			pending = append(pending, e)
		}
	}
	plan := Plan{Left: len(pending)}
	if reason := regressionReason(o, targets, engines); reason != "" {
		plan.Stopped, plan.Reason = true, reason
		return plan
	}
	if wait := remainingSoak(o, targets, engines, now); wait > 0 {
		plan.Reason = fmt.Sprintf("engines in the new state serve for %s more first", wait)
		return plan
	}
	return plan.addSteps(o, targets, pending, serving, loading, len(engines))
}

// addSteps adds orders as far as the floor and the limit of concurrent loads allow.
func (p Plan) addSteps(o service.Orders, targets map[string]Target, pending []Engine, serving, loading, total int) Plan {
	floor := int(math.Ceil(o.Floor * float64(total)))
	// Engines that don't serve cost no capacity, so they come first.
	slices.SortStableFunc(pending, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(boolInt(a.serving()), boolInt(b.serving())), cmp.Compare(a.Name, b.Name))
	})
	for _, e := range pending {
		cost := boolInt(e.serving())
		switch {
		case loading+1 > o.ConcurrentLoads && cost == 1:
			p.Reason = "as many loads as allowed are running"
			return p
		case serving-cost < floor && cost == 1:
			p.Reason = fmt.Sprintf("%d of %d engines serve, and %d have to", serving, total, floor)
			return p
		}
		serving -= cost
		loading += cost
		p.Steps = append(p.Steps, Step{Engine: e.Name, Target: targets[e.Name]})
	}
	return p
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// remainingSoak returns how much longer the engines that last reached the wanted
// state have to serve before the next orders are sent.
func remainingSoak(o service.Orders, targets map[string]Target, engines []Engine, now time.Time) time.Duration {
	var wait time.Duration
	for i := range engines {
		e := &engines[i]
		if target, ok := targets[e.Name]; ok && e.serving() && target.matches(e.State) && !e.Since.IsZero() {
			wait = max(wait, e.Since.Add(o.Soak).Sub(now))
		}
	}
	return wait
}

// regressionReason compares the engines in the wanted state with the others of
// the same model. It returns the reason to stop the rollout, or "".
func regressionReason(o service.Orders, targets map[string]Target, engines []Engine) string {
	type states struct{ wanted, other Sample }
	byModel := make(map[string]states)
	for i := range engines {
		e := &engines[i]
		target, ok := targets[e.Name]
		if !ok || !e.serving() {
			continue
		}
		s := byModel[target.Model]
		if target.matches(e.State) {
			s.wanted = s.wanted.add(e.Sample)
		} else {
			s.other = s.other.add(e.Sample)
		}
		byModel[target.Model] = s
	}
	for model, s := range byModel {
		if reason := compareSamples(o, s.wanted, s.other); reason != "" {
			return model + ": " + reason
		}
	}
	return ""
}

// compareSamples returns why the new state is worse than the old one, or "".
// Errors count once both states have served enough requests.
func compareSamples(o service.Orders, next, old Sample) string {
	if old.Requests >= int64(o.MinRequests) && next.Requests >= int64(o.MinRequests) &&
		next.errorRate() > old.errorRate()+o.MaxErrorIncrease {
		return fmt.Sprintf("errors rose from %.3f to %.3f", old.errorRate(), next.errorRate())
	}
	limit := time.Duration(float64(old.TokenInterval) * o.MaxLatencyRatio)
	if old.TokenInterval > 0 && next.TokenInterval > limit {
		return fmt.Sprintf("time between tokens rose from %s to %s", old.TokenInterval, next.TokenInterval)
	}
	return ""
}
