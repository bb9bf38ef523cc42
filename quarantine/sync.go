package quarantine

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// PeerName is the net/rpc service name under which hosts exchange notices and
// reservations.
const PeerName = "Quarantine"

const (
	// confirmedPrefix is the prefix of the store keys that hold the confirmed
	// requests, one key for each service.
	confirmedPrefix = "quarantine/"
	// pullInterval is the time between two pulls of all confirmed requests from
	// the relay.
	pullInterval = 30 * time.Second
	// storeWatchTimeout bounds one call that waits for changes in the store.
	storeWatchTimeout = 30 * time.Second
	// storeRetryDelay is the time between two attempts after an error of the
	// store.
	storeRetryDelay = 5 * time.Second
	// maxWriteAttempts bounds the attempts to write the confirmed requests of a
	// service.
	maxWriteAttempts = 5
	// maxConcurrentCalls bounds the concurrent calls to peers for one notice or
	// reservation.
	maxConcurrentCalls = 32
)

// Notice carries changes of one service's quarantine state from host to host.
type Notice struct {
	Service   string
	Crash     *Crash
	Cleared   []Fingerprint
	Confirmed []Confirmed
	// Group, SuspectFor and Harmless are those of Findings.
	Group      bool
	SuspectFor time.Duration
	Harmless   []Fingerprint
	// Unreached holds the requests that were taken for being in progress at a crash, and
	// never reached the upstream.
	Unreached *Crash
	// Back names an upstream that failed and answers again.
	Back string
}

// Ack is the empty argument or reply of a call.
type Ack struct{}

// Peer serves the calls of peers.
type Peer struct{ detector *Detector }

// Peer returns the net/rpc receiver to register under PeerName.
func (d *Detector) Peer() *Peer { return &Peer{detector: d} }

// Tell applies a notice of a peer.
func (p *Peer) Tell(n Notice, _ *Ack) error {
	p.detector.applyNotice(n)
	return nil
}

// Pull returns the confirmed requests of all services.
func (p *Peer) Pull(_ Ack, out *[]Notice) error {
	p.detector.mu.RLock()
	defer p.detector.mu.RUnlock()
	for _, name := range p.detector.state.Services() {
		*out = append(*out, Notice{Service: name, Confirmed: p.detector.state.Confirmed(name)})
	}
	return nil
}

// applyNotice applies a notice to the state of this host. It ignores services
// without quarantine.
func (d *Detector) applyNotice(n Notice) {
	doc, ok := d.Document(n.Service)
	if !ok || !doc.Quarantine.Enabled {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if n.Crash != nil {
		d.addFailure(upstreamKey{n.Crash.Service, n.Crash.Upstream}, now)
	}
	d.state.Apply(n, now, doc.Quarantine.Duration)
	d.markRecovered(upstreamKey{n.Service, n.Back})
}

// localPeers returns the peers in this data centre.
func (d *Detector) localPeers() []membership.Host {
	self := d.View.Self()
	var out []membership.Host
	for _, h := range d.View.Local() {
		if h.Name != self.Name {
			out = append(out, h)
		}
	}
	return out
}

// notifyPeers sends a notice to the peers in this data centre and waits for
// their replies, at most for notifyTimeout.
func (d *Detector) notifyPeers(n Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	d.forEachPeer(ctx, func(ctx context.Context, h membership.Host) {
		if err := d.Peers.Call(ctx, h.PeerAddress, PeerName+".Tell", n, &Ack{}); err != nil {
			d.Log.WithError(err).WithField("peer", h.Name).Debug("cannot send quarantine notice to peer")
		}
	})
}

// forEachPeer calls do for the peers in this data centre, at most
// maxConcurrentCalls at a time, and waits for all calls. After ctx has ended it
// starts no further call.
func (d *Detector) forEachPeer(ctx context.Context, do func(context.Context, membership.Host)) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentCalls)
	for _, h := range d.localPeers() {
		select {
		case sem <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			do(ctx, h)
			<-sem
		})
	}
	wg.Wait()
}

// publish writes the confirmed requests of a service to the store, where the
// other data centres read them.
func (d *Detector) publish(name string) {
	if d.Store == nil {
		return
	}
	ctx := kv.WithPurpose(context.Background(), kv.PurposeQuarantine)
	for range maxWriteAttempts {
		err := d.swapConfirmed(ctx, name)
		if err == nil {
			return
		}
		d.Log.WithError(err).WithField("service", name).Warn("cannot write confirmed requests to the store")
		if !errors.Is(err, kv.ErrConflict) {
			d.Clock.Sleep(storeRetryDelay)
		}
	}
}

