package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// model is a discrete-event simulation of hosts, replicas and callers that use
// State. Each host has a state of its own and receives the crashes that other
// hosts observe after a delay.
type model struct {
	rng          *rand.Rand
	now          time.Duration
	queue        events
	policy       policy
	states       []*State
	activeTrials []int
	replicas     []*replica
	result       result
	horizon      time.Duration
}

// policy says which defences the hosts of a model use.
type policy struct {
	name           string
	trackSuspects  bool
	clearCompleted bool
	maxAttempts    int
	// isolateWhenDegraded runs each suspect alone while many replicas have failed
	// recently.
	isolateWhenDegraded bool
	replicas            int
}

type result struct {
	crashes int
	refused int
	failed  int
	trials  int
	latency []time.Duration
}

type replica struct {
	name     string
	running  map[*request]struct{}
	down     bool
	failed   bool
	failedAt time.Duration
	reserved *request
}

type request struct {
	id          int
	f           Fingerprint
	crashing    bool
	submittedAt time.Duration
	attempts    int
	host        int
	duration    time.Duration
	epoch       int
	replica     *replica
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	modelHosts        = 3
	modelSlots        = 16
	modelRestartDelay = 2 * time.Second
	modelCrashDelay   = 50 * time.Millisecond
	modelNoticeDelay  = 5 * time.Millisecond
	// modelSharedRequests is the number of harmless requests that many callers
	// send.
	modelSharedRequests  = 20
	modelResendDelay     = 500 * time.Millisecond
	modelArrivalInterval = 48 * time.Millisecond // between harmless arrivals, for each replica
	modelService         = "s"
)

func (m *model) schedule(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now + d, do}) }

func (m *model) time() time.Time { return time.Unix(1000, 0).Add(m.now) }

// submit sends a caller's request to a random host.
func (m *model) submit(c *request) {
	c.attempts, c.host = 0, m.rng.IntN(modelHosts)
	m.attempt(c)
}

func (m *model) attempt(c *request) {
	decision, _ := m.states[c.host].Decide(modelService, c.f, m.time(), m.policy.isolateWhenDegraded && m.manyFailedRecently())
	if decision == Run && m.policy.isolateWhenDegraded && c.attempts >= aloneThreshold {
		decision = RunAlone // a host runs a request alone after two failed attempts
	}
	switch decision {
	case Refuse:
		m.answerError(c, &m.result.refused)
	case RunAlone:
		m.runAlone(c)
	default:
		m.dispatch(c)
	}
}

// manyFailedRecently reports whether many replicas failed within failureWindow,
// including those that have restarted.
func (m *model) manyFailedRecently() bool {
	n := 0
	for _, r := range m.replicas {
		if r.failed && m.now-r.failedAt < failureWindow {
			n++
		}
	}
	return float64(n) > maxFailedFraction*float64(len(m.replicas))
}

// manyDown reports whether many replicas are down now.
func (m *model) manyDown() bool {
	down := 0
	for _, r := range m.replicas {
		if r.down {
			down++
		}
	}
	return float64(down) > maxFailedFraction*float64(len(m.replicas))
}

// dispatch sends a request to the replica with the fewest requests, or retries
// later if no replica has a free slot.
func (m *model) dispatch(c *request) {
	var best *replica
	for _, r := range m.replicas {
		if r.down || r.reserved != nil || len(r.running) >= modelSlots {
			continue
		}
		if best == nil || len(r.running) < len(best.running) {
			best = r
		}
	}
	if best == nil {
		m.schedule(5*time.Millisecond, func() { m.dispatch(c) })
		return
	}
	m.start(c, best)
}

// runAlone reserves a replica, waits until it is idle, and runs the request there.
func (m *model) runAlone(c *request) {
	var best *replica
	reserved := 0
	for _, r := range m.replicas {
		if r.reserved != nil {
			reserved++
		} else if !r.down && (best == nil || len(r.running) < len(best.running)) {
			best = r
		}
	}
	if best == nil || m.policy.isolateWhenDegraded && m.manyDown() || m.activeTrials[c.host] > 0 || reserved >= len(m.replicas)/2 {
		m.schedule(5*time.Millisecond, func() { m.attempt(c) })
		return
	}
	best.reserved = c
	m.activeTrials[c.host]++
	m.result.trials++
	m.whenFree(c, best, m.now+drainTimeout)
}

// whenFree starts a request when its reserved replica is idle, or at the time
// until.
func (m *model) whenFree(c *request, r *replica, until time.Duration) {
	if r.down {
		r.reserved = nil
		m.activeTrials[c.host]--
		m.attempt(c)
		return
	}
	if len(r.running) > 0 && m.now < until {
		m.schedule(5*time.Millisecond, func() { m.whenFree(c, r, until) })
		return
	}
	m.start(c, r)
}

func (m *model) start(c *request, r *replica) {
	c.replica = r
	c.attempts++
	c.epoch++
	epoch := c.epoch
	r.running[c] = struct{}{}
	if c.crashing {
		m.schedule(modelCrashDelay, func() {
			if c.epoch == epoch {
				m.crash(r)
			}
		})
		return
	}
	m.schedule(c.duration, func() {
		if c.epoch == epoch {
			m.finish(c)
		}
	})
}

func (m *model) finish(c *request) {
	m.removeRunning(c)
	m.result.latency = append(m.result.latency, m.now-c.submittedAt)
	if m.policy.clearCompleted && m.states[c.host].Clear(modelService, c.f) {
		m.schedule(modelNoticeDelay, func() {
			for _, s := range m.states {
				s.Clear(modelService, c.f)
			}
		})
	}
}

func (m *model) removeRunning(c *request) {
	c.epoch++
	delete(c.replica.running, c)
	if c.replica.reserved == c {
		c.replica.reserved = nil
		m.activeTrials[c.host]--
	}
}

