package slots

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// A broker that did not answer is passed over for suspectCooldown, which doubles with each
// further failure up to maxSuspectCooldown.
const (
	suspectCooldown    = time.Second
	maxSuspectCooldown = 8 * time.Second
)

// suspicion describes the failures of a broker that did not answer.
type suspicion struct {
	until    time.Time
	failures int
}

// suspect records that a broker did not answer, and ends the poll there so that the next one
// goes to another broker.
func (c *Client) suspect(h membership.Host, err error) {
	c.mu.Lock()
	now := c.Clock.Now()
	s := c.suspects[h.Name]
	if now.Before(s.until) {
		// Failures of calls made before the cooldown count as one.
		c.mu.Unlock()
		return
	}
	s.until = now.Add(min(suspectCooldown<<min(s.failures, 8), maxSuspectCooldown))
	s.failures++
	c.suspects[h.Name] = s
	if endPoll, ok := c.polls[h.Name]; ok {
		endPoll()
	}
	c.mu.Unlock()
	c.Peers.Retire(h.PeerAddress)
	c.Log.WithError(err).WithField("peer", h.Name).WithField("failures", s.failures).Warn("broker does not answer")
}

// clearSuspicion ends the suspicion about a broker that has answered.
func (c *Client) clearSuspicion(h membership.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.suspects[h.Name]; ok {
		delete(c.suspects, h.Name)
		c.Log.WithField("peer", h.Name).Info("broker answers again")
	}
}

// isSuspect reports whether a broker is passed over since it did not answer.
func (c *Client) isSuspect(h membership.Host) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.suspects[h.Name].until)
}
