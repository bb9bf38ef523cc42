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

// Kinds of event that a watch records.
const (
	EventCrash     timeline.Kind = "quarantine.crash"
	EventCleared   timeline.Kind = "quarantine.cleared"
	EventConfirmed timeline.Kind = "quarantine.confirmed"
	EventTrial     timeline.Kind = "quarantine.trial"
)

const (
	// probeTimeout bounds the question whether an upstream is alive.
	probeTimeout = 500 * time.Millisecond
	// notifyTimeout bounds the wait until the peers know of a crash.
	notifyTimeout = 250 * time.Millisecond
	// recoveryPollInterval is the time between two questions to a lost upstream.
	recoveryPollInterval = 250 * time.Millisecond
	// disconnectWindow is the time within which connections that break, break
	// disconnectWindow.
	disconnectWindow = time.Second
)

// Options are what a Watch needs. All fields are required but Store.
type Options struct {
	DataCentre string
	Region     string
	View       membership.View
	Peers      peer.Caller
	// Alive asks an upstream for a sign of life.
	Alive func(ctx context.Context, u *service.Upstream) bool
	// Document returns the document in force of a service.
	Document func(name string) (*service.Document, bool)
	// Services returns the names of the services in force.
	Services func() []string
	// Store spreads confirmed requests to other data centres; nil keeps them
	// in this one.
	Store  kv.Store
	Events *timeline.Recorder
	Clock  clockwork.Clock
	Log    *logrus.Entry
}

// upstreamKey is an upstream of a service.
type upstreamKey struct {
	service  string
	upstream string
}

// Detector is the Guard of a host. It keeps a State, tells the peers what it
// learns and learns from them.
type Detector struct {
	Options
	failureChecks singleflight.Group
	trials        trialSemaphores

	mu           sync.RWMutex
	state        *State
	inFlight     map[upstreamKey]map[Fingerprint]int
	disconnects  map[upstreamKey][]disconnect
	reservations map[upstreamKey]reservation
	// failures holds the last loss of each upstream.
	failures map[upstreamKey]failure
}

// failure is when an upstream was lost, and whether it has answered since.
type failure struct {
	at        time.Time
	recovered bool
}

type disconnect struct {
	f  Fingerprint
	at time.Time
}

var _ Guard = (*Detector)(nil)

// NewDetector returns a Watch.
func NewDetector(o Options) *Detector {
	return &Detector{
		Options: o, state: NewState(), trials: newTrialSemaphores(),
		inFlight:    make(map[upstreamKey]map[Fingerprint]int),
		disconnects: make(map[upstreamKey][]disconnect), reservations: make(map[upstreamKey]reservation), failures: make(map[upstreamKey]failure),
	}
}