// crash fails a replica. Each host records a crash with its own requests there.
func (m *model) crash(r *replica) {
	m.result.crashes++
	r.down, r.failed, r.failedAt = true, true, m.now
	m.schedule(modelRestartDelay, func() { r.down = false })
	failedRequests := make([]*request, 0, len(r.running))
	for c := range r.running {
		failedRequests = append(failedRequests, c)
	}
	slices.SortFunc(failedRequests, func(a, b *request) int { return a.id - b.id })
	for host := range m.states {
		m.implicate(host, r, failedRequests)
	}
	for _, c := range failedRequests {
		m.removeRunning(c)
		m.schedule(2*modelNoticeDelay, func() { m.retry(c) })
	}
}

func (m *model) implicate(host int, r *replica, failedRequests []*request) {
	crash := Crash{Service: modelService, Upstream: r.name, At: m.time()}
	for _, c := range failedRequests {
		if c.host != host {
			continue
		}
		crash.Suspects = append(crash.Suspects, c.f)
		if r.reserved == c {
			crash.Trial = c.f
		}
	}
	if !m.policy.trackSuspects || len(crash.Suspects) == 0 {
		return
	}
	found, ok := m.states[host].RecordCrash(crash, time.Hour)
	crash.Trial = 0
	m.schedule(modelNoticeDelay, func() {
		for other, s := range m.states {
			if other == host {
				continue
			}
			s.RecordCrash(crash, time.Hour)
			if ok {
				s.Confirm(modelService, found)
			}
		}
	})
}

func (m *model) retry(c *request) {
	if c.attempts < m.policy.maxAttempts {
		m.attempt(c)
		return
	}
	m.answerError(c, &m.result.failed)
}

// answerError answers with an error; the caller sends the request again later.
func (m *model) answerError(c *request, count *int) {
	if !c.crashing {
		*count++
	}
	m.schedule(modelResendDelay, func() { m.submit(c) })
}

func (m *model) arrive(f Fingerprint) {
	if m.now > m.horizon-10*time.Second {
		return
	}
	fingerprint := f
	if m.rng.IntN(10) == 0 {
		fingerprint = Fingerprint(100 + m.rng.IntN(modelSharedRequests))
	}
	m.submit(&request{id: int(f), f: fingerprint, submittedAt: m.now, duration: time.Duration(100+m.rng.IntN(200)) * time.Millisecond})
	m.schedule(modelArrivalInterval/time.Duration(m.policy.replicas), func() { m.arrive(f + 1) })
}

func runModel(p policy, crashing int, seed uint64) result {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, horizon: 30 * time.Second, activeTrials: make([]int, modelHosts)}
	for range modelHosts {
		m.states = append(m.states, NewState())
	}
	for i := range p.replicas {
		m.replicas = append(m.replicas, &replica{name: fmt.Sprint("r", i), running: make(map[*request]struct{})})
	}
	m.arrive(1000)
	for k := range crashing {
		m.schedule(2*time.Second+time.Duration(k)*20*time.Millisecond, func() {
			m.submit(&request{id: k, f: Fingerprint(1 + k), crashing: true, submittedAt: m.now})
		})
	}
	for len(m.queue) > 0 {
		next := heap.Pop(&m.queue).(event)
		if next.at > m.horizon {
			break
		}
		m.now = next.at
		next.do()
	}
	return m.result
}

func (r *result) p99Latency() time.Duration {
	slices.Sort(r.latency)
	if len(r.latency) == 0 {
		return 0
	}
	return r.latency[len(r.latency)*99/100]
}

// Targets: at most 3 replicas fail for each request that crashes them, no
// harmless request is refused or fails, and the p99 latency of harmless requests
// stays below 2x that without crashing requests. The alternative policies are
// only printed for comparison, with go test -v.
func TestReplicaFailuresPerCrashingRequest(t *testing.T) {
	production := policy{name: "current policy", trackSuspects: true, clearCompleted: true, isolateWhenDegraded: true, maxAttempts: 3}
	alternatives := []policy{
		{name: "no defence", maxAttempts: 1000},
		{name: "limit on retries", maxAttempts: 3},
		{name: "never cleared", trackSuspects: true, isolateWhenDegraded: true, maxAttempts: 3},
		{name: "no isolation", trackSuspects: true, clearCompleted: true, maxAttempts: 3},
	}
	rows := []struct {
		replicas, crashing int
		seeds              uint64
	}{{18, 1, 1}, {18, 3, 2}, {18, 10, 4}, {60, 10, 1}}
	for _, row := range rows {
		for seed := range row.seeds {
			production.replicas = row.replicas
			baseline := runModel(production, 0, seed)
			baselineP99 := baseline.p99Latency()
			r := runModel(production, row.crashing, seed)
			report := func(name string, r *result) {
				t.Logf("%d replicas, %2d requests, seed %d, %-16s failures per request %5.1f, harmless failed %4d, trials %3d, p99 %4d ms (baseline %d ms)",
					row.replicas, row.crashing, seed, name, float64(r.crashes)/float64(row.crashing), r.failed, r.trials, r.p99Latency().Milliseconds(), baselineP99.Milliseconds())
			}
			report(production.name, &r)
			assert.LessOrEqual(t, r.crashes, 3*row.crashing)
			assert.Zero(t, r.refused)
			assert.Zero(t, r.failed)
			assert.Less(t, r.p99Latency(), 2*baselineP99)
			assert.Len(t, r.latency, len(baseline.latency))
			if seed > 0 || !testing.Verbose() {
				continue
			}
			for _, p := range alternatives {
				p.replicas = row.replicas
				other := runModel(p, row.crashing, seed)
				report(p.name, &other)
			}
		}
	}
}
