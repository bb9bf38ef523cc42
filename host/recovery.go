package host

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/platform"
)

// hostRemoved requests the recovery of a removed host's jobs, if this host is
// the broker of the same data centre, or any broker when no host of that data
// centre is left.
func (h *Host) hostRemoved(removed membership.Host) {
	sameDataCentre := func(other membership.Host) bool { return other.DataCentre == removed.DataCentre }
	dataCentreHasHosts := slices.ContainsFunc(membership.All(h.view), sameDataCentre)
	if h.slotClient.IsBroker() && (!dataCentreHasHosts || sameDataCentre(h.view.Self())) {
		h.requestRecovery()
	}
}

const (
	// maxRecoveryDelay bounds the delay after failed recoveries in a row.
	maxRecoveryDelay = 10 * time.Second
	// recoveryInterval is the time between the searches of a broker for jobs whose owner
	// it never saw, and so never saw leave.
	recoveryInterval = 10 * time.Second
)

// recovery takes over jobs whose owner is no longer a member.
type recovery struct{ host *Host }

// Serve recovers jobs at the start, after recoveryDelay, after each requested
// recovery and, on a broker, each recoveryInterval. It tries again after failures:
// one job that can't be read doesn't keep it from those of other hosts.
func (r recovery) Serve(ctx context.Context) error {
	h := r.host
	delayOver := h.clock.After(recoveryDelay)
	// Until recoveryDelay is over, the membership view may be incomplete, and
	// a missing host would not show that it failed.
	viewComplete := false
	retryDelay := newRecoveryBackOff()
	search := h.clock.NewTicker(recoveryInterval)
	defer search.Stop()
	for pending := !h.settings.FirstStart; ; {
		var retry <-chan time.Time
		if pending {
			if err := h.jobs.Recover(ctx, viewComplete && h.slotClient.IsBroker()); err != nil {
				h.log.WithError(err).Warn("can't recover all jobs; retrying")
				retry = h.clock.After(retryDelay.NextBackOff())
			} else {
				pending = false
				retryDelay.Reset()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-delayOver:
			viewComplete = true
			pending = pending || h.slotClient.IsBroker() && !h.settings.FirstStart
		case <-h.recoveryRequests:
			pending = true
			retryDelay.Reset()
		case <-search.Chan():
			pending = pending || viewComplete && h.slotClient.IsBroker() && !h.storeUnavailable()
		case <-retry:
		}
	}
}

// newRecoveryBackOff returns the delays after failed recoveries.
func newRecoveryBackOff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: storeRetryDelay, Multiplier: 2, MaxInterval: maxRecoveryDelay, RandomizationFactor: 0.2}
}

// String names the service in supervisor events.
func (recovery) String() string { return "recovery" }

// Reports of an emptied storage host. Up to retireReporters of the hosts that see the request
// report it, one every retireReportInterval, so that one of them may fail.
const (
	retireReporters      = 3
	retireReportInterval = time.Second
)

// retire reports a storage host as empty. No data is stored there that would
// have to be moved first.
func (h *Host) retire(name string) {
	for rank, reporter := range membership.Rendezvous(h.watchingHosts(), "retire/"+name, retireReporters) {
		if reporter.Name != h.settings.Host {
			continue
		}
		h.clock.AfterFunc(time.Duration(rank)*retireReportInterval, func() { h.reportEmpty(name) })
	}
}

// watchingHosts returns the hosts that watch the store as far as this host knows: the brokers, and
// itself, which has been told of a change by the store.
func (h *Host) watchingHosts() []membership.Host {
	hosts := append(h.slotClient.RemoteBrokers(), h.view.Self())
	local := h.slotClient.LocalBroker()
	for _, other := range h.view.Local() {
		if other.Name == local && local != h.settings.Host {
			hosts = append(hosts, other)
		}
	}
	return hosts
}

func (h *Host) reportEmpty(name string) {
	req, err := platform.RetireDone(name)
	if err != nil {
		h.log.WithError(err).WithField("storage_host", name).Error("can't encode the report of the empty storage host")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryDelay)
	defer cancel()
	for ctx.Err() == nil {
		_, err := h.store.Commit(ctx, req)
		if err == nil || errors.Is(err, txn.ErrConflict) {
			h.log.WithField("storage_host", name).Info("storage host reported as empty")
			return
		}
		h.log.WithError(err).WithField("storage_host", name).Warn("can't report the storage host as empty; retrying")
		wait.For(ctx, h.clock, storeRetryDelay)
	}
}
