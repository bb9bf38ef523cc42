//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["deadly-item"] = deadlyItem }

const (
	// contact is contact_ms.
	contact = 3 * time.Second
	// comesBack is the time from the crash of a replica to its successor, and recordExpires the time
	// to the removal of its record: three heartbeats.
	comesBack     = 2 * time.Second
	recordExpires = 3600 * time.Millisecond
	// deadlyFor is how long the item is watched. It may not be given up earlier than retain_s (60 s).
	deadlyFor = 50 * time.Second
)

// crashWatch keeps replicas running and counts the runs of one item.
type crashWatch struct {
	w    *world
	item string

	mu       sync.Mutex
	number   int
	crashes  []time.Time
	arrivals []time.Time
	stopped  bool
}

// deadlyItem: one item of a batch job crashes each replica that begins to run it.
func deadlyItem(w *world, trouble bool) (bool, error) {
	const job = "job00000000000001"
	c := &crashWatch{w: w, item: itemID(job, 0)}
	owner, other, far, err := w.twoZones(func() error {
		for _, zone := range []string{"kingston-a", "kingston-a", "kingston-a", "montego-a", "montego-a", "montego-a"} {
			if err := c.start(zone); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	defer c.stop()
	bodies := []string{"body", "body", "body", "body", "body", "body", "body", "body", "body", "body"}
	if trouble {
		bodies[0] = deadly
	}
	a := submitBodies(owner, job, bodies)
	w.rec.add("client: batch job %s with 10 items is sent to %s: %v", job, owner.Name, a)
	if a.err != nil || a.status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(deadlyFor)
	for _, e := range []*edge{owner, other, far} {
		p, a := read(e, job)
		w.rec.add("client: read of %s at %s: %v, %d of %d items are listed", job, e.Name, a, len(p.Results), p.Total)
	}
	return c.isBroken(), nil
}

// start starts a replica with a new id, and its successors after crashes.
func (c *crashWatch) start(zone string) error {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("i-%d", c.number)
	c.mu.Unlock()
	r, err := c.w.startProcess(id, zone, replicaCommand, itemEvents, itemInterval)
	if err != nil {
		return err
	}
	go c.follow(r)
	return nil
}

// follow records the runs of the item at a replica, and starts another replica after its crash.
func (c *crashWatch) follow(r *replicaProcess) {
	for {
		select {
		case request := <-r.arrivals:
			c.arrived(r, request)
		case <-r.done:
			c.crashed(r)
			return
		}
	}
}

func (c *crashWatch) arrived(r *replicaProcess, request string) {
	c.w.rec.add("replica %s begins to run %s", r.id, request)
	if request != c.item {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
}

func (c *crashWatch) crashed(r *replicaProcess) {
	for len(r.arrivals) > 0 {
		c.arrived(r, <-r.arrivals)
	}
	c.mu.Lock()
	stopped := c.stopped
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	if stopped {
		return
	}
	c.w.rec.add("replica %s has crashed", r.id)
	time.AfterFunc(recordExpires, func() { c.w.unregister(r) })
	time.Sleep(comesBack)
	if err := c.start(r.zone); err != nil {
		c.w.rec.add("no replica comes back: %v", err)
	}
}

func (c *crashWatch) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// isBroken reports whether the item has reached replicas more than three times later than contact_ms
// after it has crashed the third.
func (c *crashWatch) isBroken() bool {
	const crashesAllowed, retriesAllowed = 3, 3
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashesAllowed {
		c.w.rec.add("%d replicas have crashed", len(c.crashes))
		return false
	}
	from, retries := c.crashes[crashesAllowed-1].Add(contact), 0
	for _, at := range c.arrivals {
		if at.After(from) {
			retries++
		}
	}
	c.w.rec.add("%d replicas have crashed; the item reached replicas %d times, %d of these later than %v after it had crashed the third", len(c.crashes), len(c.arrivals), retries, contact)
	return retries > retriesAllowed
}
