package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Customers of a configuration and what is promised of them.
const (
	// steadyCustomer keeps its only key. The other customers have keysEach keys, of which
	// one is replaced at a time.
	steadyCustomer = "steady"
	steadyKey      = "secret-steady"
	keyPrefix      = "secret-"
	keysEach       = 2
	// meanKeyInterval is that of changes of keys.
	meanKeyInterval = time.Second
	// hotCustomer is the one with a quota, of which hotCallers send several times as much.
	hotCustomer = "hot"
	hotCallers  = 4
	hotRate     = 10
	hotBurst    = 10
	// keyRevocation is shorter than the platform's 5 s, so that more of the keys that are
	// removed in a run are sent after it.
	keyRevocation = 3 * time.Second
	quotaWindow   = 5 * time.Second
	quotaExcess   = 0.1
	quotaSlack    = 20
	hotBound      = (hotRate*5+hotBurst)*(1+quotaExcess) + quotaSlack
	// foreignReads is one in how many reads of a job are tried with a key that must not
	// reach it.
	foreignReads = 4
)

var changingCustomers = []string{"acme", "bolt", hotCustomer}

// HasCustomers reports whether the configurations of a seed have customers.
func HasCustomers(seed uint64) bool { return seed%2 == 0 }

// apiKey is a key and its times: when the store had acknowledged it, when its removal
// began and when that was acknowledged.
type apiKey struct {
	text, customer           string
	added, removing, removed time.Time
}

// removedFor reports whether a request sent at a time with the key must not run.
func (k *apiKey) removedFor(sent time.Time) bool {
	return !k.removed.IsZero() && sent.Sub(k.removed) > keyRevocation
}

// keyedRequest is a request or item as its caller sent it; key is nil if it had no key
// that any configuration had.
type keyedRequest struct {
	key *apiKey
	at  time.Time
}

// customers are the keys of a world and what callers and replicas saw of them. Of a world
// without customers it is nil.
type customers struct {
	mu         sync.Mutex
	keys       []*apiKey
	changes    int
	sent       map[string]keyedRequest
	hotStarts  map[string]time.Time
	late       int
	violations []string
}

func newCustomers() *customers {
	return &customers{sent: make(map[string]keyedRequest), hotStarts: make(map[string]time.Time)}
}

// steady returns the key that is in all configurations; empty without customers.
func (c *customers) steady() string {
	if c == nil {
		return ""
	}
	return steadyKey
}

// next removes and adds keys, and returns the customers of the next configuration. The
// changes are in force once acknowledge is called.
func (c *customers) next() []platformtest.Customer {
	c.mu.Lock()
	defer c.mu.Unlock()
	definitions := []platformtest.Customer{{Name: steadyCustomer, Keys: []string{steadyKey}}}
	for i, name := range changingCustomers {
		held := c.where(func(k *apiKey) bool { return k.customer == name && k.removing.IsZero() })
		if len(held) == keysEach && c.changes%len(changingCustomers) == i {
			held[0].removing = time.Now()
			held = held[1:]
		}
		for len(held) < keysEach {
			k := &apiKey{text: fmt.Sprint(keyPrefix, name, "-", len(c.keys)), customer: name}
			c.keys, held = append(c.keys, k), append(held, k)
		}
		d := platformtest.Customer{Name: name}
		for _, k := range held {
			d.Keys = append(d.Keys, k.text)
		}
		if name == hotCustomer {
			d.RatePerS, d.Burst = hotRate, hotBurst
		}
		definitions = append(definitions, d)
	}
	c.changes++
	return definitions
}

// acknowledge notes that the store has acknowledged the changes of next.
func (c *customers) acknowledge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.keys {
		if k.added.IsZero() {
			k.added = time.Now()
		}
		if !k.removing.IsZero() && k.removed.IsZero() {
			k.removed = time.Now()
		}
	}
}

