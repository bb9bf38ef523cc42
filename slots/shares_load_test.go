//go:build !race

package slots

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of shareModel: the peaks of load_test.go from customers of power-law sizes, one
// of which sends several times its usual in two spells.
const (
	shareCustomers = 20
	sizeExponent   = 1.2
	surgeFactor    = 5.5
	surgeLength    = 6 * time.Second
	surgeInterval  = 3 * (lull + peak)
	shareOnline    = 32.4
	shareJobs      = 0.404
	// planInterval is the interval of plans while nothing changes.
	planInterval = 5 * time.Millisecond
)

// shareModel simulates customers and replicas around a scheduler or, if perfect, around
// one queue for all slots that knows how long each request will use its slot.
type shareModel struct {
	s   *Scheduler
	rng *rand.Rand
	now time.Time
	// named reports that requests carry their customers.
	named   bool
	perfect bool
	// slots is the number of slots of the perfect queue.
	slots   int
	surging int
	// changed reports that a request has come or a slot is free since the last plan.
	changed bool
	running map[GrantID]*shareRun
	waiting map[*Waiter]*shareRequest
	items   []*batchItem

	customers [shareCustomers]served
	// surge counts only the spells.
	surge          [shareCustomers]served
	idleWhileWaits int
	used           [shareCustomers]float64
	virtual        float64
	queue          []*shareRequest
	lastID         GrantID
}

// served counts what a customer asked for, what started in time, and what was refused
// later than at once.
type served struct{ asked, inTime, displaced, late int }

type shareRequest struct {
	customer    int
	surge       bool
	startBy     time.Time
	serviceTime time.Duration
	asked       bool
}

type shareRun struct {
	end   time.Time
	item  *batchItem
	grant Grant
}

// sizes holds the part of the load that each customer usually sends.
var sizes = func() (sizes [shareCustomers]float64) {
	sum := 0.0
	for c := range sizes {
		sizes[c] = math.Pow(float64(c+1), -sizeExponent)
		sum += sizes[c]
	}
	for c := range sizes {
		sizes[c] /= sum
	}
	return sizes
}()

func (m *shareModel) args(r *shareRequest) AcquireArgs {
	args := AcquireArgs{Host: "h", Service: service, MaxWait: r.startBy.Sub(m.now)}
	if m.named {
		args.Customer = fmt.Sprint("c", r.customer)
	}
	return args
}

func (m *shareModel) arrive(r *shareRequest) {
	m.changed = true
	if !r.asked {
		r.asked = true
		m.customers[r.customer].asked++
		if r.surge {
			m.surge[r.customer].asked++
		}
	}
	if m.perfect {
		m.queue = append(m.queue, r)
		return
	}
	d := m.s.Acquire(m.now, m.args(r))
	switch {
	case d.Grant != nil:
		m.start(r, *d.Grant)
	case d.Waiter != nil:
		m.waiting[d.Waiter] = r
	}
}

func (m *shareModel) start(r *shareRequest, g Grant) {
	m.customers[r.customer].inTime++
	if r.surge {
		m.surge[r.customer].inTime++
	}
	m.running[g.ID] = &shareRun{end: m.now.Add(r.serviceTime), grant: g}
}

func (m *shareModel) end() {
	for id, r := range m.running {
		if m.now.Before(r.end) {
			continue
		}
		delete(m.running, id)
		m.changed = true
		if !m.perfect {
			m.s.Release(m.now, id, Done)
		}
		if r.item != nil && r.item.remaining > 0 {
			m.items = append(m.items, r.item)
		}
	}
}

func (m *shareModel) step() {
	m.end()
	if !m.changed && m.now.Sub(start)%planInterval != 0 {
		return
	}
	m.changed = false
	if m.perfect {
		m.stepPerfect()
		return
	}
	for w, r := range m.waiting {
		if !m.now.Before(r.startBy) {
			m.s.RemoveWaiter(m.now, w)
			m.customers[r.customer].late++
			delete(m.waiting, w)
		}
	}
	slices.SortFunc(m.items, func(a, b *batchItem) int { return a.due.Compare(b.due) })
	demand := Demand{Service: service, Items: len(m.items)}
	if len(m.items) > 0 {
		demand.Due = m.items[0].due
	}
	m.s.SetDemand("h", demand)
	plan := m.s.Plan(m.now)
	for _, p := range plan.Granted {
		m.start(m.waiting[p.Waiter], p.Grant)
		delete(m.waiting, p.Waiter)
	}
	for _, w := range plan.Refused {
		m.customers[m.waiting[w].customer].displaced++
		delete(m.waiting, w)
	}
	for _, g := range plan.Batch {
		it := m.items[0]
		m.items = m.items[1:]
		m.running[g.ID] = &shareRun{end: m.now.Add(it.remaining), item: it, grant: g}
		it.remaining = 0
	}
	for _, g := range plan.Revoked {
		if r := m.running[g.ID]; r != nil && r.item != nil {
			r.item.remaining = max(r.end.Sub(m.now), tick)
			r.end = m.now.Add(revokeDelay)
		}
	}
	for _, r := range m.s.pool(service).replicas {
		if len(m.s.pool(service).queue) > 0 && r.available(m.now) {
			m.idleWhileWaits++
		}
	}
}

