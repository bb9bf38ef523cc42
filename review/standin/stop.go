//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Load and times of the case stop. A stream lasts 4.6 s, which is within its route's
// time-out of 5 s, and its pauses are within the 400 ms that the route allows.
const (
	stopReplicas      = 12
	stopClients       = 64
	stopEvents        = 28
	stopEventInterval = 165 * time.Millisecond
	stopTimeout       = 5 * time.Second
	// The clients send their second requests evenly over the 3.2 s after the signal. One that
	// is sent more than 3 s after the signal (20 ms allow for its delivery) is not excused if the process ends before
	// its answer is complete.
	sentStep = 50 * time.Millisecond
	excused  = 3020 * time.Millisecond
)

// playStop sends SIGTERM to an entry host whose clients keep their connections open, and
// reuse them. All that the host reads and passes on must be answered.
func playStop(w *world) error {
	for range stopReplicas {
		if err := w.addReplica("kingston-a", stopEvents, stopEventInterval); err != nil {
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
	stopped := w.hosts[0]
	clients := make([]*platformtest.Caller, stopClients)
	var calls sync.WaitGroup
	for n := range clients {
		clients[n] = newClient(true, stopTimeout)
		calls.Go(func() { w.stream(clients[n], stopped, fmt.Sprintf("first%d", n)) })
	}
	calls.Wait()
	time.Sleep(time.Second)
	if w.trouble {
		w.signal("TERM", stopped)
	}
	signalled := time.Now()
	for n, c := range clients {
		calls.Go(func() {
			time.Sleep(time.Until(signalled.Add(time.Duration(n) * sentStep)))
			w.judge(c, stopped, fmt.Sprintf("second%d", n), signalled)
		})
	}
	calls.Wait()
	return nil
}

// stream sends one request for a stream and notes its answer.
func (w *world) stream(c *platformtest.Caller, to *machine, id string) (platformtest.Response, error) {
	sent := time.Now()
	w.note("%s is sent to %s", id, to.name)
	res, err := c.Call(to.front, http.MethodPost, "/n/x", id, "prompt")
	w.note("%s: status %d, %d of %d events, error %v, after %v", id, res.Status, strings.Count(res.Body, "\n\n"), stopEvents, err, time.Since(sent).Round(time.Millisecond))
	return res, err
}

// judge sends a request and checks that its answer is complete if a replica got it.
func (w *world) judge(c *platformtest.Caller, to *machine, id string, signalled time.Time) {
	sent := time.Now()
	res, err := w.stream(c, to, id)
	took := time.Since(sent)
	passedOn := 0
	for _, r := range w.replicas {
		begun, _ := r.RunCounts(id)
		passedOn += begun
	}
	events := strings.Count(res.Body, "\n\n")
	if passedOn == 0 || sent.Sub(signalled) <= excused || took >= stopTimeout || err == nil && events == stopEvents {
		return
	}
	w.breaks("LOST: %s was sent %v after the signal and passed on to a replica, and its connection ended after %v with %d of %d events",
		id, sent.Sub(signalled).Round(time.Millisecond), took.Round(time.Millisecond), events, stopEvents)
}
