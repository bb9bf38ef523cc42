package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Kinds of event that a Detector records.
const (
	EventCrash     timeline.Kind = "quarantine.crash"
	EventCleared   timeline.Kind = "quarantine.cleared"
	EventConfirmed timeline.Kind = "quarantine.confirmed"
	EventTrial     timeline.Kind = "quarantine.trial"
)

const (
	// probeTimeout bounds one probe of an upstream.
	probeTimeout = 500 * time.Millisecond
	// notifyTimeout bounds the wait for the peers' replies to a notice or a
	// reservation.
	notifyTimeout = 250 * time.Millisecond
	// recoveryPollInterval is the time between two probes of a failed upstream.
	recoveryPollInterval = 250 * time.Millisecond
	// disconnectWindow is the time within which broken connections to one
	// upstream are attributed to the same failure.
	disconnectWindow = time.Second
)

// Options are the options of a Detector. All fields but Store are required.
type Options struct {
	DataCentre string
	Region     string
	View       membership.View
	Peers      peer.Invoker
	// Alive probes an upstream and reports whether it responded.
	Alive func(ctx context.Context, u *service.Upstream) bool
	// Document returns the document in force of a service.
	Document func(name string) (*service.Document, bool)
	// Services returns the names of the services in force.
	Services func() []string
	// Store carries confirmed requests to other data centres. If it is nil,
	// they stay in this one.
	Store  kv.Store
	Events *timeline.Recorder
	Clock  clockwork.Clock
	Log    *logrus.Entry
}

// upstreamKey identifies an upstream of a service.
type upstreamKey struct {
	service  string
	upstream string
}

// Detector is the Guard of a host. It keeps a State and exchanges crashes,
// cleared and confirmed requests with its peers.
type Detector struct {
	Options
	failureChecks singleflight.Group
	trials        trialSemaphores

	mu           sync.RWMutex
	state        *State
	inFlight     map[upstreamKey]map[Fingerprint]int
	disconnects  map[upstreamKey][]disconnect
	reservations map[upstreamKey]reservation
	// failures holds the last failure of each upstream.
	failures map[upstreamKey]failure
}

// failure is the time at which an upstream failed, and whether it has answered
// since.
type failure struct {
	at        time.Time
	recovered bool
}

// disconnect is a request whose connection to an upstream broke.
type disconnect struct {
	f  Fingerprint
	at time.Time
}

var _ Guard = (*Detector)(nil)

// NewDetector returns a Detector without suspects.
func NewDetector(o Options) *Detector {
	return &Detector{
		Options: o, state: NewState(), trials: newTrialSemaphores(),
		inFlight:    make(map[upstreamKey]map[Fingerprint]int),
		disconnects: make(map[upstreamKey][]disconnect), reservations: make(map[upstreamKey]reservation), failures: make(map[upstreamKey]failure),
	}
}

// Check implements Guard.
func (d *Detector) Check(name string, f Fingerprint) (bool, error) {
	d.mu.RLock()
	now := d.Clock.Now()
	decision, until := Run, now
	if !d.state.Empty(name) {
		decision, until = d.state.Decide(name, f, now, d.degraded(name, now, false))
	}
	d.mu.RUnlock()
	switch decision {
	case Refuse:
		return false, verdict.New(verdict.NotRun, verdict.CodeQuarantined,
			"Upstreams of service %s were lost each time they ran this request.", name).WithRetryAfter(until.Sub(now))
	case RunAlone:
		return true, nil
	default:
		return false, nil
	}
}

// degraded reports whether more than maxFailedFraction of the nearest upstreams
// failed within failureWindow. With onlyDown set, those that have answered since
// don't count.
func (d *Detector) degraded(name string, now time.Time, onlyDown bool) bool {
	doc, ok := d.Document(name)
	if !ok {
		return false
	}
	nearest, failed := d.nearestUpstreams(doc), 0
	for _, u := range nearest {
		key := upstreamKey{name, u}
		l, ok := d.failures[key]
		if onlyDown && d.isDown(key, now) || !onlyDown && ok && now.Sub(l.at) < failureWindow {
			failed++
		}
	}
	return float64(failed) > maxFailedFraction*float64(len(nearest))
}

// isDown reports whether an upstream failed within failureWindow and has not
// answered since.
func (d *Detector) isDown(key upstreamKey, now time.Time) bool {
	l, ok := d.failures[key]
	return ok && !l.recovered && now.Sub(l.at) < failureWindow
}

// awaitRecovery probes a failed upstream until it responds, at most for
// failureWindow, and notifies the peers of the recovery.
func (d *Detector) awaitRecovery(doc *service.Document, key upstreamKey) {
	for deadline := d.Clock.Now().Add(failureWindow); d.Clock.Now().Before(deadline); {
		d.Clock.Sleep(recoveryPollInterval)
		if d.isAlive(context.Background(), doc, key.upstream) {
			d.mu.Lock()
			d.markRecovered(key)
			d.mu.Unlock()
			d.notifyPeers(Notice{Service: key.service, Back: key.upstream})
			return
		}
	}
}

// markRecovered records that a failed upstream answers again.
func (d *Detector) markRecovered(key upstreamKey) {
	if l, ok := d.failures[key]; ok && !l.recovered {
		l.recovered = true
		d.failures[key] = l
	}
}

