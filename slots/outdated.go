package slots

import (
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// isOutdated reports whether a broker is passed over since the store did not answer it. One of
// the own data centre is, until a poll has found that it is current. The lock is held.
func (c *Client) isOutdated(h membership.Host, own bool, now time.Time) bool {
	until, ok := c.outdatedUntil[h.Name]
	return ok && (own || now.Before(until))
}

// outdatedToAsk returns a host of the own data centre that precedes its broker, was passed over
// since the store did not answer it, and is to be asked again whether it is current.
func (c *Client) outdatedToAsk(broker membership.Host) (membership.Host, bool) {
	c.mu.Lock()
	none := len(c.outdatedUntil) == 0
	c.mu.Unlock()
	if none || broker.DataCentre != c.View.Self().DataCentre {
		return membership.Host{}, false
	}
	ranked := c.rankedHosts(broker.DataCentre)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	for _, h := range ranked {
		if h.Name == broker.Name {
			break
		}
		until, ok := c.outdatedUntil[h.Name]
		if ok && !now.Before(until) && !now.Before(c.suspects[h.Name].until) {
			c.outdatedUntil[h.Name] = now.Add(outdatedCooldown)
			return h, true
		}
	}
	return membership.Host{}, false
}

// forgetOutdated records that a broker is current. Those that follow it are not asked as long as
// it is the broker, so what was found of them counts for the cooldown only. The lock is held.
func (c *Client) forgetOutdated(broker membership.Host, now time.Time) {
	delete(c.outdatedUntil, broker.Name)
	if len(c.outdatedUntil) == 0 {
		return
	}
	ranked := c.rankedHosts(broker.DataCentre)
	following := slices.IndexFunc(ranked, func(h membership.Host) bool { return h.Name == broker.Name }) + 1
	for _, h := range ranked[following:] {
		if !now.Before(c.outdatedUntil[h.Name]) {
			delete(c.outdatedUntil, h.Name)
		}
	}
}

// isBrokerOutdated reports whether the store does not answer the broker of the own data centre,
// and so none of the hosts that may be it.
func (c *Client) isBrokerOutdated() bool {
	ranked := c.brokers(c.View.Self().DataCentre)
	if len(ranked) == 0 || ranked[0].Name == c.View.Self().Name {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isOutdated(ranked[0], true, c.Clock.Now())
}
