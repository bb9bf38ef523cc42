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
	// resumablePath and briskPath are those of streams that may be resumed. Hosts give up
	// replicas that are silent for half of the longest gap, which is short on briskPath.
	resumablePath = "/s/x"
	briskPath     = "/g/x"
	// resumeTries are the attempts to resume one stream.
	resumeTries = 2
	maxItems    = 8
)

var streamPaths = []string{resumablePath, briskPath}

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
	if c.world.suffers(leavingCallers) {
		for n := range leavers {
			all.Go(func() { c.leave(sending, n) })
		}
	}
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
	versions := 2
	if c.world.suffers(silentConnections) || c.world.suffers(upgrade) {
		versions = recentVersions
	}
	for i := 0; ctx.Err() == nil; i++ {
		caller.Key = c.world.customers.draw(keys)
		h, id := pick(rng, c.world.hosts), fmt.Sprintf("q-%d-%d", n, i)
		switch rng.IntN(4) {
		case 0:
			c.ledger.limited(id)
			c.request(caller, rng, h, "/o/x", id)
		case 1:
			c.askVersion(caller, h, id, c.world.Version()-rng.IntN(versions))
		default:
			c.request(caller, rng, h, pick(rng, streamPaths), id)
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
		received := c.brokenOff(h, id, path, a)
		if isResumable(path) {
			c.resume(caller, rng, path, id, received)
		}
		return
	}
	if a.Status == http.StatusNotFound {
		c.ledger.violate("%s: %s answered 404 for %s, which all configurations have", id, h.Name, path)
	}
	c.check(h, path, id, a)
}

func isResumable(path string) bool {
	return strings.HasPrefix(path, "/s/") || strings.HasPrefix(path, "/g/")
}

// brokenOff notes a response that broke off and returns what was received whole.
func (c *callers) brokenOff(h *Host, id, path string, a platformtest.Response) text {
	received := text{path: path}
	if a.Status == http.StatusOK {
		received.parts = []part{{request: id, host: h.Name, body: a.Body}}
		c.ledger.received(received)
	}
	return received.whole()
}

// resume takes up a stream after its last complete event, at hosts drawn at random.
func (c *callers) resume(caller *platformtest.Caller, rng *rand.Rand, path, origin string, received text) {
	for n := range resumeTries {
		last := received.last()
		if last == 0 {
			return
		}
		h, id := pick(rng, c.world.hosts), fmt.Sprintf("%s-r%d", origin, n)
		c.world.customers.sends(caller.Key, id)
		a, err := caller.Resume(h.Address, path, id, "body", origin, last)
		if a.Status != http.StatusOK {
			if err == nil {
				c.check(h, path, id, a)
			}
			continue
		}
		received = received.join(part{request: id, host: h.Name, body: a.Body}, err == nil)
		c.ledger.received(received)
		if err == nil {
			c.ledger.countResumed(true)
			return
		}
		received = received.whole()
	}
	c.ledger.countResumed(false)
}

// askVersion asks for a path that only one version of the configuration has.
func (c *callers) askVersion(caller *platformtest.Caller, h *Host, id string, version int) {
	at := hostStart{h.Name, h.Starts()}
	floor, sent := c.ledger.floor(at), time.Now()
	a, err := c.call(caller, h, platformtest.VersionPath(version)+"x", id)
	if err != nil || h.Starts() != at.start {
		return
	}
	c.world.CheckVersion(c.ledger, h.Name, id, version, sent, a)
	c.check(h, platformtest.VersionPath(version), id, a)
	if a.Status != http.StatusOK {
		return
	}
	if version < floor {
		c.ledger.violate("%s went back from version %d of the configuration to %d", h.Name, floor, version)
	}
	c.ledger.showed(at, version)
}

// check holds an answer against its promises.
func (c *callers) check(h *Host, path, id string, a platformtest.Response) {
	switch a.Status {
	case http.StatusUnauthorized:
		c.world.customers.unknown(id, h.Name)
		c.ledger.refused(id)
	case http.StatusOK:
		c.world.customers.accepted(id, h.Name)
		if a.Seal != "seal-"+id {
			c.ledger.violate("%s: %s answered a success with signature %q and body %q", id, h.Name, a.Seal, a.Body)
		}
		c.ledger.received(text{path: path, parts: []part{{request: id, host: h.Name, body: a.Body}}, complete: true})
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
