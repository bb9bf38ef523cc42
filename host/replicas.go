package host

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/versions"
)

// Replicas passes the replica records to the broker. It gets them from the
// store or from a peer.
type Replicas struct {
	broker     *slots.Broker
	dataCentre string
	clock      clockwork.Clock
	log        *logrus.Entry

	mu   sync.Mutex
	view *replica.View
	// rev is a revision of the store whose changes the view includes; zero means that none is
	// known.
	rev txn.Rev
	// outdated is set while the records are those of a peer that named no revision.
	outdated bool
	// listed is set once the view has all replicas, and loaded once they were passed to the
	// broker.
	listed, loaded bool
	// onRateLimit is called when a response changes what this host knows of a
	// replica's rate limit.
	onRateLimit func(replica.Replica, replica.RateLimit)
	// versions says at which software versions streams may begin; nil admits all. It also
	// admits peerVersions: peers send only replicas that they may use themselves. fromStore
	// is set if the view was last changed by the store.
	versions     *versions.Recorder
	peerVersions map[softwareVersion]struct{}
	fromStore    bool
	// usable are the replicas that were last passed to the broker.
	usable map[string]replica.Replica
	// unavailableSince is the time of the first failed read of the store; zero
	// while reads succeed.
	unavailableSince time.Time
	// contactLasted returns the time for which the store has answered this host.
	contactLasted func() time.Duration
}

func newReplicas(broker *slots.Broker, dataCentre string, clock clockwork.Clock, log *logrus.Entry, contactLasted func() time.Duration) *Replicas {
	return &Replicas{broker: broker, dataCentre: dataCentre, clock: clock, log: log, view: replica.NewView(), contactLasted: contactLasted}
}

// IsLeaving reports whether a replica is known to be leaving.
func (r *Replicas) IsLeaving(of replica.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.IsLeaving(of)
}

// RecentlyLeaving returns the replicas of a service that were lately found to be
// leaving.
func (r *Replicas) RecentlyLeaving(service string) []replica.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.RecentlyLeaving(r.clock.Now(), service)
}

// SaysLeaving records that a replica said in a response to this host that it is
// leaving.
func (r *Replicas) SaysLeaving(of replica.Replica) { r.markLeaving(of, replica.FromResponse) }

func (r *Replicas) markLeaving(of replica.Replica, source replica.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.view.MarkLeaving(now, of, source) {
		return
	}
	entry := r.log.WithFields(logrus.Fields{"replica": of.ID, "service": of.Service, "source": string(source)})
	if of.Born > 0 {
		entry = entry.WithField("age", now.Sub(time.UnixMilli(of.Born)).Round(time.Millisecond).String())
	}
	entry.Info("replica is leaving")
	if r.listed {
		r.publish()
	}
}

// SaysRateLimit records what a response of a replica to this host says about the
// replica's rate limit.
func (r *Replicas) SaysRateLimit(of replica.Replica, l replica.RateLimit) {
	l.At = r.clock.Now()
	if r.observeRateLimit(of, l, replica.FromResponse) {
		r.onRateLimit(of, l)
	}
}

// LearnRateLimit records what a broker knows of a replica's rate limit.
func (r *Replicas) LearnRateLimit(of replica.Replica, l replica.RateLimit) {
	r.observeRateLimit(of, l, replica.FromPeer)
}

func (r *Replicas) observeRateLimit(of replica.Replica, l replica.RateLimit, source replica.Source) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.view.ObserveRateLimit(of, l) {
		return false
	}
	r.logRateLimit(of, l, source)
	return true
}

// RateLimit returns the last observation of a replica's rate limit that this host
// knows of.
func (r *Replicas) RateLimit(of replica.Replica) replica.RateLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.RateLimit(of)
}

// RateLimits returns the last observations of all replicas that ever named a rate
// limit.
func (r *Replicas) RateLimits() map[replica.Replica]replica.RateLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.RateLimits()
}

