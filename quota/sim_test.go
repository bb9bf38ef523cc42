package quota

import (
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// network is a discrete-event model of hosts that run a Service each, without its
// goroutines: messages take time, and hosts die, freeze or are cut off.
type network struct {
	now    time.Duration
	events events
	seq    int
	rng    *rand.Rand
	nodes  []*node
	// limits is the newest configuration, and version its version.
	limits    map[string]customer.Quota
	version   int64
	tolerance Tolerance

	// admitted holds the times of admitted requests by customer, refused the number of
	// refused ones, and retryAfter the last refusal's.
	admitted   map[string][]time.Duration
	refused    map[string]int
	retryAfter time.Duration
	waited     int
	exchanges  int
	wants      int

	// check, if set, is called at least every checkInterval.
	check     func()
	checkedAt time.Duration
	// most is the largest rate and burst of each customer.
	most map[string]customer.Quota
}

const checkInterval = 20 * time.Millisecond

// node is one host.
type node struct {
	*Service
	name, dataCentre string
	dead             bool
	frozenUntil      time.Duration
	view             *membership.Static
	// limits is the configuration that the host has, and version its version.
	limits  map[string]customer.Quota
	version int64
	// side is the side of a partition on which the host is.
	side int
	// suspects holds the brokers that did not answer, with the time until which they are
	// passed over.
	suspects map[string]time.Duration
	// asking is set while an exchange is in progress, urgent while a request waits for the
	// next one, and due is when that follows otherwise.
	asking, urgent bool
	due, endedAt   time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var testTolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// newNetwork returns hosts in data centres of a size each, started at the same time.
func newNetwork(seed uint64, dataCentres, size int, limits map[string]customer.Quota) *network {
	n := &network{
		now: time.Hour, rng: rand.New(rand.NewPCG(seed, 7)), limits: limits, version: 1, tolerance: testTolerance,
		admitted: make(map[string][]time.Duration), refused: make(map[string]int),
	}
	for i := range dataCentres * size {
		n.nodes = append(n.nodes, &node{name: fmt.Sprintf("h%02d", i), dataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	for _, node := range n.nodes {
		n.start(node)
	}
	return n
}

// start starts a host, again if it was dead.
func (n *network) start(h *node) {
	h.view = membership.NewStatic(h.member(), n.others(h, func(*node) bool { return true })...)
	h.limits, h.version = n.limits, n.version
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.Service = NewService(Options{
		Tolerance: n.tolerance, View: h.view, Listed: func() bool { return true }, Registered: func() bool { return true }, Now: func() time.Duration { return n.now },
		Enabled: func() bool { return true }, Log: logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
		Limits: func(name string) (customer.Quota, int64, bool) { l, ok := h.limits[name]; return l, h.version, ok },
	})
	h.account.rng = n.rng
	// A host lists all records at its start: they stay in the store for some seconds after
	// their hosts were cut off from it.
	h.updateView()
	h.dead, h.asking, h.due, h.suspects = false, false, 0, make(map[string]time.Duration)
	service := h.Service
	n.after(n.jitter(50*time.Millisecond), func() { n.pollLoop(h, service) })
	n.after(n.jitter(50*time.Millisecond), func() { n.exchangeLoop(h, service) })
}

func (h *node) member() membership.Host {
	return membership.Host{Name: h.name, DataCentre: h.dataCentre, PeerAddress: h.name}
}

// others returns the other hosts that a host sees.
func (n *network) others(h *node, seen func(*node) bool) []membership.Host {
	var others []membership.Host
	for _, other := range n.nodes {
		if other != h && seen(other) {
			others = append(others, other.member())
		}
	}
	return others
}

// configure puts a limit in force, which reaches each host within a second.
func (n *network) configure(name string, limit customer.Quota) {
	limits := maps.Clone(n.limits)
	limits[name] = limit
	n.limits = limits
	n.version++
	version := n.version
	for _, h := range n.nodes {
		service := h.Service
		n.after(n.jitter(time.Second), func() {
			n.on(h, service, func() {
				if h.version < version {
					h.limits, h.version = limits, version
				}
			})
		})
	}
}

func (n *network) jitter(d time.Duration) time.Duration { return time.Duration(n.rng.Int64N(int64(d))) }

func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.now + d, seq: n.seq, do: do})
}

// run plays the events of a time.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.do()
		if n.check != nil && n.now-n.checkedAt >= checkInterval {
			n.checkedAt = n.now
			n.check()
		}
	}
	n.now = end
}

// on runs a step of a host: later if it is frozen, never if it has died or was started
// again.
func (n *network) on(h *node, service *Service, do func()) {
	switch {
	case h.dead || h.Service != service:
	case n.now < h.frozenUntil:
		n.after(h.frozenUntil-n.now, func() { n.on(h, service, do) })
	default:
		do()
	}
}

