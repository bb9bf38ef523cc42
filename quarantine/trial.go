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
	// drainTimeout bounds the wait until an upstream has finished other work.
	drainTimeout = 2 * time.Second
	// trialPollInterval is the time between two looks at a reserved upstream.
	trialPollInterval = 50 * time.Millisecond
	// maxExcludedFraction bounds the part of the upstreams near that is avoided as lost.
	maxExcludedFraction = 0.5
	// failureWindow is the time for which an upstream counts as lost lately.
	failureWindow = 10 * time.Second
	// maxFailedFraction is the part of the upstreams near beyond which each suspect runs
	// alone, and waits until fewer are lost.
	maxFailedFraction = 0.25
	// trialCooldown is the time for which an upstream that was lost gets no trial.
	trialCooldown = time.Second
	// maxReservedFraction bounds the part of the upstreams that are reserved.
	maxReservedFraction = 0.5
)

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// reservation keeps an upstream for a suspect.
type reservation struct {
	host  string
	f     Fingerprint
	until time.Time
	// own says that this host holds it.
	own bool
	// shared says that the upstream is the only one near, so that other
	// requests must go there too.
	shared bool
}

func (r reservation) localTrial() Fingerprint {
	if !r.own {
		return 0
	}
	return r.f
}

// trialSemaphores admits one trial of a service at a time on this host.
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

// ReserveArgs asks a host to keep away from an upstream for a term; a zero term
// ends the reservation.
type ReserveArgs struct {
	Service     string
	Upstream    string
	Host        string
	Fingerprint Fingerprint
	Term        time.Duration
}

// ReserveReply says whether the host agrees, and its requests in flight there.
type ReserveReply struct {
	Granted  bool
	InFlight int
}

// Reserve takes another host's reservation.
func (p *Peer) Reserve(in ReserveArgs, out *ReserveReply) error {
	*out = p.watch.handleReserve(in)
	return nil
}

func (w *Detector) handleReserve(in ReserveArgs) ReserveReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := upstreamKey{in.Service, in.Upstream}
	existing, ok := w.reservations[key]
	if ok && existing.host != in.Host && w.Clock.Now().Before(existing.until) {
		return ReserveReply{}
	}
	if in.Term == 0 {
		delete(w.reservations, key)
		return ReserveReply{Granted: true}
	}
	w.reservations[key] = reservation{host: in.Host, f: in.Fingerprint, until: w.Clock.Now().Add(in.Term)}
	return ReserveReply{Granted: true, InFlight: sumCounts(w.inFlight[key])}
}

func sumCounts(running map[Fingerprint]int) int {
	n := 0
	for _, count := range running {
		n += count
	}
	return n
}

// ExcludedUpstreams implements Guard.
func (w *Detector) ExcludedUpstreams(name string) []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if len(w.reservations) == 0 && len(w.failures) == 0 {
		return nil
	}
	now := w.Clock.Now()
	var out []string
	for key, r := range w.reservations {
		if key.service == name && !r.shared && now.Before(r.until) {
			out = append(out, key.upstream)
		}
	}
	return append(out, w.downUpstreams(name, now)...)
}

// downUpstreams returns the lost upstreams of a service that are not back. When
// they are many, news of them is not trusted and none is returned.
func (w *Detector) downUpstreams(name string, now time.Time) []string {
	var out []string
	for key := range w.failures {
		if key.service == name && w.isDown(key, now) {
			out = append(out, key.upstream)
		}
	}
	doc, ok := w.Document(name)
	if !ok || float64(len(out)) > maxExcludedFraction*float64(len(w.nearestUpstreams(doc))) {
		return nil
	}
	return out
}

// Reserve implements Guard.
func (w *Detector) Reserve(ctx context.Context, doc *service.Document, f Fingerprint) (Reservation, error) {
	sem := w.trials.forService(doc.Name)
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return Reservation{}, trialTimeoutError(doc)
	}
	free := func() { <-sem }
	// While it waited for the slot, another host may have found out.
	if _, err := w.Check(doc.Name, f); err != nil {
		free()
		return Reservation{}, err
	}
	for {
		if u, ok := w.prepareUpstream(ctx, doc, f); ok {
			w.recordEvent(EventTrial, upstreamKey{doc.Name, u}, f)
			return Reservation{Upstream: u, Release: func() { w.releaseReservation(doc.Name, u, f); free() }}, nil
		}
		select {
		case <-w.Clock.After(trialPollInterval):
		case <-ctx.Done():
			free()
			return Reservation{}, trialTimeoutError(doc)
		}
	}
}