func (c *customers) where(of func(*apiKey) bool) []*apiKey {
	return slices.DeleteFunc(slices.Clone(c.keys), func(k *apiKey) bool { return !of(k) })
}

// valid draws a key of one of the customers that is in the configuration.
func (c *customers) valid(rng *rand.Rand, names ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pick(rng, c.where(func(k *apiKey) bool {
		return slices.Contains(names, k.customer) && !k.added.IsZero() && k.removing.IsZero()
	})).text
}

// draw draws what a caller sends as its key: mostly one that is in the configuration, else
// a removed one, an unknown one or none.
func (c *customers) draw(rng *rand.Rand) string {
	if c == nil {
		return ""
	}
	switch n := rng.IntN(20); n {
	case 0:
		return ""
	case 1:
		return keyPrefix + "unknown"
	case 2, 3, 4, 5:
		c.mu.Lock()
		removed := c.where(func(k *apiKey) bool { return k.customer != hotCustomer && !k.removed.IsZero() })
		c.mu.Unlock()
		if len(removed) > 0 {
			return pick(rng, removed).text
		}
	}
	return c.valid(rng, "acme", "bolt")
}

// sends notes the key with which requests or items are sent for the first time.
func (c *customers) sends(key string, ids ...string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := keyedRequest{at: time.Now()}
	if key == steadyKey {
		r.key = &apiKey{text: key, customer: steadyCustomer, added: r.at}
	}
	if i := slices.IndexFunc(c.keys, func(k *apiKey) bool { return k.text == key }); i >= 0 {
		r.key = c.keys[i]
		if r.key.removedFor(r.at) {
			c.late++
		}
	}
	for _, id := range ids {
		if _, ok := c.sent[id]; !ok {
			c.sent[id] = r
		}
	}
}

func (c *customers) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// accepted checks that a request or job that a host accepted was sent with a key that
// allows it.
func (c *customers) accepted(id, by string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.sent[id]
	switch {
	case !ok:
	case r.key == nil:
		c.violate("%s has no known key and was accepted by %s", id, by)
	case r.key.removedFor(r.at):
		c.violate("%s was accepted by %s though sent %s after the removal of %s", id, by, r.at.Sub(r.key.removed), r.key.text)
	}
}

// unknown checks that a key that a host said to be unknown was not in the configuration
// for longer than hosts may use an older one.
func (c *customers) unknown(id, by string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.sent[id]; r.key != nil && r.key.removing.IsZero() && r.at.Sub(r.key.added) > keyRevocation {
		c.violate("%s: %s doesn't know %s, which was added %s before", id, by, r.key.text, r.at.Sub(r.key.added))
	}
}

// ran checks a request or item that has reached a replica.
func (c *customers) ran(replica string, h http.Header, body string) {
	if c == nil {
		return
	}
	id := platformtest.RequestIn(h)
	c.accepted(id, "replica "+replica)
	c.mu.Lock()
	defer c.mu.Unlock()
	if platformtest.HasKey(h) || strings.Contains(fmt.Sprint(h, body), keyPrefix) {
		c.violate("%s: replica %s sees the key or its header: %v", id, replica, h)
	}
	want := steadyCustomer
	if r, ok := c.sent[id]; ok && r.key != nil {
		want = r.key.customer
	}
	if got := platformtest.CustomerIn(h); !slices.Equal(got, []string{want}) {
		c.violate("%s: replica %s sees the customer %q, not %q", id, replica, got, want)
	}
	if _, ok := c.hotStarts[id]; !ok && want == hotCustomer {
		c.hotStarts[id] = time.Now()
	}
}

