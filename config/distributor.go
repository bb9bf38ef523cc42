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

// Intervals, delays and timeouts of the distribution.
const (
	// heartbeatInterval is the time between two summaries that the relays of a
	// data centre push to its hosts. The relays take turns.
	heartbeatInterval = time.Second
	// compareInterval is the mean time between two comparisons with a random peer.
	compareInterval = 2 * time.Second
	// staleCompareDelay is the delay before the next comparison while
	// heartbeats are missing. It doubles with each comparison up to
	// maxStaleCompareDelay.
	staleCompareDelay    = 250 * time.Millisecond
	maxStaleCompareDelay = 1500 * time.Millisecond
	// takeOverAge is the age of the set at which the first host that is not a
	// relay takes over from the relays. Each further host in rank waits
	// takeOverAgeStep longer.
	takeOverAge     = 2500 * time.Millisecond
	takeOverAgeStep = time.Second
	// maxConfirmedAge is the age of a set up to which it counts as lately confirmed
	// by the store.
	maxConfirmedAge = takeOverAge + relayCount*takeOverAgeStep
	// startTimeout is how long a host that has a copy on disk, or the old set of a
	// peer, waits for a set that the store confirmed lately. After that the host is
	// ready with what it has.
	startTimeout = 3 * time.Second
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// tickInterval is the time between two checks for due heartbeats and
	// comparisons.
	tickInterval = 100 * time.Millisecond
)

const (
	// relayCount is the number of hosts in a data centre that watch the store.
	relayCount = 2
	// relayKey is the key of the rendezvous hash that ranks the hosts of a data
	// centre. The first relayCount hosts are the relays.
	relayKey = "config/relays"
	// fanout is the number of children of a host in the trees that carry
	// pushes.
	fanout = 4
	// compareAttempts bounds the number of peers that one comparison tries.
	compareAttempts = 3
	// startPeers is the number of seeds that a starting host compares its set
	// with at the same time.
	startPeers = 3
)

// Options configure a Distributor.
type Options struct {
	Store kv.Store
	Set   *Set
	Hosts membership.View
	// Peers calls other hosts. Seeds are the addresses that a starting host
	// calls before it knows other hosts.
	Peers peer.Invoker
	Seeds []string
	// DataFolder is where the last complete set is stored. It is empty on a
	// host without a disk.
	DataFolder string
	Clock      clockwork.Clock
	Log        *logrus.Entry
	// Seed is the seed of all random choices, which makes them repeatable.
	Seed uint64
}

// Distributor replicates the documents in the store to every host and puts them
// in force there. In each data centre a few relays watch the store and push
// changes and summaries down trees of hosts. Each host also compares its set
// with random peers, which repairs lost pushes. When the relays send nothing
// any more, further hosts take over from them one after the other.
type Distributor struct {
	Options
	started time.Time
	disk    *diskCache
	workers sync.WaitGroup

	mu      sync.Mutex
	rnd     *rand.Rand
	stopped bool
	// comparing has the addresses of the peers that a comparison is running
	// with.
	comparing map[string]struct{}
	// lastRelayHeartbeat is when the last summary arrived from another host
	// that reaches the store.
	lastRelayHeartbeat time.Time
	// lastContact is the time of the last received push, or of the last
	// successful comparison or watch.
	lastContact time.Time
}

// NewDistributor returns a Distributor and loads the copy on disk, if there is
// one. A copy that cannot be read is ignored.
func NewDistributor(o Options) *Distributor {
	d := &Distributor{Options: o, started: o.Clock.Now(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), comparing: make(map[string]struct{})}
	if o.DataFolder != "" {
		d.disk = &diskCache{path: filepath.Join(o.DataFolder, "config", diskFileName), set: o.Set}
		if err := d.disk.load(); err != nil {
			o.Log.WithError(err).Warn("failed to load documents from disk; starting without them")
		}
	}
	return d
}

// String returns the name of the distributor in supervisor events.
func (d *Distributor) String() string { return "configuration" }

// Register registers the RPC methods that peers call.
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

// runInBackground runs work in a goroutine that stop waits for. It does nothing
// once stop was called.
func (d *Distributor) runInBackground(work func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.workers.Go(work)
	}
}

// stop prevents further background work and waits for the work that is running.
func (d *Distributor) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.workers.Wait()
}

// loop sends heartbeats and starts comparisons when they are due, until ctx
// ends.
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

// heartbeatDue reports whether it is this host's turn to send a heartbeat. The
// relays take turns by the clock. A relay that receives no heartbeats from
// another host sends one in every interval.
func (d *Distributor) heartbeatDue(now time.Time) bool {
	rank := d.rank()
	turn := int(now.Unix()/int64(heartbeatInterval/time.Second)) % relayCount
	return rank == turn || rank < relayCount && !d.hasOtherRelay()
}

// stale reports whether the set may be out of date: neither the store nor a
// peer has confirmed it since the start, it is older than takeOverAge, or
// heartbeats were missed.
func (d *Distributor) stale() bool {
	_, confirmed, age := d.Set.Complete()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !confirmed || age > takeOverAge || d.Clock.Now().Sub(d.lastContact) > heartbeatInterval*3/2
}

// recordContact records that the host reached a peer or the store.
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

// rank returns the host's position in the rendezvous order of its data centre.
// The relays are the hosts with a rank below relayCount.
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

// Lacks returns the reasons why the host is not ready.
func (d *Distributor) Lacks() []string {
	complete, confirmed, age := d.Set.Complete()
	starting := d.Clock.Now().Sub(d.started) < startTimeout
	switch {
	case confirmed && (age <= maxConfirmedAge || !starting):
		return nil
	case confirmed:
		return []string{fmt.Sprintf("the documents of a peer, last confirmed %s ago, wait for a newer word of the platform's service or a peer", age.Round(time.Second))}
	case !complete:
		return []string{"no whole set of documents: neither the platform's service nor a peer has answered, and there is no copy on disk"}
	case starting:
		return []string{"the copy of the documents on disk waits for a word of the platform's service or a peer"}
	default:
		return nil
	}
}

// Warnings returns what an operator should know about a set in force that may
// be out of date.
func (d *Distributor) Warnings() []string {
	complete, confirmed, age := d.Set.Complete()
	switch {
	case complete && !confirmed:
		return []string{fmt.Sprintf("the documents are a copy on disk, %s old", age.Round(time.Second))}
	case complete && age > maxConfirmedAge:
		return []string{fmt.Sprintf("the documents were last confirmed %s ago", age.Round(time.Second))}
	default:
		return nil
	}
}