// stepPerfect starts the request of the customer that has used least, for all free slots
// and those of batch items, which stop at once; they take no part here.
func (m *shareModel) stepPerfect() {
	m.queue = slices.DeleteFunc(m.queue, func(r *shareRequest) bool { return !m.now.Before(r.startBy) })
	for len(m.queue) > 0 && len(m.running) < m.slots {
		at := 0
		tag := func(r *shareRequest) float64 { return max(m.virtual, m.used[r.customer]) }
		for i, r := range m.queue {
			if tag(r) < tag(m.queue[at]) {
				at = i
			}
		}
		r := m.queue[at]
		m.queue = slices.Delete(m.queue, at, at+1)
		m.virtual = tag(r)
		m.used[r.customer] = m.virtual + r.serviceTime.Seconds()
		m.lastID++
		m.start(r, Grant{ID: m.lastID})
	}
}

// replaceBroker starts a broker that knows only what the hosts say that they use. Requests
// that waited ask it again.
func (m *shareModel) replaceBroker(seed uint64) {
	m.s = NewScheduler(rand.New(rand.NewPCG(seed, 9)))
	m.s.SetReplicas(replicasOf(6, 8))
	var grants []Grant
	for _, r := range m.running {
		grants = append(grants, r.grant)
	}
	slices.SortFunc(grants, func(a, b Grant) int { return a.Since.Compare(b.Since) })
	m.s.Sync(m.now, "h", grants, nil, false)
	var again []*shareRequest
	for _, r := range m.waiting {
		again = append(again, r)
	}
	clear(m.waiting)
	slices.SortFunc(again, func(a, b *shareRequest) int { return a.startBy.Compare(b.startBy) })
	for _, r := range again {
		m.arrive(r)
	}
}

// rates returns the requests a second of each customer at a time.
func (m *shareModel) rates(at time.Duration) (rates [shareCustomers]float64, surge bool) {
	rate := 0.383 * shareOnline
	if at%(lull+peak) >= lull {
		rate = 1.87 * shareOnline
	}
	surge = at >= lull && (at-lull)%surgeInterval < surgeLength
	for c := range shareCustomers {
		rates[c] = rate * sizes[c]
		if surge && c == m.surging {
			rates[c] *= surgeFactor
		}
	}
	return rates, surge
}

// draw returns the customer that sends a request in this tick, or -1.
func (m *shareModel) draw(rates [shareCustomers]float64) int {
	at := m.rng.Float64() / tick.Seconds()
	for c, rate := range rates {
		if at -= rate; at < 0 {
			return c
		}
	}
	return -1
}

type shareOptions struct {
	named, perfect, replaced bool
}

func simulateShares(seed uint64, o shareOptions) *shareModel {
	m := &shareModel{
		s: newScheduler(6, 8), rng: rand.New(rand.NewPCG(seed, 7)), now: start, named: o.named, perfect: o.perfect, slots: 6 * 8, surging: int(seed % 5),
		running: make(map[GrantID]*shareRun), waiting: make(map[*Waiter]*shareRequest),
	}
	for ; m.now.Before(start.Add(runLength)); m.now = m.now.Add(tick) {
		at := m.now.Sub(start)
		rates, surge := m.rates(at)
		if c := m.draw(rates); c >= 0 {
			serviceTime := time.Duration(float64(onlineServiceTime) * (0.7 + 0.6*m.rng.Float64()))
			m.arrive(&shareRequest{customer: c, surge: surge, startBy: m.now.Add(objective), serviceTime: serviceTime})
		}
		if m.rng.Float64() < shareJobs*tick.Seconds() && !o.perfect {
			for range 10 {
				m.items = append(m.items, &batchItem{due: m.now.Add(batchDue), remaining: batchServiceTime})
			}
		}
		if o.replaced && at == lull+peak/2 {
			m.replaceBroker(seed)
		}
		m.step()
	}
	return m
}

// fairness describes what the customers got.
type fairness struct {
	all, others, worst, jain, surging float64
}