// prepareUpstream reserves an upstream that is alive and waits until it is free.
func (w *Detector) prepareUpstream(ctx context.Context, doc *service.Document, f Fingerprint) (string, bool) {
	w.mu.RLock()
	degraded := w.degraded(doc.Name, w.Clock.Now(), true)
	w.mu.RUnlock()
	if degraded {
		return "", false
	}
	nearest := w.nearestUpstreams(doc)
	u, ok := w.trialCandidate(doc, nearest)
	if !ok {
		return "", false
	}
	if !w.isAlive(ctx, doc, u) {
		w.recordFailure(upstreamKey{doc.Name, u})
		return "", false
	}
	if !w.reserveUpstream(ctx, doc, u, f, len(nearest) == 1) {
		return "", false
	}
	if len(nearest) > 1 {
		w.drain(ctx, doc, u, f)
	}
	return u, true
}

func (w *Detector) recordFailure(key upstreamKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[key] = failure{at: w.Clock.Now()}
}

func trialTimeoutError(doc *service.Document) error {
	return verdict.New(verdict.NotRun, verdict.CodeTimeout, "No upstream of service %s became free for a request that runs alone.", doc.Name).
		WithRetryAfter(time.Second)
}

// trialCandidate returns the upstream for the next trial: one that this host is the
// first to use for trials, if any, with the least of its own work.
func (w *Detector) trialCandidate(doc *service.Document, nearest []string) (string, bool) {
	hosts := w.View.Local()
	w.mu.RLock()
	defer w.mu.RUnlock()
	now := w.Clock.Now()
	best, bestCost, reserved := "", 0, 0
	for _, name := range nearest {
		key := upstreamKey{doc.Name, name}
		if r, ok := w.reservations[key]; ok && now.Before(r.until) {
			reserved++
			continue
		}
		if l, ok := w.failures[key]; ok && now.Sub(l.at) < trialCooldown {
			continue
		}
		cost := 2 * sumCounts(w.inFlight[key])
		if owner := membership.Rendezvous(hosts, doc.Name+"/"+name, 1); len(owner) > 0 && owner[0].Name != w.View.Self().Name {
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

// nearestUpstreams returns the names of the upstreams in the data centre, or else in the
// region, or else all.
func (w *Detector) nearestUpstreams(doc *service.Document) []string {
	for _, matches := range []func(*service.Upstream) bool{
		func(u *service.Upstream) bool { return u.DataCentre == w.DataCentre },
		func(u *service.Upstream) bool { return u.Region == w.Region },
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

// reserveUpstream takes the upstream on every host that can be reached.
func (w *Detector) reserveUpstream(ctx context.Context, doc *service.Document, upstream string, f Fingerprint, shared bool) bool {
	key := upstreamKey{doc.Name, upstream}
	until := w.Clock.Now().Add(doc.Routing.RequestTimeout)
	w.mu.Lock()
	if r, ok := w.reservations[key]; ok && w.Clock.Now().Before(r.until) {
		w.mu.Unlock()
		return false
	}
	w.reservations[key] = reservation{host: w.View.Self().Name, f: f, until: until, own: true, shared: shared}
	w.mu.Unlock()
	if shared {
		return true
	}
	granted, _ := w.reserveAtPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
	if !granted {
		w.releaseReservation(doc.Name, upstream, f)
	}
	return granted
}

// reserveAtPeers sends a reservation to the peers. It returns whether none of them
// refused, and their requests in flight.
func (w *Detector) reserveAtPeers(ctx context.Context, in ReserveArgs) (bool, int) {
	in.Host = w.View.Self().Name
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var refused atomic.Bool
	var inFlight atomic.Int64
	w.forEachPeer(ctx, func(ctx context.Context, h membership.Host) {
		var reply ReserveReply
		if err := w.Peers.Call(ctx, h.PeerAddress, PeerName+".Reserve", in, &reply); err != nil {
			return
		}
		if !reply.Granted {
			refused.Store(true)
		}
		inFlight.Add(int64(reply.InFlight))
	})
	return !refused.Load(), int(inFlight.Load())
}

// drain waits until nothing else runs on a reserved upstream, but not long.
func (w *Detector) drain(ctx context.Context, doc *service.Document, upstream string, f Fingerprint) {
	key := upstreamKey{doc.Name, upstream}
	deadline := w.Clock.Now().Add(drainTimeout)
	for w.Clock.Now().Before(deadline) && ctx.Err() == nil {
		w.mu.RLock()
		own := sumCounts(w.inFlight[key])
		w.mu.RUnlock()
		_, peers := w.reserveAtPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
		if own+peers == 0 {
			return
		}
		wait.For(ctx, w.Clock, trialPollInterval)
	}
}

func (w *Detector) releaseReservation(name, upstream string, f Fingerprint) {
	w.mu.Lock()
	delete(w.reservations, upstreamKey{name, upstream})
	w.mu.Unlock()
	go func() {
		_, _ = w.reserveAtPeers(context.Background(), ReserveArgs{Service: name, Upstream: upstream, Fingerprint: f})
	}()
}
