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
	// drainTime bounds the wait until an upstream has finished other work.
	drainTime = 2 * time.Second
	// trialPoll is the time between two looks at a reserved upstream.
	trialPoll = 50 * time.Millisecond
	// maxAvoided bounds the part of the upstreams near that is avoided as lost.
	maxAvoided = 0.5
	// lostTime is the time for which an upstream counts as lost lately.
	lostTime = 10 * time.Second
	// maxLost is the part of the upstreams near beyond which each suspect runs
	// alone, and waits until fewer are lost.
	maxLost = 0.25
	// downTime is the time for which an upstream that was lost gets no trial.
	downTime = time.Second
	// maxReserved bounds the part of the upstreams that are reserved.
	maxReserved = 0.5
)

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// reservation keeps an upstream for a suspect.
type reservation struct {
	host  string
	f     Fingerprint
	until time.Time
	// mine says that this host holds it.
	mine bool
	// shared says that the upstream is the only one near, so that other
	// requests must go there too.
	shared bool
}

func (r reservation) trialHere() Fingerprint {
	if !r.mine {
		return 0
	}
	return r.f
}

// trials admits one trial of a service at a time on this host.
type trials struct {
	mu        sync.Mutex
	byService map[string]chan struct{}
}

func newTrials() trials { return trials{byService: make(map[string]chan struct{})} }

func (t *trials) slot(name string) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot, ok := t.byService[name]
	if !ok {
		slot = make(chan struct{}, 1)
		t.byService[name] = slot
	}
	return slot
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
	*out = p.watch.grant(in)
	return nil
}

func (w *Watch) grant(in ReserveArgs) ReserveReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := place{in.Service, in.Upstream}
	held, ok := w.reserved[at]
	if ok && held.host != in.Host && w.Clock.Now().Before(held.until) {
		return ReserveReply{}
	}
	if in.Term == 0 {
		delete(w.reserved, at)
		return ReserveReply{Granted: true}
	}
	w.reserved[at] = reservation{host: in.Host, f: in.Fingerprint, until: w.Clock.Now().Add(in.Term)}
	return ReserveReply{Granted: true, InFlight: total(w.inFlight[at])}
}

func total(running map[Fingerprint]int) int {
	n := 0
	for _, count := range running {
		n += count
	}
	return n
}

// Avoid implements Guard.
func (w *Watch) Avoid(name string) []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if len(w.reserved) == 0 && len(w.losses) == 0 {
		return nil
	}
	now := w.Clock.Now()
	var out []string
	for at, r := range w.reserved {
		if at.service == name && !r.shared && now.Before(r.until) {
			out = append(out, at.upstream)
		}
	}
	return append(out, w.lostUpstreams(name, now)...)
}

// lostUpstreams returns the lost upstreams of a service that are not back. When
// they are many, news of them is not trusted and none is returned.
func (w *Watch) lostUpstreams(name string, now time.Time) []string {
	var out []string
	for at := range w.losses {
		if at.service == name && w.gone(at, now) {
			out = append(out, at.upstream)
		}
	}
	doc, ok := w.Document(name)
	if !ok || float64(len(out)) > maxAvoided*float64(len(w.near(doc))) {
		return nil
	}
	return out
}

// Reserve implements Guard.
func (w *Watch) Reserve(ctx context.Context, doc *service.Document, f Fingerprint) (Reservation, error) {
	slot := w.trials.slot(doc.Name)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return Reservation{}, noTrial(doc)
	}
	free := func() { <-slot }
	// While it waited for the slot, another host may have found out.
	if _, err := w.Check(doc.Name, f); err != nil {
		free()
		return Reservation{}, err
	}
	for {
		if u, ok := w.prepare(ctx, doc, f); ok {
			w.record(EventTrial, place{doc.Name, u}, f)
			return Reservation{Upstream: u, Release: func() { w.release(doc.Name, u, f); free() }}, nil
		}
		select {
		case <-w.Clock.After(trialPoll):
		case <-ctx.Done():
			free()
			return Reservation{}, noTrial(doc)
		}
	}
}

// prepare reserves an upstream that is alive and waits until it is free.
func (w *Watch) prepare(ctx context.Context, doc *service.Document, f Fingerprint) (string, bool) {
	w.mu.RLock()
	hurt := w.hurt(doc.Name, w.Clock.Now(), true)
	w.mu.RUnlock()
	if hurt {
		return "", false
	}
	near := w.near(doc)
	u, ok := w.candidate(doc, near)
	if !ok {
		return "", false
	}
	if !w.alive(ctx, doc, u) {
		w.setLost(place{doc.Name, u})
		return "", false
	}
	if !w.reserve(ctx, doc, u, f, len(near) == 1) {
		return "", false
	}
	if len(near) > 1 {
		w.drain(ctx, doc, u, f)
	}
	return u, true
}