func fairnessOf(counts *[shareCustomers]served, surging int) fairness {
	var f fairness
	asked, inTime, othersAsked, othersInTime := 0, 0, 0, 0
	var ratios []float64
	for c, n := range counts {
		asked, inTime = asked+n.asked, inTime+n.inTime
		if n.asked == 0 {
			continue
		}
		ratio := float64(n.inTime) / float64(n.asked)
		ratios = append(ratios, ratio)
		if c == surging {
			f.surging = ratio
			continue
		}
		othersAsked, othersInTime = othersAsked+n.asked, othersInTime+n.inTime
	}
	sum, squares := 0.0, 0.0
	for _, r := range ratios {
		sum, squares = sum+r, squares+r*r
	}
	slices.Sort(ratios)
	f.all, f.others = float64(inTime)/float64(asked), float64(othersInTime)/float64(othersAsked)
	f.worst = (ratios[0] + ratios[1]) / 2
	f.jain = sum * sum / (float64(len(ratios)) * squares)
	return f
}

// sharesOfSeeds runs the load with 20 seeds and returns the mean over the spells, after
// check for each seed.
func sharesOfSeeds(t *testing.T, o shareOptions, check func(seed uint64, m *shareModel)) fairness {
	var mean fairness
	for seed := range uint64(20) {
		m := simulateShares(seed, o)
		f := fairnessOf(&m.surge, m.surging)
		mean.all, mean.others, mean.worst = mean.all+f.all/20, mean.others+f.others/20, mean.worst+f.worst/20
		mean.jain, mean.surging = mean.jain+f.jain/20, mean.surging+f.surging/20
		if check != nil {
			check(seed, m)
		}
	}
	if t != nil {
		t.Logf("%+v: %+v", o, mean)
	}
	return mean
}

// perfectShares is what a queue with perfect knowledge serves: the mean, and the fairness
// in the spells of each seed.
var perfectShares = sync.OnceValues(func() (fairness, map[uint64]fairness) {
	bySeed := make(map[uint64]fairness)
	mean := sharesOfSeeds(nil, shareOptions{perfect: true}, func(seed uint64, m *shareModel) { bySeed[seed] = fairnessOf(&m.surge, m.surging) })
	return mean, bySeed
})

// requireFair checks what holds for each seed: the other customers get nearly what perfect
// knowledge serves, none is served less than 0.8 as often as all, and no slot stays free
// while a request waits.
func requireFair(t *testing.T, perfect map[uint64]fairness) func(seed uint64, m *shareModel) {
	return func(seed uint64, m *shareModel) {
		f := fairnessOf(&m.customers, m.surging)
		require.GreaterOrEqual(t, fairnessOf(&m.surge, m.surging).others, perfect[seed].others-0.05, "seed %d: requests of the other customers in time in the spells", seed)
		require.GreaterOrEqual(t, f.jain, 0.99, "seed %d: Jain's index of served by asked", seed)
		require.Zero(t, m.idleWhileWaits, "seed %d: free slots while requests wait", seed)
		for c, n := range m.customers {
			if n.asked > 0 {
				require.GreaterOrEqual(t, float64(n.inTime)/float64(n.asked), 0.8*f.all, "seed %d: customer %d served as often as all", seed, c)
			}
		}
	}
}

// Guards against a customer that takes the slots and the queue of all others in a surge,
// and against an order that costs slots or is far from what perfect knowledge serves.
func TestSurgeOfOneCustomerLeavesOthersTheirShares(t *testing.T) {
	t.Parallel()
	before := sharesOfSeeds(t, shareOptions{}, nil)
	perfect, bySeed := perfectShares()
	t.Logf("perfect knowledge: %+v", perfect)
	shared := sharesOfSeeds(t, shareOptions{named: true}, requireFair(t, bySeed))
	require.Less(t, before.worst, 0.8, "the load must show the fault without shares")
	require.GreaterOrEqual(t, shared.others, 0.95)
	require.GreaterOrEqual(t, shared.all, perfect.all-0.05)
	require.GreaterOrEqual(t, shared.others, perfect.others-0.05)
	require.GreaterOrEqual(t, shared.worst, perfect.worst-0.05)
	require.GreaterOrEqual(t, shared.surging, perfect.surging-0.05)
}

// Guards against shares that a broker takes with it when it is replaced in the middle of
// a surge, and against debts of that moment that shut a customer out afterwards.
func TestSharesOutliveBroker(t *testing.T) {
	t.Parallel()
	perfect, bySeed := perfectShares()
	t.Logf("perfect knowledge: %+v", perfect)
	replaced := sharesOfSeeds(t, shareOptions{named: true, replaced: true}, requireFair(t, bySeed))
	require.GreaterOrEqual(t, replaced.others, 0.95)
	require.GreaterOrEqual(t, replaced.all, perfect.all-0.05)
	require.GreaterOrEqual(t, replaced.worst, perfect.worst-0.05)
	require.GreaterOrEqual(t, replaced.surging, perfect.surging-0.05)
}