// Check implements Guard.
func (w *Detector) Check(name string, f Fingerprint) (bool, error) {
	w.mu.RLock()
	now := w.Clock.Now()
	decision, until := Run, now
	if !w.state.Empty(name) {
		decision, until = w.state.Decide(name, f, now, w.degraded(name, now, false))
	}
	w.mu.RUnlock()
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

// degraded reports whether many of the upstreams near were lost lately. With gone
// set, those that have answered since don't count.
func (w *Detector) degraded(name string, now time.Time, onlyDown bool) bool {
	doc, ok := w.Document(name)
	if !ok {
		return false
	}
	nearest, failed := w.nearestUpstreams(doc), 0
	for _, u := range nearest {
		key := upstreamKey{name, u}
		l, ok := w.failures[key]
		if onlyDown && w.isDown(key, now) || !onlyDown && ok && now.Sub(l.at) < failureWindow {
			failed++
		}
	}
	return float64(failed) > maxFailedFraction*float64(len(nearest))
}

// isDown reports whether an upstream was lost lately and has not answered since.
func (w *Detector) isDown(key upstreamKey, now time.Time) bool {
	l, ok := w.failures[key]
	return ok && !l.recovered && now.Sub(l.at) < failureWindow
}

// awaitRecovery asks a lost upstream for signs of life for a while.
func (w *Detector) awaitRecovery(doc *service.Document, key upstreamKey) {
	for deadline := w.Clock.Now().Add(failureWindow); w.Clock.Now().Before(deadline); {
		w.Clock.Sleep(recoveryPollInterval)
		if w.isAlive(context.Background(), doc, key.upstream) {
			w.mu.Lock()
			w.markRecovered(key)
			w.mu.Unlock()
			w.notifyPeers(Notice{Service: key.service, Back: key.upstream})
			return
		}
	}
}

// markRecovered notes that an upstream answers.
func (w *Detector) markRecovered(key upstreamKey) {
	if l, ok := w.failures[key]; ok && !l.recovered {
		l.recovered = true
		w.failures[key] = l
	}
}

// Started implements Guard.
func (w *Detector) Started(name, upstream string, f Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := upstreamKey{name, upstream}
	running, ok := w.inFlight[key]
	if !ok {
		running = make(map[Fingerprint]int)
		w.inFlight[key] = running
	}
	running[f]++
}

// Ended implements Guard.
func (w *Detector) Ended(name, upstream string, f Fingerprint, end End) {
	key := upstreamKey{name, upstream}
	cleared := false
	w.mu.Lock()
	w.removeInFlight(key, f)
	switch end {
	case Finished:
		cleared = w.state.Clear(name, f)
		w.markRecovered(key)
	case ConnectionLost:
		w.recordDisconnect(key, f)
	case Abandoned:
	}
	w.mu.Unlock()
	if cleared {
		w.recordEvent(EventCleared, key, f)
		go w.notifyPeers(Notice{Service: name, Cleared: []Fingerprint{f}})
	}
	if end == ConnectionLost {
		w.handleDisconnect(key, f)
	}
}

func (w *Detector) removeInFlight(key upstreamKey, f Fingerprint) {
	running := w.inFlight[key]
	running[f]--
	if running[f] <= 0 {
		delete(running, f)
	}
	if len(running) == 0 {
		delete(w.inFlight, key)
	}
}

// recordDisconnect notes a broken connection and forgets old ones.
func (w *Detector) recordDisconnect(key upstreamKey, f Fingerprint) {
	now := w.Clock.Now()
	kept := slices.DeleteFunc(w.disconnects[key], func(m disconnect) bool { return now.Sub(m.at) > disconnectWindow })
	w.disconnects[key] = append(kept, disconnect{f: f, at: now})
}

// handleDisconnect finds out whether a broken connection means that the upstream is
// lost, and if so makes a crash of it. It returns once the peers know.
func (w *Detector) handleDisconnect(key upstreamKey, f Fingerprint) {
	doc, ok := w.Document(key.service)
	if !ok || !doc.Quarantine.Enabled {
		return
	}
	_, _, _ = w.failureChecks.Do(key.service+"\x00"+key.upstream, func() (any, error) {
		if w.isPending(key, f) && w.hasFailed(doc, key) {
			w.handleCrash(doc, key)
		}
		return nil, nil
	})
}

// isPending reports whether f broke and is not yet a part of a crash.
func (w *Detector) isPending(key upstreamKey, f Fingerprint) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return slices.ContainsFunc(w.disconnects[key], func(m disconnect) bool { return m.f == f })
}

// hasFailed tells a hasFailed upstream from a request whose connection broke: either it
// gives no sign of life, or several connections broke and none goes on.
func (w *Detector) hasFailed(doc *service.Document, key upstreamKey) bool {
	if !w.isAlive(context.Background(), doc, key.upstream) {
		return true
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.disconnects[key]) > 1 && len(w.inFlight[key]) == 0
}

// isAlive asks an upstream of the document for a sign of life. One that is no
// longer in the document counts as isAlive.
func (w *Detector) isAlive(ctx context.Context, doc *service.Document, name string) bool {
	i := slices.IndexFunc(doc.Upstreams, func(u service.Upstream) bool { return u.Name == name })
	if i < 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.Alive(ctx, &doc.Upstreams[i])
}

// handleCrash implicates what was in flight and tells the peers.
func (w *Detector) handleCrash(doc *service.Document, key upstreamKey) {
	now := w.Clock.Now()
	w.mu.Lock()
	if w.isDown(key, now) {
		// It had not come back from the loss before.
		delete(w.disconnects, key)
		w.mu.Unlock()
		return
	}
	c := Crash{Service: key.service, Upstream: key.upstream, At: now, Trial: w.reservations[key].localTrial()}
	for _, m := range w.disconnects[key] {
		c.Suspects = append(c.Suspects, m.f)
	}
	for f := range w.inFlight[key] {
		c.Suspects = append(c.Suspects, f)
	}
	delete(w.disconnects, key)
	w.failures[key] = failure{at: now}
	confirmed, ok := w.state.RecordCrash(c, doc.Quarantine.Duration)
	w.mu.Unlock()
	go w.awaitRecovery(doc, key)
	notice := Notice{Service: key.service, Crash: &c}
	w.recordEvent(EventCrash, key, c.Trial)
	if ok {
		w.recordEvent(EventConfirmed, key, confirmed.Fingerprint)
		notice.Confirmed = []Confirmed{confirmed}
		go w.publish(key.service)
	}
	w.notifyPeers(notice)
}

func (w *Detector) recordEvent(kind timeline.Kind, key upstreamKey, f Fingerprint) {
	cause := ""
	if f != 0 {
		cause = "request " + f.String()
	}
	w.Events.Record(timeline.Event{Kind: kind, Service: key.service, Upstream: key.upstream, Cause: cause})
}
