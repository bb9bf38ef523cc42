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

// PeerName is the name under which hosts serve each other's notices.
const PeerName = "Quarantine"

const (
	confirmedPrefix = "quarantine/"
	// pullInterval is the time between two pulls of a peer's whole state.
	pullInterval      = 30 * time.Second
	storeWatchTimeout = 30 * time.Second
	storeRetryDelay   = 5 * time.Second
	// maxWriteAttempts bounds the tries to write the confirmed requests of a service.
	maxWriteAttempts = 5
	// maxConcurrentCalls bounds the calls to peers under way for one notice.
	maxConcurrentCalls = 32
)

// Notice is what a host learned.
type Notice struct {
	Service   string
	Crash     *Crash
	Cleared   []Fingerprint
	Confirmed []Confirmed
	// Back names an upstream that was lost and answers again.
	Back string
}

// Ack is the empty reply.
type Ack struct{}

// Peer serves the calls of other hosts.
type Peer struct{ watch *Detector }

// Peer returns the receiver that is registered under PeerName.
func (w *Detector) Peer() *Peer { return &Peer{watch: w} }

// Tell takes a notice.
func (p *Peer) Tell(n Notice, _ *Ack) error {
	p.watch.applyNotice(n)
	return nil
}

// Pull returns all confirmed requests.
func (p *Peer) Pull(_ Ack, out *[]Notice) error {
	p.watch.mu.RLock()
	defer p.watch.mu.RUnlock()
	for _, name := range p.watch.state.Services() {
		*out = append(*out, Notice{Service: name, Confirmed: p.watch.state.Confirmed(name)})
	}
	return nil
}

func (w *Detector) applyNotice(n Notice) {
	doc, ok := w.Document(n.Service)
	if !ok || !doc.Quarantine.Enabled {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.Crash != nil {
		// The sender confirms; here the crash only implicates.
		c := *n.Crash
		c.Trial = 0
		w.failures[upstreamKey{c.Service, c.Upstream}] = failure{at: w.Clock.Now()}
		w.state.RecordCrash(c, doc.Quarantine.Duration)
	}
	w.markRecovered(upstreamKey{n.Service, n.Back})
	for _, f := range n.Cleared {
		w.state.Clear(n.Service, f)
	}
	for _, c := range n.Confirmed {
		if c.Until.After(w.Clock.Now()) {
			w.state.Confirm(n.Service, c)
		}
	}
}

// localPeers returns the other hosts of the data centre.
func (w *Detector) localPeers() []membership.Host {
	self := w.View.Self()
	var out []membership.Host
	for _, h := range w.View.Local() {
		if h.Name != self.Name {
			out = append(out, h)
		}
	}
	return out
}

// notifyPeers sends a notice to the hosts of the data centre and waits for their
// replies, but not long.
func (w *Detector) notifyPeers(n Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	w.forEachPeer(ctx, func(ctx context.Context, h membership.Host) {
		if err := w.Peers.Call(ctx, h.PeerAddress, PeerName+".Tell", n, &Ack{}); err != nil {
			w.Log.WithError(err).WithField("peer", h.Name).Debug("quarantine notice not delivered")
		}
	})
}

// forEachPeer calls do for every other host of the data centre, some at a time.
func (w *Detector) forEachPeer(ctx context.Context, do func(context.Context, membership.Host)) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentCalls)
	for _, h := range w.localPeers() {
		select {
		case sem <- struct{}{}:
		case <-ctx.Done():
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(ctx, h)
			<-sem
		}()
		if ctx.Err() != nil {
			break
		}
	}
	wg.Wait()
}

// publish writes the confirmed requests of a service for the other data
// centres.
func (w *Detector) publish(name string) {
	if w.Store == nil {
		return
	}
	ctx := kv.WithPurpose(context.Background(), kv.PurposeQuarantine)
	for range maxWriteAttempts {
		err := w.swapConfirmed(ctx, name)
		if err == nil {
			return
		}
		w.Log.WithError(err).WithField("service", name).Warn("confirmed requests not written")
		if !errors.Is(err, kv.ErrConflict) {
			w.Clock.Sleep(storeRetryDelay)
		}
	}
}

