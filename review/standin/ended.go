//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Load and times of the case ended.
const (
	endedItems         = 48
	endedEvents        = 184
	endedEventInterval = 22 * time.Millisecond
	// lateBy is how much later a write without an answer is done: PROTOCOL.md says seconds.
	lateBy = 2500 * time.Millisecond
	// frozenFor is how long the host stands still.
	frozenFor = 2300 * time.Millisecond
	// settledAfter is more than the time after a disruption from which on the host is in
	// touch again.
	settledAfter = 4 * time.Second
	// calmFor is the time between the freeze and the job. A host that wakes watches the store
	// by itself until its first watch ends, after 25 s at most.
	calmFor = 27 * time.Second
	// cancelTime is the time after the acknowledgement of a job's end from which on no item
	// may reach a replica.
	cancelTime = 3 * time.Second
	// watchedFor is how long replicas are watched after the acknowledgement.
	watchedFor = 14 * time.Second
)

// victim is the host that is restarted and frozen. It isn't the one that watches the store.
const victim = 1

// playEnded restarts an entry host while the store loses answers and does these writes late,
// lets it stand still for a moment, and then ends a job of this host at another one.
func playEnded(w *world) error {
	if err := w.startThree(); err != nil {
		return err
	}
	owner, other := w.hosts[victim], w.hosts[(victim+1)%len(w.hosts)]
	if w.trouble {
		if err := w.loseSight(owner); err != nil {
			return err
		}
	}
	const job = "job1"
	client := newClient(false, 4*time.Second)
	res, err := client.Submit(owner.front, job, endedItems)
	if err != nil || res.Status != http.StatusAccepted {
		return fmt.Errorf("the job is answered %d, error %w", res.Status, err)
	}
	w.note("%s is accepted at %s", job, owner.name)
	time.Sleep(500 * time.Millisecond)
	// The path is that of the calls that read and end jobs.
	res, err = client.Call(other.front, http.MethodDelete, w.jobPath+job, "end", "")
	if err != nil || res.Status != http.StatusOK {
		return fmt.Errorf("the end is answered %d, error %w", res.Status, err)
	}
	acknowledged := time.Now()
	w.note("the end of %s is acknowledged at %s", job, other.name)
	time.Sleep(watchedFor)
	for _, r := range w.replicas {
		for _, s := range r.Starts() {
			if after := s.At.Sub(acknowledged); strings.HasPrefix(s.Request, job) && after > cancelTime {
				w.breaks("UNASKED: item %s began to run on %s %v after the end of its job was acknowledged", s.Request, r.ID, after.Round(time.Millisecond))
			}
		}
	}
	return nil
}

// startThree starts three entry hosts and two replicas in one zone.
func (w *world) startThree() error {
	for range 2 {
		if err := w.addReplica("kingston-a", endedEvents, endedEventInterval); err != nil {
			return err
		}
	}
	for n := range 3 {
		if err := w.addMachine(fmt.Sprintf("edge-kingston-a-%d", n+1), "kingston-a", "kingston"); err != nil {
			return err
		}
	}
	return w.startAll()
}

// loseSight restarts a host while the store loses answers and does these writes late, and lets
// the host stand still for a moment.
func (w *world) loseSight(m *machine) error {
	w.store.lose(1, lateBy)
	if err := w.restart(m); err != nil {
		return err
	}
	time.Sleep(lossTime + settledAfter)
	w.signal("STOP", m)
	time.Sleep(frozenFor)
	w.signal("CONT", m)
	time.Sleep(calmFor)
	return nil
}
