package host

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
)

// Replicas feeds the broker with the records of replicas, as the store or a
// neighbour tells them.
type Replicas struct {
	broker     *slots.Broker
	dataCentre string
	clock      clockwork.Clock
	log        *logrus.Entry

	mu     sync.Mutex
	view   *replica.View
	loaded bool
	// lostAt is when the store was first missed; zero while it answers.
	unavailableSince time.Time
}

func newReplicas(broker *slots.Broker, dataCentre string, clock clockwork.Clock, log *logrus.Entry) *Replicas {
	return &Replicas{broker: broker, dataCentre: dataCentre, clock: clock, log: log, view: replica.NewView()}
}

// decode turns records into changes. Unreadable ones name no replica.
func (r *Replicas) decode(items []txn.Item) []replica.Change {
	changes := make([]replica.Change, 0, len(items))
	for _, item := range items {
		c, err := platform.DecodeReplica(item)
		if err != nil {
			r.log.WithError(err).WithField("rev", item.Rev).Warn("record names no replica")
		}
		changes = append(changes, c)
		if c.Replica != nil {
			r.log.WithFields(logrus.Fields{"replica": c.ID, "address": c.Replica.Address, "ready": c.Replica.Ready, "born": c.Replica.Born, "rev": item.Rev}).Info("record of a replica")
		} else {
			r.log.WithFields(logrus.Fields{"replica": c.ID, "rev": item.Rev}).Info("replica has no record")
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
	r.view.Replace(r.clock.Now(), all)
	r.loaded = true
	r.publish()
}

func (r *Replicas) apply(_ context.Context, items []txn.Item) {
	changes := r.decode(items)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markStoreAvailable()
	r.view.Apply(r.clock.Now(), changes)
	r.publish()
}

// lost notes that the store can't be read.
func (r *Replicas) markStoreUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailableSince.IsZero() {
		r.unavailableSince = r.clock.Now()
	}
	r.view.SetOutageEnd(r.clock.Now())
}

// answered notes that the store answers. The lock is held.
func (r *Replicas) markStoreAvailable() {
	if !r.unavailableSince.IsZero() {
		r.unavailableSince = time.Time{}
		r.view.SetOutageEnd(r.clock.Now())
	}
}

// publish tells the broker and plans the removal of what has lapsed. The lock
// is held.
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
	r.broker.SetReplicas(r.view.Snapshot(), r.dataCentre)
}

// learned takes the records that a neighbour knows.
func (r *Replicas) replaceFromPeer(all []replica.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.ReplaceFromPeer(all)
	r.loaded = true
	r.publish()
}

// current reports whether the store answered this host's last read.
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
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.view.Snapshot()))
}
