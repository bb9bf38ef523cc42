package host

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
)

// gone takes a host that has left. The broker of its data centre looks for its
// jobs, or any broker when that has no host left.
func (h *Host) hostRemoved(removed membership.Host) {
	sameDataCentre := func(other membership.Host) bool { return other.DataCentre == removed.DataCentre }
	dataCentreHasHosts := slices.ContainsFunc(membership.All(h.view), sameDataCentre)
	if h.slotClient.IsBroker() && (!dataCentreHasHosts || sameDataCentre(h.view.Self())) {
		h.requestRecovery()
	}
}

// recovery takes over jobs whose owner is gone.
type recovery struct{ host *Host }

// Serve looks for such jobs at the start, once earlier leases have lapsed, and
// whenever a host has gone.
func (r recovery) Serve(ctx context.Context) error {
	h := r.host
	delayOver := h.clock.After(recoveryDelay)
	// Before that the view of the hosts isn't whole.
	viewComplete := false
	for pending := !h.settings.FirstStart; ; {
		for pending && h.jobs.Recover(ctx, viewComplete && h.slotClient.IsBroker()) != nil && ctx.Err() == nil {
			wait.For(ctx, h.clock, storeRetryDelay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delayOver:
			viewComplete = true
			pending = h.slotClient.IsBroker() && !h.settings.FirstStart
		case <-h.recoveryRequests:
			pending = true
		}
	}
}

// String names the service in supervisor events.
func (recovery) String() string { return "recovery" }

// retireRanks is the number of hosts that may report a storage host as empty,
// one after the other.
const (
	retireReporters      = 3
	retireReportInterval = time.Second
)

// retire reports that a storage host is empty: nothing is kept there.
func (h *Host) retire(name string) {
	reporters := membership.Rendezvous(membership.All(h.view), "retire/"+name, retireReporters)
	for rank, reporter := range reporters {
		if reporter.Name != h.settings.Host {
			continue
		}
		h.clock.AfterFunc(time.Duration(rank)*retireReportInterval, func() { h.reportEmpty(name) })
	}
}

func (h *Host) reportEmpty(name string) {
	req, err := platform.RetireDone(name)
	if err != nil {
		h.log.WithError(err).WithField("storage_host", name).Error("storage host not reported as empty")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryDelay)
	defer cancel()
	for ctx.Err() == nil {
		_, err := h.store.Commit(ctx, req)
		if err == nil || errors.Is(err, txn.ErrConflict) {
			h.log.WithField("storage_host", name).Info("storage host is empty")
			return
		}
		h.log.WithError(err).WithField("storage_host", name).Warn("storage host not reported as empty yet")
		wait.For(ctx, h.clock, storeRetryDelay)
	}
}