// Started implements Guard.
func (d *Detector) Started(name, upstream string, f Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := upstreamKey{name, upstream}
	running, ok := d.inFlight[key]
	if !ok {
		running = make(map[Fingerprint]int)
		d.inFlight[key] = running
	}
	running[f]++
}

// Ended implements Guard.
func (d *Detector) Ended(name, upstream string, f Fingerprint, end End) {
	key := upstreamKey{name, upstream}
	cleared := false
	d.mu.Lock()
	d.removeInFlight(key, f)
	switch end {
	case Finished:
		cleared = d.state.Clear(name, f)
		d.markRecovered(key)
	case ConnectionLost:
		d.recordDisconnect(key, f)
	case Abandoned:
	}
	d.mu.Unlock()
	if cleared {
		d.recordEvent(EventCleared, key, f)
		go d.notifyPeers(Notice{Service: name, Cleared: []Fingerprint{f}})
	}
	if end == ConnectionLost {
		d.handleDisconnect(key, f)
	}
}

// removeInFlight decrements the count of f in flight on an upstream.
func (d *Detector) removeInFlight(key upstreamKey, f Fingerprint) {
	running := d.inFlight[key]
	running[f]--
	if running[f] <= 0 {
		delete(running, f)
	}
	if len(running) == 0 {
		delete(d.inFlight, key)
	}
}

// recordDisconnect records a broken connection and removes those older than
// disconnectWindow.
func (d *Detector) recordDisconnect(key upstreamKey, f Fingerprint) {
	now := d.Clock.Now()
	kept := slices.DeleteFunc(d.disconnects[key], func(m disconnect) bool { return now.Sub(m.at) > disconnectWindow })
	d.disconnects[key] = append(kept, disconnect{f: f, at: now})
}

// handleDisconnect determines whether a broken connection means that the
// upstream failed, and if so records a crash. It returns when the peers have
// received the crash or notifyTimeout has passed.
func (d *Detector) handleDisconnect(key upstreamKey, f Fingerprint) {
	doc, ok := d.Document(key.service)
	if !ok || !doc.Quarantine.Enabled {
		return
	}
	_, _, _ = d.failureChecks.Do(key.service+"\x00"+key.upstream, func() (any, error) {
		if d.isPending(key, f) && d.hasFailed(doc, key) {
			d.handleCrash(doc, key)
		}
		return nil, nil
	})
}

// isPending reports whether the connection of f broke and the request is not
// yet part of a recorded crash.
func (d *Detector) isPending(key upstreamKey, f Fingerprint) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.ContainsFunc(d.disconnects[key], func(m disconnect) bool { return m.f == f })
}

// hasFailed distinguishes a failed upstream from a single broken connection.
// The upstream failed if it doesn't respond to a probe, or if several
// connections broke and none is left: it may have restarted before the probe.
func (d *Detector) hasFailed(doc *service.Document, key upstreamKey) bool {
	if !d.isAlive(context.Background(), doc, key.upstream) {
		return true
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.disconnects[key]) > 1 && len(d.inFlight[key]) == 0
}

// isAlive probes an upstream of the document. An upstream that is no longer in
// the document counts as alive.
func (d *Detector) isAlive(ctx context.Context, doc *service.Document, name string) bool {
	i := slices.IndexFunc(doc.Upstreams, func(u service.Upstream) bool { return u.Name == name })
	if i < 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.Alive(ctx, &doc.Upstreams[i])
}

// handleCrash records a crash with the requests that were in flight, and
// notifies the peers.
func (d *Detector) handleCrash(doc *service.Document, key upstreamKey) {
	now := d.Clock.Now()
	d.mu.Lock()
	if d.isDown(key, now) {
		// These connections belong to a failure that is recorded already.
		delete(d.disconnects, key)
		d.mu.Unlock()
		return
	}
	c := Crash{Service: key.service, Upstream: key.upstream, At: now, Trial: d.reservations[key].localTrial()}
	for _, m := range d.disconnects[key] {
		c.Suspects = append(c.Suspects, m.f)
	}
	for f := range d.inFlight[key] {
		c.Suspects = append(c.Suspects, f)
	}
	delete(d.disconnects, key)
	d.addFailure(key, now)
	confirmed, ok := d.state.RecordCrash(c, doc.Quarantine.Duration)
	d.mu.Unlock()
	go d.awaitRecovery(doc, key)
	notice := Notice{Service: key.service, Crash: &c}
	d.recordEvent(EventCrash, key, c.Trial)
	if ok {
		d.recordEvent(EventConfirmed, key, confirmed.Fingerprint)
		notice.Confirmed = []Confirmed{confirmed}
		go d.publish(key.service)
	}
	d.notifyPeers(notice)
}

// recordEvent records a time line event; its cause names f unless f is zero.
func (d *Detector) recordEvent(kind timeline.Kind, key upstreamKey, f Fingerprint) {
	cause := ""
	if f != 0 {
		cause = "request " + f.String()
	}
	d.Events.Record(timeline.Event{Kind: kind, Service: key.service, Upstream: key.upstream, Cause: cause})
}
