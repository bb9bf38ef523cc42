//go:build !race

package slots

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replicas of the comparison: slots with a queue in order of arrival.
const (
	policyEngines = 6
	policySlots   = 8
	policyQueue   = 24
	policyHosts   = 4
	// countDelay is the age of the request counts that hosts share.
	countDelay = 200 * time.Millisecond
	// batchPerEngine is the number of slots of each engine for batch items
	// where no broker decides.
	batchPerEngine = 2
	// reserveTries bounds the engines that a request tries to reserve a slot
	// on.
	reserveTries = 4
)

// policyRequest is an online request or a batch item on an engine.
type policyRequest struct {
	host        int
	arrived     time.Time
	serviceTime time.Duration
	batch       bool
	end         time.Time
}

// policyEngine is an engine that runs requests in order of arrival.
type policyEngine struct {
	running, queue []*policyRequest
}

func (e *policyEngine) used() int { return len(e.running) + len(e.queue) }

func (e *policyEngine) requestsOf(host int) int {
	n := 0
	for _, list := range [][]*policyRequest{e.running, e.queue} {
		for _, r := range list {
			if r.host == host {
				n++
			}
		}
	}
	return n
}

// policy chooses an engine for an online request; -1 refuses it. The nil policy
// has perfect knowledge: a request waits in a single queue and goes to any slot
// that is free or used by a batch item, which is stopped at once.
type policy func(w *policySimulation, host int) int

// policySimulation runs a policy that sends requests to engines without a
// broker.
type policySimulation struct {
	rng     *rand.Rand
	now     time.Time
	engines []*policyEngine
	// counts holds the shared counts, oldest first.
	counts [][]int
	items  []time.Duration
	// queue holds the requests of the policy with perfect knowledge.
	queue  []*policyRequest
	result policyResult
}

// policyResult is what callers get.
type policyResult struct{ requests, inTime, items, itemsDone int }

func leastLoaded(loads []int, rng *rand.Rand) int {
	least := slices.Min(loads)
	var ties []int
	for i, l := range loads {
		if l == least {
			ties = append(ties, i)
		}
	}
	return ties[rng.IntN(len(ties))]
}

// localCounts chooses the engine with the fewest requests of the host itself.
func localCounts(w *policySimulation, host int) int {
	loads := make([]int, len(w.engines))
	for i, e := range w.engines {
		loads[i] = e.requestsOf(host)
	}
	return leastLoaded(loads, w.rng)
}

// delayedCounts chooses the engine with the fewest requests, of all hosts as
// of countDelay ago and of the host itself now.
func delayedCounts(w *policySimulation, host int) int {
	loads := make([]int, len(w.engines))
	for i, e := range w.engines {
		loads[i] = w.counts[0][i] + e.requestsOf(host)
	}
	return leastLoaded(loads, w.rng)
}

// reservations tries to reserve a slot on one engine after the other,
// beginning with the choice of localCounts.
func reservations(w *policySimulation, host int) int {
	first := localCounts(w, host)
	for i := range reserveTries {
		at := (first + i) % len(w.engines)
		if len(w.engines[at].running) < policySlots {
			return at
		}
	}
	return -1
}

func (w *policySimulation) arrive(choose policy) {
	w.result.requests++
	host := w.rng.IntN(policyHosts)
	serviceTime := time.Duration(float64(onlineServiceTime) * (0.7 + 0.6*w.rng.Float64()))
	if choose == nil {
		w.queue = append(w.queue, &policyRequest{host: host, arrived: w.now, serviceTime: serviceTime})
		return
	}
	at := choose(w, host)
	if at < 0 || w.engines[at].used() >= policySlots+policyQueue {
		return
	}
	w.engines[at].queue = append(w.engines[at].queue, &policyRequest{host: host, arrived: w.now, serviceTime: serviceTime})
}

// step ends what is due, starts queued requests and fills slots with batch
// items.
func (w *policySimulation) step(perfect bool) {
	for _, e := range w.engines {
		e.running = slices.DeleteFunc(e.running, func(r *policyRequest) bool {
			over := !w.now.Before(r.end)
			if over && r.batch {
				w.result.itemsDone++
			}
			return over
		})
		for len(e.queue) > 0 && len(e.running) < policySlots {
			w.admit(e, e.queue[0])
			e.queue = e.queue[1:]
		}
	}
	w.serveQueue()
	counts := make([]int, len(w.engines))
	for i, e := range w.engines {
		w.fillWithBatch(e, perfect)
		counts[i] = e.used()
	}
	w.counts = append(w.counts, counts)
	if len(w.counts) > int(countDelay/tick) {
		w.counts = w.counts[1:]
	}
}

