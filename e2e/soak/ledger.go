package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Ledger notes what callers see and which promises are broken.
type Ledger struct {
	mu         sync.Mutex
	violations []string
	// notRun are requests and items that were refused as not run, and once those
	// that may run once at most.
	notRun, once map[string]struct{}
	jobs         map[string]*jobSeen
	// texts are what callers received of streams and items.
	texts []text
	// abandoned are the items that were given up.
	abandoned []string
	// inForce is the newest version of the configuration that a start of a host
	// has shown.
	inForce map[hostStart]int
	// sent are the requests of callers by ID, and leaving is when a run of a host
	// passed on a response whose replica said that it leaves.
	sent    map[string]sentRequest
	leaving map[saidTo]time.Time
	// rateLimited is when a run of a host first passed on a response whose replica
	// named a rate limit, and rateLimits are the limits that replicas named.
	rateLimited    map[saidTo]time.Time
	rateLimits     []rateLimit
	Served, Failed int
	// Resumed are the streams that callers resumed to their end, and NotResumed
	// those that they tried to.
	Resumed, NotResumed int
}

// jobSeen is what is known of an accepted job.
type jobSeen struct {
	items   int
	results []platformtest.Result
}

// hostStart is one start of a host.
type hostStart struct {
	host  string
	start int
}

// sentRequest is where and when a caller sent a request.
type sentRequest struct {
	to hostRun
	at time.Time
}

// hostRun is a time in which a host runs without a restart or a pause.
type hostRun struct {
	hostStart
	pauses int64
}

// saidTo is a run of a host to which a replica has said something.
type saidTo struct {
	host    hostRun
	replica string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		notRun: make(map[string]struct{}), once: make(map[string]struct{}),
		jobs: make(map[string]*jobSeen), inForce: make(map[hostStart]int),
		sent: make(map[string]sentRequest), leaving: make(map[saidTo]time.Time), rateLimited: make(map[saidTo]time.Time),
	}
}

func (l *Ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns the broken promises so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// refused notes a promise that a request has not run and never will.
func (l *Ledger) refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun[id] = struct{}{}
}

// limited notes a request that may run once at most.
func (l *Ledger) limited(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.once[id] = struct{}{}
}

func (l *Ledger) count(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.Served++
		return
	}
	l.Failed++
}

// countResumed counts a stream that its caller tried to resume.
func (l *Ledger) countResumed(whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		l.Resumed++
		return
	}
	l.NotResumed++
}

// floor returns the newest version that a start of a host has shown.
func (l *Ledger) floor(of hostStart) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce[of]
}

// showed notes that a start of a host has a version in force.
func (l *Ledger) showed(of hostStart, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce[of] = max(l.inForce[of], version)
}

// sends notes a request that a caller sends.
func (l *Ledger) sends(id string, to hostRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = sentRequest{to, time.Now()}
}

// saysLeaving notes that a host has passed on that a replica leaves.
func (l *Ledger) saysLeaving(host hostRun, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := saidTo{host, replica}
	if _, ok := l.leaving[seen]; !ok {
		l.leaving[seen] = time.Now()
	}
}

// CheckLeaving checks that no request that was sent later than the limit after a host
// passed on that a replica leaves has reached that replica from that host.
func (l *Ledger) CheckLeaving(runsByReplica map[string][]string, limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for replica, ids := range runsByReplica {
		for _, id := range ids {
			request, ok := l.sent[id]
			if !ok {
				continue
			}
			at, ok := l.leaving[saidTo{request.to, replica}]
			if late := request.at.Sub(at); ok && late > limit {
				l.violations = append(l.violations, fmt.Sprintf("%s reached replica %s from %s %s after that had passed on that it leaves", id, replica, request.to.host, late))
			}
		}
	}
}

// accepted notes a job that is the system's to keep.
func (l *Ledger) accepted(id string, items int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.jobs[id]; !ok {
		l.jobs[id] = &jobSeen{items: items}
	}
}

// read notes a page of a job's results from a position on and checks that its numbers are
// right and that each position keeps its result. It returns the number of positions that
// are known.
func (l *Ledger) read(id string, after int, page platformtest.Page, host string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if page.Total != j.items || page.NextToken != after+len(page.Results) {
		l.violations = append(l.violations, fmt.Sprintf("job %s: %s states %d items of %d, and %d results up to the end of %d after %d", id, host, page.Total, j.items, page.NextToken, len(page.Results), after))
	}
	for i, r := range page.Results {
		at := after + i
		switch {
		case at < len(j.results) && j.results[at] != r:
			l.violations = append(l.violations, fmt.Sprintf("job %s: position %d was %+v, and is %+v at %s", id, at, j.results[at], r, host))
		case at == len(j.results):
			l.violations = append(l.violations, j.add(id, r)...)
			if r.Abandoned() {
				l.abandoned = append(l.abandoned, r.ID)
			}
			if r.Done() {
				l.texts = append(l.texts, text{parts: []part{{request: r.ID, host: host, body: r.Output}}, complete: true})
			}
		}
	}
	return len(j.results)
}

// add takes the result of a further position and returns what is wrong with it.
func (j *jobSeen) add(id string, r platformtest.Result) []string {
	var wrong []string
	for at, other := range j.results {
		if other.ID == r.ID {
			wrong = append(wrong, fmt.Sprintf("job %s: item %s stands at positions %d and %d", id, r.ID, at, len(j.results)))
		}
	}
	if !strings.HasPrefix(r.ID, id+"-") {
		wrong = append(wrong, fmt.Sprintf("job %s: result of a foreign item %s", id, r.ID))
	}
	if !r.Done() && !r.Abandoned() {
		wrong = append(wrong, fmt.Sprintf("job %s: item %s is %q with output %q", id, r.ID, r.State, r.Output))
	}
	j.results = append(j.results, r)
	return wrong
}

// open returns the accepted jobs whose results are not all known.
func (l *Ledger) open() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, j := range l.jobs {
		if len(j.results) < j.items {
			ids = append(ids, fmt.Sprintf("%s (%d of %d)", id, len(j.results), j.items))
		}
	}
	return ids
}

// CheckAbandoned checks that items were given up only after as many failed runs as the
// route allows.
func (l *Ledger) CheckAbandoned(runs []platformtest.Run) {
	failed := make(map[string]int)
	for _, r := range runs {
		if r.End == platformtest.RunFailed {
			failed[r.Request]++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.abandoned {
		if failed[id] < platformtest.ItemAttempts {
			l.violations = append(l.violations, fmt.Sprintf("item %s was given up after %d failed runs", id, failed[id]))
		}
	}
}

// CheckRuns compares the promises with what the replicas ran.
func (l *Ledger) CheckRuns(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.notRun {
		if runs[id] > 0 {
			l.violations = append(l.violations, fmt.Sprintf("%s was refused as not run, and ran %d times", id, runs[id]))
		}
	}
	for id := range l.once {
		if runs[id] > 1 {
			l.violations = append(l.violations, fmt.Sprintf("%s may run once and ran %d times", id, runs[id]))
		}
	}
}
