//go:build !race

package slots

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of itemModel: the online load of load_test.go with jobs of customers beside it.
// The items of jobs take about two thirds of what requests leave.
const (
	smallJobRate   = 0.28
	smallJobItems  = 10
	largeJobItems  = 130
	largeJobAt     = 4 * time.Second
	overloadFactor = 3
)

// itemModel simulates jobs of customers beside online requests around a scheduler.
type itemModel struct {
	loadModel
	o       itemOptions
	waiting []*customerItem
	runs    map[GrantID]*customerItem
	all     []*customerItem
	// idle counts the plans after which items wait while they may use a free slot.
	idle int
}

type itemOptions struct {
	// named reports that hosts state the customers of items, large that one customer
	// submits a large job, and classes that every other customer has a lower priority.
	named, large, classes bool
	// rate is the number of small jobs a second, and items that of the items of one.
	rate  float64
	items int
}

type customerItem struct {
	// number is its place in the order of submission, and customer its customer's number.
	number    int
	customer  int
	share     Share
	due       time.Time
	remaining time.Duration
	inTime    bool
}

func (m *itemModel) submit(customer, items int) {
	share := Share{Customer: fmt.Sprint("c", customer)}
	if m.o.classes {
		share.CustomerPriority = customer % 2
	}
	for range items {
		it := &customerItem{number: len(m.all), customer: customer, share: share, due: m.now.Add(batchDue), remaining: batchServiceTime}
		m.waiting, m.all = append(m.waiting, it), append(m.all, it)
	}
}

// left returns the time left by which hosts order items, as jobs.usefulTimeLeft does.
func (m *itemModel) left(it *customerItem) time.Duration {
	left := it.due.Sub(m.now)
	if slack := left - it.remaining - it.remaining/4 - 300*time.Millisecond; slack < 0 {
		return slack
	}
	return left
}

func (m *itemModel) demand() Demand {
	d := Demand{Service: service, Items: len(m.waiting)}
	for i, it := range m.waiting {
		due := m.now.Add(m.left(it))
		if i == 0 {
			d.Due = due
		}
		if !m.o.named {
			continue
		}
		at := slices.IndexFunc(d.Shares, func(s ShareDemand) bool { return s.Share == it.share })
		if at < 0 {
			at = len(d.Shares)
			d.Shares = append(d.Shares, ShareDemand{Share: it.share, Due: due})
		}
		d.Shares[at].Items++
	}
	return d
}

// take removes and returns the most urgent waiting item for a grant, as hosts do.
func (m *itemModel) take(g Grant) *customerItem {
	at := slices.IndexFunc(m.waiting, func(it *customerItem) bool { return g.Share == (Share{}) || it.share == g.Share })
	it := m.waiting[at]
	m.waiting = slices.Delete(m.waiting, at, at+1)
	return it
}

func (m *itemModel) end() {
	var ended []GrantID
	for id, r := range m.active {
		if !m.now.Before(r.end) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		outcome := Done
		if it := m.runs[id]; it != nil && it.remaining > 0 {
			m.waiting = append(m.waiting, it)
			outcome = Unused
		} else if it != nil {
			it.inTime = !m.now.After(it.due)
		}
		delete(m.active, id)
		delete(m.runs, id)
		m.s.Release(m.now, id, outcome)
	}
}

func (m *itemModel) step() {
	m.end()
	if m.now.Sub(start)%(5*time.Millisecond) != 0 {
		return
	}
	slices.SortFunc(m.waiting, func(a, b *customerItem) int {
		return cmp.Or(CompareUrgency(m.left(a), m.left(b)), cmp.Compare(a.number, b.number))
	})
	m.s.SetDemand("h", m.demand())
	plan := m.s.Plan(m.now)
	for _, p := range plan.Granted {
		m.startOnline(p.Grant)
	}
	for _, g := range plan.Batch {
		it := m.take(g)
		m.active[g.ID], m.runs[g.ID] = &activeRun{end: m.now.Add(it.remaining)}, it
		it.remaining = 0
	}
	for _, g := range plan.Revoked {
		if it := m.runs[g.ID]; it != nil {
			it.remaining = max(m.active[g.ID].end.Sub(m.now), tick)
			m.active[g.ID].end = m.now.Add(revokeDelay)
		}
	}
	p := m.s.pool(service)
	if len(m.waiting) > 0 && len(p.queue) == 0 && m.now.Sub(p.lastRevokedAt) >= revokeCooldown {
		for _, r := range p.replicas {
			if r.used < p.batchLimit(m.now, r) {
				m.idle++
			}
		}
	}
}

// simulateItems plays requests and jobs, and then the time until the last item is due.
func simulateItems(seed uint64, o itemOptions) *itemModel {
	m := &itemModel{loadModel: loadModel{s: newScheduler(6, 8), rng: rand.New(rand.NewPCG(seed, 3)), now: start, active: make(map[GrantID]*activeRun)}, o: o, runs: make(map[GrantID]*customerItem)}
	jobs := rand.New(rand.NewPCG(seed, 5))
	for ; m.now.Before(start.Add(runLength + batchDue)); m.now = m.now.Add(tick) {
		at := m.now.Sub(start)
		rate := 0.383 * 32.4
		if at%(lull+peak) >= lull {
			rate = 1.87 * 32.4
		}
		if m.rng.Float64() < rate*tick.Seconds() {
			m.arrive()
		}
		if at < runLength && jobs.Float64() < o.rate*tick.Seconds() {
			m.submit(jobs.IntN(shareCustomers), o.items)
		}
		if o.large && at == largeJobAt {
			m.submit(shareCustomers, largeJobItems)
		}
		m.step()
	}
	return m
}