func (w *Watch) setLost(at place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses[at] = loss{at: w.Clock.Now()}
}

func noTrial(doc *service.Document) error {
	return verdict.New(verdict.NotRun, verdict.CodeTimeout, "No upstream of service %s became free for a request that runs alone.", doc.Name).
		WithRetryAfter(time.Second)
}

// candidate returns the upstream for the next trial: one that this host is the
// first to use for trials, if any, with the least of its own work.
func (w *Watch) candidate(doc *service.Document, near []string) (string, bool) {
	hosts := w.View.Local()
	w.mu.RLock()
	defer w.mu.RUnlock()
	now := w.Clock.Now()
	best, bestCost, taken := "", 0, 0
	for _, name := range near {
		at := place{doc.Name, name}
		if r, ok := w.reserved[at]; ok && now.Before(r.until) {
			taken++
			continue
		}
		if l, ok := w.losses[at]; ok && now.Sub(l.at) < downTime {
			continue
		}
		cost := 2 * total(w.inFlight[at])
		if owner := membership.Rendezvous(hosts, doc.Name+"/"+name, 1); len(owner) > 0 && owner[0].Name != w.View.Self().Name {
			cost += 2*len(near) + 1
		}
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	if best == "" || len(near) > 1 && float64(taken+1) > maxReserved*float64(len(near)) {
		return "", false
	}
	return best, true
}

// near returns the names of the upstreams in the data centre, or else in the
// region, or else all.
func (w *Watch) near(doc *service.Document) []string {
	for _, near := range []func(*service.Upstream) bool{
		func(u *service.Upstream) bool { return u.DataCentre == w.DataCentre },
		func(u *service.Upstream) bool { return u.Region == w.Region },
		func(*service.Upstream) bool { return true },
	} {
		var out []string
		for i := range doc.Upstreams {
			if near(&doc.Upstreams[i]) {
				out = append(out, doc.Upstreams[i].Name)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// reserve takes the upstream on every host that can be reached.
func (w *Watch) reserve(ctx context.Context, doc *service.Document, upstream string, f Fingerprint, shared bool) bool {
	at := place{doc.Name, upstream}
	until := w.Clock.Now().Add(doc.Routing.RequestTimeout)
	w.mu.Lock()
	if r, ok := w.reserved[at]; ok && w.Clock.Now().Before(r.until) {
		w.mu.Unlock()
		return false
	}
	w.reserved[at] = reservation{host: w.View.Self().Name, f: f, until: until, mine: true, shared: shared}
	w.mu.Unlock()
	if shared {
		return true
	}
	granted, _ := w.askPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
	if !granted {
		w.release(doc.Name, upstream, f)
	}
	return granted
}

// askPeers sends a reservation to the peers. It returns whether none of them
// refused, and their requests in flight.
func (w *Watch) askPeers(ctx context.Context, in ReserveArgs) (bool, int) {
	in.Host = w.View.Self().Name
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var refused atomic.Bool
	var running atomic.Int64
	w.each(ctx, func(ctx context.Context, h membership.Host) {
		var reply ReserveReply
		if err := w.Peers.Call(ctx, h.PeerAddress, PeerName+".Reserve", in, &reply); err != nil {
			return
		}
		if !reply.Granted {
			refused.Store(true)
		}
		running.Add(int64(reply.InFlight))
	})
	return !refused.Load(), int(running.Load())
}

// drain waits until nothing else runs on a reserved upstream, but not long.
func (w *Watch) drain(ctx context.Context, doc *service.Document, upstream string, f Fingerprint) {
	at := place{doc.Name, upstream}
	end := w.Clock.Now().Add(drainTime)
	for w.Clock.Now().Before(end) && ctx.Err() == nil {
		w.mu.RLock()
		own := total(w.inFlight[at])
		w.mu.RUnlock()
		_, peers := w.askPeers(ctx, ReserveArgs{Service: doc.Name, Upstream: upstream, Fingerprint: f, Term: doc.Routing.RequestTimeout})
		if own+peers == 0 {
			return
		}
		wait.For(ctx, w.Clock, trialPoll)
	}
}

func (w *Watch) release(name, upstream string, f Fingerprint) {
	w.mu.Lock()
	delete(w.reserved, place{name, upstream})
	w.mu.Unlock()
	go func() {
		_, _ = w.askPeers(context.Background(), ReserveArgs{Service: name, Upstream: upstream, Fingerprint: f})
	}()
}
