package slots

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times and weights by which a request that can't be in time in its own data centre is sent
// to another one.
const (
	// maxReportAge is the age from which a report of free slots says nothing: it is about
	// the time for which a request uses a slot.
	maxReportAge = time.Second
	// fullReportAge is the age up to which a data centre that reported no free slot is not
	// asked. Slots become free at any time, so it is asked again soon.
	fullReportAge = 150 * time.Millisecond
	// unknownFree is the number of free slots assumed for a data centre without a recent
	// report. It is low because the data centre may have just become reachable again and
	// only a few requests should test it.
	unknownFree = 2
	// stayFraction is the fraction of the time left that the expected wait in the own data
	// centre may take for the request to stay there. The rest allows for forecasts that are
	// too short.
	stayFraction = 0.5
)

// FreeSlots is the number of slots of a service that were free for online requests in a
// data centre, as reported by its broker Age ago.
type FreeSlots struct {
	DataCentre, Service string
	Free                int
	Age                 time.Duration
}

// freeReports holds the last report of each data centre and service. It is safe for
// concurrent use.
type freeReports struct {
	mu   sync.Mutex
	last map[reportKey]freeReport
}

type reportKey struct{ dataCentre, service string }

type freeReport struct {
	free int
	at   time.Time
}

// observe records reports, unless newer ones are known. Reports with a negative or old age
// or a negative number change nothing.
func (f *freeReports) observe(now time.Time, reports ...FreeSlots) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		f.last = make(map[reportKey]freeReport)
	}
	for _, r := range reports {
		key, at := reportKey{r.DataCentre, r.Service}, now.Add(-r.Age)
		if r.Free < 0 || r.Age < 0 || r.Age >= maxReportAge || at.Before(f.last[key].at) {
			continue
		}
		f.last[key] = freeReport{r.Free, at}
	}
}

// get returns the last report, if it is recent.
func (f *freeReports) get(now time.Time, dataCentre, service string) (free int, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.last[reportKey{dataCentre, service}]
	age = now.Sub(r.at)
	return r.free, age, ok && age < maxReportAge
}

// recent returns all recent reports, and forgets the others.
func (f *freeReports) recent(now time.Time) []FreeSlots {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []FreeSlots
	for key, r := range f.last {
		if age := now.Sub(r.at); age < maxReportAge {
			reports = append(reports, FreeSlots{key.dataCentre, key.service, r.free, age})
		} else {
			delete(f.last, key)
		}
	}
	return reports
}

// target is another data centre that a request may be sent to.
type target struct {
	dataCentre string
	sameRegion bool
	// unreachable reports that its broker has answered no call since one failed, or that it
	// has no broker.
	unreachable bool
	// free and age are those of its last report, if known.
	free  int
	age   time.Duration
	known bool
}

// rank returns the rank of a target, with the lowest asked first. Traffic between regions is
// billed, so targets in the own region come before others; unreachable ones come last.
func (t *target) rank() int {
	switch {
	case t.unreachable:
		return 2
	case t.sameRegion:
		return 0
	}
	return 1
}

// weight returns the weight of a target in the random choice among those of equal rank.
// A report counts less the older it is.
func (t *target) weight() float64 {
	if !t.known {
		return unknownFree
	}
	trust := 1 - float64(t.age)/float64(maxReportAge)
	return trust*float64(t.free) + (1-trust)*unknownFree
}

// full reports whether the data centre had no free slot just now.
func (t *target) full() bool { return t.known && t.free == 0 && t.age < fullReportAge }

