//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["truncated"] = truncated }

const (
	// lastEvent is the number of the last event of each answer, and crashEvent that of the event at which
	// requests crash replicas.
	lastEvent  = 40
	crashEvent = 15
)

// unframedReplicas keeps replicas running whose answers end with their connection.
type unframedReplicas struct {
	w       *world
	mu      sync.Mutex
	number  int
	stopped bool
}

// truncated: an item of a batch job and requests for streams crash each replica at the same event.
func truncated(w *world, trouble bool) (bool, error) {
	u := &unframedReplicas{w: w}
	owner, other, _, err := w.twoZones(func() error {
		for _, zone := range []string{"kingston-a", "kingston-a", "kingston-a", "montego-a", "montego-a", "montego-a"} {
			if err := u.start(zone); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	defer u.stop()
	body := "body"
	if trouble {
		body = fmt.Sprintf("%s%d", crashAt, crashEvent)
	}
	itemBroken, err := w.truncatedItem(owner, other, body)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	streamBroken := w.truncatedStream(owner, protocol.RipenessPrefix, "r-resumable", body)
	return itemBroken || streamBroken, nil
}

// truncatedItem submits a batch job with one item and reports whether it is done with a part of its
// output.
func (w *world) truncatedItem(owner, reader *edge, body string) (bool, error) {
	const job = "job00000000000001"
	a := submitBodies(owner, job, []string{body})
	w.rec.add("client: batch job %s with 1 item is sent to %s: %v", job, owner.Name, a)
	if a.err != nil || a.status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		p, a := read(reader, job)
		if a.err != nil || len(p.Results) == 0 {
			continue
		}
		r := p.Results[0]
		events := strings.Count(r.Output, "e")
		w.rec.add("client: item %s is %s, its output has %d of %d events", r.ID, r.State, events, lastEvent)
		return r.State == "done" && events != lastEvent, nil
	}
	w.rec.add("client: the item is not listed")
	return false, nil
}

// truncatedStream sends a request for a stream and reports whether a part of it ends as complete.
func (w *world) truncatedStream(e *edge, prefix, id, body string) bool {
	return w.isTruncated(e, id, call(e, http.MethodPost, protocol.DeskHost, prefix+"1", id, []byte(body), 5*time.Second))
}

// isTruncated reports whether an answer is a part of a stream that ends as complete.
func (w *world) isTruncated(e *edge, id string, a answer) bool {
	events := strings.Count(a.body, "data:")
	w.rec.add("client: request %s to %s: %v, signature %q, %d of %d events", id, e.Name, a, a.seal, events, lastEvent)
	return a.err == nil && a.status == http.StatusOK && events != lastEvent
}

// start starts a replica with a new id, and its successors after crashes.
func (u *unframedReplicas) start(zone string) error {
	u.mu.Lock()
	u.number++
	id := fmt.Sprintf("i-%d", u.number)
	u.mu.Unlock()
	r, err := u.w.startProcess(id, zone, unframedCommand, lastEvent, itemInterval)
	if err != nil {
		return err
	}
	go u.follow(r)
	return nil
}

// follow records the runs at a replica, and starts another replica after its crash.
func (u *unframedReplicas) follow(r *replicaProcess) {
	for {
		select {
		case run := <-r.arrivals:
			u.w.rec.add("replica %s begins to run %s", r.id, run)
			continue
		case <-r.done:
		}
		break
	}
	for len(r.arrivals) > 0 {
		u.w.rec.add("replica %s begins to run %s", r.id, <-r.arrivals)
	}
	u.mu.Lock()
	stopped := u.stopped
	u.mu.Unlock()
	if stopped {
		return
	}
	u.w.rec.add("replica %s has crashed", r.id)
	time.AfterFunc(recordExpires, func() { u.w.unregister(r) })
	time.Sleep(comesBack)
	if err := u.start(r.zone); err != nil {
		u.w.rec.add("no replica comes back: %v", err)
	}
}

func (u *unframedReplicas) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
}