// mostOfHot returns the greatest number of requests of the customer with a quota that
// began within a window.
func (c *customers) mostOfHot() int {
	var times []time.Time
	for _, at := range c.hotStarts {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return mostWithin(times, quotaWindow)
}

// check returns what callers and replicas saw that breaks a promise, and a summary.
func (c *customers) check() (violations []string, summary string) {
	if c == nil {
		return nil, "no customers"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.mostOfHot()
	if float64(most) > hotBound {
		c.violate("%d requests of customer %s began in %s, at most %g may", most, hotCustomer, quotaWindow, float64(hotBound))
	}
	return c.violations, fmt.Sprintf("%d changes of keys, %d requests with keys removed before the bound, at most %d of %g of the quota", c.changes, c.late, most, float64(hotBound))
}

// isolate cuts a host off from the store and all other hosts for longer than removed keys
// may be accepted, and removes keys meanwhile.
func (p *planner) isolate() Fault {
	h, spell := pick(p.rng, p.world.hosts), p.between(keyRevocation+minSpell, 2*keyRevocation)
	links := h.proxies()
	for _, other := range p.world.hosts {
		if other != h {
			links = append(links, other.links[h.Name])
		}
	}
	change := p.configure()
	return Fault{Text: fmt.Sprintf("%s is cut off from the store and all hosts for %s, and keys are removed", h.Name, spell), run: func(ctx context.Context) {
		for _, l := range links {
			l.Set(LinkState{HoldUp: true, HoldDown: true})
		}
		change.run(ctx)
		sleep(ctx, spell)
		for _, l := range links {
			l.Set(LinkState{})
		}
	}}
}

// hot sends more requests than the quota of their customer allows.
func (c *callers) hot(ctx context.Context, n int) {
	rng, caller := c.rng("hot", n), c.world.newCaller()
	for i := 0; ctx.Err() == nil; i++ {
		caller.Key = c.world.customers.valid(rng, hotCustomer)
		c.request(caller, rng, pick(rng, c.world.hosts), resumablePath, fmt.Sprintf("hot-%d-%d", n, i))
		sleep(ctx, time.Duration(rng.Int64N(int64(2*onlinePause))))
	}
}

// keyOfJob draws a key of the customer that submitted a job. Now and then it first tries
// one that must not reach the job.
func (c *callers) keyOfJob(caller *platformtest.Caller, rng *rand.Rand, id string) string {
	all := c.world.customers
	if all == nil {
		return ""
	}
	all.mu.Lock()
	owner := steadyCustomer
	if key := all.sent[id].key; key != nil {
		owner = key.customer
	}
	removed := all.where(func(k *apiKey) bool { return k.removedFor(time.Now()) })
	all.mu.Unlock()
	if rng.IntN(foreignReads) == 0 {
		others := slices.DeleteFunc(slices.Clone(changingCustomers), func(name string) bool { return name == owner })
		foreign := []string{"", keyPrefix + "unknown", all.valid(rng, others...), all.valid(rng, others...)}
		if len(removed) > 0 {
			foreign = append(foreign, pick(rng, removed).text)
		}
		h := pick(rng, c.world.hosts)
		caller.Key = pick(rng, foreign)
		if _, err := caller.ResultsAfter(h.Address, id, 0); err == nil {
			c.ledger.violate("job %s of %s: %s let it be read with %q", id, owner, h.Name, caller.Key)
		}
	}
	if owner == steadyCustomer {
		return steadyKey
	}
	return all.valid(rng, owner)
}

// putConfig puts a configuration in force with condition on the one before: a write that
// is applied late must not bring removed keys back.
func (w *World) putConfig(write txn.Write) error {
	for ; ; time.Sleep(20 * time.Millisecond) {
		before, err := w.store.Get(context.Background(), write.Key)
		switch {
		case errors.Is(err, txn.ErrNotFound):
			before.Rev = 0
		case err != nil:
			continue
		case bytes.Equal(before.Value, write.Value):
			return nil
		}
		_, err = w.store.Commit(context.Background(), txn.Request{
			If: []txn.Condition{{Key: write.Key, Rev: before.Rev}}, Writes: []txn.Write{write},
		})
		if err == nil {
			return nil
		}
	}
}
