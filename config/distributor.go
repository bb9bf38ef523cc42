package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
)

// Times of the distribution.
const (
	// heartbeatInterval is the time between two summaries from the relays, which
	// take turns.
	heartbeatInterval = time.Second
	// compareInterval is the mean time between two comparisons with a random peer.
	compareInterval = 2 * time.Second
	// staleCompareDelay is the pause before a further comparison while heartbeats are
	// missing; it doubles up to maxHurryPause.
	staleCompareDelay    = 250 * time.Millisecond
	maxStaleCompareDelay = 1500 * time.Millisecond
	// takeOverAge is the age of the set at which the first host that is no relay
	// takes over; takeOverStep is added for each further one in rank.
	takeOverAge     = 2500 * time.Millisecond
	takeOverAgeStep = time.Second
	// startTimeout is how long a host with a copy on disk waits for a word of
	// peers or the service before it is ready with the copy.
	startTimeout = 3 * time.Second
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// tickInterval is the time between two looks at what is due.
	tickInterval = 100 * time.Millisecond
)

const (
	// relayCount is the number of hosts in a data centre that watch the service.
	relayCount = 2
	// relayKey ranks the hosts.
	relayKey = "config/relays"
	// fanout is the number of children of a host in a tree.
	fanout = 4
	// compareAttempts bounds the peers asked in one comparison.
	compareAttempts = 3
	// startPeers is the number of peers that a starting host asks at a time.
	startPeers = 3
)

// Options describe the distribution on one host.
type Options struct {
	Store kv.Store
	Set   *Set
	Hosts membership.View
	// Peers reaches other hosts; Seeds are the addresses that a starting host
	// asks before it knows others.
	Peers peer.Caller
	Seeds []string
	// DataFolder keeps the last set; empty on a host without a disk.
	DataFolder string
	Clock      clockwork.Clock
	Log        *logrus.Entry
	// Seed makes random choices repeatable.
	Seed uint64
}

// Distributor brings the documents of the platform's service into force. In
// each data centre a few relays watch the service and push changes and
// summaries down trees of hosts. Hosts compare their sets with random peers,
// which repairs lost deliveries; when the relays fall silent, others take over
// one after the other.
type Distributor struct {
	Options
	started time.Time
	disk    *diskCache
	workers sync.WaitGroup

	mu      sync.Mutex
	rnd     *rand.Rand
	stopped bool
	// comparing holds the addresses of comparisons under way.
	comparing map[string]struct{}
	// lastRelayHeartbeat is the last time of a summary from a relay that reaches the service.
	lastRelayHeartbeat time.Time
	// lastContact is the last time of a heartbeat, a comparison or a watch.
	lastContact time.Time
}

// NewDistributor returns a Distributor and loads the copy on disk, if any.
func NewDistributor(o Options) *Distributor {
	d := &Distributor{Options: o, started: o.Clock.Now(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), comparing: make(map[string]struct{})}
	if o.DataFolder != "" {
		d.disk = &diskCache{path: filepath.Join(o.DataFolder, "config", diskFileName), set: o.Set}
		if err := d.disk.load(); err != nil {
			o.Log.WithError(err).Warn("copy of documents ignored")
		}
	}
	return d
}

// String names the service in supervisor events.
func (d *Distributor) String() string { return "configuration" }

// Register publishes the methods for peers.
func (d *Distributor) Register(s *peer.Server) error {
	return s.Register(serviceName, &receiver{d: d})
}

// Serve distributes documents until ctx ends.
func (d *Distributor) Serve(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	d.mu.Lock()
	d.stopped = false
	d.mu.Unlock()
	defer d.stop()
	d.runInBackground(func() { d.runRelay(ctx) })
	if d.disk != nil {
		d.runInBackground(func() { d.disk.serve(ctx) })
	}
	d.compareWithSeeds(ctx)
	return d.loop(ctx)
}

// runInBackground runs work in the background, unless the distribution has ended.
func (d *Distributor) runInBackground(work func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.workers.Go(work)
	}
}

// stop waits for all background work.
func (d *Distributor) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.workers.Wait()
}

// loop sends heartbeats and comparisons when they are due.
func (d *Distributor) loop(ctx context.Context) error {
	ticker := d.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	nextHeartbeat, nextCompare := d.Clock.Now(), d.Clock.Now().Add(d.jitter(compareInterval))
	delay, lastCompare := staleCompareDelay, time.Time{}
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		now := d.Clock.Now()
		if !now.Before(nextHeartbeat) {
			nextHeartbeat = now.Truncate(heartbeatInterval).Add(heartbeatInterval)
			if d.heartbeatDue(now) {
				d.push(ctx, nil)
			}
		}
		stale := d.stale()
		if !stale {
			delay = staleCompareDelay
		}
		if stale {
			nextCompare = earlierOf(nextCompare, lastCompare.Add(delay))
		}
		if now.Before(nextCompare) {
			continue
		}
		lastCompare, nextCompare = now, now.Add(d.jitter(compareInterval))
		d.runInBackground(func() { d.compareWithRandomPeer(ctx) })
		if stale {
			delay = min(2*delay, maxStaleCompareDelay)
		}
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// heartbeatDue reports whether it is this host's turn to send a heartbeat: the relays
// take turns by the clock. One that hears nothing of the others heartbeatDue always.
func (d *Distributor) heartbeatDue(now time.Time) bool {
	rank := d.rank()
	turn := int(now.Unix()/int64(heartbeatInterval/time.Second)) % relayCount
	return rank == turn || rank < relayCount && !d.hasOtherRelay()
}

// stale reports whether the host has missed heartbeats, or whether what it
// hears is old.
func (d *Distributor) stale() bool {
	_, confirmed, age := d.Set.Complete()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !confirmed || age > takeOverAge || d.Clock.Now().Sub(d.lastContact) > heartbeatInterval*3/2
}

// recordContact notes that the host reached a peer or the service.
func (d *Distributor) recordContact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact = d.Clock.Now()
}

func (d *Distributor) jitter(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t/2 + time.Duration(d.rnd.Int64N(int64(t)))
}

// rank returns the host's place among the relays of its data centre.
func (d *Distributor) rank() int {
	self := d.Hosts.Self().Name
	local := d.Hosts.Local()
	for i, h := range membership.Rendezvous(local, relayKey, len(local)) {
		if h.Name == self {
			return i
		}
	}
	return len(local)
}

// Lacks names what keeps the host from being ready.
func (d *Distributor) Lacks() []string {
	complete, confirmed, _ := d.Set.Complete()
	switch {
	case confirmed:
		return nil
	case !complete:
		return []string{"no whole set of documents: neither the platform's service nor a peer has answered, and there is no copy on disk"}
	case d.Clock.Now().Sub(d.started) < startTimeout:
		return []string{"the copy of the documents on disk waits for a word of the platform's service or a peer"}
	default:
		return nil
	}
}

// Warnings tells what an operator should know of the set in force.
func (d *Distributor) Warnings() []string {
	complete, confirmed, age := d.Set.Complete()
	switch {
	case complete && !confirmed:
		return []string{fmt.Sprintf("the documents are a copy on disk, %s old", age.Round(time.Second))}
	case complete && age > takeOverAge+takeOverAgeStep*relayCount:
		return []string{fmt.Sprintf("the documents were last confirmed %s ago", age.Round(time.Second))}
	default:
		return nil
	}
}
