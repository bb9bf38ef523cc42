package quarantine

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// drainTimeout bounds the wait until a reserved upstream has finished its
	// other requests.
	drainTimeout = 2 * time.Second
	// trialPollInterval is the time between two attempts to reserve an upstream,
	// and between two polls of a reserved upstream that is draining.
	trialPollInterval = 50 * time.Millisecond
	// maxExcludedFraction bounds the fraction of the nearest upstreams that are
	// excluded as failed.
	maxExcludedFraction = 0.5
	// failureWindow is the time for which a failure of an upstream counts as
	// recent.
	failureWindow = 10 * time.Second
	// maxFailedFraction is the fraction of the nearest upstreams that may have
	// failed recently; above it each suspect runs alone, and trials wait until
	// fewer upstreams are down.
	maxFailedFraction = 0.25
	// trialCooldown is the time after a failure during which an upstream gets no
	// trial.
	trialCooldown = time.Second
	// maxReservedFraction bounds the fraction of the nearest upstreams that are
	// reserved at the same time.
	maxReservedFraction = 0.5
)

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// reservation is the reservation of an upstream for a suspect, held by any host.
type reservation struct {
	host  string
	f     Fingerprint
	until time.Time
	// own is set if this host holds the reservation.
	own bool
	// shared is set if there is only one nearest upstream, so that other requests
	// are still sent there.
	shared bool
}

// localTrial returns the suspect if this host holds the reservation, or else
// zero.
func (r reservation) localTrial() Fingerprint {
	if !r.own {
		return 0
	}
	return r.f
}

// trialSemaphores limits each service to one trial at a time on this host.
type trialSemaphores struct {
	mu        sync.Mutex
	byService map[string]chan struct{}
}

func newTrialSemaphores() trialSemaphores {
	return trialSemaphores{byService: make(map[string]chan struct{})}
}

func (t *trialSemaphores) forService(name string) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	sem, ok := t.byService[name]
	if !ok {
		sem = make(chan struct{}, 1)
		t.byService[name] = sem
	}
	return sem
}

// ReserveArgs asks a host to send no requests to an upstream for the duration
// Term; a zero Term ends the reservation.
type ReserveArgs struct {
	Service     string
	Upstream    string
	Host        string
	Fingerprint Fingerprint
	Term        time.Duration
}

// ReserveReply says whether the host accepts the reservation, and how many
// requests it has in flight on the upstream.
type ReserveReply struct {
	Granted  bool
	InFlight int
}

// Reserve handles a reservation of a peer.
func (p *Peer) Reserve(in ReserveArgs, out *ReserveReply) error {
	*out = p.detector.handleReserve(in)
	return nil
}

// handleReserve records or ends a peer's reservation. It refuses if another
// host holds the upstream.
func (d *Detector) handleReserve(in ReserveArgs) ReserveReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := upstreamKey{in.Service, in.Upstream}
	existing, ok := d.reservations[key]
	if ok && existing.host != in.Host && d.Clock.Now().Before(existing.until) {
		return ReserveReply{}
	}
	if in.Term == 0 {
		// The end of an earlier reservation may arrive after the next one began.
		if existing.f == in.Fingerprint {
			delete(d.reservations, key)
		}
		return ReserveReply{Granted: true}
	}
	d.reservations[key] = reservation{host: in.Host, f: in.Fingerprint, until: d.Clock.Now().Add(in.Term)}
	return ReserveReply{Granted: true, InFlight: sumCounts(d.inFlight[key])}
}

// sumCounts returns the number of requests in flight.
func sumCounts(running map[Fingerprint]int) int {
	n := 0
	for _, count := range running {
		n += count
	}
	return n
}

// ExcludedUpstreams implements Guard.
func (d *Detector) ExcludedUpstreams(name string) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if len(d.reservations) == 0 && len(d.failures) == 0 {
		return nil
	}
	now := d.Clock.Now()
	var out []string
	for key, r := range d.reservations {
		if key.service == name && !r.shared && now.Before(r.until) {
			out = append(out, key.upstream)
		}
	}
	return append(out, d.downUpstreams(name, now)...)
}

