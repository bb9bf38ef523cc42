package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Requests that crash replicas, and what is promised of them.
const (
	// crashingBody is that of an equal request, and crashingPart the part of the prompts
	// of different requests, that crash replicas.
	crashingBody = "crashing"
	crashingPart = "0badc0de"
	crashPause   = 400 * time.Millisecond
	// crashRestart is the time after a crash at which another replica serves.
	crashRestart = 300 * time.Millisecond
	// crashContact is the time in which hosts learn what crashes replicas, after
	// bodyCrashes or partCrashes of them; maxLaterCrashes may follow.
	crashContact    = 3 * time.Second
	bodyCrashes     = 3
	partCrashes     = 5
	maxLaterCrashes = 3
	// calmCrashing requests are made at each host after the faults.
	calmCrashing = 6
)

var commonParts = []string{"5c1e07a2", "91bd3f06"}

// crashes counts the replicas that have crashed under each cause.
type crashes struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *crashes) add(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[cause]++
}

func (c *crashes) of(cause string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[cause]
}

// causeOfCrash returns what of a request crashes replicas, or an empty string.
func causeOfCrash(h http.Header, body string) string {
	parts := platformtest.PromptParts(h)
	switch {
	case body == crashingBody:
		return crashingBody
	case slices.Contains(parts[:len(parts)-1], crashingPart):
		return crashingPart
	}
	return ""
}

// letCrash lets a replica crash under such requests and another one follow it.
func (w *World) letCrash(s *slot, r *platformtest.Replica, p *Proxy) {
	orderly := w.kinds.has(orderlyCrashes)
	r.SetCrash(func(h http.Header, body string) bool {
		w.customers.ran(r.ID, h, body)
		cause := causeOfCrash(h, body)
		if cause == "" {
			return false
		}
		w.crashes.add(cause)
		p.Refuse()
		if !orderly {
			// The connections are reset before the replica ends them in order.
			p.Reset()
		}
		return true
	}, func() { w.beginReplacing(s, r) })
}

// beginReplacing starts replaceCrashed, unless the world ends.
func (w *World) beginReplacing(s *slot, r *platformtest.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.closing:
	default:
		w.replacing.Go(func() { w.replaceCrashed(s, r) })
	}
}

// replaceCrashed starts a replica in place of a crashed one, unless a fault has done so or
// the world ends.
func (w *World) replaceCrashed(s *slot, r *platformtest.Replica) {
	select {
	case <-w.closing:
		return
	case <-time.After(crashRestart):
	}
	s.life.Lock()
	defer s.life.Unlock()
	if w.replicaOf(s) != r {
		return
	}
	if err := w.commit(txn.Request{Remove: []string{r.Record(serviceName, s.dataCentre, "ready", 0).Key}}); err != nil {
		panic(err)
	}
	if err := w.startReplica(s); err != nil {
		panic(err)
	}
}

// crash sends requests that crash replicas until the context ends.
func (c *callers) crash(ctx context.Context) {
	rng, caller := c.rng("crash", 0), c.world.newCaller()
	for n := 0; ctx.Err() == nil; n++ {
		c.sendCrashing(caller, pick(rng, c.world.hosts), []string{crashingBody, crashingPart}[n%2], fmt.Sprint("x-", n))
		sleep(ctx, time.Duration(rng.Int64N(int64(2*crashPause))))
	}
}

// sendCrashing sends one request that crashes replicas for the given cause.
func (c *callers) sendCrashing(caller *platformtest.Caller, h *Host, cause, id string) {
	path, body, parts := "/s/user/"+id, id, append(slices.Clone(commonParts), crashingPart, id)
	if cause == crashingBody {
		path, body, parts = "/s/user/crashing", crashingBody, append(slices.Clone(commonParts), "last")
	}
	a, err := caller.CallWithPrompt(h.Address, http.MethodPost, path, id, body, parts)
	if err == nil {
		c.check(h, path, id, a)
	}
}

// checkCrashes checks that what crashes replicas reaches few of them once the hosts have
// had the time to learn it.
func checkCrashes(w *World, c *callers) {
	for cause, threshold := range map[string]int{crashingBody: bodyCrashes, crashingPart: partCrashes} {
		caller := w.newCaller()
		for n := 0; w.crashes.of(cause) < threshold && n < calmCrashing; n++ {
			c.sendCrashing(caller, w.hosts[n%len(w.hosts)], cause, fmt.Sprint("learn-", cause, n))
		}
		time.Sleep(crashContact)
		before := w.crashes.of(cause)
		for n := range calmCrashing * len(w.hosts) {
			c.sendCrashing(caller, w.hosts[n%len(w.hosts)], cause, fmt.Sprint("late-", cause, n))
		}
		if later := w.crashes.of(cause) - before; later > maxLaterCrashes {
			c.ledger.violate("after the faults %q ended %d replicas, and %d more once that was known", cause, before, later)
		}
	}
}
