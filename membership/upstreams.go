package membership

import "sync"

// UpstreamKey names an upstream of a service.
type UpstreamKey struct {
	Service string
	Name    string
}

// UpstreamView is what a host knows of the state of upstreams. Leaving and
// Gone are sticky: older news does not make an upstream alive again.
type UpstreamView interface {
	// State returns the state of an upstream; unknown ones are alive.
	State(key UpstreamKey) State
	// Report takes a first-hand sign: the upstream's own report or refusal.
	// The cause is recorded. Reports reach the other hosts.
	Report(key UpstreamKey, state State, cause string)
}

// LocalUpstreams is an UpstreamView of one host's own signs.
type LocalUpstreams struct {
	mu     sync.RWMutex
	states map[UpstreamKey]State
}

var _ UpstreamView = (*LocalUpstreams)(nil)

// NewLocalUpstreams returns a view in which all upstreams are alive.
func NewLocalUpstreams() *LocalUpstreams {
	return &LocalUpstreams{states: make(map[UpstreamKey]State)}
}

// State implements UpstreamView.
func (l *LocalUpstreams) State(key UpstreamKey) State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.states[key]
}

// Report implements UpstreamView.
func (l *LocalUpstreams) Report(key UpstreamKey, state State, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[key] = max(l.states[key], state)
}