// SaysLoad records what a response of a replica to this host says about the replica's
// load.
func (r *Replicas) SaysLoad(of replica.Replica, l replica.Load) {
	l.At = r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.ObserveLoad(of, l)
}

// LoadsSince returns the loads of the replicas of a data centre that this host has
// observed after the given time.
func (r *Replicas) LoadsSince(since time.Time, dataCentre string) []replica.ObservedLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.LoadsSince(since, dataCentre)
}

func (r *Replicas) logRateLimit(of replica.Replica, l replica.RateLimit, source replica.Source) {
	entry := r.log.WithFields(logrus.Fields{"replica": of.ID, "service": of.Service, "source": string(source)})
	if !l.Limited {
		entry.Info("replica has no rate limit any more")
		return
	}
	entry.WithField("per_second", l.PerSecond).Info("replica has a rate limit")
}

// HasAddress reports whether a replica is known at an address.
func (r *Replicas) HasAddress(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.HasAddress(address)
}

func (r *Replicas) countRateLimited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.CountRateLimited()
}

func (r *Replicas) countLeaving(source replica.Source) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.CountLeaving()[source]
}

// decode converts records to changes. An unreadable record counts as a deleted
// one.
func (r *Replicas) decode(items []txn.Item) []replica.Change {
	changes := make([]replica.Change, 0, len(items))
	for _, item := range items {
		c, err := platform.DecodeReplica(item)
		if err != nil {
			r.log.WithError(err).WithField("rev", item.Rev).Warn("can't decode replica record")
		}
		changes = append(changes, c)
		if c.Replica != nil {
			r.log.WithFields(logrus.Fields{"replica": c.ID, "address": c.Replica.Address, "ready": c.Replica.Ready, "born": c.Replica.Born, "software_version": c.Replica.SoftwareVersion, "rev": item.Rev}).Info("replica record updated")
		} else {
			r.log.WithFields(logrus.Fields{"replica": c.ID, "rev": item.Rev}).Info("replica record deleted")
		}
	}
	return changes
}

func (r *Replicas) replace(_ context.Context, items []txn.Item) {
	changes := r.decode(items)
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]replica.Replica, 0, len(changes))
	for _, c := range changes {
		if c.Replica != nil {
			all = append(all, *c.Replica)
		}
	}
	r.markStoreAvailable()
	r.outdated = false
	r.setRev(0)
	r.view.Replace(r.clock.Now(), all)
	r.listed, r.fromStore, r.peerVersions = true, true, nil
	r.publish()
}

func (r *Replicas) apply(_ context.Context, items []txn.Item) {
	changes := r.decode(items)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markStoreAvailable()
	r.view.Apply(r.clock.Now(), changes)
	r.fromStore = true
	r.publish()
}

// readTo is called after the changes up to a revision of the store were applied.
func (r *Replicas) readTo(rev txn.Rev) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.outdated {
		r.setRev(max(rev, r.rev))
	}
}

// isOutdated reports whether the records were taken from a peer that names no revision, as those
// of older builds, and may be older than what this host has read.
func (r *Replicas) isOutdated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outdated
}

// setRev sets a revision whose changes the view includes. It is raised after they are published,
// and lowered before. It requires r.mu.
func (r *Replicas) setRev(rev txn.Rev) {
	r.rev = rev
	r.broker.SetRecordsRev(rev)
}

// markStoreUnavailable is called after a failed read of the store.
func (r *Replicas) markStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailableSince.IsZero() {
		r.unavailableSince = r.clock.Now()
	}
	r.view.SetOutageEnd(r.clock.Now())
}

// markStoreAvailable is called after a successful read of the store. The outage may have ended
// long before, while this host read no replica records. It requires r.mu.
func (r *Replicas) markStoreAvailable() {
	if !r.unavailableSince.IsZero() {
		r.unavailableSince = time.Time{}
		r.view.SetOutageEnd(r.clock.Now().Add(-r.contactLasted()))
	}
}

