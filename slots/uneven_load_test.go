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

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// A data centre of replicas of uneven speed, of which a sixth is slowed down at any
// time for about 600 ms. Times are those of a replica of normal speed.
const (
	unevenReplicas   = 15
	unevenSlots      = 8
	firstEventWork   = 45 * time.Millisecond
	unevenOnlineWork = 750 * time.Millisecond
	unevenItemWork   = 5 * time.Second
	slowTimes        = 2.5
	slowLength       = 600 * time.Millisecond
	firstEventDue    = 300 * time.Millisecond
	// reportDelay is the longest time until the broker learns of a figure.
	reportDelay = 200 * time.Millisecond
	// longResponse is the time from which on a response counts as long. One on the slowest
	// replica without anything else takes 2.6 s.
	longResponse = 3 * time.Second
)

// unevenReplica is a replica of the model.
type unevenReplica struct {
	base      float64
	slowUntil time.Time
	// cold is the slowness beyond base that wears off with coldWork of work.
	cold     float64
	coldWork time.Duration
	running  int
}

func (r *unevenReplica) slowness(now time.Time) float64 {
	if now.Before(r.slowUntil) {
		return r.base * slowTimes
	}
	return r.base
}

// pace returns how long work takes, with the requests that run beside it.
func (r *unevenReplica) pace(now time.Time) float64 {
	f := r.slowness(now) * (1 + stepGrowth*float64(max(r.running-1, 0)))
	if r.coldWork > 0 {
		f *= 1 + (r.cold-1)*float64(r.running)/unevenSlots
	}
	return f
}

// unevenRun is a request or an item on a replica.
type unevenRun struct {
	on      *unevenReplica
	grant   Grant
	item    *batchItem
	arrived time.Time
	// started is when it was sent, done the work that is done, and firstAt when the first
	// event came.
	started, firstAt time.Time
	done, work       time.Duration
	stopAt           time.Time
}

type delayedReport struct {
	at   time.Time
	id   string
	load replica.Load
}

// unevenModel simulates callers and replicas around a scheduler. Without one it has
// perfect knowledge.
type unevenModel struct {
	s *Scheduler
	// rng draws work and delays, world what is the same whoever decides: arrivals and
	// slow moments.
	rng, world *rand.Rand
	now        time.Time
	replicas   map[string]*unevenReplica
	ids        []string
	runs       []*unevenRun
	waiting    map[*Waiter]time.Time
	reports    []delayedReport
	silent     bool
	// each is called before each step, and rule replaces the pace of replicas; nil
	// does nothing.
	each  func()
	rule  paceRule
	queue []time.Time
	items []*batchItem

	requests, refused, inTime, complete int
	itemsDone, itemsInTime, itemsAll    int
	long                                int
	longest, firsts, ends               time.Duration
}

func newUnevenModel(seed uint64, perfect, silent bool) *unevenModel {
	m := &unevenModel{
		rng: rand.New(rand.NewPCG(seed, 5)), world: rand.New(rand.NewPCG(seed, 6)), now: start, replicas: make(map[string]*unevenReplica),
		waiting: make(map[*Waiter]time.Time), silent: silent,
	}
	for i := range unevenReplicas {
		id := fmt.Sprintf("r%d", i)
		m.replicas[id] = &unevenReplica{base: []float64{0.6, 1, 1.6}[i%3]}
		m.ids = append(m.ids, id)
	}
	if !perfect {
		m.s = newScheduler(unevenReplicas, unevenSlots)
	}
	return m
}

func (m *unevenModel) arrive() {
	m.requests++
	if m.s == nil {
		m.queue = append(m.queue, m.now)
		return
	}
	d := m.s.Acquire(m.now, AcquireArgs{Host: "h", Service: service, MaxWait: objective, FirstEventWithin: firstEventDue})
	switch {
	case d.Grant != nil:
		m.begin(*d.Grant, m.now, nil)
	case d.Waiter != nil:
		m.waiting[d.Waiter] = m.now
	default:
		m.refused++
	}
}

func (m *unevenModel) begin(g Grant, arrived time.Time, it *batchItem) *unevenRun {
	r := &unevenRun{on: m.replicas[g.Replica.ID], grant: g, arrived: arrived, started: m.now, item: it, work: unevenOnlineWork}
	if it != nil {
		r.work = it.remaining
	} else {
		r.work = time.Duration(float64(r.work) * (0.7 + 0.6*m.rng.Float64()))
	}
	r.on.running++
	m.runs = append(m.runs, r)
	return r
}

