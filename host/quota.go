package host

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/customer"
	"github.com/comfreyspindle/comfreyspindle/internal/boottime"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/quota"
)

// defaultQuotaTolerance applies where the settings state no window.
var defaultQuotaTolerance = quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

func (h *Host) provisionQuotas() {
	h.quotas = quota.NewService(quota.Options{
		Tolerance: quotaTolerance(h.settings), View: h.view, Listed: h.hostsKnown, Registered: h.presence.wasRegistered, Peers: h.peerClient, Enabled: h.hasCustomers, Limits: h.limitOf,
		Now: boottime.Now, Clock: h.clock, Log: h.log, Metrics: quota.NewMetrics(h.registry),
	})
	h.broker.SetQuotas(h.quotas)
	h.slotClient.Quotas = h.quotas
}

func quotaTolerance(s *platform.Settings) quota.Tolerance {
	if s.QuotaWindow <= 0 {
		return defaultQuotaTolerance
	}
	return quota.Tolerance{Window: s.QuotaWindow, Excess: s.QuotaExcess, Slack: s.QuotaSlack}
}

// hasCustomers reports whether the configuration in force has customers.
func (h *Host) hasCustomers() bool { return h.config.Table().HasCustomers() }

// limitOf returns a customer's limit by the configuration in force, and its version.
func (h *Host) limitOf(name string) (limit customer.Quota, version int64, ok bool) {
	table := h.config.Table()
	if table == nil {
		return limit, 0, false
	}
	c, ok := table.Customers.ByName(name)
	if ok {
		limit = c.Quota
	}
	return limit, table.Version, ok
}

// hostsKnown reports whether the view holds all hosts: from the store, or from a peer.
func (h *Host) hostsKnown() bool {
	return h.presence.wasListed() || len(h.view.Remote())+len(h.view.Local()) > 1
}
