//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["killed-stream"] = killedStream }

// killedStream: the process of the replica that runs a request for a stream is killed.
func killedStream(w *world, trouble bool) (bool, error) {
	var replicas []*replicaProcess
	owner, other, far, err := w.twoZones(func() error {
		for i, zone := range []string{"kingston-a", "kingston-a", "kingston-a", "montego-a", "montego-a", "montego-a"} {
			r, err := w.startProcess(fmt.Sprintf("i-%d", i+1), zone, unframedCommand, lastEvent, itemInterval)
			if err != nil {
				return err
			}
			replicas = append(replicas, r)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	broken := false
	for i, e := range []*edge{owner, other, far} {
		id := fmt.Sprintf("r-stream-%d", i+1)
		done := make(chan answer, 1)
		go func() {
			done <- call(e, http.MethodPost, protocol.DeskHost, protocol.PairingPrefix+"1", id, []byte("body"), 5*time.Second)
		}()
		time.Sleep(time.Second)
		for _, r := range replicas {
			if len(r.arrivals) == 0 {
				continue
			}
			w.rec.add("replica %s begins to run %s", r.id, <-r.arrivals)
			if trouble {
				r.kill()
				w.rec.add("the process of replica %s is killed", r.id)
				time.AfterFunc(recordExpires, func() { w.unregister(r) })
			}
		}
		a := <-done
		broken = w.isTruncated(e, id, a) || broken
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}
