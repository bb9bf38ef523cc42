package slots

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of a heavy day in one data centre: 6 replicas of 8 places, requests
// that hold one for 0.6 s and come in peaks, batch items of 4.7 s due in 18 s.
const (
	onlineHold = 600 * time.Millisecond
	batchHold  = 4700 * time.Millisecond
	batchDue   = 18 * time.Second
	lull, peak = 3400 * time.Millisecond, 2400 * time.Millisecond
	objective  = 240 * time.Millisecond
	dayLength  = 34 * time.Second
	tick       = time.Millisecond
	// leaveTime is what it takes until a revoked place is free.
	leaveTime = 4 * time.Millisecond
)

// load is a model of callers and engines around a scheduler.
type load struct {
	s   *Scheduler
	rng *rand.Rand
	now time.Time
	// ends are the running grants with the time at which they are over.
	ends map[GrantID]*run
	// items wait for a place; progress is kept when they leave.
	items []*batchItem

	asked, started, refused int
	onTime, finished        int
	// runs counts the places that batch items were given.
	runs int
}

type run struct {
	at   time.Time
	item *batchItem
}

type batchItem struct {
	due  time.Time
	left time.Duration
}

func (l *load) online() {
	l.asked++
	d := l.s.Acquire(l.now, AcquireArgs{Host: "h", Service: service, MaxWait: objective})
	switch {
	case d.Grant != nil:
		l.begin(*d.Grant)
	case d.Waiter == nil:
		l.refused++
	}
}

func (l *load) begin(g Grant) {
	l.started++
	hold := time.Duration(float64(onlineHold) * (0.7 + 0.6*l.rng.Float64()))
	l.ends[g.ID] = &run{at: l.now.Add(hold)}
}

// step carries out a plan and ends what is over.
func (l *load) step() {
	for id, r := range l.ends {
		if l.now.Before(r.at) {
			continue
		}
		delete(l.ends, id)
		l.s.Release(l.now, id, Done)
		if r.item != nil && r.item.left <= 0 {
			l.finished++
			if !l.now.After(r.item.due) {
				l.onTime++
			}
		} else if r.item != nil {
			l.items = append(l.items, r.item)
		}
	}
	slices.SortFunc(l.items, func(a, b *batchItem) int { return a.due.Compare(b.due) })
	want := Demand{Service: service, Items: len(l.items)}
	if len(l.items) > 0 {
		want.Due = l.items[0].due
	}
	l.s.SetDemand("h", want)
	plan := l.s.Plan(l.now)
	for _, p := range plan.Granted {
		l.begin(p.Grant)
	}
	for _, g := range plan.Batch {
		it := l.items[0]
		l.items = l.items[1:]
		l.runs++
		l.ends[g.ID] = &run{at: l.now.Add(it.left), item: it}
		it.left = 0
	}
	for _, g := range plan.Revoked {
		if r := l.ends[g.ID]; r != nil && r.item != nil {
			r.item.left = max(r.at.Sub(l.now), tick)
			r.at = l.now.Add(leaveTime)
		}
	}
}

// play runs a day with the given mean rates a second.
func play(seed uint64, onlineRate, jobRate float64) *load {
	l := &load{s: newScheduler(6, 8), rng: rand.New(rand.NewPCG(seed, 3)), now: start, ends: make(map[GrantID]*run)}
	for ; l.now.Before(start.Add(dayLength + batchDue)); l.now = l.now.Add(tick) {
		at := l.now.Sub(start)
		rate := 0.383 * onlineRate
		if at%(lull+peak) >= lull {
			rate = 1.87 * onlineRate
		}
		if at >= dayLength {
			rate = 0
		}
		if l.rng.Float64() < rate*tick.Seconds() {
			l.online()
		}
		if at < dayLength && l.rng.Float64() < jobRate*tick.Seconds() {
			for range 10 {
				l.items = append(l.items, &batchItem{due: l.now.Add(batchDue), left: batchHold})
			}
		}
		l.step()
	}
	return l
}

// On the heaviest day of the busiest data centre batch items fill the lulls,
// leave in the peaks, and both kinds are served. The bounds hold for each seed.
func TestHeavyDayIsSharedBetweenKinds(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			l := play(seed, 32.4, 0.404)
			require.GreaterOrEqual(t, float64(l.started)/float64(l.asked), 0.97, "online requests that start in time")
			require.GreaterOrEqual(t, float64(l.onTime)/float64(l.finished+len(l.items)), 0.95, "batch items that are done when due")
			require.LessOrEqual(t, float64(l.runs)/float64(l.finished), 3.0, "runs of an item: one in each lull of its time")
		})
	}
}
