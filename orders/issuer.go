package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Kinds of timeline event.
const (
	EventOrderSent      timeline.Kind = "order.sent"
	EventLeaseAcquired  timeline.Kind = "order.term"
	EventRolloutStopped timeline.Kind = "order.rollout_stopped"
)

const (
	// roundInterval is the time between two rounds.
	roundInterval = 5 * time.Second
	// readTimeout limits the reading of one engine's state.
	readTimeout = 2 * time.Second
	// releaseTimeout limits the release of all leases at a planned stop.
	releaseTimeout = 2 * time.Second
)

// Options hold the dependencies of an Issuer; all fields but Errors are required.
type Options struct {
	Store  kv.Store
	Hosts  membership.View
	Clock  clockwork.Clock
	Events *timeline.Recorder
	Log    *logrus.Entry
	// Documents returns the service documents in force.
	Documents func() []*service.Document
	// Client sends orders and reads the states of engines.
	Client *http.Client
	// Errors returns the numbers of requests and errors of an upstream since
	// the host started; nil if they are not known.
	Errors func(service, upstream string) (requests, failed int64)
}

// Issuer sends orders for the services whose lease this host holds in its data
// centre.
type Issuer struct {
	opts Options

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what the issuer knows about one service.
type serviceState struct {
	lease   lease
	fencing uint64
	// sentOrders holds the orders sent under the present fencing number, by engine.
	sentOrders map[string]Target
	observed   map[string]*observation
	// stoppedGeneration is the generation whose rollout was stopped.
	stoppedGeneration uint64
}

// observation records when an engine was first seen in its state, with the counts
// of requests and errors at that time.
type observation struct {
	state            upstream.Order
	since            time.Time
	requests, failed int64
}

// New returns an Issuer that holds no lease yet.
func New(o Options) *Issuer { return &Issuer{opts: o, services: make(map[string]*serviceState)} }

// String returns the name used in supervisor events.
func (i *Issuer) String() string { return "orders" }

// Serve runs a round at each interval until ctx ends. It implements
// suture.Service.
func (i *Issuer) Serve(ctx context.Context) error {
	tick := i.opts.Clock.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.Chan():
			i.Round(ctx)
		case <-ctx.Done():
			i.release()
			return ctx.Err()
		}
	}
}

// release releases the leases of this host at a planned stop. A lease that can't
// be released expires.
func (i *Issuer) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	ctx, cancel := context.WithTimeout(kv.WithPurpose(context.Background(), kv.PurposeOrders), releaseTimeout)
	defer cancel()
	for name, s := range i.services {
		if err := s.lease.release(ctx); err != nil {
			i.opts.Log.WithError(err).WithField("service", name).Warn("failed to release the issuer lease")
		}
	}
}

// Round renews the leases and sends the orders that are due, for every service.
func (i *Issuer) Round(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ctx = kv.WithPurpose(ctx, kv.PurposeOrders)
	var wg sync.WaitGroup
	for _, doc := range i.opts.Documents() {
		if !doc.Orders.Enabled || doc.Kind != service.KindEngine || !i.isCandidate(doc.Name) {
			continue
		}
		s := i.serviceState(doc.Name)
		wg.Go(func() {
			if err := i.issueOrders(ctx, doc, s); err != nil {
				i.opts.Log.WithError(err).WithField("service", doc.Name).Warn("failed to issue orders")
			}
		})
	}
	wg.Wait()
}

// isCandidate reports whether this host is the one to acquire a service's lease.
func (i *Issuer) isCandidate(name string) bool {
	best := membership.Rendezvous(i.opts.Hosts.Local(), "orders/"+name, 1)
	return len(best) == 1 && best[0].Name == i.opts.Hosts.Self().Name
}

func (i *Issuer) serviceState(name string) *serviceState {
	s, ok := i.services[name]
	if !ok {
		key := "orders/" + name + "/" + i.opts.Hosts.Self().DataCentre
		s = &serviceState{lease: lease{store: i.opts.Store, key: key}, observed: make(map[string]*observation)}
		i.services[name] = s
	}
	return s
}

func (i *Issuer) issueOrders(ctx context.Context, doc *service.Document, s *serviceState) error {
	self := i.opts.Hosts.Self()
	quietPeriod := doc.Orders.Timeout + clockMargin
	c := candidate{Holder: self.Name, Incarnation: self.Incarnation, Generation: doc.Generation, Quiet: quietPeriod}
	if err := s.lease.acquireOrRenew(ctx, c, i.opts.Clock.Now); err != nil || !s.lease.held {
		return err
	}
	if s.fencing != s.lease.record.Fencing {
		s.fencing, s.sentOrders = s.lease.record.Fencing, make(map[string]Target)
		i.opts.Events.Record(timeline.Event{Kind: EventLeaseAcquired, Service: doc.Name, Cause: "a new term of the issuer"})
	}
	engines := i.pollEngines(ctx, doc, s)
	plan := PlanOrders(doc.Orders, Targets(doc), engines, i.opts.Clock.Now())
	if plan.Stopped && s.stoppedGeneration != doc.Generation {
		s.stoppedGeneration = doc.Generation
		i.opts.Events.Record(timeline.Event{Kind: EventRolloutStopped, Service: doc.Name, Cause: plan.Reason})
		i.opts.Log.WithField("service", doc.Name).Error("rollout stopped: " + plan.Reason)
	}
	if s.stoppedGeneration == doc.Generation {
		return nil
	}
	return i.sendOrders(ctx, doc, s, plan.Steps)
}

