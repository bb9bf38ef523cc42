package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Load of the callers.
const (
	onlineCallers = 8
	batchCallers  = 3
	callTimeout   = 4 * time.Second
	onlinePause   = 15 * time.Millisecond
	jobPause      = 400 * time.Millisecond
	readPause     = 250 * time.Millisecond
	// submitTries are the submissions of one job.
	submitTries = 3
	submitPause = 300 * time.Millisecond
	// resumablePath is that of streams that may be resumed.
	resumablePath = "/s/x"
	// resumeTries are the attempts to resume one stream.
	resumeTries = 2
	maxItems    = 8
)

// callers press on the world.
type callers struct {
	world  *World
	ledger *Ledger
	seed   uint64
}

// run sends requests and jobs until one context ends, and reads jobs until the
// other does.
func (c *callers) run(sending, reading context.Context) {
	var all sync.WaitGroup
	for n := range onlineCallers {
		all.Go(func() { c.online(sending, n) })
	}
	if c.world.customers != nil {
		for n := range hotCallers {
			all.Go(func() { c.hot(sending, n) })
		}
	}
	all.Go(func() { c.crash(sending) })
	for n := range batchCallers {
		all.Go(func() { c.batch(sending, reading, n) })
	}
	all.Wait()
}

// newCaller returns a caller that keeps its connections. It has the key that all
// configurations with customers have.
func (w *World) newCaller() *platformtest.Caller {
	return &platformtest.Caller{HTTP: &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}, Timeout: callTimeout, Key: w.customers.steady()}
}

func (c *callers) rng(kind string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, uint64(len(kind)*1000+n)))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *callers) online(ctx context.Context, n int) {
	rng, caller, keys := c.rng("online", n), c.world.newCaller(), c.rng("keys", n)
	for i := 0; ctx.Err() == nil; i++ {
		caller.Key = c.world.customers.draw(keys)
		h, id := pick(rng, c.world.hosts), fmt.Sprintf("q-%d-%d", n, i)
		switch rng.IntN(4) {
		case 0:
			c.ledger.limited(id)
			c.request(caller, rng, h, "/o/x", id)
		case 1:
			c.askVersion(caller, h, id, c.world.Version()-rng.IntN(2))
		default:
			c.request(caller, rng, h, resumablePath, id)
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(2*onlinePause))))
	}
}

// call makes a request and notes which replicas the host says to be leaving or to have a
// rate limit.
func (c *callers) call(caller *platformtest.Caller, h *Host, path, id string) (platformtest.Response, error) {
	before := h.run()
	c.ledger.sends(id, before)
	c.world.customers.sends(caller.Key, id)
	a, err := caller.Call(h.Address, http.MethodPost, path, id, "body")
	if h.run() != before {
		return a, err
	}
	if a.Leaving {
		c.ledger.saysLeaving(before, a.Replica)
	}
	if a.RateLimited {
		c.ledger.saysRateLimit(before, a.Replica)
	}
	return a, err
}

// request makes a request that every configuration allows. A stream that breaks off
// is resumed.
func (c *callers) request(caller *platformtest.Caller, rng *rand.Rand, h *Host, path, id string) {
	a, err := c.call(caller, h, path, id)
	c.ledger.count(err == nil && a.Status == http.StatusOK)
	if err != nil {
		if path == resumablePath {
			c.resume(caller, rng, id, a.Body)
		}
		return
	}
	if a.Status == http.StatusNotFound {
		c.ledger.violate("%s: %s answered 404 for %s, which all configurations have", id, h.Name, path)
	}
	c.check(h, id, a)
}

// resume takes up a stream after its last complete event, at hosts drawn at random.
// The whole of it must come from one software version.
func (c *callers) resume(caller *platformtest.Caller, rng *rand.Rand, origin, received string) {
	received = completeEvents(received)
	for n := range resumeTries {
		last := strings.Count(received, "id: ")
		if last == 0 {
			return
		}
		h, id := pick(rng, c.world.hosts), fmt.Sprintf("%s-r%d", origin, n)
		c.world.customers.sends(caller.Key, id)
		a, err := caller.Resume(h.Address, resumablePath, id, "body", origin, last)
		if err == nil && a.Status != http.StatusOK {
			c.check(h, id, a)
			continue
		}
		received += completeEvents(a.Body)
		if !isPartOfStream(received) {
			c.ledger.violate("%s: %s resumed %s as %q", id, h.Name, origin, received)
		}
		if err == nil {
			if !isWholeStream(received) {
				c.ledger.violate("%s: %s ended %s as complete with %q", id, h.Name, origin, received)
			}
			c.ledger.countResumed(true)
			return
		}
	}
	c.ledger.countResumed(false)
}