// orderTargets returns the data centres to ask, the best first. Of several with free slots
// it chooses at random in proportion to their number, so that the requests of all hosts
// don't go to the one with the most. Those that were full just now are left out. If
// askFull is set, those of the own region come last instead: the requests of a customer may go
// before those that wait there. Unreachable ones are left out if there is another.
func orderTargets(targets []target, askFull bool, random func() float64) []string {
	type candidate struct {
		target
		key float64
	}
	var candidates []candidate
	for _, t := range targets {
		if t.full() && (!askFull || !t.sameRegion) {
			continue
		}
		// The order by random()^(1/weight) draws without replacement by weight.
		candidates = append(candidates, candidate{t, math.Pow(random(), 1/max(t.weight(), 1e-3))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBools(a.unreachable, b.unreachable), compareBools(a.full(), b.full()), cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.key, a.key))
	})
	var names []string
	for _, c := range candidates {
		if c.unreachable && len(names) > 0 {
			break
		}
		names = append(names, c.dataCentre)
	}
	return names
}

// remoteTargets returns the data centres to ask for a slot after the own one. Without the
// load that the reports are for, these are all others by name.
func (c *Client) remoteTargets(args *AcquireArgs, informed bool) []string {
	if !informed {
		return c.otherDataCentres()
	}
	c.usesReports.Store(true)
	now, self := c.Clock.Now(), c.View.Self()
	regions := make(map[string]string)
	for _, h := range c.View.Remote() {
		regions[h.DataCentre] = h.Region
	}
	var targets []target
	for _, dc := range c.otherDataCentres() {
		t := target{dataCentre: dc, sameRegion: regions[dc] == self.Region, unreachable: c.isUnreachable(dc)}
		t.free, t.age, t.known = c.free.get(now, dc, args.Service)
		targets = append(targets, t)
	}
	return orderTargets(targets, args.Customer != "", c.random)
}

func (c *Client) random() float64 {
	if c.Random == nil {
		return rand.Float64()
	}
	return c.Random()
}

// isUnreachable reports whether a data centre has no broker, or the one that would be asked for
// a slot has answered no call since one failed.
func (c *Client) isUnreachable(dataCentre string) bool {
	brokers := c.brokers(dataCentre)
	if len(brokers) == 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects[brokers[0].Name].failures > 0
}

// needsProbe reports whether polls have to find out when a data centre answers again, since
// no request is sent there before that: a request would lose most of its time.
func (c *Client) needsProbe(dataCentre string) bool {
	return c.usesReports.Load() && c.isUnreachable(dataCentre)
}

// stay waits in the own data centre, if a request that was refused there once is still
// expected to be in time, for the part of the rest of its time that leaves enough for
// another data centre. Otherwise it returns the refusal.
func (c *Client) stay(ctx context.Context, own string, args *AcquireArgs, token *heldToken, rest time.Duration, refusal *RefusedError) (Grant, *RefusedError) {
	longest := time.Duration(stayFraction * float64(rest))
	if refusal.Replicas == 0 || longest <= 0 || max(refusal.Wait, refusal.QueueWait) > longest {
		return Grant{}, refusal
	}
	args.MaxWait = longest
	return c.acquireFrom(ctx, own, args, token)
}

// freeSlots returns the number of slots of a service that online requests would get now:
// the free ones and those that batch items give up, less the requests that wait.
func (s *Scheduler) freeSlots(now time.Time, p *pool) int {
	free := -len(p.queue)
	for _, r := range p.replicas {
		if r.Ready && r.available(now) {
			free += max(r.Slots-r.used, 0)
		}
	}
	for _, g := range s.grants {
		if s.services[g.Replica.Service] == p && g.Class == Batch && g.replicaState.Ready && !g.protected(now) {
			free++
		}
	}
	return max(free, 0)
}

// addForecast adds to a reply what the host needs to choose between data centres. The lock
// is held.
func (b *Broker) addForecast(args *AcquireArgs, reply *AcquireReply) {
	now := b.clock.Now()
	p := b.sched.pool(args.Service)
	if reply.Uneven = p.speed.active(now); !reply.Uneven && args.Customer == "" {
		return
	}
	reply.FreeKnown, reply.Free = true, b.sched.freeSlots(now, p)
	if !reply.Granted {
		reply.QueueWait = b.sched.expectedWait(now, p, args)
	}
}