// swapConfirmed merges the stored confirmed requests of a service into the
// state and replaces them by the result in a conditional write.
func (d *Detector) swapConfirmed(ctx context.Context, name string) error {
	key := confirmedPrefix + name
	record, err := kv.Read(ctx, d.Store, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	d.mergeConfirmed(name, record.Payload)
	d.mu.RLock()
	text, err := json.Marshal(d.state.Confirmed(name))
	d.mu.RUnlock()
	if err != nil {
		return errors.Wrap(err, "encode confirmed requests")
	}
	_, err = kv.Swap(ctx, d.Store, kv.Put{Key: key, Value: text, If: record.Version})
	return err
}

// mergeConfirmed adds the confirmed requests in the payload of a stored record.
func (d *Detector) mergeConfirmed(name string, payload []byte) {
	var list []Confirmed
	if len(payload) == 0 {
		return
	}
	if err := json.Unmarshal(payload, &list); err != nil {
		d.Log.WithError(err).WithField("service", name).Warn("cannot decode stored confirmed requests")
		return
	}
	d.applyNotice(Notice{Service: name, Confirmed: list})
}

// Serve keeps the confirmed requests in sync with the other hosts until ctx
// ends. One host of each data centre, the relay, watches the store and notifies
// its peers. The peers also pull from the relay at intervals, in case a notice
// did not reach them.
func (d *Detector) Serve(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, kv.PurposeQuarantine)
	for ctx.Err() == nil {
		relay := membership.Rendezvous(d.View.Local(), PeerName, 1)
		if len(relay) == 0 || relay[0].Name == d.View.Self().Name {
			if d.watchStore(ctx) == nil {
				continue
			}
			wait.For(ctx, d.Clock, storeRetryDelay)
			continue
		}
		d.pull(ctx, relay[0])
		wait.For(ctx, d.Clock, pullInterval)
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (d *Detector) String() string { return "quarantine" }

func (d *Detector) pull(ctx context.Context, from membership.Host) {
	var notices []Notice
	if err := d.Peers.Call(ctx, from.PeerAddress, PeerName+".Pull", Ack{}, &notices); err != nil {
		d.Log.WithError(err).WithField("peer", from.Name).Debug("cannot pull confirmed requests from peer")
		return
	}
	for _, n := range notices {
		d.applyNotice(n)
	}
}

// watchStore reads the stored confirmed requests and applies changes. It returns
// nil when this host is no longer the relay, which it checks after each watch
// call.
func (d *Detector) watchStore(ctx context.Context) error {
	if d.Store == nil {
		wait.For(ctx, d.Clock, pullInterval)
		return nil
	}
	initial, err := d.Store.Watch(ctx, kv.Watch{Key: confirmedPrefix, Prefix: true})
	if err != nil {
		return err
	}
	d.readAllConfirmed(ctx)
	after := initial.Through
	for ctx.Err() == nil {
		changes, err := d.Store.Watch(ctx, kv.Watch{Key: confirmedPrefix, Prefix: true, After: after, Wait: storeWatchTimeout})
		if err != nil {
			return err
		}
		after = changes.Through
		for _, e := range changes.Events {
			d.handleStoreEvent(e)
		}
		relay := membership.Rendezvous(d.View.Local(), PeerName, 1)
		if len(relay) > 0 && relay[0].Name != d.View.Self().Name {
			return nil
		}
	}
	return ctx.Err()
}

// readAllConfirmed reads the stored confirmed requests of all services in force.
func (d *Detector) readAllConfirmed(ctx context.Context) {
	for _, name := range d.Services() {
		record, err := kv.Read(ctx, d.Store, confirmedPrefix+name)
		if err == nil {
			d.mergeConfirmed(name, record.Payload)
		}
	}
}

// handleStoreEvent applies a changed key and notifies the peers in this data
// centre.
func (d *Detector) handleStoreEvent(e kv.Event) {
	if e.Deleted {
		return
	}
	record, err := kv.RecordOf(e.Entry)
	if err != nil {
		d.Log.WithError(err).Warn("cannot decode stored record of confirmed requests")
		return
	}
	name := strings.TrimPrefix(e.Key, confirmedPrefix)
	d.mergeConfirmed(name, record.Payload)
	d.mu.RLock()
	n := Notice{Service: name, Confirmed: d.state.Confirmed(name)}
	d.mu.RUnlock()
	d.notifyPeers(n)
}