// completeEvents returns the events of a stream up to the last complete one.
func completeEvents(text string) string {
	const end = "\n\n"
	if i := strings.LastIndex(text, end); i >= 0 {
		return text[:i+len(end)]
	}
	return ""
}

// askVersion asks for a path that only one version of the configuration has.
func (c *callers) askVersion(caller *platformtest.Caller, h *Host, id string, version int) {
	at := hostStart{h.Name, h.Starts()}
	floor := c.ledger.floor(at)
	a, err := c.call(caller, h, platformtest.VersionPath(version)+"x", id)
	if err != nil || h.Starts() != at.start {
		return
	}
	c.check(h, id, a)
	if a.Status != http.StatusOK {
		return
	}
	if version < floor {
		c.ledger.violate("%s went back from version %d of the configuration to %d", h.Name, floor, version)
	}
	c.ledger.showed(at, version)
}

// check holds an answer against its promises.
func (c *callers) check(h *Host, id string, a platformtest.Response) {
	switch a.Status {
	case http.StatusUnauthorized:
		c.world.customers.unknown(id, h.Name)
		c.ledger.refused(id)
	case http.StatusOK:
		c.world.customers.accepted(id, h.Name)
		if a.Seal != "seal-"+id || !isWholeStream(a.Body) {
			c.ledger.violate("%s: %s answered a success with signature %q and body %q", id, h.Name, a.Seal, a.Body)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.ledger.refused(id)
	}
}

func (c *callers) batch(sending, reading context.Context, n int) {
	rng, caller, keys := c.rng("batch", n), c.world.newCaller(), c.rng("keys of jobs", n)
	var readers sync.WaitGroup
	for i := 0; sending.Err() == nil; i++ {
		id, items := fmt.Sprintf("j-%d-%d", n, i), 1+rng.IntN(maxItems)
		caller.Key = c.world.customers.draw(keys)
		if c.submit(sending, caller, rng, id, items) {
			seed := rng.Uint64()
			readers.Go(func() { c.read(reading, rand.New(rand.NewPCG(seed, 1)), id, items) })
		}
		sleep(sending, time.Duration(rng.Int64N(int64(2*jobPause))))
	}
	readers.Wait()
}

// submit sends a job until it is accepted.
func (c *callers) submit(ctx context.Context, caller *platformtest.Caller, rng *rand.Rand, id string, items int) bool {
	ids := []string{id}
	for n := range items {
		ids = append(ids, platformtest.ItemID(id, n))
	}
	c.world.customers.sends(caller.Key, ids...)
	refused := 0
	for range submitTries {
		h := pick(rng, c.world.hosts)
		a, err := caller.Submit(h.Address, id, items)
		if err == nil && a.Status == http.StatusAccepted {
			c.world.customers.accepted(id, h.Name)
			c.ledger.accepted(id, items)
			return true
		}
		if err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusUnauthorized) {
			refused++
		}
		sleep(ctx, submitPause)
	}
	if refused == submitTries {
		for _, item := range ids[1:] {
			c.ledger.refused(item)
		}
	}
	return false
}

// read reads a job at random hosts until all its results are known.
func (c *callers) read(ctx context.Context, rng *rand.Rand, id string, items int) {
	caller := c.world.newCaller()
	defer caller.HTTP.CloseIdleConnections()
	for known := 0; known < items && ctx.Err() == nil; sleep(ctx, readPause) {
		caller.Key = c.keyOfJob(caller, rng, id)
		known = max(known, c.readOnce(caller, pick(rng, c.world.hosts), id, max(known-rng.IntN(2), 0)))
	}
}

func (c *callers) readOnce(caller *platformtest.Caller, h *Host, id string, after int) int {
	page, err := caller.PageAfter(h.Address, id, after)
	if platformtest.NotFound(err) {
		c.ledger.violate("job %s: %s answered 404 after it was accepted", id, h.Name)
	}
	if err != nil {
		return 0
	}
	return c.ledger.read(id, after, page, h.Name)
}
