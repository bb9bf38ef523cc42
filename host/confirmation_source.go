package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// Times of the calls by which a broker gets the confirmations of another one.
const (
	// sourceCallTimeout bounds one call. Data centres of a region are about 1 ms apart.
	sourceCallTimeout = 250 * time.Millisecond
	// minSourceInterval is the shortest time between two calls.
	minSourceInterval = 100 * time.Millisecond
	// sourceMargin is how much later than its source a broker reads the store itself.
	// It allows for a late read of the source and for one call that fails.
	sourceMargin = 400 * time.Millisecond
)

// ConfirmationReply is the reply of Confirmation. ConfirmedVersion and ConfirmedAge are
// those of slots.Notice, ConfigVersion is the version in force.
type ConfirmationReply struct {
	ConfirmedVersion int64
	ConfirmedAge     time.Duration
	ConfigVersion    int64
}

// Confirmation returns when the configuration of this host was last confirmed.
func (p *Peer) Confirmation(_ StateArgs, reply *ConfirmationReply) error {
	if version, age, ok := p.host.lastConfirmed(); ok {
		reply.ConfirmedVersion, reply.ConfirmedAge = version, age
	}
	_, reply.ConfigVersion = p.host.config.current()
	return nil
}

// confirmationSource gets the confirmations of the configuration from the broker of
// another data centre of the region, so that normally only one broker of each region
// reads the store.
type confirmationSource struct {
	host *Host
	call func(ctx context.Context, address string) (ConfirmationReply, error)
	// newer is set when the source has a newer configuration than this host.
	newer atomic.Bool
}

// broker returns the broker that reads the store for this host, which is that of the first
// data centre of the region by name. It reports false if that is this host, or if this host
// isn't a broker.
func (s *confirmationSource) broker() (membership.Host, bool) {
	h := s.host
	self := h.view.Self()
	if !h.confirmer.isBroker() {
		return membership.Host{}, false
	}
	for _, b := range h.slotClient.RemoteBrokers() {
		if b.Region == self.Region && b.DataCentre < self.DataCentre {
			return b, true
		}
	}
	return membership.Host{}, false
}

// suffices reports whether confirmations of the given age from the source are recent enough
// that this host need not read the store itself.
func (s *confirmationSource) suffices(age time.Duration) bool {
	if s.newer.Load() || age >= s.host.confirmer.timeout+sourceMargin {
		return false
	}
	_, ok := s.broker()
	return ok
}

// Serve gets confirmations until ctx ends.
func (s *confirmationSource) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, s.host.clock, s.fetch(ctx))
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (s *confirmationSource) String() string { return "confirmation source" }

// fetch gets the confirmation of the source and returns the time until its next one.
func (s *confirmationSource) fetch(ctx context.Context) time.Duration {
	h := s.host
	if !h.hasCustomers() {
		return h.confirmer.timeout
	}
	source, ok := s.broker()
	if !ok {
		return h.confirmer.timeout
	}
	sent := h.bootTime()
	ctx, cancel := context.WithTimeout(ctx, sourceCallTimeout)
	defer cancel()
	reply, err := s.call(ctx, source.PeerAddress)
	if err != nil {
		// This host reads the store itself then.
		h.log.WithError(err).WithField("peer", source.Name).Debug("can't get the confirmation of the configuration from a broker")
		return sourceCallTimeout
	}
	if reply.ConfirmedVersion != 0 {
		h.handleConfirmation(reply.ConfirmedVersion, sent, reply.ConfirmedAge)
	}
	if _, version := h.config.current(); reply.ConfigVersion > version {
		s.newer.Store(true)
	}
	return max(h.confirmer.timeout-reply.ConfirmedAge, minSourceInterval)
}
