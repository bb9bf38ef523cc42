package membership

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// GossipUpstreams is an UpstreamView whose reports are sent to all hosts by the
// membership protocol. A report applies to one incarnation of the upstream,
// which is identified by the generation of the service document that gave it its
// address and by the start number that the upstream reports itself.
type GossipUpstreams struct {
	gossip            *Gossip
	addressGeneration func(UpstreamKey) uint64
}

var _ UpstreamView = (*GossipUpstreams)(nil)

// NewGossipUpstreams returns a view that uses the given member. The function since
// returns the generation of the service document that gave an upstream its
// present address, zero while the upstream is unknown.
func NewGossipUpstreams(g *Gossip, since func(UpstreamKey) uint64) *GossipUpstreams {
	return &GossipUpstreams{gossip: g, addressGeneration: since}
}

// State implements UpstreamView. It ignores claims about an earlier address of
// the upstream.
func (s *GossipUpstreams) State(key UpstreamKey) State {
	c, ok := s.claim(key)
	if !ok || c.Since < s.addressGeneration(key) {
		return Alive
	}
	return c.State
}

func (s *GossipUpstreams) claim(key UpstreamKey) (upstreamClaim, bool) {
	s.gossip.mu.RLock()
	defer s.gossip.mu.RUnlock()
	return s.gossip.member.claims.get(key)
}

// Report implements UpstreamView. A report of Alive is ignored: an upstream
// becomes alive again only by Restarted or by a new address.
func (s *GossipUpstreams) Report(key UpstreamKey, state State, cause string) {
	if state == Alive || s.State(key) >= state {
		return
	}
	c := upstreamClaim{Service: key.Service, Name: key.Name, Since: s.addressGeneration(key), State: state}
	if old, ok := s.claim(key); ok && old.Since >= c.Since {
		c.Since, c.Start = old.Since, old.Start
	}
	s.publish(c, cause)
}

// Hint handles an entry of the platform's list. The list lags behind, so a hint
// counts like a report only if the upstream has not reported a start itself since
// it got its present address.
func (s *GossipUpstreams) Hint(key UpstreamKey, state State) {
	if old, ok := s.claim(key); ok && old.Start > 0 && old.Since >= s.addressGeneration(key) {
		return
	}
	s.Report(key, state, "platform list")
}

// Restarted handles an upstream's own report that it has started, which makes it
// alive. A start number that is not higher than the known one changes nothing.
func (s *GossipUpstreams) Restarted(key UpstreamKey, start uint64) {
	c := upstreamClaim{Service: key.Service, Name: key.Name, Since: s.addressGeneration(key), Start: start, State: Alive}
	if old, ok := s.claim(key); ok && old.Since > c.Since {
		c.Since = old.Since
	}
	s.publish(c, "upstream reported a new start")
}

func (s *GossipUpstreams) publish(c upstreamClaim, cause string) {
	g := s.gossip
	changed := false
	g.step(func(m *stateMachine, now time.Time) []outgoing {
		c.Origin = m.self.DataCentre
		old, known := m.claims.get(c.key())
		changed = !known || c.compare(&old) > 0
		return m.reportUpstream(now, c)
	})
	if changed && g.options.Events != nil {
		g.options.Events.Record(timeline.Event{
			Kind: EventUpstream, Service: c.Service, Upstream: c.Name, Cause: c.State.String() + ": " + cause,
		})
	}
}