func (n *network) latency(a, b *node) time.Duration {
	d := 500 * time.Microsecond
	if a.dataCentre != b.dataCentre {
		d = 8 * time.Millisecond
	}
	return d + n.jitter(2*time.Millisecond)
}

// send delivers a call and its reply. A dead host refuses the connection, and no reply
// arrives from one that is cut off or answers later than the timeout.
func (n *network) send(from, to *node, timeout time.Duration, serve func(reply func(func())), failed func()) {
	service, target := from.Service, to.Service
	done := false
	end := func(do func()) func() {
		return func() {
			n.on(from, service, func() {
				if !done {
					done = true
					do()
				}
			})
		}
	}
	n.after(timeout, end(failed))
	if from.side != to.side {
		return
	}
	n.after(n.latency(from, to), func() {
		if to.dead || to.Service != target {
			n.after(n.latency(from, to), end(failed))
			return
		}
		n.on(to, target, func() {
			serve(func(do func()) {
				if from.side == to.side {
					n.after(n.latency(from, to), end(do))
				}
			})
		})
	})
}

// brokerOf returns the first host of the data centre that the host doesn't suspect.
func (n *network) brokerOf(h *node) *node {
	first := h
	for _, other := range n.nodes {
		if other.dataCentre == h.dataCentre && n.now >= h.suspects[other.name] {
			first = other
			break
		}
	}
	return first
}

func (n *network) pollLoop(h *node, service *Service) {
	n.on(h, service, func() {
		broker := n.brokerOf(h)
		again := func(d time.Duration) { n.after(d, func() { n.pollLoop(h, service) }) }
		attachment := h.PollAttachment(broker.name)
		n.send(h, broker, 800*time.Millisecond, func(reply func(func())) {
			broker.Polled(h.name, attachment)
			target := broker.Service
			hold := 400 * time.Millisecond
			if attachment.WantsStamp {
				hold = 0
			}
			n.after(hold, func() {
				n.on(broker, target, func() {
					stamp := broker.PollStamp()
					reply(func() { h.PollReplied(broker.name, stamp); again(5 * time.Millisecond) })
				})
			})
		}, func() {
			h.suspects[broker.name] = n.now + time.Second
			again(10 * time.Millisecond)
		})
	})
}

func (n *network) exchangeLoop(h *node, service *Service) {
	n.on(h, service, func() {
		n.exchangeIfDue(h)
		n.after(min(max(h.due-n.now, 3*time.Millisecond), lowCreditDelay), func() { n.exchangeLoop(h, service) })
	})
}

func (n *network) exchangeIfDue(h *node) {
	if !h.asking && n.now >= h.endedAt+minGap && (h.urgent || n.now >= h.due) {
		h.urgent = false
		n.exchange(h)
	}
}

// exchangeSoon makes the next exchange as soon as the present one allows.
func (n *network) exchangeSoon(h *node) {
	service := h.Service
	h.urgent = true
	n.after(max(h.endedAt+minGap-n.now, time.Millisecond), func() { n.on(h, service, func() { n.exchangeIfDue(h) }) })
}

func (n *network) nodeOf(name string) *node {
	for _, h := range n.nodes {
		if h.name == name {
			return h
		}
	}
	panic(name)
}

var errUnreachable = errors.New("unreachable")

func (n *network) exchange(h *node) {
	x, ok := h.prepare()
	if !ok {
		h.due = n.now + 50*time.Millisecond
		return
	}
	for _, p := range x.probes {
		to := n.nodeOf(p.Name)
		n.send(h, to, exchangeTimeout, func(reply func(func())) {
			r := new(ExchangeReply)
			_ = to.Peer().Exchange(*h.probeArgs(), r)
			reply(func() { h.probed(p, r) })
		}, func() {})
	}
	n.exchanges++
	n.wants += len(x.args.Wants)
	h.asking = true
	finish := func(r *ExchangeReply, err error) {
		h.asking, h.endedAt = false, n.now
		h.due = n.now + time.Duration((0.8+0.2*n.rng.Float64())*float64(exchangeInterval))
		if h.finish(x, r, err) || h.urgent {
			n.exchangeSoon(h)
		}
	}
	to := n.nodeOf(x.to.Name)
	if to == h {
		r := new(ExchangeReply)
		err := h.Peer().Exchange(*x.args, r)
		finish(r, err)
		return
	}
	n.send(h, to, exchangeTimeout, func(reply func(func())) {
		r := new(ExchangeReply)
		_ = to.Peer().Exchange(*x.args, r)
		reply(func() { finish(r, nil) })
	}, func() { finish(nil, errUnreachable) })
}
