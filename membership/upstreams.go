package membership

import "sync"

// UpstreamKey identifies an upstream of a service.
type UpstreamKey struct {
	Service string
	Name    string
}

// UpstreamView is what a host knows of the state of upstreams. Leaving and
// Gone are sticky: an older report does not make an upstream alive again.
type UpstreamView interface {
	// State returns the state of an upstream; unknown ones are alive.
	State(key UpstreamKey) State
	// Report sets a state that this host observed directly, such as an
	// announcement by the upstream or a refused connection. Views that record
	// events record the cause; views shared by gossip pass the state on to the
	// other hosts.
	Report(key UpstreamKey, state State, cause string)
}

// LocalUpstreams is an UpstreamView that holds only what one host reports itself.
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
