package membership

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// GossipUpstreams is an UpstreamView whose reports reach all hosts with the
// members' messages. A report binds to the upstream's incarnation: the
// generation of the service document that gave it its address, and the
// upstream's own number of its start.
type GossipUpstreams struct {
	gossip            *Gossip
	addressGeneration func(UpstreamKey) uint64
}

var _ UpstreamView = (*GossipUpstreams)(nil)

// NewGossipUpstreams returns a view over a member. The function since returns
// the generation of the document that gave an upstream its present address;
// zero while the upstream is unknown.
func NewGossipUpstreams(g *Gossip, since func(UpstreamKey) uint64) *GossipUpstreams {
	return &GossipUpstreams{gossip: g, addressGeneration: since}
}

// State implements UpstreamView. A claim about an earlier address doesn't
// count.
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

// Report implements UpstreamView. Alive changes nothing: only Restarted or a
// new address makes an upstream alive again.
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

// Hint takes a word of the platform's lagging list. It counts like a report,
// but only about an upstream that has not reported a start of its own.
func (s *GossipUpstreams) Hint(key UpstreamKey, state State) {
	if old, ok := s.claim(key); ok && old.Start > 0 && old.Since >= s.addressGeneration(key) {
		return
	}
	s.Report(key, state, "platform list")
}

// Restarted takes an upstream's own report of a start. A number that is not
// higher than the one known is old news.
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
