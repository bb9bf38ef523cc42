//go:build review

package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["dropped-route"] = droppedRoute }

const (
	// settle is settle_ms and apply apply_ms.
	settle = time.Second
	apply  = 2500 * time.Millisecond
)

// droppedRoute: a batch job is done and its results have been read. Then the configuration drops its
// route, the only one of its host name.
func droppedRoute(w *world, trouble bool) (bool, error) {
	owner, other, far, err := w.twoZones(w.soundReplicas)
	if err != nil {
		return false, err
	}
	const done, open = "job00000000000001", "job00000000000002"
	edges := []*edge{owner, other, far}
	if err := w.submitAndRead(done, edges); err != nil {
		return false, err
	}
	a := submit(owner, open, 10)
	w.rec.add("client: batch job %s with 10 items is sent to %s: %v", open, owner.Name, a)
	if a.err != nil || a.status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(settle + 500*time.Millisecond)
	if trouble {
		if err := w.configure(false); err != nil {
			return false, err
		}
	}
	time.Sleep(apply + time.Second)
	broken := false
	for range 5 {
		for _, e := range edges {
			for _, job := range []string{done, open} {
				p, a := read(e, job)
				w.rec.add("client: read of %s at %s: %v, %d results", job, e.Name, a, len(p.Results))
				broken = broken || a.err == nil && (a.status == http.StatusNotFound || a.status == http.StatusGone)
			}
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// submitAndRead submits a batch job and reads all of its results at each process.
func (w *world) submitAndRead(job string, edges []*edge) error {
	const items = 10
	a := submit(edges[0], job, items)
	w.rec.add("client: batch job %s with %d items is sent to %s: %v", job, items, edges[0].Name, a)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		complete := 0
		for _, e := range edges {
			p, a := read(e, job)
			w.rec.add("client: read of %s at %s: %v, %d results", job, e.Name, a, len(p.Results))
			if len(p.Results) == items {
				complete++
			}
		}
		if complete == len(edges) {
			return nil
		}
	}
	return errors.New("the batch job is not done in time")
}
