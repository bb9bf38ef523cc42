package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of a run, besides its length.
const (
	startLimit = 20 * time.Second
	// healedLimit is how long after the last fault hosts may need until they
	// serve, and jobsLimit until all accepted jobs are done.
	healedLimit = 12 * time.Second
	jobsLimit   = 30 * time.Second
	// calmRequests are made at each host after the faults, of which minCalm must
	// be served.
	calmRequests = 20
	minCalm      = 19
)

// Report is what a run showed.
type Report struct {
	Seed           uint64
	Plan           []Fault
	Violations     []string
	Served, Failed int
	// Resumed and NotResumed count the streams that callers tried to resume.
	Resumed, NotResumed int
	Jobs                int
	// Crashes counts the replicas that crashed under requests of callers.
	Crashes int
	// Harmed counts the faults of replicas' responses and connections.
	Harmed int
	// VersionsChecked counts the answers that had to fit the configuration in force.
	VersionsChecked int
	// WentOn counts the runs that were asked to go on after an event.
	WentOn int
	// Customers says what was seen of customers.
	Customers string
}

// String describes the report with its plan.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d served, %d not, %d resumed, %d not, %d jobs, %s, %d violations\n", r.Seed, r.Served, r.Failed, r.Resumed, r.NotResumed, r.Jobs, r.Customers, len(r.Violations))
	for _, f := range r.Plan {
		text += f.String() + "\n"
	}
	for _, v := range r.Violations {
		text += "BROKEN " + v + "\n"
	}
	return text
}

// Run plays the plan of a seed on a world and checks the promises during it and
// after it.
func Run(ctx context.Context, w *World, seed uint64, length time.Duration) (*Report, error) {
	ledger := NewLedger()
	if err := w.Start(startLimit); err != nil {
		return nil, err
	}
	r := &Report{Seed: seed}
	calm := !w.suffers(plannedFaults) && !w.suffers(silentConnections) && !w.suffers(upgrade)
	r.Plan = w.plan(ledger, seed, length)
	c := &callers{world: w, ledger: ledger, seed: seed}
	reading, stop := context.WithCancel(ctx)
	defer stop()
	submitting, stopSubmitting := context.WithCancel(reading)
	defer stopSubmitting()
	var pressed sync.WaitGroup
	pressed.Go(func() { c.run(submitting, reading) })
	playFaults(ctx, r.Plan, length)
	w.Heal()
	checkHealed(w, c)
	stopSubmitting()
	checkJobs(ledger)
	stop()
	pressed.Wait()
	checkCrashes(w, c)
	r.Crashes = w.crashes.of(crashingBody) + w.crashes.of(crashingPart)
	for _, replica := range w.allReplicas() {
		r.Harmed += replica.Harmed()
	}
	for _, h := range w.hosts {
		for _, end := range h.Unasked() {
			ledger.violate("%s: %s", h.Name, end)
		}
	}
	runs := w.AllRuns()
	ledger.CheckOrder(runs)
	ledger.CheckAbandoned(runs)
	for _, run := range runs {
		if run.After > 0 {
			r.WentOn++
		}
	}
	if calm {
		ledger.CheckTwice(runs)
	}
	ledger.CheckRuns(w.Runs())
	ledger.CheckLeaving(w.RunsByReplica(), configTimeout)
	ledger.CheckRateLimits(w.StartsByReplica())
	r.Violations, r.Served, r.Failed, r.Jobs = ledger.Violations(), ledger.Served, ledger.Failed, len(ledger.jobs)
	wrong, summary := w.customers.check()
	r.Violations, r.Customers = append(r.Violations, wrong...), summary
	r.VersionsChecked = w.versionsChecked
	r.Resumed, r.NotResumed = ledger.Resumed, ledger.NotResumed
	return r, nil
}

// plan draws the faults of all kinds that the run suffers, besides those of replicas' responses.
func (w *World) plan(l *Ledger, seed uint64, length time.Duration) []Fault {
	var plan []Fault
	if w.suffers(plannedFaults) {
		plan = Plan(w, l, seed, length)
	}
	if w.suffers(silentConnections) {
		p := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 6))}
		plan = sorted(append(plan, p.planSilences(length)...))
	}
	if w.suffers(upgrade) {
		p := &planner{world: w, ledger: l, rng: rand.New(rand.NewPCG(seed, 7))}
		plan = sorted(append(plan, p.planUpgrade(length)...))
	}
	return plan
}

// playFaults carries out a plan and returns when its time is over and all that
// it began has ended.
func playFaults(ctx context.Context, plan []Fault, length time.Duration) {
	began := time.Now()
	var all sync.WaitGroup
	for _, f := range plan {
		sleep(ctx, f.At-time.Since(began))
		all.Go(func() { f.run(ctx) })
	}
	sleep(ctx, length-time.Since(began))
	all.Wait()
}

// checkHealed checks that each host serves nearly all requests again.
func checkHealed(w *World, c *callers) {
	for _, h := range w.hosts {
		h.life.Lock()
		err := w.awaitServing(h, healedLimit)
		h.life.Unlock()
		if err != nil {
			c.ledger.violate("after the faults: %v", err)
		}
	}
	for _, h := range w.hosts {
		caller := w.newCaller()
		var failed []string
		for n := range calmRequests {
			began, id := time.Now(), fmt.Sprintf("calm-%s-%d", h.Name, n)
			a, err := caller.Call(h.Address, http.MethodPost, "/s/x", id, "body")
			if err != nil || a.Status != http.StatusOK {
				failed = append(failed, fmt.Sprintf("%s after %s: status %d, %v, %.200s", id, time.Since(began), a.Status, err, a.Body))
			}
		}
		if served := calmRequests - len(failed); served < minCalm {
			c.ledger.violate("after the faults %s serves %d of %d requests: %q", h.Name, served, calmRequests, failed)
		}
	}
}

// checkJobs waits until all accepted jobs are done.
func checkJobs(l *Ledger) {
	for end := time.Now().Add(jobsLimit); time.Now().Before(end); time.Sleep(readPause) {
		if len(l.open()) == 0 {
			return
		}
	}
	for _, id := range l.open() {
		l.violate("job %s is not done %s after the faults", id, jobsLimit)
	}
}
