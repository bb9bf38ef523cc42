package slots

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// chargeRetention is how long a broker keeps the record of a token that a request has taken.
// Requests that are known not to have run end within this time.
const chargeRetention = 10 * time.Second

// charges holds the tokens that requests have taken at a broker, by AcquireArgs.Call. A token
// is returned once: when all calls end without a grant, or when the host says that the request
// didn't run.
type charges struct {
	byCall   map[uint64]*charge
	prunedAt time.Time
}

// charge is the token of one call, which a host may have made twice.
type charge struct {
	customer string
	at       time.Time
	// running is the number of times that the call is being served. granted reports that
	// it was granted a slot, and returned that the host has ended it.
	running           int
	granted, returned bool
}

// join reports whether a call already has a token, because the host has repeated the call. If so,
// it counts the repetition as being served.
func (c *charges) join(call uint64) bool {
	charge, ok := c.byCall[call]
	if ok {
		charge.running++
	}
	return ok
}

// add records the token of a call.
func (c *charges) add(now time.Time, call uint64, customer string) {
	if c.byCall == nil {
		c.byCall = make(map[uint64]*charge)
	}
	if now.Sub(c.prunedAt) >= chargeRetention {
		c.prunedAt = now
		for call, charge := range c.byCall {
			if charge.running == 0 && now.Sub(charge.at) >= chargeRetention {
				delete(c.byCall, call)
			}
		}
	}
	c.byCall[call] = &charge{customer: customer, at: now, running: 1}
}

// end records that a call has been served, and reports whether its token is to be returned.
func (c *charges) end(call uint64, granted bool) bool {
	charge, ok := c.byCall[call]
	if !ok {
		return false
	}
	charge.running--
	charge.granted = charge.granted || granted
	if charge.running > 0 || charge.granted && !charge.returned {
		return false
	}
	delete(c.byCall, call)
	return true
}

// cancel records that the request of a call didn't run. If the call is no longer being served,
// it removes the charge and returns the customer whose token is to be returned.
func (c *charges) cancel(call uint64) (customer string, ok bool) {
	charge, ok := c.byCall[call]
	if !ok {
		return "", false
	}
	if charge.running > 0 {
		charge.returned = true
		return "", false
	}
	delete(c.byCall, call)
	return charge.customer, true
}

// returnTokens returns the tokens of requests that didn't run.
func (b *Broker) returnTokens(calls []uint64) {
	if b.quotas == nil {
		return
	}
	for _, call := range calls {
		b.mu.Lock()
		customer, ok := b.charges.cancel(call)
		b.mu.Unlock()
		if ok {
			b.quotas.Return(customer)
		}
	}
}

// heldToken identifies the token that a request has taken. It is zero if there is none.
type heldToken struct {
	broker membership.Host
	call   uint64
}

// ReturnToken returns the token that was taken with a grant, if there is one. The host calls it
// if the request didn't run.
func (c *Client) ReturnToken(g Grant) { c.returnToken(g.token) }

func (c *Client) returnToken(t heldToken) {
	if t.call != 0 {
		c.queue(t.broker, func(q *releaseQueue) { q.tokens = append(q.tokens, t.call) })
	}
}
