//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

func init() { cases["lost-owner"] = lostOwner }

// Times of the case.
const (
	// itemEvents and itemInterval are those of an item's output: it runs for 2.4 s.
	itemEvents   = 40
	itemInterval = 60 * time.Millisecond
	// finish is finish_s, and watched the time after it in which no replica may be idle.
	finish  = 18 * time.Second
	watched = 6 * time.Second
)

// lostOwner: a machine that has accepted a batch job is lost for good, and a new one comes at another
// address some seconds later.
func lostOwner(w *world, trouble bool) (bool, error) {
	owner, other, far, err := w.twoZones(w.soundReplicas)
	if err != nil {
		return false, err
	}
	const job = "job00000000000001"
	a := submit(owner, job, 10)
	w.rec.add("client: batch job %s with 10 items is sent to %s: %v", job, owner.Name, a)
	if a.err != nil || a.status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		successor, err := w.addEdge("edge-kingston-a-5", "kingston-a", "kingston")
		if err != nil {
			return false, err
		}
		successor.SeedList = far.SeedList
		if err := w.loseAndReplace(owner, successor); err != nil {
			return false, err
		}
	}
	lostAt := time.Now()
	readers := []*edge{other, far}
	if !trouble {
		readers = append(readers, owner)
	}
	return w.awaitJob(job, 10, lostAt, readers)
}

// twoZones starts two processes in one zone and two in another region, and the replicas.
func (w *world) twoZones(startReplicas func() error) (owner, other, far *edge, err error) {
	var edges []*edge
	for _, at := range [][3]string{{"edge-kingston-a-1", "kingston-a", "kingston"}, {"edge-kingston-a-2", "kingston-a", "kingston"}, {"edge-montego-a-1", "montego-a", "montego"}, {"edge-montego-a-2", "montego-a", "montego"}} {
		e, err := w.addEdge(at[0], at[1], at[2])
		if err != nil {
			return nil, nil, nil, err
		}
		edges = append(edges, e)
	}
	if err := w.configure(true); err != nil {
		return nil, nil, nil, err
	}
	if err := startReplicas(); err != nil {
		return nil, nil, nil, err
	}
	var seeds []string
	for _, e := range edges[2:] {
		address, err := w.proxy(e)
		if err != nil {
			return nil, nil, nil, err
		}
		seeds = append(seeds, address)
	}
	for _, e := range edges {
		e.SeedList = seeds
		if err := e.start(); err != nil {
			return nil, nil, nil, err
		}
		w.rec.add("%s of zone %s is started", e.Name, e.Zone)
	}
	if err := w.awaitReady(edges...); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(2 * time.Second)
	w.rec.add("all machines are ready")
	return edges[0], edges[1], edges[2], nil
}

// soundReplicas starts two replicas in each zone.
func (w *world) soundReplicas() error {
	for i, zone := range []string{"kingston-a", "kingston-a", "montego-a", "montego-a"} {
		if _, err := w.addReplica(fmt.Sprintf("i-%d", i+1), zone, itemEvents, itemInterval); err != nil {
			return err
		}
	}
	return nil
}

// loseAndReplace lets a machine be lost for good: it answers nothing any more. A new machine of its
// zone is started at another address once the store has removed the lost machine's record.
func (w *world) loseAndReplace(lost, successor *edge) error {
	lost.signal(syscall.SIGSTOP)
	at := time.Now()
	w.rec.add("%s is lost for good: from now on it answers nothing", lost.Name)
	for w.isRegistered(lost) {
		time.Sleep(10 * time.Millisecond)
	}
	successor.Bootstrap = false
	if err := successor.start(); err != nil {
		return err
	}
	w.rec.add("%s of zone %s comes at another address (%v after the loss)", successor.Name, successor.Zone, time.Since(at).Round(time.Millisecond))
	return nil
}

// awaitJob waits until all items are listed. The rule is broken if they aren't although no replica
// has had an item for a while.
func (w *world) awaitJob(job string, items int, since time.Time, readers []*edge) (bool, error) {
	end := since.Add(finish + watched + 20*time.Second)
	lastListed := -1
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		for _, e := range readers {
			p, a := read(e, job)
			if a.err != nil || a.status != http.StatusOK {
				w.rec.add("client: read of %s at %s: %v", job, e.Name, a)
				continue
			}
			if len(p.Results) != lastListed {
				lastListed = len(p.Results)
				w.rec.add("client: read of %s at %s: %d of %d items are listed", job, e.Name, lastListed, p.Total)
			}
			if len(p.Results) == items {
				return false, nil
			}
		}
	}
	runs := w.runs()
	var last time.Time
	for _, r := range runs {
		w.rec.add("replica: run of %s began at %.3f and ended at %.3f: %s", r.Request, r.Began.Sub(w.rec.began).Seconds(), r.Ended.Sub(w.rec.began).Seconds(), r.End)
		if r.Ended.IsZero() {
			return false, errors.New("an item still runs")
		}
		if r.Ended.After(last) {
			last = r.Ended
		}
	}
	idle := time.Since(last)
	w.rec.add("%d of %d items are listed %v after the loss; no replica has had an item for %v", lastListed, items, time.Since(since).Round(time.Second), idle.Round(time.Second))
	return idle > watched, nil
}

// runs returns the runs of all replicas.
func (w *world) runs() []platformtest.Run {
	var runs []platformtest.Run
	for _, r := range w.replicas {
		runs = append(runs, r.AllRuns()...)
	}
	return runs
}
