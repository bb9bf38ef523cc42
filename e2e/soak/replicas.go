package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// StartReplica starts a replica of another software version in a slot, in place of the
// one that was there.
func (w *World) StartReplica(s *slot) error {
	w.mu.Lock()
	s.releases++
	w.mu.Unlock()
	return w.startReplica(s)
}

// startReplica starts a replica of the slot's software version.
func (w *World) startReplica(s *slot) error {
	w.mu.Lock()
	if s.replica != nil {
		w.retired = append(w.retired, s.replica)
	}
	s.starts++
	r := platformtest.NewReplica(fmt.Sprintf("%s-%d", s.name, s.starts), eventsPerAnswer, eventPause)
	p, err := w.proxyTo(s, r.Address())
	if err != nil {
		w.mu.Unlock()
		return err
	}
	r.AdvertisedAddress = p.Address()
	r.SetSoftwareVersion(softwareVersions[(s.number+s.releases)%len(softwareVersions)])
	r.SetFraming(platformtest.ResponseFraming{CloseDelimitedEvery: closeDelimitedEvery})
	r.NameRuns()
	r.SetFaults(w.kinds.faults())
	w.letCrash(s, r, p)
	s.replica, s.proxy = r, p
	w.closers = append(w.closers, r.Close, p.Close)
	w.mu.Unlock()
	return w.put(r.Record(serviceName, s.dataCentre, "ready", slotsPerReplica))
}

// proxyTo returns the proxy to a replica that starts in a slot. w.mu must be held.
func (w *World) proxyTo(s *slot, address string) (*Proxy, error) {
	if s.proxy == nil || !w.kinds.has(sameAddress) {
		return NewProxy(address)
	}
	return s.proxy, s.proxy.Retarget(address)
}

// StopReplica lets a replica crash, or leave after it was reported.
func (w *World) StopReplica(s *slot, crash bool, drain time.Duration) error {
	w.mu.Lock()
	r, p, orderly := s.replica, s.proxy, w.kinds.has(orderlyCrashes)
	w.mu.Unlock()
	if !crash {
		r.SetLeaving(true)
		if err := w.put(r.Record(serviceName, s.dataCentre, "draining", slotsPerReplica)); err != nil {
			return err
		}
		time.Sleep(drain)
	}
	p.Refuse()
	if !orderly {
		p.Reset()
	}
	r.Close()
	return w.commit(txn.Request{Remove: []string{r.Record(serviceName, s.dataCentre, "ready", 0).Key}})
}

// proxyOf returns the proxy of the present replica of a slot.
func (w *World) proxyOf(s *slot) *Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.proxy
}

// replicaOf returns the present replica of a slot.
func (w *World) replicaOf(s *slot) *platformtest.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.replica
}

// RunsByReplica returns the IDs of the requests and items that each replica has run.
func (w *World) RunsByReplica() map[string][]string {
	runs := make(map[string][]string)
	for _, r := range w.allReplicas() {
		runs[r.ID] = slices.Collect(maps.Keys(r.Runs()))
	}
	return runs
}

// AllRuns returns all runs on all replicas.
func (w *World) AllRuns() []platformtest.Run {
	var runs []platformtest.Run
	for _, r := range w.allReplicas() {
		runs = append(runs, r.AllRuns()...)
	}
	return runs
}

// StartsByReplica returns when each request and item began at each replica.
func (w *World) StartsByReplica() map[string][]platformtest.Start {
	starts := make(map[string][]platformtest.Start)
	for _, r := range w.allReplicas() {
		starts[r.ID] = r.Starts()
	}
	return starts
}

// allReplicas returns the replicas that serve and those that did.
func (w *World) allReplicas() []*platformtest.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Clone(w.retired)
	for _, s := range w.slots {
		all = append(all, s.replica)
	}
	return all
}

// Runs returns how often each request or item began at any replica.
func (w *World) Runs() map[string]int {
	runs := make(map[string]int)
	for _, r := range w.allReplicas() {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	return runs
}