// publish passes the unexpired replicas to the broker and schedules the next
// expiry. It requires r.mu.
func (r *Replicas) publish() {
	now := r.clock.Now()
	_, next := r.view.Expire(now)
	if !next.IsZero() {
		r.clock.AfterFunc(next.Sub(now)+time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if removed, _ := r.view.Expire(r.clock.Now()); removed {
				r.publish()
			}
		})
	}
	all := r.view.Snapshot()
	usable := r.admitted(all)
	if !r.loaded && len(usable) < len(all) && r.versions.IsPending() {
		return
	}
	r.loaded, r.usable = true, usable
	r.broker.SetReplicas(usable, r.dataCentre)
}

// softwareVersion is a software version of a service.
type softwareVersion struct{ service, version string }

// admitted returns the replicas at whose software versions streams may begin. A version
// that is new is recorded first. It requires r.mu.
func (r *Replicas) admitted(all map[string]replica.Replica) map[string]replica.Replica {
	if r.versions == nil {
		return all
	}
	if r.fromStore {
		r.versions.Observe(all)
	}
	usable := make(map[string]replica.Replica, len(all))
	for id, of := range all {
		_, fromPeer := r.peerVersions[softwareVersion{of.Service, of.SoftwareVersion}]
		if fromPeer || r.versions.Admits(of) {
			usable[id] = of
		}
	}
	return usable
}

// versionsRecorded passes replicas to the broker that may be used now.
func (r *Replicas) versionsRecorded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed {
		r.publish()
	}
}

// replaceFromPeer replaces the records by those of a peer, which include the changes up to a
// revision, or an unknown one if it is zero. If its own are newer it keeps them and returns their
// revision, otherwise zero.
func (r *Replicas) replaceFromPeer(all []replica.Replica, rev txn.Rev) (newer txn.Rev) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rev != 0 && rev < r.rev {
		return r.rev
	}
	r.outdated = rev == 0
	r.setRev(0)
	r.view.ReplaceFromPeer(r.clock.Now(), all)
	r.listed, r.fromStore, r.peerVersions = true, false, make(map[softwareVersion]struct{})
	for _, of := range all {
		r.peerVersions[softwareVersion{of.Service, of.SoftwareVersion}] = struct{}{}
	}
	if r.versions != nil {
		r.versions.Pause()
	}
	r.publish()
	r.setRev(rev)
	return 0
}

// isCurrent reports whether the records are loaded and the last read of the
// store succeeded.
func (r *Replicas) isCurrent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded && r.unavailableSince.IsZero()
}

func (r *Replicas) haveRecords() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

func (r *Replicas) snapshot() []replica.Replica {
	all, _ := r.snapshotAt()
	return all
}

// snapshotAt returns the usable replicas and a revision of the store whose changes they include,
// or zero if none is known.
func (r *Replicas) snapshotAt() ([]replica.Replica, txn.Rev) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.usable)), r.rev
}

// registerSpeedMetrics registers what this host, as a broker, knows of the speed of
// replicas.
func (h *Host) registerSpeedMetrics() {
	h.registerGauge("comfreyspindle_replicas_paced", "Replicas that get some of their slots only until they respond in time.",
		nil, func() float64 { return float64(h.broker.PacedReplicas()) })
	for name, value := range map[string]func() float64{
		"least":    func() float64 { least, _, _ := h.broker.Slowness(); return least },
		"mean":     func() float64 { _, mean, _ := h.broker.Slowness(); return mean },
		"greatest": func() float64 { _, _, greatest := h.broker.Slowness(); return greatest },
	} {
		h.registerGauge("comfreyspindle_replica_slowness", "Estimated slowness of the replicas whose slots this host grants, 1 is normal; 0 if none reports it.",
			prometheus.Labels{"of": name}, value)
	}
}
