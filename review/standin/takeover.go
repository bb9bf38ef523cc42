//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Load and times of the case takeover.
const (
	takeoverJobs, takeoverItems = 4, 20
	takeoverEvents              = 184
	takeoverEventInterval       = 15 * time.Millisecond
	// downTime is the time between the end of a process and its next start.
	downTime     = 500 * time.Millisecond
	readInterval = 500 * time.Millisecond
	// jobTimeout bounds the time until all jobs are complete.
	jobTimeout = 50 * time.Second
	// finalTimeout is how long a job is read at the end, again after each failure.
	finalTimeout = 18 * time.Second
)

// reader is a client that reads one job.
type reader struct {
	w   *world
	job string
	// read are the results that were read, by position.
	read []platformtest.Result
}

// playTakeover kills an entry host that owns jobs, twice. After the first time the store
// loses answers to writes for lossTime. All that a client has read must come again.
func playTakeover(w *world) error {
	for range 2 {
		if err := w.addReplica("kingston-a", takeoverEvents, takeoverEventInterval); err != nil {
			return err
		}
	}
	for _, name := range []string{"edge-kingston-a-1", "edge-kingston-a-2"} {
		if err := w.addMachine(name, "kingston-a", "kingston"); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	owner := w.hosts[0]
	readers, err := w.submitJobs(owner)
	if err != nil {
		return err
	}
	var reading sync.WaitGroup
	for _, r := range readers {
		reading.Go(func() { r.readAll(time.Now().Add(jobTimeout)) })
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.store.lose(loseEvery, 0)
		if err := w.restart(owner); err != nil {
			return err
		}
	}
	reading.Wait()
	if w.trouble {
		if err := w.restart(owner); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	for _, r := range readers {
		reading.Go(r.readAgain)
	}
	reading.Wait()
	return nil
}

// restart kills the process of a host and starts it again.
func (w *world) restart(m *machine) error {
	w.signal("KILL", m)
	time.Sleep(downTime)
	return w.start(m)
}

// submitJobs submits all jobs at one host, as one client's connections reach one host.
func (w *world) submitJobs(to *machine) ([]*reader, error) {
	var readers []*reader
	for n := range takeoverJobs {
		job := fmt.Sprintf("job%d", n+1)
		res, err := newClient(false, 4*time.Second).Submit(to.front, job, takeoverItems)
		if err != nil {
			return nil, err
		}
		w.note("submit %s at %s: %d", job, to.name, res.Status)
		if res.Status != http.StatusAccepted {
			return nil, fmt.Errorf("job %s is answered %d", job, res.Status)
		}
		readers = append(readers, &reader{w: w, job: job})
	}
	return readers, nil
}

// page reads results from a position on: at the client's own host, or at another one if
// that one can't be reached.
func (r *reader) page(after int) ([]platformtest.Result, error) {
	var failed error
	for _, m := range r.w.hosts {
		results, err := newClient(false, 2500*time.Millisecond).ResultsAfter(m.front, r.job, after)
		if err == nil {
			return results, nil
		}
		failed = errors.Join(failed, fmt.Errorf("%s: %w", m.name, err))
	}
	return nil, failed
}

// add compares results with those that were read before, and keeps new ones.
func (r *reader) add(after int, results []platformtest.Result) {
	for i, result := range results {
		at := after + i
		if at < len(r.read) {
			if r.read[at] != result {
				r.w.breaks("TWICE: %s, position %d holds %s, before it held %s", r.job, at, result.ID, r.read[at].ID)
			}
			continue
		}
		for before, other := range r.read {
			if other.ID == result.ID {
				r.w.breaks("TWICE: %s, item %s stands at the positions %d and %d", r.job, result.ID, before, at)
			}
		}
		r.w.note("%s, position %d: %s is %s, %d bytes", r.job, at, result.ID, result.State, len(result.Output))
		r.read = append(r.read, result)
	}
}

// readAll reads the job about twice a second until it is complete.
func (r *reader) readAll(deadline time.Time) {
	for len(r.read) < takeoverItems && time.Now().Before(deadline) {
		after := len(r.read)
		results, err := r.page(after)
		if err != nil {
			r.w.note("read of %s after %d: %v", r.job, after, err)
		}
		r.add(after, results)
		time.Sleep(readInterval)
	}
	r.w.note("%s: %d of %d results were read", r.job, len(r.read), takeoverItems)
}

// readAgain reads the job from the start. All results that were read must come again.
func (r *reader) readAgain() {
	var last error
	at := 0
	for deadline := time.Now().Add(finalTimeout); at < len(r.read) && time.Now().Before(deadline); {
		var results []platformtest.Result
		if results, last = r.page(at); last != nil || len(results) == 0 {
			time.Sleep(readInterval)
			continue
		}
		r.add(at, results)
		at += len(results)
	}
	if at < len(r.read) {
		r.w.breaks("LOST: %s, results from position %d on were read and don't come again in %v; last answer: %v", r.job, at, finalTimeout, last)
		return
	}
	r.w.note("%s: all %d results came again", r.job, len(r.read))
}