// pollEngines reads the states of the engines in this data centre.
func (i *Issuer) pollEngines(ctx context.Context, doc *service.Document, s *serviceState) []Engine {
	var out []Engine
	var ups []*service.Upstream
	for j := range doc.Upstreams {
		if u := &doc.Upstreams[j]; u.DataCentre == i.opts.Hosts.Self().DataCentre {
			ups = append(ups, u)
			out = append(out, Engine{Name: u.Name})
		}
	}
	var wg sync.WaitGroup
	for j, u := range ups {
		wg.Go(func() {
			var load upstream.Load
			e := &out[j]
			e.Reachable = i.get(ctx, u, upstream.PathOrders, &e.State) == nil
			if e.Reachable && i.get(ctx, u, upstream.PathLoad, &load) == nil && load.TokenInterval > 0 {
				e.Sample.TokenInterval, e.Sample.Engines = load.TokenInterval, 1
			}
		})
	}
	wg.Wait()
	for j := range out {
		i.observe(doc, s, &out[j])
	}
	return out
}

// observe records when an engine was first seen in its state, and sets its counts
// of requests and errors since then.
func (i *Issuer) observe(doc *service.Document, s *serviceState, e *Engine) {
	if !e.serving() {
		return
	}
	var requests, failed int64
	if i.opts.Errors != nil {
		requests, failed = i.opts.Errors(doc.Name, e.Name)
	}
	state := e.State.Order
	state.Fencing = 0
	seen, ok := s.observed[e.Name]
	if !ok || seen.state != state {
		// An engine first observed in its state does not count as new in it.
		since := time.Time{}
		if ok {
			since = i.opts.Clock.Now()
		}
		seen = &observation{state: state, since: since, requests: requests, failed: failed}
		s.observed[e.Name] = seen
	}
	e.Since = seen.since
	e.Sample.Requests, e.Sample.Errors = requests-seen.requests, failed-seen.failed
}

// sendOrders sends the orders of a plan while the lease is held. It checks the
// lease again before each order.
func (i *Issuer) sendOrders(ctx context.Context, doc *service.Document, s *serviceState, steps []Step) error {
	var failed error
	quietPeriod := doc.Orders.Timeout + clockMargin
	for _, step := range steps {
		u := upstreamNamed(doc, step.Engine)
		end, ok := s.lease.maySend(i.opts.Clock.Now(), u.ChecksFencing, quietPeriod)
		if earlier, sent := s.sentOrders[u.Name]; !ok || sent && earlier != step.Target {
			continue
		}
		s.sentOrders[u.Name] = step.Target
		err := i.send(ctx, u, end.Sub(i.opts.Clock.Now()), upstream.Order{
			Fencing: s.fencing, Model: step.Target.Model, Version: step.Target.Version, Adapter: step.Target.Adapter,
		})
		failed = errors.CombineErrors(failed, err)
		i.opts.Events.Record(timeline.Event{
			Kind: EventOrderSent, Service: doc.Name, Upstream: u.Name, Cause: step.Target.Model + " " + step.Target.Version,
		})
	}
	return failed
}

func upstreamNamed(doc *service.Document, name string) *service.Upstream {
	for i := range doc.Upstreams {
		if doc.Upstreams[i].Name == name {
			return &doc.Upstreams[i]
		}
	}
	return &service.Upstream{Name: name}
}

// send sends one order. Repeating it is harmless, since it states the wanted
// state.
func (i *Issuer) send(ctx context.Context, u *service.Upstream, timeout time.Duration, o upstream.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	var state upstream.OrderState
	return i.exchange(ctx, http.MethodPost, u, upstream.PathOrders, body, timeout, &state)
}

func (i *Issuer) get(ctx context.Context, u *service.Upstream, path string, into any) error {
	return i.exchange(ctx, http.MethodGet, u, path, nil, readTimeout, into)
}

func (i *Issuer) exchange(ctx context.Context, method string, u *service.Upstream, path string, body []byte, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request to upstream")
	}
	res, err := i.opts.Client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "send request to upstream %s", u.Name)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("upstream %s: status %d", u.Name, res.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(res.Body).Decode(into), "decode response of upstream %s", u.Name)
}
