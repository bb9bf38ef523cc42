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
	// tellTimeout bounds the wait until the peers know of a crash.
	tellTimeout = 250 * time.Millisecond
	// backPoll is the time between two questions to a lost upstream.
	backPoll = 250 * time.Millisecond
	// together is the time within which connections that break, break
	// together.
	together = time.Second
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

// place is an upstream of a service.
type place struct {
	service  string
	upstream string
}

// Watch is the Guard of a host. It keeps a State, tells the peers what it
// learns and learns from them.
type Watch struct {
	Options
	crashes singleflight.Group
	trials  trials

	mu       sync.RWMutex
	state    *State
	inFlight map[place]map[Fingerprint]int
	broken   map[place][]brokenMark
	reserved map[place]reservation
	// losses holds the last loss of each upstream.
	losses map[place]loss
}

// loss is when an upstream was lost, and whether it has answered since.
type loss struct {
	at   time.Time
	back bool
}

type brokenMark struct {
	f  Fingerprint
	at time.Time
}

var _ Guard = (*Watch)(nil)

// NewWatch returns a Watch.
func NewWatch(o Options) *Watch {
	return &Watch{
		Options: o, state: NewState(), trials: newTrials(),
		inFlight: make(map[place]map[Fingerprint]int),
		broken:   make(map[place][]brokenMark), reserved: make(map[place]reservation), losses: make(map[place]loss),
	}
}

// Check implements Guard.
func (w *Watch) Check(name string, f Fingerprint) (bool, error) {
	w.mu.RLock()
	now := w.Clock.Now()
	decision, until := Run, now
	if !w.state.Empty(name) {
		decision, until = w.state.Decide(name, f, now, w.hurt(name, now, false))
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

// hurt reports whether many of the upstreams near were lost lately. With gone
// set, those that have answered since don't count.
func (w *Watch) hurt(name string, now time.Time, gone bool) bool {
	doc, ok := w.Document(name)
	if !ok {
		return false
	}
	near, lost := w.near(doc), 0
	for _, u := range near {
		at := place{name, u}
		l, ok := w.losses[at]
		if gone && w.gone(at, now) || !gone && ok && now.Sub(l.at) < lostTime {
			lost++
		}
	}
	return float64(lost) > maxLost*float64(len(near))
}

// gone reports whether an upstream was lost lately and has not answered since.
func (w *Watch) gone(at place, now time.Time) bool {
	l, ok := w.losses[at]
	return ok && !l.back && now.Sub(l.at) < lostTime
}

// awaitBack asks a lost upstream for signs of life for a while.
func (w *Watch) awaitBack(doc *service.Document, at place) {
	for end := w.Clock.Now().Add(lostTime); w.Clock.Now().Before(end); {
		w.Clock.Sleep(backPoll)
		if w.alive(context.Background(), doc, at.upstream) {
			w.mu.Lock()
			w.back(at)
			w.mu.Unlock()
			w.tell(Notice{Service: at.service, Back: at.upstream})
			return
		}
	}
}

// back notes that an upstream answers.
func (w *Watch) back(at place) {
	if l, ok := w.losses[at]; ok && !l.back {
		l.back = true
		w.losses[at] = l
	}
}

// Started implements Guard.
func (w *Watch) Started(name, upstream string, f Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := place{name, upstream}
	running, ok := w.inFlight[at]
	if !ok {
		running = make(map[Fingerprint]int)
		w.inFlight[at] = running
	}
	running[f]++
}

// Ended implements Guard.
func (w *Watch) Ended(name, upstream string, f Fingerprint, end End) {
	at := place{name, upstream}
	cleared := false
	w.mu.Lock()
	w.leave(at, f)
	switch end {
	case Finished:
		cleared = w.state.Clear(name, f)
		w.back(at)
	case Lost:
		w.broke(at, f)
	case Abandoned:
	}
	w.mu.Unlock()
	if cleared {
		w.record(EventCleared, at, f)
		go w.tell(Notice{Service: name, Cleared: []Fingerprint{f}})
	}
	if end == Lost {
		w.suspect(at, f)
	}
}

func (w *Watch) leave(at place, f Fingerprint) {
	running := w.inFlight[at]
	running[f]--
	if running[f] <= 0 {
		delete(running, f)
	}
	if len(running) == 0 {
		delete(w.inFlight, at)
	}
}

// broke notes a broken connection and forgets old ones.
func (w *Watch) broke(at place, f Fingerprint) {
	now := w.Clock.Now()
	kept := slices.DeleteFunc(w.broken[at], func(m brokenMark) bool { return now.Sub(m.at) > together })
	w.broken[at] = append(kept, brokenMark{f: f, at: now})
}

// suspect finds out whether a broken connection means that the upstream is
// lost, and if so makes a crash of it. It returns once the peers know.
func (w *Watch) suspect(at place, f Fingerprint) {
	doc, ok := w.Document(at.service)
	if !ok || !doc.Quarantine.Enabled {
		return
	}
	_, _, _ = w.crashes.Do(at.service+"\x00"+at.upstream, func() (any, error) {
		if w.pending(at, f) && w.lost(doc, at) {
			w.crash(doc, at)
		}
		return nil, nil
	})
}

// pending reports whether f broke and is not yet a part of a crash.
func (w *Watch) pending(at place, f Fingerprint) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return slices.ContainsFunc(w.broken[at], func(m brokenMark) bool { return m.f == f })
}

// lost tells a lost upstream from a request whose connection broke: either it
// gives no sign of life, or several connections broke and none goes on.
func (w *Watch) lost(doc *service.Document, at place) bool {
	if !w.alive(context.Background(), doc, at.upstream) {
		return true
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.broken[at]) > 1 && len(w.inFlight[at]) == 0
}

// alive asks an upstream of the document for a sign of life. One that is no
// longer in the document counts as alive.
func (w *Watch) alive(ctx context.Context, doc *service.Document, name string) bool {
	i := slices.IndexFunc(doc.Upstreams, func(u service.Upstream) bool { return u.Name == name })
	if i < 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.Alive(ctx, &doc.Upstreams[i])
}

// crash implicates what was in flight and tells the peers.
func (w *Watch) crash(doc *service.Document, at place) {
	now := w.Clock.Now()
	w.mu.Lock()
	if w.gone(at, now) {
		// It had not come back from the loss before.
		delete(w.broken, at)
		w.mu.Unlock()
		return
	}
	c := Crash{Service: at.service, Upstream: at.upstream, At: now, Trial: w.reserved[at].trialHere()}
	for _, m := range w.broken[at] {
		c.Suspects = append(c.Suspects, m.f)
	}
	for f := range w.inFlight[at] {
		c.Suspects = append(c.Suspects, f)
	}
	delete(w.broken, at)
	w.losses[at] = loss{at: now}
	found, ok := w.state.RecordCrash(c, doc.Quarantine.Duration)
	w.mu.Unlock()
	go w.awaitBack(doc, at)
	notice := Notice{Service: at.service, Crash: &c}
	w.record(EventCrash, at, c.Trial)
	if ok {
		w.record(EventConfirmed, at, found.Fingerprint)
		notice.Confirmed = []Confirmed{found}
		go w.publish(at.service)
	}
	w.tell(notice)
}

func (w *Watch) record(kind timeline.Kind, at place, f Fingerprint) {
	cause := ""
	if f != 0 {
		cause = "request " + f.String()
	}
	w.Events.Record(timeline.Event{Kind: kind, Service: at.service, Upstream: at.upstream, Cause: cause})
}
