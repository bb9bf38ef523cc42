package host

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/staleness"
)

// confirmCheckInterval is the time between two checks whether a confirming read is due
// and whether keys are accepted.
const confirmCheckInterval = 100 * time.Millisecond

// Reasons why the configuration is not confirmed, besides errors of calls.
var (
	errConfigMissing    = errors.New("the configuration's record does not exist or was not in the store's reply")
	errStoreUnavailable = errors.New("the store is unavailable to this host")
)

// confirmer confirms the configuration in force by reads of the store: a broker does so at
// regular intervals, and another host when the confirmations from its broker and from
// peers are missing. It runs only while the configuration has customers.
type confirmer struct {
	bound    *staleness.Bound
	schedule *staleness.Schedule
	config   *Config
	store    txn.Store
	clock    clockwork.Clock
	log      *logrus.Entry
	// timeout bounds one read. It is the interval of a broker's reads.
	timeout time.Duration
	// isBroker reports whether this host is the broker of its data centre, as far as it
	// knows the other hosts.
	isBroker func() bool
	// storeUnavailable reports that the last calls of this host to the store failed. A
	// host that isn't a broker makes no reads then, since renewals of its record show when
	// the store is available again.
	storeUnavailable func() bool
	// source gets the confirmations of another broker; nil if there is none.
	source *confirmationSource
	// onUsable is called when the configuration has become usable.
	onUsable func()
	// changed signals a version that has come into force.
	changed chan struct{}

	// lastErr is why the last read failed, and accepting whether keys were accepted at the
	// last check. Only Serve uses them.
	lastErr   error
	accepting bool
}

