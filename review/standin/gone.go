//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Load and times of the case gone.
const (
	goneItems = 8
	// replacedAfter is the time after which a new host replaces one that is lost for good.
	replacedAfter = 4 * time.Second
	// finishTime is how long the job has after the loss: the 18 s in which its results are
	// due, and finish_s, 18 s more. quietTime is the time at its end in which no replica may
	// have an item of the job.
	finishTime = 36 * time.Second
	quietTime  = 5 * time.Second
)

// playGone lets the other hosts lose sight of a host, as in the case ended, sends a job to this
// host and loses it for good. The job must be finished by the others.
func playGone(w *world) error {
	if err := w.startThree(); err != nil {
		return err
	}
	owner := w.hosts[victim]
	if w.trouble {
		if err := w.loseSight(owner); err != nil {
			return err
		}
	}
	const job = "job1"
	res, err := newClient(false, 4*time.Second).Submit(owner.front, job, goneItems)
	if err != nil || res.Status != http.StatusAccepted {
		return fmt.Errorf("the job is answered %d, error %w", res.Status, err)
	}
	w.note("%s is accepted at %s", job, owner.name)
	time.Sleep(time.Second)
	if w.trouble {
		w.signal("KILL", owner)
		time.Sleep(replacedAfter)
		if err := w.replace(owner); err != nil {
			return err
		}
	}
	began := time.Now()
	r := &reader{w: w, job: job}
	for time.Since(began) < finishTime && len(r.read) < goneItems {
		results, err := r.page(len(r.read))
		if err != nil {
			w.note("read of %s: %v", job, err)
		}
		r.add(len(r.read), results)
		time.Sleep(readInterval)
	}
	w.note("%s: %d of %d results were read", job, len(r.read), goneItems)
	if len(r.read) < goneItems && w.isQuiet(job) {
		w.breaks("LOST: %s was accepted, and %v after the loss of its host %d of %d items are listed, while no replica has had one for %v",
			job, finishTime, len(r.read), goneItems, quietTime)
	}
	return nil
}

// replace starts a new host in the place of one that is lost for good.
func (w *world) replace(lost *machine) error {
	if err := w.addMachine("edge-kingston-a-4", lost.zone, lost.region); err != nil {
		return err
	}
	m := w.hosts[len(w.hosts)-1]
	m.starts = 1 // bootstrap is true at the first start of the whole system only
	w.hosts[victim] = m
	w.hosts = w.hosts[:len(w.hosts)-1]
	return w.start(m)
}

// isQuiet reports whether no item of a job began to run in quietTime.
func (w *world) isQuiet(job string) bool {
	for _, r := range w.replicas {
		for _, s := range r.Starts() {
			if strings.HasPrefix(s.Request, job) && time.Since(s.At) < quietTime {
				return false
			}
		}
	}
	return true
}
