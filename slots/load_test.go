package slots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The peak load of one data centre: 6 replicas with 8 slots, requests that use
// one for 0.6 s and come in bursts, and batch items of 4.7 s due in 18 s.
const (
	onlineServiceTime = 600 * time.Millisecond
	batchServiceTime  = 4700 * time.Millisecond
	batchDue          = 18 * time.Second
	lull, peak        = 3400 * time.Millisecond, 2400 * time.Millisecond
	objective         = 240 * time.Millisecond
	runLength         = 34 * time.Second
	tick              = time.Millisecond
	// revokeDelay is the time until a revoked slot is free.
	revokeDelay = 4 * time.Millisecond
)

// loadModel simulates callers and replicas around a scheduler.
type loadModel struct {
	s   *Scheduler
	rng *rand.Rand
	now time.Time
	// active holds the grants in use with the time at which they end.
	active map[GrantID]*activeRun
	// items wait for a slot. A stopped item keeps its progress.
	items []*batchItem

	requests, started, refused int
	onTime, finished           int
	// batchRuns counts the grants for batch items.
	batchRuns int
	// onDecision is called with each decision on a request; nil has no effect.
	onDecision func(Decision)
}

type activeRun struct {
	end  time.Time
	item *batchItem
}

type batchItem struct {
	due       time.Time
	remaining time.Duration
}

func (l *loadModel) arrive() {
	l.requests++
	d := l.s.Acquire(l.now, AcquireArgs{Host: "h", Service: service, MaxWait: objective})
	if l.onDecision != nil {
		l.onDecision(d)
	}
	switch {
	case d.Grant != nil:
		l.startOnline(*d.Grant)
	case d.Waiter == nil:
		l.refused++
	}
}

func (l *loadModel) startOnline(g Grant) {
	l.started++
	serviceTime := time.Duration(float64(onlineServiceTime) * (0.7 + 0.6*l.rng.Float64()))
	l.active[g.ID] = &activeRun{end: l.now.Add(serviceTime)}
}

// step ends what is due and applies one plan.
func (l *loadModel) step() {
	for id, r := range l.active {
		if l.now.Before(r.end) {
			continue
		}
		delete(l.active, id)
		l.s.Release(l.now, id, Done)
		if r.item != nil && r.item.remaining <= 0 {
			l.finished++
			if !l.now.After(r.item.due) {
				l.onTime++
			}
		} else if r.item != nil {
			l.items = append(l.items, r.item)
		}
	}
	slices.SortFunc(l.items, func(a, b *batchItem) int { return a.due.Compare(b.due) })
	demand := Demand{Service: service, Items: len(l.items)}
	if len(l.items) > 0 {
		demand.Due = l.items[0].due
	}
	l.s.SetDemand("h", demand)
	plan := l.s.Plan(l.now)
	for _, p := range plan.Granted {
		l.startOnline(p.Grant)
	}
	for _, g := range plan.Batch {
		it := l.items[0]
		l.items = l.items[1:]
		l.batchRuns++
		l.active[g.ID] = &activeRun{end: l.now.Add(it.remaining), item: it}
		it.remaining = 0
	}
	for _, g := range plan.Revoked {
		if r := l.active[g.ID]; r != nil && r.item != nil {
			r.item.remaining = max(r.end.Sub(l.now), tick)
			r.end = l.now.Add(revokeDelay)
		}
	}
}

// simulate runs the load with the given mean rates per second.
func simulate(seed uint64, onlineRate, jobRate float64) *loadModel {
	l := &loadModel{s: newScheduler(6, 8), rng: rand.New(rand.NewPCG(seed, 3)), now: start, active: make(map[GrantID]*activeRun)}
	l.run(onlineRate, jobRate)
	return l
}

// run plays the bursts of requests and the jobs, and then the time in which the last
// items are due.
func (l *loadModel) run(onlineRate, jobRate float64) {
	for ; l.now.Before(start.Add(runLength + batchDue)); l.now = l.now.Add(tick) {
		at := l.now.Sub(start)
		rate := 0.383 * onlineRate
		if at%(lull+peak) >= lull {
			rate = 1.87 * onlineRate
		}
		if at >= runLength {
			rate = 0
		}
		if l.rng.Float64() < rate*tick.Seconds() {
			l.arrive()
		}
		if at < runLength && l.rng.Float64() < jobRate*tick.Seconds() {
			for range 10 {
				l.items = append(l.items, &batchItem{due: l.now.Add(batchDue), remaining: batchServiceTime})
			}
		}
		l.step()
	}
}

// Under the peak load batch items use the lulls and are revoked in the bursts,
// and both kinds of work are served. The bounds hold for each seed.
func TestPeakLoadServesOnlineAndBatch(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			l := simulate(seed, 32.4, 0.404)
			require.GreaterOrEqual(t, float64(l.started)/float64(l.requests), 0.97, "online requests that start in time")
			require.GreaterOrEqual(t, float64(l.onTime)/float64(l.finished+len(l.items)), 0.95, "batch items done when due")
			require.LessOrEqual(t, float64(l.batchRuns)/float64(l.finished), 3.0, "runs of an item: one in each lull until it is due")
		})
	}
}
