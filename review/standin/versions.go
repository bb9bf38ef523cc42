//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Load and times of the case versions. A stream lasts 3.2 s.
const (
	versionClients       = 8
	versionEvents        = 28
	versionEventInterval = 115 * time.Millisecond
	versionDeadline      = 5 * time.Second
	// newAfter, goneAfter and killedAfter are counted from the beginning of the streams: new
	// replicas register, the records of the former ones are removed, all processes are killed.
	// The former replicas go on serving.
	newAfter    = 300 * time.Millisecond
	goneAfter   = 600 * time.Millisecond
	killedAfter = 1200 * time.Millisecond
	// retryInterval is the pause between two tries of a client.
	retryInterval = 300 * time.Millisecond
	// allowedMixed is the number of streams that may hold events of two versions.
	allowedMixed = 2
)

// Versions of the replicas' software.
const oldVersion, newVersion = "v1-", "v2-"

// stream is one stream over all tries of its client.
type stream struct {
	w      *world
	origin string
	// data holds the data of all events, in order.
	data []string
}

// playVersions kills all processes while the replicas of a service are replaced by those of
// another version, whose events don't fit to those of the former one.
func playVersions(w *world) error {
	for n := range 2 {
		if err := w.addMachine(fmt.Sprintf("edge-kingston-a-%d", n+1), "kingston-a", "kingston"); err != nil {
			return err
		}
	}
	former, err := w.release(oldVersion)
	if err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	began := time.Now()
	streams := make([]*stream, versionClients)
	var reading sync.WaitGroup
	for n := range streams {
		streams[n] = &stream{w: w, origin: fmt.Sprintf("stream%d", n)}
		reading.Go(func() { streams[n].read(w.hosts[n%len(w.hosts)], began.Add(versionDeadline)) })
	}
	time.Sleep(time.Until(began.Add(newAfter)))
	if _, err := w.release(newVersion); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(goneAfter)))
	if err := w.store.removeAll(former); err != nil {
		return err
	}
	w.note("the records of the former replicas are removed")
	time.Sleep(time.Until(began.Add(killedAfter)))
	if w.trouble {
		if err := w.killAll(); err != nil {
			return err
		}
	}
	reading.Wait()
	mixed := 0
	for _, s := range streams {
		if s.isMixed() {
			mixed++
			w.note("%s holds events of two versions: %s", s.origin, strings.Join(s.data, " "))
		}
	}
	if mixed > allowedMixed {
		w.breaks("ORDER: %d of %d streams hold events of two software versions", mixed, versionClients)
	}
	return nil
}

// release starts two replicas of a version and returns their records.
func (w *world) release(version string) ([]txn.Write, error) {
	var records []txn.Write
	for range 2 {
		r := platformtest.NewReplica(fmt.Sprintf("i-%d", len(w.replicas)+1), versionEvents, versionEventInterval)
		r.SetSoftwareVersion(version)
		w.replicas = append(w.replicas, r)
		record := r.Record(service, "kingston-a", "ready", 8)
		w.note("replica %s of version %s registers", r.ID, version)
		if err := w.store.put(record); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// killAll kills the processes of all hosts and starts them again.
func (w *world) killAll() error {
	for _, m := range w.hosts {
		w.signal("KILL", m)
	}
	time.Sleep(downTime)
	for _, m := range w.hosts {
		if err := w.start(m); err != nil {
			return err
		}
	}
	return nil
}

// read reads the stream, and takes it up again after a failure.
func (s *stream) read(from *machine, deadline time.Time) {
	for try := 0; time.Now().Before(deadline); try++ {
		res, err := s.try(from, fmt.Sprintf("%s-try%d", s.origin, try), time.Until(deadline), try == 0)
		s.w.note("%s, try %d at %s: status %d, %d events, by replica %s, error %v", s.origin, try, from.name, res.Status, len(s.data), res.Replica, err)
		if err == nil && res.Status == http.StatusOK {
			return
		}
		time.Sleep(retryInterval)
	}
}

// try makes one attempt, which has an id of its own. The stream is resumed after its last
// event if it has any.
func (s *stream) try(at *machine, id string, left time.Duration, first bool) (platformtest.Response, error) {
	c := newClient(false, left)
	var res platformtest.Response
	var err error
	switch {
	case first || len(s.data) == 0:
		s.origin = id
		res, err = c.Call(at.front, http.MethodPost, "/s/x", id, "prompt")
	default:
		res, err = c.Resume(at.front, "/s/x", id, "prompt", s.origin, len(s.data))
	}
	if res.Status == http.StatusOK {
		s.add(res.Body)
	}
	return res, err
}

// add appends the data of the complete events of a body.
func (s *stream) add(body string) {
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		_, data, ok := strings.Cut(event, "data: ")
		if ok && strings.HasSuffix(event, "\n\n") {
			s.data = append(s.data, strings.TrimSpace(data))
		}
	}
}

func (s *stream) isMixed() bool {
	of := func(version string) func(string) bool {
		return func(data string) bool { return strings.HasPrefix(data, version) }
	}
	return slices.ContainsFunc(s.data, of(oldVersion)) && slices.ContainsFunc(s.data, of(newVersion))
}