// itemCount counts items and those of them that are done when due.
type itemCount struct{ asked, inTime int }

func (c *itemCount) add(other itemCount) {
	c.asked, c.inTime = c.asked+other.asked, c.inTime+other.inTime
}

// fraction returns the fraction in time, 1 without any items.
func (c itemCount) fraction() float64 {
	if c.asked == 0 {
		return 1
	}
	return float64(c.inTime) / float64(c.asked)
}

// count counts the chosen items.
func (m *itemModel) count(of func(*customerItem) bool) itemCount {
	var c itemCount
	for _, it := range m.all {
		if of(it) {
			c.asked++
			if it.inTime {
				c.inTime++
			}
		}
	}
	return c
}

func anyItem(*customerItem) bool { return true }

var (
	largeCustomer = fmt.Sprint("c", shareCustomers)
	// smallItem chooses the items of small jobs that come within batchDue/2 after the large one.
	smallItem = func(it *customerItem) bool {
		after := it.due.Sub(start.Add(batchDue + largeJobAt))
		return it.share.Customer != largeCustomer && after >= 0 && after < batchDue/2
	}
)

// Guards against one customer's large job that delays the small jobs of all others, and
// against shares that leave slots free or cost work: the others get nearly what they get
// without the large job, and as much is done in time as by due times alone.
func TestLargeJobLeavesOthersTheirShares(t *testing.T) {
	t.Parallel()
	var byDue, byShare, alone, allByDue, allByShare itemCount
	var requestsByDue, requestsByShare itemCount
	for seed := range uint64(20) {
		o := itemOptions{large: true, rate: smallJobRate, items: smallJobItems}
		before := simulateItems(seed, o)
		o.named = true
		m := simulateItems(seed, o)
		o.large = false
		without := simulateItems(seed, o)
		small, smallAlone := m.count(smallItem), without.count(smallItem)
		t.Logf("seed %d: small jobs %+v by due time, %+v by shares, %+v without the large one; all %+v, %+v", seed,
			before.count(smallItem), small, smallAlone, before.count(anyItem), m.count(anyItem))
		require.GreaterOrEqual(t, small.fraction(), smallAlone.fraction()-0.15, "seed %d: items of small jobs in time", seed)
		require.Zero(t, m.idle, "seed %d: free slots while items wait", seed)
		byDue.add(before.count(smallItem))
		byShare.add(small)
		alone.add(smallAlone)
		allByDue.add(before.count(anyItem))
		allByShare.add(m.count(anyItem))
		requestsByDue.add(itemCount{before.requests, before.started})
		requestsByShare.add(itemCount{m.requests, m.started})
	}
	t.Logf("small jobs %.3f by due time, %.3f by shares, %.3f without the large one; all %.3f, %.3f; requests %.3f, %.3f",
		byDue.fraction(), byShare.fraction(), alone.fraction(), allByDue.fraction(), allByShare.fraction(), requestsByDue.fraction(), requestsByShare.fraction())
	require.Less(t, byDue.fraction(), 0.8, "the load must show the fault without shares")
	require.GreaterOrEqual(t, byShare.fraction(), alone.fraction()-0.05)
	require.GreaterOrEqual(t, allByShare.fraction(), allByDue.fraction()-0.05)
	require.GreaterOrEqual(t, requestsByShare.fraction(), requestsByDue.fraction()-0.01)
}

// Guards against a more urgent class that is served less than a less urgent one while
// there isn't room for both.
func TestMoreUrgentItemsAreServedFirst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		m := simulateItems(seed, itemOptions{named: true, classes: true, rate: overloadFactor * smallJobRate, items: smallJobItems})
		urgent := m.count(func(it *customerItem) bool { return it.share.CustomerPriority == 0 })
		other := m.count(func(it *customerItem) bool { return it.share.CustomerPriority == 1 })
		t.Logf("seed %d: in time %.3f of the more urgent class, %.3f of the other", seed, urgent.fraction(), other.fraction())
		require.GreaterOrEqual(t, urgent.fraction(), other.fraction(), "seed %d", seed)
	}
}

// Guards against items of equal priorities that don't degrade together: in an overload by
// customers with equal loads, two halves of them are in time about as often.
func TestEqualItemsDegradeTogether(t *testing.T) {
	t.Parallel()
	var halves [2]itemCount
	for seed := range uint64(20) {
		m := simulateItems(seed, itemOptions{named: true, rate: overloadFactor * smallJobRate, items: smallJobItems})
		var of [2]itemCount
		for half := range of {
			of[half] = m.count(func(it *customerItem) bool { return it.customer%2 == half })
			halves[half].add(of[half])
		}
		t.Logf("seed %d: in time %.3f and %.3f", seed, of[0].fraction(), of[1].fraction())
		require.InDelta(t, of[0].fraction(), of[1].fraction(), 0.35, "seed %d", seed)
	}
	t.Logf("in time %.3f and %.3f", halves[0].fraction(), halves[1].fraction())
	require.Less(t, halves[0].fraction(), 0.95, "the load must be too high")
	require.InDelta(t, halves[0].fraction(), halves[1].fraction(), 0.05)
}