// Serve confirms the configuration in force until ctx ends.
func (c *confirmer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !c.config.Table().HasCustomers() {
			c.accepting = false
			select {
			case <-c.changed:
			case <-ctx.Done():
			}
			continue
		}
		c.check(ctx)
		select {
		case <-c.clock.After(confirmCheckInterval):
		case <-c.changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// String names the service in supervisor events.
func (c *confirmer) String() string { return "confirmation" }

// check confirms the configuration if that is due, and logs whether keys are accepted.
func (c *confirmer) check(ctx context.Context) {
	broker := c.isBroker()
	_, age, confirmed := c.bound.Age()
	if confirmed && age < c.timeout {
		c.lastErr = nil
	}
	sourceSuffices := confirmed && c.source != nil && c.source.suffices(age)
	if !sourceSuffices && c.schedule.Due(broker, age, confirmed) {
		c.lastErr = errStoreUnavailable
		if broker || !c.storeUnavailable() {
			c.lastErr = c.confirm(ctx)
		}
	}
	c.logAccepting()
}

// logAccepting logs when this host begins and when it ceases to accept keys.
func (c *confirmer) logAccepting() {
	table := c.config.Table()
	usable := c.bound.Usable(table.Version)
	if usable == c.accepting {
		return
	}
	c.accepting = usable
	_, age, _ := c.bound.Age()
	entry := c.log.WithFields(logrus.Fields{"version": table.Version, "age": age.String()})
	if usable {
		entry.Info("keys are accepted: the configuration is confirmed")
		return
	}
	entry.WithError(c.lastErr).Warn("keys are no longer accepted: the configuration was not confirmed in time")
}

// confirm asks the store whether the configuration's record is the one that was last read,
// and applies the record if it isn't. A host that has never read the record reads it.
func (c *confirmer) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if c.source != nil {
		c.source.newer.Store(false)
	}
	known := c.config.lastRecord()
	sent := c.schedule.Send()
	version, err := c.readVersion(ctx, known)
	if err != nil {
		return err
	}
	if c.bound.Confirm(version, sent) {
		c.onUsable()
	}
	return nil
}

// readVersion returns the version of the configuration in the store. A record that can't
// be decoded has none: it may lack any key.
func (c *confirmer) readVersion(ctx context.Context, known configRecord) (int64, error) {
	var item txn.Item
	var err error
	if known.rev == 0 {
		item, err = platform.ReadConfig(ctx, c.store)
		if errors.Is(err, txn.ErrNotFound) {
			err = errors.Mark(errConfigMissing, err)
		}
	} else {
		_, err = c.store.Commit(ctx, platform.ConfigUnchanged(known.rev))
		if err == nil {
			return known.version, known.err
		}
		if errors.Is(err, txn.ErrConflict) {
			var ok bool
			if item, ok = platform.ConflictingConfig(err); ok {
				err = nil
			} else {
				c.config.forgetRecord(known.rev)
				err = errors.Mark(errConfigMissing, err)
			}
		}
	}
	if err != nil {
		return 0, err
	}
	return c.config.applyRecord(platform.DecodeOperatorChange(item))
}

// provisionRevocation creates the service that confirms the configuration, if the settings
// bound the time until removed keys are refused.
func (h *Host) provisionRevocation() {
	bound := h.settings.KeyRevocation
	if bound <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	clock := func() time.Duration { return h.bootTime() }
	h.confirmer = &confirmer{
		bound: staleness.NewBound(bound, clock), schedule: staleness.NewSchedule(bound, clock, rng),
		config: h.config, store: h.store, clock: h.clock, log: h.log, timeout: staleness.ReadInterval(bound),
		isBroker:         func() bool { return h.presence.wasListed() && h.slotClient.IsBroker() },
		storeUnavailable: h.storeUnavailable, onUsable: h.broker.EndPolls, changed: make(chan struct{}, 1),
	}
	h.confirmer.source = &confirmationSource{host: h, call: func(ctx context.Context, address string) (reply ConfirmationReply, err error) {
		err = h.peerClient.Call(ctx, address, peerName+".Confirmation", StateArgs{}, &reply)
		return reply, err
	}}
	h.broker.SetLastConfirmed(h.lastConfirmed)
	h.slotClient.OnConfirmed, h.slotClient.BootTime = h.handleConfirmation, clock
	h.registerGauge("comfreyspindle_config_confirmed_age_seconds", "Time since the configuration in force was last known to be the newest one; +Inf before, 0 without customers.",
		nil, h.confirmedAgeSeconds)
}

// versionInForce passes on the version of the configuration that has come into force.
func (h *Host) versionInForce(version int64) {
	if h.confirmer != nil {
		h.confirmer.bound.SetInForce(version)
		select {
		case h.confirmer.changed <- struct{}{}:
		default:
		}
	}
	h.broker.SetConfigVersion(version)
}

// keysUsable reports whether this host may look up keys in its configuration: it needs
// none, or was confirmed lately.
func (h *Host) keysUsable() bool { return h.tableUsable(h.config.Table()) }

// tableUsable is keysUsable for the configuration with which a request is checked. A
// request that is checked with a table must ask with that table: the one in force by then
// may be newer and confirmed, which says nothing about the older one.
func (h *Host) tableUsable(t *route.Table) bool {
	return h.confirmer == nil || !t.HasCustomers() || h.confirmer.bound.Usable(t.Version)
}

// lastConfirmed returns the last confirmation for other hosts. There is none while the
// configuration has no customers.
func (h *Host) lastConfirmed() (version int64, age time.Duration, ok bool) {
	if h.confirmer == nil || !h.hasCustomers() {
		return 0, 0, false
	}
	return h.confirmer.bound.Age()
}

// handleConfirmation records a confirmation from another host, in the reply to a call that
// this host sent at the given time.
func (h *Host) handleConfirmation(version int64, sent, age time.Duration) {
	if h.confirmer != nil && h.confirmer.bound.ConfirmAged(version, sent, age) {
		h.broker.EndPolls()
	}
}

// lacksConfirmation reports whether this host needs a confirmation and has none or an old
// one.
func (h *Host) lacksConfirmation() bool {
	if h.confirmer == nil || !h.hasCustomers() {
		return false
	}
	_, age, confirmed := h.confirmer.bound.Age()
	return !confirmed || age >= staleness.OldAge(h.settings.KeyRevocation)
}

// findsChangeWithin returns the time within which a broker finds a new configuration by its
// reads, or by those of its source.
func (c *confirmer) findsChangeWithin() time.Duration {
	return c.timeout + 2*confirmCheckInterval + minSourceInterval
}

// readsConfig reports whether this host finds a new configuration without a watch: it is a
// broker, and its reads, which confirm the configuration or bring a newer one, succeed.
func (h *Host) readsConfig() bool {
	if h.confirmer == nil || !h.hasCustomers() || !h.confirmer.isBroker() {
		return false
	}
	_, age, confirmed := h.confirmer.bound.Age()
	return confirmed && age < 2*h.confirmer.timeout
}

func (h *Host) confirmedAgeSeconds() float64 {
	if !h.hasCustomers() {
		return 0
	}
	_, age, confirmed := h.confirmer.bound.Age()
	if !confirmed {
		return math.Inf(1)
	}
	return age.Seconds()
}