// downUpstreams returns the upstreams of a service that are down. If they are
// more than maxExcludedFraction of the nearest upstreams, it returns none, so
// that false reports of failures can't exclude most of a service.
func (d *Detector) downUpstreams(name string, now time.Time) []string {
	var out []string
	for key := range d.failures {
		if key.service == name && d.isDown(key, now) {
			out = append(out, key.upstream)
		}
	}
	doc, ok := d.Document(name)
	if !ok || float64(len(out)) > maxExcludedFraction*float64(len(d.nearestUpstreams(doc))) {
		return nil
	}
	return out
}

// Reserve implements Guard.
func (d *Detector) Reserve(ctx context.Context, doc *service.Document, f Fingerprint) (Reservation, error) {
	sem := d.trials.forService(doc.Name)
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return Reservation{}, trialTimeoutError(doc)
	}
	free := func() { <-sem }
	// The request may have been confirmed while this call waited for the
	// semaphore.
	if _, err := d.Check(doc.Name, f); err != nil {
		free()
		return Reservation{}, err
	}
	for {
		if u, ok := d.prepareUpstream(ctx, doc, f); ok {
			d.recordEvent(EventTrial, upstreamKey{doc.Name, u}, f)
			return Reservation{Upstream: u, Release: func() { d.releaseReservation(doc.Name, u, f); free() }}, nil
		}
		select {
		case <-d.Clock.After(trialPollInterval):
		case <-ctx.Done():
			free()
			return Reservation{}, trialTimeoutError(doc)
		}
	}
}

// prepareUpstream reserves an upstream that is alive and waits until its other
// requests have ended. It reports false if no upstream can be reserved now.
func (d *Detector) prepareUpstream(ctx context.Context, doc *service.Document, f Fingerprint) (string, bool) {
	d.mu.RLock()
	degraded := d.degraded(doc.Name, d.Clock.Now(), true)
	d.mu.RUnlock()
	if degraded {
		return "", false
	}
	nearest := d.nearestUpstreams(doc)
	u, ok := d.trialCandidate(doc, nearest)
	if !ok {
		return "", false
	}
	if !d.isAlive(ctx, doc, u) {
		if ctx.Err() == nil {
			d.recordFailure(upstreamKey{doc.Name, u})
		}
		return "", false
	}
	if !d.reserveUpstream(ctx, doc, u, f, len(nearest) == 1) {
		return "", false
	}
	if len(nearest) > 1 {
		d.drain(ctx, doc, u, f)
	}
	return u, true
}

// recordFailure records that an upstream failed now.
func (d *Detector) recordFailure(key upstreamKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addFailure(key, d.Clock.Now())
}

// addFailure adds a failure and removes those that no longer count. The lock is held.
func (d *Detector) addFailure(key upstreamKey, now time.Time) {
	for other, f := range d.failures {
		if now.Sub(f.at) > failureWindow {
			delete(d.failures, other)
		}
	}
	d.failures[key] = failure{at: now}
}

func trialTimeoutError(doc *service.Document) error {
	return verdict.New(verdict.NotRun, verdict.CodeTimeout, "No upstream of service %s became free for a request that runs alone.", doc.Name).
		WithRetryAfter(time.Second)
}