func (w *policySimulation) admit(e *policyEngine, r *policyRequest) {
	r.end = w.now.Add(r.serviceTime)
	e.running = append(e.running, r)
	if w.now.Sub(r.arrived) <= objective {
		w.result.inTime++
	}
}

// serveQueue starts requests from the single queue and drops those that are
// late.
func (w *policySimulation) serveQueue() {
	w.queue = slices.DeleteFunc(w.queue, func(r *policyRequest) bool { return w.now.Sub(r.arrived) > objective })
	for _, e := range w.engines {
		for len(w.queue) > 0 && (len(e.running) < policySlots || w.preempt(e)) {
			w.admit(e, w.queue[0])
			w.queue = w.queue[1:]
		}
	}
}

// preempt stops a batch item and reports whether there was one.
func (w *policySimulation) preempt(e *policyEngine) bool {
	i := slices.IndexFunc(e.running, func(r *policyRequest) bool { return r.batch })
	if i < 0 {
		return false
	}
	w.items = append(w.items, max(e.running[i].end.Sub(w.now), tick))
	e.running = slices.Delete(e.running, i, i+1)
	return true
}

func (w *policySimulation) fillWithBatch(e *policyEngine, perfect bool) {
	most := batchPerEngine
	if perfect {
		most = policySlots
	}
	for batch := e.batchCount(); batch < most && len(e.running) < policySlots && len(w.items) > 0; batch++ {
		e.running = append(e.running, &policyRequest{host: -1, batch: true, end: w.now.Add(w.items[0])})
		w.items = w.items[1:]
	}
}

func (e *policyEngine) batchCount() int {
	n := 0
	for _, r := range e.running {
		if r.batch {
			n++
		}
	}
	return n
}

// simulatePolicy runs the load of simulate without a broker.
func simulatePolicy(seed uint64, choose policy, onlineRate, jobRate float64) policyResult {
	w := &policySimulation{rng: rand.New(rand.NewPCG(seed, 3)), now: start}
	for range policyEngines {
		w.engines = append(w.engines, &policyEngine{})
	}
	w.counts = [][]int{make([]int, policyEngines)}
	for ; w.now.Before(start.Add(runLength)); w.now = w.now.Add(tick) {
		rate := 0.383 * onlineRate
		if w.now.Sub(start)%(lull+peak) >= lull {
			rate = 1.87 * onlineRate
		}
		if w.rng.Float64() < rate*tick.Seconds() {
			w.arrive(choose)
		}
		if w.rng.Float64() < jobRate*tick.Seconds() {
			for range 10 {
				w.items = append(w.items, batchServiceTime)
				w.result.items++
			}
		}
		w.step(choose == nil)
	}
	return w.result
}

// Under the peak load the broker serves more requests in time than policies
// without one, and at most 2 in 100 fewer than perfect knowledge.
func TestBrokerOutperformsPoliciesWithoutBroker(t *testing.T) {
	const seeds = 6
	policies := map[string]policy{
		"local counts": localCounts, "delayed counts": delayedCounts, "reservations": reservations, "perfect knowledge": nil,
	}
	for _, rate := range []float64{32.4, 42} {
		inTime := make(map[string]float64)
		for name, choose := range policies {
			var sum policyResult
			for seed := range uint64(seeds) {
				r := simulatePolicy(seed, choose, rate, 0.404)
				sum.requests, sum.inTime = sum.requests+r.requests, sum.inTime+r.inTime
				sum.items, sum.itemsDone = sum.items+r.items, sum.itemsDone+r.itemsDone
			}
			inTime[name] = float64(sum.inTime) / float64(sum.requests)
			t.Logf("%.0f requests a second, %s: %.3f in time, %.2f of the items done",
				rate, name, inTime[name], float64(sum.itemsDone)/float64(sum.items))
		}
		started, requests := 0, 0
		for seed := range uint64(seeds) {
			l := simulate(seed, rate, 0.404)
			started, requests = started+l.started, requests+l.requests
		}
		broker := float64(started) / float64(requests)
		t.Logf("%.0f requests a second, broker: %.3f in time", rate, broker)
		for _, name := range []string{"local counts", "delayed counts", "reservations"} {
			require.Greater(t, broker, inTime[name], name)
		}
		require.GreaterOrEqual(t, broker, inTime["perfect knowledge"]-0.02)
	}
}