func (w *Detector) swapConfirmed(ctx context.Context, name string) error {
	key := confirmedPrefix + name
	record, err := kv.Read(ctx, w.Store, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	w.mergeConfirmed(name, record.Payload)
	w.mu.RLock()
	text, err := json.Marshal(w.state.Confirmed(name))
	w.mu.RUnlock()
	if err != nil {
		return errors.Wrap(err, "encode confirmed requests")
	}
	_, err = kv.Swap(ctx, w.Store, kv.Put{Key: key, Value: text, If: record.Version})
	return err
}

// mergeConfirmed takes the confirmed requests that other data centres wrote.
func (w *Detector) mergeConfirmed(name string, payload []byte) {
	var list []Confirmed
	if len(payload) == 0 {
		return
	}
	if err := json.Unmarshal(payload, &list); err != nil {
		w.Log.WithError(err).WithField("service", name).Warn("confirmed requests not readable")
		return
	}
	w.applyNotice(Notice{Service: name, Confirmed: list})
}

// Serve keeps in step with the other hosts until ctx ends. One host of the
// data centre watches the platform's service; the others pull from it, so that
// a lost notice is made good.
func (w *Detector) Serve(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, kv.PurposeQuarantine)
	for ctx.Err() == nil {
		relay := membership.Rendezvous(w.View.Local(), PeerName, 1)
		if len(relay) == 0 || relay[0].Name == w.View.Self().Name {
			if w.watchStore(ctx) == nil {
				continue
			}
			wait.For(ctx, w.Clock, storeRetryDelay)
			continue
		}
		w.pull(ctx, relay[0])
		wait.For(ctx, w.Clock, pullInterval)
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (w *Detector) String() string { return "quarantine" }

func (w *Detector) pull(ctx context.Context, from membership.Host) {
	var notices []Notice
	if err := w.Peers.Call(ctx, from.PeerAddress, PeerName+".Pull", Ack{}, &notices); err != nil {
		w.Log.WithError(err).WithField("peer", from.Name).Debug("confirmed requests not pulled")
		return
	}
	for _, n := range notices {
		w.applyNotice(n)
	}
}

// watchStore reads what is stored and follows changes until it is no longer
// the relay, which it checks after each wait.
func (w *Detector) watchStore(ctx context.Context) error {
	if w.Store == nil {
		wait.For(ctx, w.Clock, pullInterval)
		return nil
	}
	initial, err := w.Store.Watch(ctx, kv.Watch{Key: confirmedPrefix, Prefix: true})
	if err != nil {
		return err
	}
	w.readAllConfirmed(ctx)
	after := initial.Through
	for ctx.Err() == nil {
		changes, err := w.Store.Watch(ctx, kv.Watch{Key: confirmedPrefix, Prefix: true, After: after, Wait: storeWatchTimeout})
		if err != nil {
			return err
		}
		after = changes.Through
		for _, e := range changes.Events {
			w.handleStoreEvent(e)
		}
		relay := membership.Rendezvous(w.View.Local(), PeerName, 1)
		if len(relay) > 0 && relay[0].Name != w.View.Self().Name {
			return nil
		}
	}
	return ctx.Err()
}

// readAllConfirmed reads the keys of all services in force.
func (w *Detector) readAllConfirmed(ctx context.Context) {
	for _, name := range w.Services() {
		record, err := kv.Read(ctx, w.Store, confirmedPrefix+name)
		if err == nil {
			w.mergeConfirmed(name, record.Payload)
		}
	}
}

// handleStoreEvent takes a changed key and passes it on to the data centre.
func (w *Detector) handleStoreEvent(e kv.Event) {
	if e.Deleted {
		return
	}
	record, err := kv.RecordOf(e.Entry)
	if err != nil {
		w.Log.WithError(err).Warn("confirmed requests not readable")
		return
	}
	name := strings.TrimPrefix(e.Key, confirmedPrefix)
	w.mergeConfirmed(name, record.Payload)
	w.mu.RLock()
	n := Notice{Service: name, Confirmed: w.state.Confirmed(name)}
	w.mu.RUnlock()
	w.notifyPeers(n)
}