// trialCandidate returns the upstream for the next trial. Rendezvous hashing
// assigns each upstream to one host for trials; upstreams assigned to this host
// come first, then those with the fewest requests of this host in flight.
func (d *Detector) trialCandidate(doc *service.Document, nearest []string) (string, bool) {
	hosts := d.View.Local()
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := d.Clock.Now()
	best, bestCost, reserved := "", 0, 0
	for _, name := range nearest {
		key := upstreamKey{doc.Name, name}
		if r, ok := d.reservations[key]; ok && now.Before(r.until) {
			reserved++
			continue
		}
		if l, ok := d.failures[key]; ok && now.Sub(l.at) < trialCooldown {
			continue
		}
		cost := 2 * sumCounts(d.inFlight[key])
		if owner := membership.Rendezvous(hosts, doc.Name+"/"+name, 1); len(owner) > 0 && owner[0].Name != d.View.Self().Name {
			cost += 2*len(nearest) + 1
		}
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	if best == "" || len(nearest) > 1 && float64(reserved+1) > maxReservedFraction*float64(len(nearest)) {
		return "", false
	}
	return best, true
}

// nearestUpstreams returns the names of the upstreams in this data centre. If
// there are none it returns those in the region, or else all.
func (d *Detector) nearestUpstreams(doc *service.Document) []string {
	for _, matches := range []func(*service.Upstream) bool{
		func(u *service.Upstream) bool { return u.DataCentre == d.DataCentre },
		func(u *service.Upstream) bool { return u.Region == d.Region },
		func(*service.Upstream) bool { return true },
	} {
		var out []string
		for i := range doc.Upstreams {
			if matches(&doc.Upstreams[i]) {
				out = append(out, doc.Upstreams[i].Name)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// reserveUpstream reserves an upstream on this host and on every reachable peer
// of the data centre. A shared reservation is only recorded on this host.
func (d *Detector) reserveUpstream(ctx context.Context, doc *service.Document, upstream string, f Fingerprint, shared bool) bool {
	key := upstreamKey{doc.Name, upstream}
	until := d.Clock.Now().Add(doc.Routing.RequestTimeout)
	d.mu.Lock()
	if r, ok := d.reservations[key]; ok && d.Clock.Now().Before(r.until) {
		d.mu.Unlock()
		return false
	}
	d.reservations[key] = reservation{host: d.View.Self().Name, f: f, until: until, own: true, shared: shared}
	d.mu.Unlock()
	if shared {
		return true
	}
	granted, _ := d.reserveAtPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
	if !granted {
		d.releaseReservation(doc.Name, upstream, f)
	}
	return granted
}

// reserveAtPeers sends a reservation to the peers. It reports whether none of
// them refused, and returns the number of their requests in flight on the
// upstream. A peer that doesn't reply counts as not refusing, with no requests.
func (d *Detector) reserveAtPeers(ctx context.Context, in ReserveArgs) (bool, int) {
	in.Host = d.View.Self().Name
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var refused atomic.Bool
	var inFlight atomic.Int64
	d.forEachPeer(ctx, func(ctx context.Context, h membership.Host) {
		var reply ReserveReply
		if err := d.Peers.Call(ctx, h.PeerAddress, PeerName+".Reserve", in, &reply); err != nil {
			return
		}
		if !reply.Granted {
			refused.Store(true)
		}
		inFlight.Add(int64(reply.InFlight))
	})
	return !refused.Load(), int(inFlight.Load())
}

// drain waits until no other request runs on a reserved upstream, at most for
// drainTimeout. Each poll also renews the reservation at the peers.
func (d *Detector) drain(ctx context.Context, doc *service.Document, upstream string, f Fingerprint) {
	key := upstreamKey{doc.Name, upstream}
	deadline := d.Clock.Now().Add(drainTimeout)
	for d.Clock.Now().Before(deadline) && ctx.Err() == nil {
		d.mu.RLock()
		own := sumCounts(d.inFlight[key])
		d.mu.RUnlock()
		_, peers := d.reserveAtPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
		if own+peers == 0 {
			return
		}
		wait.For(ctx, d.Clock, trialPollInterval)
	}
}

// releaseReservation ends a reservation on this host and, without waiting, at
// the peers.
func (d *Detector) releaseReservation(name, upstream string, f Fingerprint) {
	d.mu.Lock()
	delete(d.reservations, upstreamKey{name, upstream})
	d.mu.Unlock()
	go func() {
		_, _ = d.reserveAtPeers(context.Background(), ReserveArgs{Service: name, Upstream: upstream, Fingerprint: f})
	}()
}
