package slots

import (
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quota"
)

// Quotas bounds the requests of each customer that replicas run. It also counts which
// hosts poll which broker.
type Quotas interface {
	// Take takes a token for a request of a customer that a host has admitted by a version
	// of the configuration, and reports whether there is one. Return gives it back if the
	// request gets no slot.
	Take(customer string, admittedBy int64) (quota.Refusal, bool)
	Return(customer string)
	// PollAttachment returns what a host states in its next poll of a broker, and
	// PollReplied receives the stamp in the reply.
	PollAttachment(broker string) quota.Attachment
	PollReplied(broker string, stamp quota.Stamp)
	// Polled receives what a host that polls this broker states, and PollStamp returns
	// the stamp for the reply.
	Polled(host string, a quota.Attachment)
	PollStamp() quota.Stamp
}

// SetQuotas sets the quotas. Without them no request needs a token. It must be called
// before the broker is used.
func (b *Broker) SetQuotas(q Quotas) { b.quotas = q }

// takeToken takes a token of the customer's quota for a request unless it has one, and
// reports whether the request may get a slot. If it may, returnUnused must be called once
// the reply is decided: it returns the token if no slot was granted.
func (b *Broker) takeToken(args *AcquireArgs, reply *AcquireReply) (returnUnused func(), ok bool) {
	if b.quotas == nil || args.Customer == "" || args.Charged {
		return func() {}, true
	}
	returnUnused = func() {
		b.mu.Lock()
		unused := !reply.Granted
		if args.Call != 0 {
			unused = b.charges.end(args.Call, reply.Granted)
		}
		b.mu.Unlock()
		if unused {
			b.quotas.Return(args.Customer)
		}
	}
	if b.joinCharge(args.Call) {
		return returnUnused, true
	}
	refusal, ok := b.quotas.Take(args.Customer, args.ConfigVersion)
	if !ok {
		*reply = AcquireReply{OverQuota: true, Quota: refusal, RetryAfter: refusal.RetryAfter}
		return nil, false
	}
	b.addCharge(args)
	return returnUnused, true
}

// joinCharge reports whether a call that is made for the second time has a token already.
func (b *Broker) joinCharge(call uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charges.join(call)
}

// addCharge records the token of a call. If the call was repeated while it took the token, the
// second token is returned.
func (b *Broker) addCharge(args *AcquireArgs) {
	if args.Call == 0 {
		return
	}
	b.mu.Lock()
	surplus := b.charges.join(args.Call)
	if !surplus {
		b.charges.add(b.clock.Now(), args.Call, args.Customer)
	}
	b.mu.Unlock()
	if surplus {
		b.quotas.Return(args.Customer)
	}
}

// countPoll records a poll of a host of the own data centre.
func (b *Broker) countPoll(args *PollArgs) {
	if b.quotas != nil && !args.Partial {
		b.quotas.Polled(args.Host, args.Quota)
	}
}

// stampPoll adds to the reply to a poll what its host sends back with the next one.
func (b *Broker) stampPoll(args *PollArgs, reply *PollReply) {
	if b.quotas != nil && !args.Partial {
		reply.Quota = b.quotas.PollStamp()
	}
}

// stampWanted reports whether the reply to a poll is due at once, since its host lacks a stamp
// and this broker has one.
func (b *Broker) stampWanted(args *PollArgs) bool {
	return b.quotas != nil && !args.Partial && args.Quota.WantsStamp && b.quotas.PollStamp() != quota.Stamp{}
}

// quotaAttachment returns what to state in a poll of a broker of the own data centre.
func (c *Client) quotaAttachment(h membership.Host, remote bool) quota.Attachment {
	if c.Quotas == nil || remote {
		return quota.Attachment{}
	}
	return c.Quotas.PollAttachment(h.Name)
}

// applyQuotaStamp records the stamp in the reply to a poll.
func (c *Client) applyQuotaStamp(h membership.Host, reply *PollReply) {
	if c.Quotas != nil {
		c.Quotas.PollReplied(h.Name, reply.Quota)
	}
}

// final reports whether no other data centre grants what one has refused.
func (r *RefusedError) final() bool { return r.Quarantined || r.OverQuota }