// advance lets the runs progress by one tick and returns those that have ended.
func (m *unevenModel) advance() (ended []*unevenRun) {
	for _, r := range m.runs {
		r.done += time.Duration(float64(tick) / r.on.pace(m.now))
		if r.firstAt.IsZero() && r.done >= firstEventWork {
			r.firstAt = m.now
			if r.item == nil && m.now.Sub(r.arrived) <= firstEventDue {
				m.inTime++
			}
			m.report(r)
		}
	}
	m.runs = slices.DeleteFunc(m.runs, func(r *unevenRun) bool {
		over := r.done >= r.work || !r.stopAt.IsZero() && !m.now.Before(r.stopAt)
		if over {
			r.on.running--
			r.on.coldWork -= r.done
			ended = append(ended, r)
			if r.item == nil {
				m.complete++
				m.ends += m.now.Sub(r.arrived)
				m.firsts += r.firstAt.Sub(r.arrived)
				m.longest = max(m.longest, m.now.Sub(r.arrived))
				if m.now.Sub(r.arrived) > longResponse {
					m.long++
				}
			}
		}
		return over
	})
	return ended
}

func (m *unevenModel) report(r *unevenRun) {
	if m.s == nil || m.silent {
		return
	}
	load := replica.Load{Running: r.on.running, Slowness: r.on.slowness(m.now), HeadAfter: m.now.Sub(r.started), At: m.now}
	m.reports = append(m.reports, delayedReport{m.now.Add(time.Duration(m.rng.Float64() * float64(reportDelay))), r.grant.Replica.ID, load})
}

func (m *unevenModel) observe(r delayedReport) {
	state := m.s.find(service, r.id)
	if state.Born > r.load.At.UnixMilli() {
		return
	}
	held := state.pace.limited()
	m.s.ObserveLoad(m.now, state.Replica, r.load)
	if held && m.rule != nil {
		m.rule(m.now, state, r.load.HeadAfter.Seconds()/firstEventWork.Seconds()/r.load.Slowness)
	}
}

// applyRule applies the rule to all paces.
func (m *unevenModel) applyRule() {
	m.s.updatePaces(m.now, m.s.pool(service))
	for _, r := range m.s.pool(service).replicas {
		if m.rule != nil && r.pace.limited() {
			m.rule(m.now, r, 0)
		}
	}
}

func (m *unevenModel) end(r *unevenRun) {
	done := r.done >= r.work
	if r.item != nil && !done {
		r.item.remaining = r.work - r.done
		m.items = append(m.items, r.item)
	}
	if r.item != nil && done {
		m.itemsDone++
		if !m.now.After(r.item.due) {
			m.itemsInTime++
		}
	}
	if m.s == nil {
		return
	}
	run := Run{}
	if !r.firstAt.IsZero() {
		events := int((r.done - firstEventWork) / (40 * time.Millisecond))
		run = Run{FirstEvent: r.firstAt.Sub(r.started), Events: events, Duration: m.now.Sub(r.firstAt)}
	}
	outcome := Done
	if !done {
		outcome = Unused
	}
	if !m.silent {
		m.s.ObserveRun(m.now, r.grant.ID, outcome, run)
	}
	m.s.Release(m.now, r.grant.ID, outcome)
}

func (m *unevenModel) step() {
	if m.each != nil {
		m.each()
	}
	for _, id := range m.ids {
		// A sixth of the time is slow.
		r, draw := m.replicas[id], m.world.Float64()
		if !m.now.Before(r.slowUntil) && draw < tick.Seconds()/(5*slowLength.Seconds()) {
			r.slowUntil = m.now.Add(time.Duration(m.world.ExpFloat64() * float64(slowLength)))
		}
	}
	for _, r := range m.advance() {
		m.end(r)
	}
	slices.SortFunc(m.items, func(a, b *batchItem) int { return CompareUrgency(a.due.Sub(m.now), b.due.Sub(m.now)) })
	if m.s == nil {
		m.stepPerfect()
		return
	}
	m.reports = slices.DeleteFunc(m.reports, func(r delayedReport) bool {
		due := !m.now.Before(r.at)
		if due {
			m.observe(r)
		}
		return due
	})
	m.applyRule()
	demand := Demand{Service: service, Items: len(m.items)}
	if len(m.items) > 0 {
		demand.Due = m.items[0].due
	}
	m.s.SetDemand("h", demand)
	m.apply(m.s.Plan(m.now))
	for w, arrived := range m.waiting {
		if m.now.Sub(arrived) > objective {
			delete(m.waiting, w)
			m.s.RemoveWaiter(m.now, w)
			m.refused++
		}
	}
}

func (m *unevenModel) apply(plan Plan) {
	for _, g := range plan.Granted {
		m.begin(g.Grant, m.waiting[g.Waiter], nil)
		delete(m.waiting, g.Waiter)
	}
	for _, g := range plan.Batch {
		m.begin(g, m.now, m.items[0])
		m.items = m.items[1:]
	}
	for _, g := range plan.Revoked {
		for _, r := range m.runs {
			if r.grant.ID == g.ID {
				r.stopAt = m.now.Add(revokeDelay)
			}
		}
	}
}

// stepPerfect starts requests on the fastest replicas of this moment, stops items for
// them at once, and drops those whose first event would be late.
func (m *unevenModel) stepPerfect() {
	ids := slices.Clone(m.ids)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(m.replicas[a].slowness(m.now), m.replicas[b].slowness(m.now))
	})
	m.queue = slices.DeleteFunc(m.queue, func(at time.Time) bool { return m.now.Sub(at) > firstEventDue-firstEventWork/2 })
	for _, id := range ids {
		r := m.replicas[id]
		for len(m.queue) > 0 && (r.running < unevenSlots || m.preempt(r)) {
			m.begin(Grant{Replica: replica.Replica{ID: id}}, m.queue[0], nil)
			m.queue = m.queue[1:]
		}
	}
	slices.Reverse(ids)
	for _, id := range ids {
		for m.replicas[id].running < unevenSlots && len(m.items) > 0 {
			m.begin(Grant{Replica: replica.Replica{ID: id}}, m.now, m.items[0])
			m.items = m.items[1:]
		}
	}
}

func (m *unevenModel) preempt(r *unevenReplica) bool {
	i := slices.IndexFunc(m.runs, func(run *unevenRun) bool { return run.on == r && run.item != nil })
	if i < 0 {
		return false
	}
	run := m.runs[i]
	m.runs = slices.Delete(m.runs, i, i+1)
	r.running--
	run.item.remaining = run.work - run.done
	m.items = append(m.items, run.item)
	return true
}

// play plays bursts of requests and jobs, and the time in which the last items are due.
func (m *unevenModel) play(onlineRate, jobRate float64) *unevenModel {
	for ; m.now.Before(start.Add(runLength + batchDue)); m.now = m.now.Add(tick) {
		at := m.now.Sub(start)
		rate, jobs := 0.383*onlineRate, jobRate
		if at%(lull+peak) >= lull {
			rate = 1.87 * onlineRate
		}
		if at >= runLength {
			rate, jobs = 0, 0
		}
		if m.world.Float64() < rate*tick.Seconds() {
			m.arrive()
		}
		if m.world.Float64() < jobs*tick.Seconds() {
			for range 10 {
				m.itemsAll++
				m.items = append(m.items, &batchItem{due: m.now.Add(batchDue), remaining: unevenItemWork})
			}
		}
		m.step()
	}
	return m
}

func (m *unevenModel) String() string {
	n := time.Duration(max(m.complete, 1))
	return fmt.Sprintf("%d requests, in time %.3f, refused %d, mean first event %d ms, mean end %d ms, longest %d ms, long %d; items in time %.3f of %d", m.requests, m.inTimeFraction(), m.refused,
		(m.firsts / n).Milliseconds(), (m.ends / n).Milliseconds(), m.longest.Milliseconds(), m.long, m.itemsFraction(), m.itemsAll)
}

func (m *unevenModel) inTimeFraction() float64 { return float64(m.inTime) / float64(m.requests) }
func (m *unevenModel) itemsFraction() float64 {
	return float64(m.itemsInTime) / float64(max(m.itemsAll, 1))
}

// unevenResult is the mean over several seeds of what callers get.
type unevenResult struct{ inTime, items, end float64 }

func playUneven(online, jobs float64, perfect, silent bool) unevenResult {
	const seeds = 2
	var sum unevenResult
	for seed := range uint64(seeds) {
		m := newUnevenModel(seed, perfect, silent).play(online, jobs)
		sum.inTime += m.inTimeFraction() / seeds
		sum.items += m.itemsFraction() / seeds
		sum.end += m.ends.Seconds() / float64(max(m.complete, 1)) / seeds
	}
	return sum
}

// Replicas of 0.6, 1.0 and 1.6 of the usual step time, of which a sixth is slowed down:
// what is in time against perfect knowledge, and how long responses take against
// decisions that know nothing of the speeds.
func TestUnevenReplicasServeNearlyAsWithPerfectKnowledge(t *testing.T) {
	for _, load := range []struct{ online, jobs float64 }{{55, 0.75}, {95, 0.75}, {75, 1.5}} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			perfect := playUneven(load.online, load.jobs, true, false)
			with := playUneven(load.online, load.jobs, false, false)
			without := playUneven(load.online, load.jobs, false, true)
			t.Logf("requests in time, items in time, seconds of a response: perfect knowledge %.3f; with reports %.3f; without %.3f", perfect, with, without)
			require.GreaterOrEqual(t, with.inTime, 0.95*perfect.inTime, "requests in time")
			require.GreaterOrEqual(t, with.items, 0.95*perfect.items, "items in time")
			require.GreaterOrEqual(t, with.inTime, without.inTime-0.005)
			require.LessOrEqual(t, with.end, 0.95*without.end, "seconds of a response")
		})
	}
}
